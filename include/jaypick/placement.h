// Placement policies and their options.
#ifndef JAYPICK_PLACEMENT_H_
#define JAYPICK_PLACEMENT_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>

#include "jaypick/time.h"

namespace jaypick {

// Any upstream with room, with equal probability.
struct RandomPlacement {};

// Upstreams with room in turn.
struct RoundRobinPlacement {};

// The upstream with the fewest in-flight attempts of this entry.
struct LeastOutstandingPlacement {};

// The better of two upstreams chosen at random, by own in-flight attempts.
struct TwoChoicesPlacement {};

// The upstream with the lowest expected wait, from own in-flight attempts and
// the load that upstreams report with their answers.
struct ReportedLoadPlacement {
  // Expected tasks at an upstream beyond its slots.
  std::uint32_t overcommit = 1;
  // Tasks by which that limit is lower while a single task waits; each further
  // waiting task lowers it by one. With a short queue, the next own slot is
  // free sooner than a slot that another entry may have taken.
  double spill_margin = 2;
  // Mean run times after which a report has lost most of its weight.
  double ageing_run_times = 5;
};

using PlacementPolicy = std::variant<RandomPlacement,
                                     RoundRobinPlacement,
                                     LeastOutstandingPlacement,
                                     TwoChoicesPlacement,
                                     ReportedLoadPlacement>;

// The policy called `name` ("random", "round_robin", "least_outstanding",
// "two_choices", "reported_load"), or nothing.
std::optional<PlacementPolicy> ParsePlacementPolicy(std::string_view name);

// The name of `policy`.
std::string_view ToString(const PlacementPolicy& policy);

// When an upstream is ejected and how it comes back.
struct EjectionOptions {
  // Failures in a row that eject.
  std::uint32_t consecutive_failures = 5;
  // Part of the recent attempts that failed, over at least so many attempts.
  double failure_rate = 0.5;
  std::uint32_t failure_rate_attempts = 20;
  Duration first_back_off = std::chrono::seconds(1);
  Duration longest_back_off = std::chrono::seconds(30);
  // Time over which a returned upstream regains its slots.
  Duration slow_start = std::chrono::seconds(5);
  // Largest part of a service's upstreams that may be ejected at once.
  double max_ejected_fraction = 0.5;
};

struct PlacementOptions {
  PlacementPolicy policy = ReportedLoadPlacement{};
  // Connections that all entries of the failure domain together may hold open
  // to one upstream.
  std::uint32_t connections_per_upstream = 60;
  EjectionOptions ejection;
};

}  // namespace jaypick

#endif  // JAYPICK_PLACEMENT_H_
