// Placement policies and their options.
#ifndef JAYPICK_PLACEMENT_H_
#define JAYPICK_PLACEMENT_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>

#include "jaypick/time.h"

namespace jaypick {

// A random upstream among those with capacity, with equal probability.
struct RandomPlacement {};

// Upstreams with capacity in turn.
struct RoundRobinPlacement {};

// The upstream with the fewest in-flight attempts of this entry.
struct LeastOutstandingPlacement {};

// Of two random upstreams, the one with fewer in-flight attempts of this entry.
struct TwoChoicesPlacement {};

// The upstream with the lowest expected wait, based on the in-flight attempts
// of this entry and the load that upstreams report in their responses.
struct ReportedLoadPlacement {
  // Maximum number of expected tasks at an upstream in addition to its slots.
  std::uint32_t overcommit = 1;
  // Reduction of that limit at upstreams where this entry has no free own slot,
  // while a single task waits. The reduction decreases by one with each further
  // waiting task. With a short queue, an own slot becomes free sooner than a
  // slot that another entry may have taken.
  double spill_margin = 2;
  // Time, in mean run times, after which a report has lost most of its weight.
  double report_decay_run_times = 5;
};

using PlacementPolicy = std::variant<RandomPlacement,
                                     RoundRobinPlacement,
                                     LeastOutstandingPlacement,
                                     TwoChoicesPlacement,
                                     ReportedLoadPlacement>;

// Returns the policy with the given name ("random", "round_robin",
// "least_outstanding", "two_choices" or "reported_load"), or nothing.
std::optional<PlacementPolicy> ParsePlacementPolicy(std::string_view name);

// The name of `policy`.
std::string_view ToString(const PlacementPolicy& policy);

// Conditions for ejecting an upstream and for its readmission.
struct EjectionOptions {
  // Number of consecutive failures that eject an upstream.
  std::uint32_t consecutive_failures = 5;
  // Fraction of failures among the recent attempts that ejects an upstream,
  // once there were at least `failure_rate_attempts`.
  double failure_rate = 0.5;
  std::uint32_t failure_rate_attempts = 20;
  // Time for which an ejected upstream gets no task before it is probed;
  // doubled after each failed probe up to the longest.
  Duration first_back_off = std::chrono::seconds(1);
  Duration longest_back_off = std::chrono::seconds(30);
  // Time after readmission in which the in-flight limit rises to its full
  // value.
  Duration slow_start = std::chrono::seconds(5);
  // Maximum fraction of a service's upstreams that may be ejected at the same
  // time.
  double max_ejected_fraction = 0.5;
};

struct PlacementOptions {
  PlacementPolicy policy = ReportedLoadPlacement{};
  // Maximum number of open connections to one upstream from all entries of the
  // failure domain.
  std::uint32_t connections_per_upstream = 60;
  EjectionOptions ejection;
};

}  // namespace jaypick

#endif  // JAYPICK_PLACEMENT_H_
