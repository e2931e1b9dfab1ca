// State of one upstream in the pool.
#ifndef JAYPICK_INTERNAL_UPSTREAM_STATE_H_
#define JAYPICK_INTERNAL_UPSTREAM_STATE_H_

#include <cstdint>
#include <string>

#include "jaypick/configuration.h"
#include "jaypick/instance.h"
#include "jaypick/internal/queued_task.h"
#include "jaypick/time.h"

namespace jaypick::internal {

// Index of an upstream in the pool. It is not reused while attempts at the
// upstream are in flight.
using UpstreamNumber = std::uint32_t;

enum class HealthState : std::uint8_t { kHealthy, kSlowStart, kEjected };

// State that placement reads for every upstream at each choice. Kept small for
// this reason.
struct UpstreamLoad {
  TimePoint reported_at;
  // No task is started before this time, because of an ejection or a refusal as
  // busy.
  TimePoint blocked_until;
  // Number of tasks of other entries according to the last load report.
  float other_tasks = 0;
  std::uint32_t in_flight = 0;
  // Ended attempts that still count as in flight; see `UpstreamPool::Penalty`.
  std::uint32_t penalties = 0;
  // Maximum in-flight attempts of this entry; lower during a slow start.
  std::uint32_t limit = 0;
  std::uint32_t slots = 0;
  // Slots assigned to this entry; see `UpstreamPool::AssignOwnSlots`.
  std::uint32_t own_slots = 0;
  // Number of tasks at which the upstream refused a start as busy; 0 if it
  // never did.
  std::uint32_t busy_threshold = 0;
  HealthState state = HealthState::kHealthy;
  ResourceSpec offers;
};

struct UpstreamHealth {
  std::uint32_t consecutive_failures = 0;
  // Recent attempts and the failures among them. Both are halved regularly, so
  // that older attempts lose weight.
  std::uint32_t attempts = 0;
  std::uint32_t failures = 0;
  // Number of refusals as busy since the last success.
  std::uint32_t consecutive_busy = 0;
  Duration back_off{0};
  bool is_probing = false;
  TimePoint probe_started;
  TimePoint slow_start_began;
};

struct UpstreamIdentity {
  std::string name;
  Address address;
  std::uint64_t generation = 0;
  ServiceNumber service = 0;
  bool is_listed = false;
  bool is_leaving = false;
};

}  // namespace jaypick::internal

#endif  // JAYPICK_INTERNAL_UPSTREAM_STATE_H_
