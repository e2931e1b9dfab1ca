// Arrivals and run times of a simulation, the same for every variant.
#ifndef BENCH_WORKLOAD_H_
#define BENCH_WORKLOAD_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "jaypick/time.h"

namespace jaypick::bench {

// Run times: log-uniform from 50 ms to 1 s, and a tail up to 5 s.
struct RunTimeShape {
  Duration shortest = std::chrono::milliseconds(50);
  Duration usual = std::chrono::seconds(1);
  Duration longest = std::chrono::seconds(5);
  double tail = 0.03;
  // Part of the tasks that take ten times as long, for the stragglers case.
  double stragglers = 0;

  // Expected run time.
  Duration Mean() const;
};

// A time during which one owner's arrivals are multiplied.
struct Burst {
  std::uint32_t owner = 0;
  double factor = 1;
  Duration from{0};
  Duration until{0};
};

struct WorkloadOptions {
  std::uint64_t seed = 1;
  Duration length = std::chrono::seconds(60);
  // Offered load as part of the capacity of `slots`.
  double load = 0.85;
  std::uint32_t slots = 136;
  std::uint32_t entries = 2;
  std::uint32_t job_tasks = 1;
  // Part of the arrivals of each owner; the sum is 1.
  std::vector<double> owner_parts = {0.6, 0.4};
  RunTimeShape run_times;
  // Part of the jobs that are idempotent.
  double idempotent = 0.7;
  // Part of the jobs that are cancelled within `cancel_within` of arrival.
  double cancelled = 0;
  Duration cancel_within = std::chrono::seconds(1);
  std::optional<Burst> burst;
};

struct JobPlan {
  // Time at which the caller sends the job.
  Duration sent{0};
  std::uint32_t owner = 0;
  std::uint32_t entry = 0;
  bool is_idempotent = false;
  // Time from `sent` to the caller's cancellation.
  std::optional<Duration> cancel_after;
  std::vector<Duration> run_times;

  Duration Longest() const;
};

// Open-loop Poisson arrivals in order of time.
std::vector<JobPlan> MakeWorkload(const WorkloadOptions& options);

}  // namespace jaypick::bench

#endif  // BENCH_WORKLOAD_H_
