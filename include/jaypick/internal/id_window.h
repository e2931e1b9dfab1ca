// States of the submission ids that this process issued.
#ifndef JAYPICK_INTERNAL_ID_WINDOW_H_
#define JAYPICK_INTERNAL_ID_WINDOW_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "jaypick/internal/queued_task.h"
#include "jaypick/job.h"

namespace jaypick::internal {

// Life of an id. It moves only forward: from reserved to active or closed, from
// active to complete or closed.
enum class IdState : std::uint8_t {
  kReserved,
  kActive,
  kComplete,
  // Refused, failed or cancelled; `run` and `reason` tell.
  kClosed,
};

// What is remembered of an id.
struct IdRecord {
  OwnerNumber owner = 0;
  IdState state = IdState::kReserved;
  RunState run = RunState::kNotRun;
  RefusalReason reason = RefusalReason::kIdClosed;
};

// Why an id has no record.
enum class MissingIdReason { kNeverIssued, kExpired };

// Issues counters and keeps one record for each of the newest ones.
//
// The window is dense, so a record costs a few bytes and no lookup structure.
// Counters below the window have expired; they never become active again.
class IdWindow {
 public:
  explicit IdWindow(std::size_t capacity);

  // Issues one counter to `owner`.
  //
  // Returns nothing while the window is full and its oldest id is active: an
  // active id must not lose its record.
  std::optional<std::uint64_t> Issue(OwnerNumber owner);

  // The record of `counter`, or null; `MissingReasonOf` says why.
  const IdRecord* Find(std::uint64_t counter) const;
  MissingIdReason MissingReasonOf(std::uint64_t counter) const;

  // Changes of state. Returns false, and changes nothing, if the id is not in
  // the state that the change starts from.
  bool Activate(std::uint64_t counter);
  bool Complete(std::uint64_t counter);
  bool Close(std::uint64_t counter, RunState run, RefusalReason reason);

  std::size_t size() const { return records_.size(); }

 private:
  IdRecord* FindMutable(std::uint64_t counter);

  std::size_t capacity_;
  // Counter of the first record.
  std::uint64_t first_ = 0;
  std::deque<IdRecord> records_;
};

}  // namespace jaypick::internal

#endif  // JAYPICK_INTERNAL_ID_WINDOW_H_
