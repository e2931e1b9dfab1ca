#include "jaypick/internal/placement_choice.h"

#include <algorithm>

namespace jaypick::internal {
namespace {

using Candidates = std::span<const PlacementCandidate>;

std::size_t RandomIndex(std::size_t count, std::minstd_rand& engine) {
  return std::uniform_int_distribution<std::size_t>(0, count - 1)(engine);
}

// Index of the candidate with the lowest `score`. Ties are broken at random, so
// that entries with the same information do not all choose the same upstream.
template <typename Score>
std::size_t IndexOfMinimum(Candidates candidates,
                           std::minstd_rand& engine,
                           const Score& score) {
  std::size_t best = 0;
  std::size_t ties = 1;
  double best_score = score(candidates[0]);
  for (std::size_t i = 1; i < candidates.size(); ++i) {
    const double value = score(candidates[i]);
    if (value < best_score) {
      best = i;
      best_score = value;
      ties = 1;
    } else if (value == best_score && RandomIndex(++ties, engine) == 0) {
      best = i;
    }
  }
  return best;
}

double OwnLoad(const PlacementCandidate& candidate) {
  return static_cast<double>(candidate.own_in_flight) / candidate.slots;
}

// Added to the load of upstreams without a free own slot. Greater than any
// load, so that own slots are always preferred.
constexpr double kSharedSlotPenalty = 1e6;

// Tasks by which this entry stays below the busy threshold of an upstream,
// because the tasks of other entries are only estimated.
constexpr double kBusyThresholdMargin = 2;

bool HasOwnSlot(const PlacementCandidate& candidate) {
  return candidate.own_in_flight < candidate.own_slots;
}

// Expected load of the upstream with the task added. Up to 1, the task finds a
// free slot; above 1, the excess is the expected wait in mean run times. Own
// slots are preferred because they are free unless another entry has used them
// for tasks that exceeded its own slots.
double ExpectedLoad(const PlacementCandidate& candidate) {
  const double load =
      (candidate.own_in_flight + candidate.other_tasks + 1) / candidate.slots;
  return HasOwnSlot(candidate) ? load : load + kSharedSlotPenalty;
}

struct Chooser {
  Candidates candidates;
  std::uint32_t last_chosen;
  std::minstd_rand& engine;

  std::size_t operator()(const RandomPlacement& /*policy*/) const {
    return RandomIndex(candidates.size(), engine);
  }
  std::size_t operator()(const RoundRobinPlacement& /*policy*/) const {
    for (std::size_t i = 0; i < candidates.size(); ++i) {
      if (candidates[i].upstream > last_chosen) {
        return i;
      }
    }
    return 0;
  }
  std::size_t operator()(const LeastOutstandingPlacement& /*policy*/) const {
    return IndexOfMinimum(candidates, engine, OwnLoad);
  }
  std::size_t operator()(const TwoChoicesPlacement& /*policy*/) const {
    const std::size_t first = RandomIndex(candidates.size(), engine);
    const std::size_t second = RandomIndex(candidates.size(), engine);
    return OwnLoad(candidates[second]) < OwnLoad(candidates[first]) ? second
                                                                    : first;
  }
  std::size_t operator()(const ReportedLoadPlacement& /*policy*/) const {
    return IndexOfMinimum(candidates, engine, ExpectedLoad);
  }
};

}  // namespace

std::uint32_t Overcommit(const PlacementPolicy& policy) {
  const auto* reported = std::get_if<ReportedLoadPlacement>(&policy);
  return reported == nullptr ? 0 : reported->overcommit;
}

double ReportDecayRunTimes(const PlacementPolicy& policy) {
  const auto* reported = std::get_if<ReportedLoadPlacement>(&policy);
  return reported == nullptr ? 1 : reported->report_decay_run_times;
}

double ExpectedTasksLimit(const PlacementPolicy& policy,
                          std::uint32_t slots,
                          std::size_t waiting) {
  const auto* reported = std::get_if<ReportedLoadPlacement>(&policy);
  if (reported == nullptr) {
    return slots;
  }
  const double margin =
      reported->spill_margin - (static_cast<double>(waiting) - 1);
  return slots + reported->overcommit - std::max(0.0, margin);
}

bool HasRoom(const PlacementPolicy& policy,
             const PlacementCandidate& candidate,
             std::size_t waiting) {
  const auto* reported = std::get_if<ReportedLoadPlacement>(&policy);
  if (reported == nullptr) {
    return true;
  }
  const double expected = candidate.own_in_flight + candidate.other_tasks + 1;
  if (candidate.is_stale) {
    return true;
  }
  if (HasOwnSlot(candidate)) {
    return candidate.busy_threshold == 0 ||
           expected <= candidate.busy_threshold;
  }
  double limit = ExpectedTasksLimit(policy, candidate.slots, waiting);
  if (candidate.busy_threshold > 0) {
    limit = std::min(limit, candidate.busy_threshold - kBusyThresholdMargin);
  }
  return expected <= limit;
}

std::size_t ChooseCandidate(const PlacementPolicy& policy,
                            std::span<const PlacementCandidate> candidates,
                            std::uint32_t last_chosen,
                            std::minstd_rand& engine) {
  return std::visit(Chooser{candidates, last_chosen, engine}, policy);
}

}  // namespace jaypick::internal
