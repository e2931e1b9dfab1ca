#include "jaypick/internal/placement_choice.h"

#include <algorithm>

namespace jaypick::internal {
namespace {

using Candidates = std::span<const PlacementCandidate>;

std::size_t Draw(std::size_t count, std::minstd_rand& engine) {
  return std::uniform_int_distribution<std::size_t>(0, count - 1)(engine);
}

// Index of the least `score`; ties are broken at random, so that entries with
// the same view do not all choose the same upstream.
template <typename Score>
std::size_t Least(Candidates candidates,
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
    } else if (value == best_score && Draw(++ties, engine) == 0) {
      best = i;
    }
  }
  return best;
}

double OwnLoad(const PlacementCandidate& candidate) {
  return static_cast<double>(candidate.own_in_flight) / candidate.slots;
}

// More than any load, so that own slots always go first.
constexpr double kSharedSlotLoad = 1e6;

// Places that stay free at an upstream that refuses starts: the tasks of other
// entries are only estimated.
constexpr double kRefusalMargin = 2;

bool HasOwnSlot(const PlacementCandidate& candidate) {
  return candidate.own_in_flight < candidate.own_slots;
}

// Up to 1 the task finds a free slot; the part above 1 is the expected wait in
// mean run times. An own slot is free for certain unless another entry spilled
// into it, so own slots go first.
double ExpectedLoad(const PlacementCandidate& candidate) {
  const double load =
      (candidate.own_in_flight + candidate.other_tasks + 1) / candidate.slots;
  return HasOwnSlot(candidate) ? load : load + kSharedSlotLoad;
}

struct Chooser {
  Candidates candidates;
  std::uint32_t turn;
  std::minstd_rand& engine;

  std::size_t operator()(const RandomPlacement& /*policy*/) const {
    return Draw(candidates.size(), engine);
  }
  std::size_t operator()(const RoundRobinPlacement& /*policy*/) const {
    for (std::size_t i = 0; i < candidates.size(); ++i) {
      if (candidates[i].upstream > turn) {
        return i;
      }
    }
    return 0;
  }
  std::size_t operator()(const LeastOutstandingPlacement& /*policy*/) const {
    return Least(candidates, engine, OwnLoad);
  }
  std::size_t operator()(const TwoChoicesPlacement& /*policy*/) const {
    const std::size_t first = Draw(candidates.size(), engine);
    const std::size_t second = Draw(candidates.size(), engine);
    return OwnLoad(candidates[second]) < OwnLoad(candidates[first]) ? second
                                                                    : first;
  }
  std::size_t operator()(const ReportedLoadPlacement& /*policy*/) const {
    return Least(candidates, engine, ExpectedLoad);
  }
};

}  // namespace

std::uint32_t Overcommit(const PlacementPolicy& policy) {
  const auto* reported = std::get_if<ReportedLoadPlacement>(&policy);
  return reported == nullptr ? 0 : reported->overcommit;
}

double ReportDecayRunTimes(const PlacementPolicy& policy) {
  const auto* reported = std::get_if<ReportedLoadPlacement>(&policy);
  return reported == nullptr ? 1 : reported->ageing_run_times;
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
    limit = std::min(limit, candidate.busy_threshold - kRefusalMargin);
  }
  return expected <= limit;
}

std::size_t ChooseCandidate(const PlacementPolicy& policy,
                            std::span<const PlacementCandidate> candidates,
                            std::uint32_t turn,
                            std::minstd_rand& engine) {
  return std::visit(Chooser{candidates, turn, engine}, policy);
}

}  // namespace jaypick::internal
