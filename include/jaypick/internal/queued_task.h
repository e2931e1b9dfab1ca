// The part of a task that the queue needs.
#ifndef JAYPICK_INTERNAL_QUEUED_TASK_H_
#define JAYPICK_INTERNAL_QUEUED_TASK_H_

#include <cstdint>

#include <boost/intrusive/list.hpp>

namespace jaypick::internal {

// Numbers that stand for names within one process; see `Interner`.
using OwnerNumber = std::uint32_t;
using ServiceNumber = std::uint32_t;
using KindNumber = std::uint32_t;

// A task that can wait in a `FairQueue`.
//
// The hook unlinks itself, so that a cancelled job's tasks leave the queue by
// being destroyed.
struct QueuedTask
    : boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
  OwnerNumber owner = 0;
  KindNumber kind = 0;
};

}  // namespace jaypick::internal

#endif  // JAYPICK_INTERNAL_QUEUED_TASK_H_
