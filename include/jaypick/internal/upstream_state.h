// What a pool keeps about one upstream.
#ifndef JAYPICK_INTERNAL_UPSTREAM_STATE_H_
#define JAYPICK_INTERNAL_UPSTREAM_STATE_H_

#include <cstdint>
#include <string>

#include "jaypick/configuration.h"
#include "jaypick/instance.h"
#include "jaypick/internal/queued_task.h"
#include "jaypick/time.h"

namespace jaypick::internal {

// Index of an upstream in the pool; stays valid while attempts at it are out.
using UpstreamNumber = std::uint32_t;

enum class HealthState : std::uint8_t { kHealthy, kSlowStart, kEjected };

// What every choice reads; kept small because a choice reads all upstreams.
struct UpstreamLoad {
  TimePoint reported_at;
  // No start before this time: a back-off, or a refusal as busy.
  TimePoint blocked_until;
  // Tasks of other entries at the time of the report.
  float other_tasks = 0;
  std::uint32_t in_flight = 0;
  // Ended attempts that still count as in-flight.
  std::uint32_t penalties = 0;
  // Attempts of this entry at most; lower during a slow start.
  std::uint32_t limit = 0;
  std::uint32_t slots = 0;
  // The part of the slots that this entry need not share.
  std::uint32_t own_slots = 0;
  // Tasks at which the upstream refused a start as busy; 0 if it never did.
  std::uint32_t busy_threshold = 0;
  HealthState state = HealthState::kHealthy;
  ResourceSpec offers;
};

struct UpstreamHealth {
  std::uint32_t consecutive_failures = 0;
  // Recent attempts and failures among them; both are halved as they grow.
  std::uint32_t attempts = 0;
  std::uint32_t failures = 0;
  // Refusals as busy since the last success.
  std::uint32_t busy_streak = 0;
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
