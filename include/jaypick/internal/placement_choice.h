// Choice among upstreams that have room.
#ifndef JAYPICK_INTERNAL_PLACEMENT_CHOICE_H_
#define JAYPICK_INTERNAL_PLACEMENT_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <random>
#include <span>

#include "jaypick/internal/upstream_state.h"
#include "jaypick/placement.h"

namespace jaypick::internal {

// An upstream that is healthy and below its in-flight limit.
struct PlacementCandidate {
  UpstreamNumber upstream = 0;
  std::uint32_t slots = 0;
  // In-flight attempts of this entry.
  std::uint32_t own_in_flight = 0;
  // Expected tasks of the other entries.
  double other_tasks = 0;
  // The part of the slots that this entry need not share.
  std::uint32_t own_slots = 0;
  // Tasks at which the upstream refused a start as busy; 0 if it never did.
  std::uint32_t busy_threshold = 0;
  // No report for so long that one task may find out.
  bool is_stale = false;
};

// Tasks that this entry may have at an upstream beyond its slots.
std::uint32_t Overcommit(const PlacementPolicy& policy);

// Mean run times after which a report has lost most of its weight.
double ReportDecayRunTimes(const PlacementPolicy& policy);

// Expected tasks that an upstream may have, except in own slots, while
// `waiting` tasks wait for a place.
double ExpectedTasksLimit(const PlacementPolicy& policy,
                          std::uint32_t slots,
                          std::size_t waiting);

// True if the policy lets `candidate` take one more task.
bool HasRoom(const PlacementPolicy& policy,
             const PlacementCandidate& candidate,
             std::size_t waiting);

// Index of the chosen one of `candidates`, which is not empty.
//
// `turn` is the number of the upstream that was chosen last, for policies that
// take turns.
std::size_t ChooseCandidate(const PlacementPolicy& policy,
                            std::span<const PlacementCandidate> candidates,
                            std::uint32_t turn,
                            std::minstd_rand& engine);

}  // namespace jaypick::internal

#endif  // JAYPICK_INTERNAL_PLACEMENT_CHOICE_H_
