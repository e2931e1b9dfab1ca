// States of the job ids issued by this process.
#ifndef JAYPICK_INTERNAL_ID_WINDOW_H_
#define JAYPICK_INTERNAL_ID_WINDOW_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "jaypick/internal/queued_task.h"
#include "jaypick/job.h"

namespace jaypick::internal {

// State of an id. Transitions: reserved to active or closed, active to complete
// or closed.
enum class IdState : std::uint8_t {
  kReserved,
  kActive,
  kComplete,
  // Refused, failed or cancelled; see `IdRecord::run` and `IdRecord::reason`.
  kClosed,
};

// State of an id that is within the window.
struct IdRecord {
  OwnerNumber owner = 0;
  IdState state = IdState::kReserved;
  RunState run = RunState::kNotRun;
  RefusalReason reason = RefusalReason::kIdClosed;
};

// Reason why an id has no record.
enum class MissingIdReason { kNeverIssued, kExpired };

// Issues ids, identified by their counter, and keeps a record for each of the
// `capacity` most recent ones.
//
// Records are stored consecutively by counter, so each takes only a few bytes
// and lookup needs no index. Counters below the window have expired and can
// never become active again.
class IdWindow {
 public:
  explicit IdWindow(std::size_t capacity);

  // Issues the next counter to `owner`. If the window is full, drops the oldest
  // record.
  //
  // Returns nothing if that record is active, because an active id must not
  // lose its record.
  std::optional<std::uint64_t> Issue(OwnerNumber owner);

  // The record of `counter`, or null; `MissingReasonOf` returns why it is
  // missing.
  const IdRecord* Find(std::uint64_t counter) const;
  MissingIdReason MissingReasonOf(std::uint64_t counter) const;

  // State transitions. Return false and change nothing if the id has no record
  // or its state does not allow the transition.
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
