#include "jaypick/internal/upstream_pool.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "jaypick/internal/invariant.h"

namespace jaypick::internal {
namespace {

// A request has the weight 1 / this in the mean run time of its service.
constexpr int kRunTimeMeanSamples = 64;

// A report has the weight 1 / this in the mean of the reports of its service.
constexpr int kReportMeanSamples = 64;

// Minimum wait for a report to decay, which limits the number of wake-ups.
constexpr Duration kMinDecayWait = std::chrono::milliseconds(1);

void UpdateEarliest(std::optional<TimePoint>& earliest, TimePoint time) {
  earliest = earliest ? std::min(*earliest, time) : time;
}

}  // namespace

UpstreamPool::UpstreamPool(const PlacementOptions& options,
                           std::uint64_t seed,
                           std::string entry)
    : options_(options),
      entry_(std::move(entry)),
      engine_(static_cast<std::minstd_rand::result_type>(seed)) {}

std::optional<UpstreamNumber> UpstreamPool::Choose(
    const PlacementRequest& request,
    TimePoint now) {
  if (request.service >= services_.size()) {
    return std::nullopt;
  }
  ExpirePenalties(now);
  ServiceState& service = services_[request.service];
  service.run_time =
      service.run_time == Duration{0}
          ? request.run_time
          : service.run_time +
                (request.run_time - service.run_time) / kRunTimeMeanSamples;
  service.waiting = request.waiting;
  const bool may_probe = MayProbe(request, service, now);
  candidates_.clear();
  for (const UpstreamNumber number : service.members) {
    const UpstreamLoad& load = loads_[number];
    if (now < load.blocked_until || !Satisfies(load.offers, request.needs)) {
      continue;
    }
    if (load.state == HealthState::kEjected) {
      // A due probe takes precedence; without probes the upstream would stay
      // ejected.
      if (may_probe && IsProbeDue(number)) {
        return Reserve(number, now);
      }
      continue;
    }
    CollectCandidate(number, service, now);
  }
  if (candidates_.empty()) {
    return std::nullopt;
  }
  const std::size_t chosen =
      ChooseCandidate(options_.policy, candidates_, last_chosen_, engine_);
  return Reserve(candidates_[chosen].upstream, now);
}

void UpstreamPool::CollectCandidate(UpstreamNumber number,
                                    const ServiceState& service,
                                    TimePoint now) {
  if (loads_[number].state == HealthState::kSlowStart) {
    UpdateSlowStart(number, now);
  }
  const UpstreamLoad& load = loads_[number];
  const std::uint32_t own = load.in_flight + load.penalties;
  if (own >= load.limit || load.slots == 0) {
    return;
  }
  const PlacementCandidate candidate{
      .upstream = number,
      .slots = load.slots,
      .own_in_flight = own,
      .other_tasks = EstimateOtherTasks(load, service, now),
      .own_slots = load.own_slots,
      .busy_threshold = load.busy_threshold,
      .is_stale = IsStale(load, service, now)};
  if (HasRoom(options_.policy, candidate, service.waiting)) {
    candidates_.push_back(candidate);
  }
}

UpstreamNumber UpstreamPool::Reserve(UpstreamNumber number, TimePoint now) {
  UpstreamLoad& load = loads_[number];
  const UpstreamIdentity& identity = identities_[number];
  if (load.state == HealthState::kEjected) {
    healths_[number].is_probing = true;
    healths_[number].probe_started = now;
  }
  CheckInvariant(!identity.is_leaving && identity.is_listed,
                 "no_start_on_leaving_upstream", identity.name);
  CheckInvariant(load.in_flight < load.limit, "in_flight_within_limit",
                 identity.name);
  ++load.in_flight;
  last_chosen_ = number;
  return number;
}

void UpstreamPool::OnAttemptEnded(UpstreamNumber upstream,
                                  HealthSignal signal,
                                  std::optional<std::uint32_t> reported_load,
                                  TimePoint started,
                                  TimePoint now) {
  UpstreamLoad& load = loads_[upstream];
  UpstreamHealth& health = healths_[upstream];
  CheckInvariant(load.in_flight > 0, "attempt_ends_once",
                 identities_[upstream].name);
  --load.in_flight;
  if (reported_load) {
    RecordReport(upstream, *reported_load, now);
  }
  const bool is_probe = load.state == HealthState::kEjected &&
                        health.is_probing && started >= health.probe_started;
  if (is_probe) {
    health.is_probing = false;
  }
  switch (signal) {
    case HealthSignal::kSucceeded:
      OnSuccess(upstream, is_probe, now);
      break;
    case HealthSignal::kFailed:
    case HealthSignal::kNotSent:
      AddPenalty(upstream, started, now);
      OnFailure(upstream, is_probe, now);
      break;
    case HealthSignal::kBusy:
      if (reported_load) {
        load.busy_threshold = std::max(1U, *reported_load);
      }
      OnBusy(upstream, now);
      break;
    case HealthSignal::kLeaving:
      RemoveMember(upstream);
      MarkLeaving(upstream);
      break;
    case HealthSignal::kAbandoned:
      AddPenalty(upstream, started, now);
      break;
  }
  FreeNumberIfUnused(upstream);
}

void UpstreamPool::AddPenalty(UpstreamNumber number,
                              TimePoint started,
                              TimePoint now) {
  const TimePoint until =
      started + services_[identities_[number].service].run_time;
  if (until > now) {
    penalties_.push({.until = until, .upstream = number});
    ++loads_[number].penalties;
  }
}

void UpstreamPool::ExpirePenalties(TimePoint now) {
  while (!penalties_.empty() && penalties_.top().until <= now) {
    const UpstreamNumber number = penalties_.top().upstream;
    penalties_.pop();
    --loads_[number].penalties;
    FreeNumberIfUnused(number);
  }
}

void UpstreamPool::RecordReport(UpstreamNumber number,
                                std::uint32_t reported,
                                TimePoint now) {
  UpstreamLoad& load = loads_[number];
  const std::uint32_t other_tasks =
      reported - std::min(reported, load.in_flight);
  load.other_tasks = static_cast<float>(other_tasks);
  load.reported_at = now;
  if (load.busy_threshold > 0 && reported >= load.busy_threshold) {
    // The upstream has accepted at least as many tasks as the number at which
    // it last refused one.
    load.busy_threshold = reported + 1;
  }
  if (load.slots > 0) {
    double& mean = services_[identities_[number].service].other_tasks_per_slot;
    mean += (static_cast<double>(other_tasks) / load.slots - mean) /
            kReportMeanSamples;
  }
}

double UpstreamPool::ReportDecayTime(const ServiceState& service) const {
  return static_cast<double>(service.run_time.count() + 1) *
         ReportDecayRunTimes(options_.policy);
}

// Estimates the number of tasks of other entries at an upstream. With time, the
// reported tasks end and other entries start new ones, so the estimate decays
// from the last report to the mean of all reports. The weight of the report
// approximates exp(-age), whose computation would dominate the time of a
// choice.
double UpstreamPool::EstimateOtherTasks(const UpstreamLoad& load,
                                        const ServiceState& service,
                                        TimePoint now) const {
  const double mean = service.other_tasks_per_slot * load.slots;
  if (load.reported_at == TimePoint()) {
    return mean;
  }
  const double age = static_cast<double>((now - load.reported_at).count()) /
                     ReportDecayTime(service);
  return mean + (load.other_tasks - mean) / (1 + age + age * age / 2);
}

// True if the last report is old and no attempt is in flight that could return
// a new one.
bool UpstreamPool::IsStale(const UpstreamLoad& load,
                           const ServiceState& service,
                           TimePoint now) const {
  return load.in_flight == 0 && now - load.reported_at >= service.run_time;
}

bool UpstreamPool::IsOffered(ServiceNumber service,
                             const ResourceSpec& needs) const {
  if (service >= services_.size()) {
    return false;
  }
  const auto& members = services_[service].members;
  return std::any_of(members.begin(), members.end(),
                     [&](UpstreamNumber number) {
                       return Satisfies(loads_[number].offers, needs);
                     });
}

double UpstreamPool::UsableSlots(ServiceNumber service) const {
  if (service >= services_.size()) {
    return 0;
  }
  std::uint32_t slots = 0;
  for (const UpstreamNumber number : services_[service].members) {
    if (loads_[number].state != HealthState::kEjected) {
      slots += loads_[number].slots;
    }
  }
  return static_cast<double>(slots) / entries_;
}

std::optional<TimePoint> UpstreamPool::NextChange(TimePoint now) const {
  std::optional<TimePoint> earliest;
  if (!penalties_.empty() && penalties_.top().until > now) {
    earliest = penalties_.top().until;
  }
  for (const ServiceState& service : services_) {
    for (const UpstreamNumber number : service.members) {
      const auto next =
          NextChangeOf(loads_[number], healths_[number], service, now);
      if (next) {
        UpdateEarliest(earliest, *next);
      }
    }
  }
  return earliest;
}

std::optional<TimePoint> UpstreamPool::NextChangeOf(
    const UpstreamLoad& load,
    const UpstreamHealth& health,
    const ServiceState& service,
    TimePoint now) const {
  if (load.blocked_until > now) {
    return load.blocked_until;
  }
  if (load.state == HealthState::kEjected) {
    return std::nullopt;
  }
  const std::uint32_t own = load.in_flight + load.penalties;
  if (load.state == HealthState::kSlowStart && own >= load.limit) {
    const std::uint32_t full_limit = std::max(1U, FullLimit(load));
    const Duration step =
        options_.ejection.slow_start * load.limit / full_limit;
    const TimePoint next = health.slow_start_began + step + Duration(1);
    return next > now ? std::optional(next) : std::nullopt;
  }
  if (own >= load.limit || IsStale(load, service, now)) {
    return std::nullopt;
  }
  std::optional<TimePoint> next;
  if (load.in_flight == 0) {
    next = load.reported_at + service.run_time;
  }
  const double room =
      ExpectedTasksLimit(options_.policy, load.slots, service.waiting) - own -
      1.0;
  const double mean = service.other_tasks_per_slot * load.slots;
  if (load.other_tasks <= room || room <= mean) {
    return next;
  }
  // Solves the equation of `EstimateOtherTasks` for the time at which the
  // estimate falls to `room`.
  const double weight = (room - mean) / (load.other_tasks - mean);
  const double age = std::sqrt(2 / weight - 1) - 1;
  const Duration time_to_room(
      static_cast<std::int64_t>(age * ReportDecayTime(service)));
  UpdateEarliest(
      next, std::max(load.reported_at + time_to_room, now) + kMinDecayWait);
  return next;
}

const std::string& UpstreamPool::name(UpstreamNumber upstream) const {
  return identities_[upstream].name;
}

const Address& UpstreamPool::address(UpstreamNumber upstream) const {
  return identities_[upstream].address;
}

std::uint32_t UpstreamPool::in_flight(UpstreamNumber upstream) const {
  return loads_[upstream].in_flight;
}

std::uint32_t UpstreamPool::in_flight_limit(UpstreamNumber upstream) const {
  return loads_[upstream].limit;
}

bool UpstreamPool::is_leaving(UpstreamNumber upstream) const {
  return identities_[upstream].is_leaving;
}

bool UpstreamPool::is_ejected(UpstreamNumber upstream) const {
  return identities_[upstream].is_listed &&
         loads_[upstream].state == HealthState::kEjected;
}

std::uint32_t UpstreamPool::size() const {
  return static_cast<std::uint32_t>(loads_.size());
}

}  // namespace jaypick::internal
