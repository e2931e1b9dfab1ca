// Generates the arrivals and run times of a simulation. All variants run the
// same workload.
#ifndef BENCH_WORKLOAD_H_
#define BENCH_WORKLOAD_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "jaypick/time.h"

namespace jaypick::bench {

// Distribution of task run times: log-uniform from `shortest` to `tail_start`,
// and with probability `tail_fraction` log-uniform from `tail_start` to
// `longest`.
struct RunTimeDistribution {
  Duration shortest = std::chrono::milliseconds(50);
  Duration tail_start = std::chrono::seconds(1);
  Duration longest = std::chrono::seconds(5);
  double tail_fraction = 0.03;
  // Fraction of the tasks that take ten times as long, used by the case
  // "stragglers".
  double straggler_fraction = 0;

  // Expected run time.
  Duration Mean() const;
};

// A period during which the arrival rate of one owner is multiplied by
// `factor`.
struct Burst {
  std::uint32_t owner = 0;
  double factor = 1;
  Duration from{0};
  Duration until{0};
};

struct WorkloadOptions {
  std::uint64_t seed = 1;
  Duration length = std::chrono::seconds(60);
  // Offered load as a fraction of the capacity of `slots`.
  double load = 0.85;
  std::uint32_t slots = 136;
  std::uint32_t entries = 2;
  std::uint32_t job_tasks = 1;
  // Fraction of the offered load that each owner sends; the sum is 1.
  std::vector<double> owner_fractions = {0.6, 0.4};
  RunTimeDistribution run_times;
  // Fraction of the jobs that are idempotent.
  double idempotent_fraction = 0.7;
  // Fraction of the jobs that the caller cancels, each at a uniformly
  // distributed time within `cancel_within` of the submission.
  double cancelled_fraction = 0;
  Duration cancel_within = std::chrono::seconds(1);
  std::optional<Burst> burst;
};

struct JobPlan {
  // Time at which the caller sends the job.
  Duration sent{0};
  std::uint32_t owner = 0;
  std::uint32_t entry = 0;
  bool is_idempotent = false;
  // Time from `sent` to the cancellation by the caller; empty if the job is not
  // cancelled.
  std::optional<Duration> cancel_after;
  std::vector<Duration> run_times;

  // Run time of the longest task.
  Duration LongestRunTime() const;
};

// Generates open-loop Poisson arrivals, ordered by time.
std::vector<JobPlan> MakeWorkload(const WorkloadOptions& options);

}  // namespace jaypick::bench

#endif  // BENCH_WORKLOAD_H_
