// Choice among upstreams with capacity.
#ifndef JAYPICK_INTERNAL_PLACEMENT_CHOICE_H_
#define JAYPICK_INTERNAL_PLACEMENT_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <random>
#include <span>

#include "jaypick/internal/upstream_state.h"
#include "jaypick/placement.h"

namespace jaypick::internal {

// An upstream that is not ejected and is below its in-flight limit.
struct PlacementCandidate {
  UpstreamNumber upstream = 0;
  std::uint32_t slots = 0;
  // In-flight attempts of this entry.
  std::uint32_t own_in_flight = 0;
  // Estimated number of tasks of other entries at the upstream.
  double other_tasks = 0;
  // Slots assigned to this entry; see `UpstreamPool::AssignOwnSlots`.
  std::uint32_t own_slots = 0;
  // Number of tasks at which the upstream refused a start as busy; 0 if it
  // never did.
  std::uint32_t busy_threshold = 0;
  // True if the last load report is old and no attempt is in flight that could
  // return a new one. The upstream may then get one task regardless of the
  // estimate.
  bool is_stale = false;
};

// Number of tasks beyond the slots of an upstream that `policy` allows.
std::uint32_t Overcommit(const PlacementPolicy& policy);

// Time, in mean run times, after which a load report has lost most of its
// weight.
double ReportDecayRunTimes(const PlacementPolicy& policy);

// Maximum estimated number of tasks at an upstream, unless the entry has a free
// own slot there. `waiting` is the number of tasks that wait to be placed.
double ExpectedTasksLimit(const PlacementPolicy& policy,
                          std::uint32_t slots,
                          std::size_t waiting);

// True if `policy` allows one more task at `candidate`.
bool HasRoom(const PlacementPolicy& policy,
             const PlacementCandidate& candidate,
             std::size_t waiting);

// Chooses one of `candidates`, which must not be empty, and returns its index.
//
// `last_chosen` is the number of the upstream that was chosen last, for
// round-robin.
std::size_t ChooseCandidate(const PlacementPolicy& policy,
                            std::span<const PlacementCandidate> candidates,
                            std::uint32_t last_chosen,
                            std::minstd_rand& engine);

}  // namespace jaypick::internal

#endif  // JAYPICK_INTERNAL_PLACEMENT_CHOICE_H_
