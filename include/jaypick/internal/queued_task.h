// The part of a task that the queue needs.
#ifndef JAYPICK_INTERNAL_QUEUED_TASK_H_
#define JAYPICK_INTERNAL_QUEUED_TASK_H_

#include <cstdint>

#include <boost/intrusive/list.hpp>

namespace jaypick::internal {

class FairQueue;

// Numbers that stand for names within one process; see `Interner`.
using OwnerNumber = std::uint32_t;
using ServiceNumber = std::uint32_t;
using KindNumber = std::uint32_t;

// A task that can wait in a `FairQueue`.
//
// Its destructor takes it out of the queue, so that a cancelled job's tasks
// leave the queue by being destroyed.
struct QueuedTask
    : boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
  QueuedTask() = default;
  QueuedTask(const QueuedTask&) = default;
  QueuedTask& operator=(const QueuedTask&) = default;
  ~QueuedTask();

  OwnerNumber owner = 0;
  KindNumber kind = 0;

  // Set by `FairQueue`. The queue is only valid while the task is linked.
  FairQueue* queue = nullptr;
  std::uint64_t sequence = 0;
  // True: the owner has been charged, and the task waits for another placement.
  bool is_charged = false;
};

}  // namespace jaypick::internal

#endif  // JAYPICK_INTERNAL_QUEUED_TASK_H_
