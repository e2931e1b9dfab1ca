#include "schedule/fleet.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace jaypick::schedule {
namespace {

// Consecutive failures after which an upstream is ejected. A single failure is
// more often the fault of the job.
constexpr std::uint32_t kFailuresToEject = 2;
constexpr Duration kInitialEjection = std::chrono::milliseconds(1000);
constexpr Duration kMaxEjection = std::chrono::milliseconds(4000);
// Time without starts on an upstream after it has refused one for lack of
// capacity: its view of ended tasks lags by about a round trip.
constexpr Duration kNoRoomBackoff = std::chrono::milliseconds(20);
// An upstream is slow if its slowdown exceeds this many times the median. It
// gets only one task at a time, which shows whether it has recovered.
constexpr double kSlowThreshold = 1.7;
// Lower bound of the run times on a fast upstream, compared with predictions.
constexpr double kFastest = 0.4;
// Minimum interval between tasks on a slow upstream or one that was ejected.
constexpr Duration kSlowProbeInterval = std::chrono::milliseconds(1000);
// Upstreams that stay unready for longer have mostly stopped responding.
constexpr Duration kBriefUnreadiness = std::chrono::milliseconds(100);
constexpr std::uint32_t kUnlimited = std::numeric_limits<std::uint32_t>::max();
// Slots assumed for an upstream without a limit.
constexpr std::uint32_t kDefaultSlots = 64;
// Weight of the newest sample in the smoothed slowdown of an upstream.
constexpr double kSlowdownWeight = 0.2;
// Bounds of the ratio of real to predicted run time for one sample.
constexpr double kMinRunTimeRatio = 0.125;
constexpr double kMaxRunTimeRatio = 8;
// Cost of running a task away from its data, compared with the fraction of the
// upstream's processors that the placement leaves free.
constexpr double kOtherRackCost = 0.5;
// Cost of an upstream whose latest run failed, in the same unit.
constexpr double kRecentFailureCost = 1;

bool Contains(const std::vector<std::string>& labels,
              const std::string& label) {
  return std::ranges::find(labels, label) != labels.end();
}

}  // namespace

std::uint32_t SlotsIn(const Upstream& upstream, const Resources& needs) {
  if (!Fits(upstream.capacity, needs)) {
    return 0;
  }
  const std::uint32_t by_cpu =
      needs.milli_cpus == 0 ? kUnlimited
                            : upstream.capacity.milli_cpus / needs.milli_cpus;
  const std::uint32_t by_memory =
      needs.memory_mb == 0 ? kUnlimited
                           : upstream.capacity.memory_mb / needs.memory_mb;
  const std::uint32_t slots =
      upstream.slots == 0 ? kDefaultSlots : upstream.slots;
  return std::min({by_cpu, by_memory, slots});
}

std::uint32_t Fleet::Update(const Upstream& upstream) {
  const auto [it, is_new] =
      by_id_.emplace(upstream.id, static_cast<std::uint32_t>(states_.size()));
  if (is_new) {
    states_.emplace_back();
  }
  State& state = states_[it->second];
  if (is_slow_start_enabled_ && upstream.is_cold && !state.upstream.is_cold) {
    state.slow_start_limit = 1;
  }
  state.upstream = upstream;
  state.is_listed = true;
  return it->second;
}

void Fleet::EnableSlowStart() {
  is_slow_start_enabled_ = true;
  for (State& state : states_) {
    if (state.is_listed && state.upstream.is_cold) {
      state.slow_start_limit = 1;
    }
  }
}

std::optional<std::uint32_t> Fleet::slow_start_limit(
    std::uint32_t number) const {
  return states_[number].slow_start_limit;
}

void Fleet::ContinueSlowStart(State& state, double ratio) const {
  if (!state.slow_start_limit) {
    return;
  }
  if (ratio > kSlowThreshold * std::max(1.0, median_slowdown_)) {
    state.slow_start_limit = 1;
    return;
  }
  const std::uint32_t slots =
      state.upstream.slots == 0 ? kDefaultSlots : state.upstream.slots;
  *state.slow_start_limit *= 2;
  if (*state.slow_start_limit >= slots) {
    state.slow_start_limit.reset();
  }
}

void Fleet::Remove(std::uint32_t number) {
  states_[number].is_listed = false;
  states_[number].is_ready = false;
}

void Fleet::SetReady(std::uint32_t number, bool is_ready, TimePoint now) {
  State& state = states_[number];
  if (state.is_ready) {
    state.ready_until = now;
  }
  state.is_ready = is_ready;
}

void Fleet::SetIncarnation(std::uint32_t number, std::int64_t started_unix_ms) {
  State& state = states_[number];
  const bool has_restarted =
      state.responded_unix_ms && *state.responded_unix_ms != started_unix_ms;
  if (has_restarted) {
    state.failures_in_row = 0;
    state.ejections = 0;
    state.ejected_until = TimePoint();
    state.slowdown = 1;
  }
  state.responded_unix_ms = started_unix_ms;
}

