// Base class of tasks, as needed by the fair queue.
#ifndef JAYPICK_INTERNAL_QUEUED_TASK_H_
#define JAYPICK_INTERNAL_QUEUED_TASK_H_

#include <cstdint>

#include <boost/intrusive/list.hpp>

namespace jaypick::internal {

class FairQueue;

// Numbers assigned to names within this process; see `Interner`.
using OwnerNumber = std::uint32_t;
using ServiceNumber = std::uint32_t;
using KindNumber = std::uint32_t;

// A task that can wait in a `FairQueue`.
//
// The destructor removes the task from its queue, so destroying a job also
// dequeues its tasks.
struct QueuedTask
    : boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
  QueuedTask() = default;
  QueuedTask(const QueuedTask&) = default;
  QueuedTask& operator=(const QueuedTask&) = default;
  ~QueuedTask();

  OwnerNumber owner = 0;
  KindNumber kind = 0;

  // Set by `FairQueue`. `queue` is valid only while the task is queued.
  FairQueue* queue = nullptr;
  std::uint64_t sequence = 0;
  // True if the task was taken from the queue before, its owner was charged,
  // and it waits to be placed again.
  bool is_charged = false;
};

}  // namespace jaypick::internal

#endif  // JAYPICK_INTERNAL_QUEUED_TASK_H_
