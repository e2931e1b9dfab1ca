// Ejection, probes and slow start.
#include <algorithm>

#include "jaypick/internal/upstream_pool.h"

namespace jaypick::internal {
namespace {

// Number of attempts at which the counts for the failure rate are halved, so
// that older attempts lose weight.
constexpr std::uint32_t kFailureRateWindow = 64;

// Consecutive failures that eject an upstream during its slow start. Lower than
// the usual limit, because the upstream was unhealthy recently.
constexpr std::uint32_t kSlowStartFailures = 2;

// Time since the last request to place an idempotent task after which a
// non-idempotent task may probe an ejected upstream. Needed for services
// without an idempotent kind.
constexpr Duration kNonIdempotentProbeDelay = std::chrono::seconds(1);

// Back-off after a refusal as busy; it doubles with each consecutive one. The
// initial value is about the time in which one of 8 slots becomes free.
constexpr Duration kInitialBusyBackOff = std::chrono::milliseconds(25);
constexpr std::uint32_t kMaxBusyDoublings = 5;

void CountAttempt(UpstreamHealth& health, bool is_failure) {
  ++health.attempts;
  health.failures += is_failure ? 1 : 0;
  if (health.attempts >= kFailureRateWindow) {
    health.attempts /= 2;
    health.failures /= 2;
  }
}

}  // namespace

bool UpstreamPool::MayProbe(const PlacementRequest& request,
                            ServiceState& service,
                            TimePoint now) const {
  if (request.is_idempotent) {
    service.last_idempotent = now;
    return true;
  }
  return now - service.last_idempotent >= kNonIdempotentProbeDelay;
}

bool UpstreamPool::IsProbeDue(UpstreamNumber number) const {
  const UpstreamLoad& load = loads_[number];
  // Attempts that were started before the ejection may still use up the limit.
  return load.in_flight < load.limit && !healths_[number].is_probing;
}

void UpstreamPool::UpdateSlowStart(UpstreamNumber number, TimePoint now) {
  UpstreamLoad& load = loads_[number];
  UpstreamHealth& health = healths_[number];
  const std::uint32_t full_limit = FullLimit(load);
  const Duration elapsed = now - health.slow_start_began;
  if (elapsed >= options_.ejection.slow_start) {
    load.state = HealthState::kHealthy;
    load.limit = full_limit;
    health.back_off = Duration{0};
    return;
  }
  const double elapsed_fraction =
      static_cast<double>(elapsed.count()) /
      static_cast<double>(options_.ejection.slow_start.count());
  load.limit =
      std::min(full_limit,
               1 + static_cast<std::uint32_t>(full_limit * elapsed_fraction));
}

void UpstreamPool::StartSlowStart(UpstreamNumber number, TimePoint now) {
  UpstreamLoad& load = loads_[number];
  UpstreamHealth& health = healths_[number];
  if (!identities_[number].is_leaving && identities_[number].is_listed) {
    --services_[identities_[number].service].ejected;
  }
  load.state = HealthState::kSlowStart;
  load.blocked_until = now;
  health.is_probing = false;
  health.consecutive_failures = 0;
  health.attempts = 0;
  health.failures = 0;
  health.slow_start_began = now;
  UpdateSlowStart(number, now);
}

void UpstreamPool::OnSuccess(UpstreamNumber number,
                             bool is_probe,
                             TimePoint now) {
  UpstreamHealth& health = healths_[number];
  health.consecutive_failures = 0;
  health.consecutive_busy = 0;
  CountAttempt(health, false);
  if (is_probe) {
    StartSlowStart(number, now);
  }
}

void UpstreamPool::OnFailure(UpstreamNumber number,
                             bool is_probe,
                             TimePoint now) {
  UpstreamHealth& health = healths_[number];
  if (loads_[number].state == HealthState::kEjected) {
    // Failures of attempts that were started before the ejection do not extend
    // the back-off.
    if (is_probe) {
      Eject(number, now);
    }
    return;
  }
  ++health.consecutive_failures;
  CountAttempt(health, true);
  const bool is_slow_start = loads_[number].state == HealthState::kSlowStart;
  const bool should_eject =
      ShouldEject(health) ||
      (is_slow_start && health.consecutive_failures >= kSlowStartFailures);
  if (should_eject && MayEject(services_[identities_[number].service])) {
    Eject(number, now);
  }
}

void UpstreamPool::OnBusy(UpstreamNumber number, TimePoint now) {
  UpstreamHealth& health = healths_[number];
  const std::uint32_t doublings =
      std::min(health.consecutive_busy, kMaxBusyDoublings);
  const TimePoint until = now + kInitialBusyBackOff * (1U << doublings);
  ++health.consecutive_busy;
  loads_[number].blocked_until = std::max(loads_[number].blocked_until, until);
}

bool UpstreamPool::ShouldEject(const UpstreamHealth& health) const {
  const EjectionOptions& options = options_.ejection;
  if (health.consecutive_failures >= options.consecutive_failures) {
    return true;
  }
  return health.attempts >= options.failure_rate_attempts &&
         health.failures >= options.failure_rate * health.attempts;
}

bool UpstreamPool::MayEject(const ServiceState& service) const {
  return service.ejected + 1 <= options_.ejection.max_ejected_fraction *
                                    static_cast<double>(service.members.size());
}

void UpstreamPool::Eject(UpstreamNumber number, TimePoint now) {
  const EjectionOptions& options = options_.ejection;
  UpstreamLoad& load = loads_[number];
  UpstreamHealth& health = healths_[number];
  const bool is_member =
      identities_[number].is_listed && !identities_[number].is_leaving;
  if (load.state != HealthState::kEjected && is_member) {
    ++services_[identities_[number].service].ejected;
  }
  health.back_off =
      health.back_off == Duration{0}
          ? options.first_back_off
          : std::min(health.back_off * 2, options.longest_back_off);
  health.is_probing = false;
  health.consecutive_failures = 0;
  health.attempts = 0;
  health.failures = 0;
  load.state = HealthState::kEjected;
  load.blocked_until = now + health.back_off;
  load.limit = FullLimit(load);
}

}  // namespace jaypick::internal