std::int64_t Fleet::incarnation(std::uint32_t number) const {
  const State& state = states_[number];
  return state.responded_unix_ms.value_or(state.upstream.started_unix_ms);
}

std::optional<std::uint32_t> Fleet::Find(const std::string& id) const {
  const auto it = by_id_.find(id);
  return it == by_id_.end() ? std::nullopt : std::optional(it->second);
}

const Upstream& Fleet::upstream(std::uint32_t number) const {
  return states_[number].upstream;
}

bool Fleet::is_ready(std::uint32_t number) const {
  return states_[number].is_ready;
}

bool Fleet::IsBecomingReady(std::uint32_t number) const {
  const State& state = states_[number];
  return state.is_listed && !state.is_ready && !state.upstream.is_draining;
}

bool Fleet::IsBrieflyUnready(std::uint32_t number, TimePoint now) const {
  const State& state = states_[number];
  return IsBecomingReady(number) && state.ready_until != TimePoint() &&
         now - state.ready_until < kBriefUnreadiness &&
         now >= state.ejected_until && !IsSlow(state);
}

std::uint32_t Fleet::size() const {
  return static_cast<std::uint32_t>(states_.size());
}

std::uint32_t Fleet::draining() const {
  return static_cast<std::uint32_t>(
      std::ranges::count_if(states_, [](const State& state) {
        return state.is_listed && state.upstream.is_draining;
      }));
}

bool Fleet::IsUsable(const State& state, TimePoint now) const {
  return state.is_listed && state.is_ready && !state.upstream.is_draining &&
         now >= state.ejected_until;
}

bool Fleet::IsListingCurrent(const State& state) {
  return !state.responded_unix_ms ||
         *state.responded_unix_ms == state.upstream.started_unix_ms;
}

bool Fleet::Accepts(std::uint32_t number,
                    const PlacementQuery& query,
                    TimePoint now) const {
  const State& state = states_[number];
  const Upstream& upstream = state.upstream;
  if (!IsUsable(state, now) || now < state.backoff_until || state.is_isolated ||
      upstream.service != query.service) {
    return false;
  }
  const bool has_slot = upstream.slots == 0 || state.running < upstream.slots;
  if (!has_slot ||
      !Fits(Difference(upstream.capacity, state.in_use), query.needs)) {
    return false;
  }
  if (!query.required_label.empty() &&
      (!IsListingCurrent(state) ||
       !Contains(upstream.labels, query.required_label))) {
    return false;
  }
  if (state.slow_start_limit && state.running >= *state.slow_start_limit) {
    return false;
  }
  // An upstream that was ejected or is slow gets one task at a time.
  const bool is_on_probation =
      state.failures_in_row >= kFailuresToEject || IsSlow(state);
  if (is_on_probation && (state.running > 0 || query.is_retry ||
                          now - state.last_start < kSlowProbeInterval)) {
    return false;
  }
  if (query.avoided_upstreams != nullptr &&
      std::ranges::find(*query.avoided_upstreams, number) !=
          query.avoided_upstreams->end()) {
    return false;
  }
  if (query.tasks_per_upstream > 0 && query.placed != nullptr) {
    const auto it = query.placed->find(number);
    if (it != query.placed->end() && it->second >= query.tasks_per_upstream) {
      return false;
    }
  }
  return true;
}

double Fleet::Cost(const State& state, const PlacementQuery& query) const {
  const Resources available = Difference(state.upstream.capacity, state.in_use);
  const auto total = static_cast<double>(
      std::max(state.upstream.capacity.milli_cpus, std::uint32_t{1}));
  double cost =
      query.is_suspected
          ? static_cast<double>(state.running)
          : static_cast<double>(available.milli_cpus - query.needs.milli_cpus) /
                total;
  cost += std::max(0.0, state.slowdown - 1);
  if (state.failures_in_row > 0) {
    cost += kRecentFailureCost * (query.is_retry ? 2 : 1);
  }
  if (!query.preferred_rack.empty() &&
      !Contains(state.upstream.labels, query.preferred_rack)) {
    cost += kOtherRackCost;
  }
  return cost;
}

std::optional<std::uint32_t> Fleet::Choose(const PlacementQuery& query,
                                           TimePoint now) const {
  std::optional<std::uint32_t> best;
  double best_cost = std::numeric_limits<double>::max();
  for (std::uint32_t number = 0; number < states_.size(); ++number) {
    if (query.reserved_upstream == number || !Accepts(number, query, now)) {
      continue;
    }
    const double cost = Cost(states_[number], query);
    if (cost < best_cost) {
      best_cost = cost;
      best = number;
    }
  }
  return best;
}

bool Fleet::IsOffered(const PlacementQuery& query) const {
  return std::ranges::any_of(states_, [&](const State& state) {
    const Upstream& upstream = state.upstream;
    return state.is_listed && upstream.service == query.service &&
           Fits(upstream.capacity, query.needs) &&
           (query.required_label.empty() ||
            Contains(upstream.labels, query.required_label));
  });
}

void Fleet::Occupy(std::uint32_t number,
                   const Resources& needs,
                   TimePoint now) {
  State& state = states_[number];
  state.in_use = Sum(state.in_use, needs);
  ++state.running;
  state.last_start = now;
}

void Fleet::Release(std::uint32_t number,
                    const Resources& needs,
                    HealthSignal signal,
                    TimePoint now) {
  State& state = states_[number];
  state.in_use = Difference(state.in_use, needs);
  state.running -= state.running > 0 ? 1 : 0;
  switch (signal) {
    case HealthSignal::kSucceeded:
      state.failures_in_row = 0;
      state.ejections = 0;
      ++state.successes;
      return;
    case HealthSignal::kNeutral:
      return;
    case HealthSignal::kFailed:
      break;
  }
  ++state.failures_in_row;
  if (state.failures_in_row >= kFailuresToEject && now >= state.ejected_until) {
    const Duration ejection = std::min(
        kInitialEjection * (1U << std::min(state.ejections, 4U)), kMaxEjection);
    state.ejected_until = now + ejection;
    ++state.ejections;
  }
}

void Fleet::SetIsolated(std::uint32_t number, bool is_isolated) {
  states_[number].is_isolated = is_isolated;
}

bool Fleet::is_isolated(std::uint32_t number) const {
  return states_[number].is_isolated;
}

bool Fleet::IsAnyReady() const {
  return std::ranges::any_of(states_, [](const State& state) {
    return state.is_listed && state.is_ready;
  });
}

void Fleet::OnRoomRefused(std::uint32_t number, TimePoint now) {
  states_[number].backoff_until = now + kNoRoomBackoff;
}

void Fleet::RecordRunTime(std::uint32_t number,
                          Duration expected,
                          Duration real) {
  if (expected <= Duration(0)) {
    return;
  }
  const double ratio =
      static_cast<double>(real.count()) / static_cast<double>(expected.count());
  State& state = states_[number];
  const double sample = std::clamp(ratio, kMinRunTimeRatio, kMaxRunTimeRatio);
  // The geometric mean: one run that takes several times as long as usual does
  // not make its upstream a slow one, two in a row do.
  state.slowdown *= std::pow(sample / state.slowdown, kSlowdownWeight);
  ContinueSlowStart(state, sample);
  std::vector<double> listed;
  for (const State& each : states_) {
    if (each.is_listed) {
      listed.push_back(each.slowdown);
    }
  }
  if (!listed.empty()) {
    const auto middle =
        listed.begin() + static_cast<std::ptrdiff_t>(listed.size() / 2);
    std::ranges::nth_element(listed, middle);
    median_slowdown_ = *middle;
  }
}

double Fleet::slowdown(std::uint32_t number) const {
  return states_[number].slowdown;
}

double Fleet::RelativeRunTime(std::uint32_t number) const {
  return std::clamp(states_[number].slowdown, kFastest,
                    kSlowThreshold * std::max(1.0, median_slowdown_));
}

bool Fleet::is_ejected(std::uint32_t number, TimePoint now) const {
  return now < states_[number].ejected_until;
}

bool Fleet::is_slow(std::uint32_t number) const {
  return IsSlow(states_[number]);
}

// The slowdown is compared with the median: if most runs take longer than
// predicted, the prediction is wrong, and some upstreams must remain usable.
bool Fleet::IsSlow(const State& state) const {
  return state.slowdown > kSlowThreshold * std::max(1.0, median_slowdown_);
}

std::uint32_t Fleet::SlotsOf(std::uint32_t number,
                             const Resources& needs,
                             TimePoint now) const {
  const State& state = states_[number];
  if (!IsUsable(state, now) || IsSlow(state)) {
    return 0;
  }
  return std::min(SlotsIn(state.upstream, needs),
                  state.slow_start_limit.value_or(kUnlimited));
}

std::uint32_t Fleet::Slots(const std::string& service,
                           const Resources& needs,
                           TimePoint now) const {
  std::uint32_t slots = 0;
  for (std::uint32_t number = 0; number < states_.size(); ++number) {
    if (states_[number].upstream.service == service) {
      slots += IsBrieflyUnready(number, now)
                   ? SlotsIn(states_[number].upstream, needs)
                   : SlotsOf(number, needs, now);
    }
  }
  return slots;
}

Resources Fleet::TotalCapacity(TimePoint now) const {
  Resources total;
  for (const State& state : states_) {
    if (IsUsable(state, now)) {
      total = Sum(total, state.upstream.capacity);
    }
  }
  return total;
}

Resources Fleet::TotalInUse() const {
  Resources total;
  for (const State& state : states_) {
    total = Sum(total, state.in_use);
  }
  return total;
}

std::optional<TimePoint> Fleet::NextChange(TimePoint now) const {
  std::optional<TimePoint> next;
  for (const State& state : states_) {
    for (const TimePoint time : {state.ejected_until, state.backoff_until}) {
      if (time > now && (!next || time < *next)) {
        next = time;
      }
    }
  }
  return next;
}

}  // namespace jaypick::schedule
