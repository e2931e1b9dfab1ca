// What a simulation run measured.
#ifndef BENCH_OUTCOME_H_
#define BENCH_OUTCOME_H_

#include <cstdint>
#include <vector>

#include "jaypick/time.h"

namespace jaypick::bench {

enum class JobEnd { kOpen, kComplete, kRefused, kFailed, kCancelled };

// One job, in the order of the workload.
struct JobResult {
  JobEnd end = JobEnd::kOpen;
  // Time from the caller's submission to the answer's arrival at the caller.
  Duration response{0};
};

struct Outcome {
  std::vector<JobResult> jobs;
  std::uint64_t first_starts = 0;
  // Starts beyond the first of a task.
  std::uint64_t repeated_starts = 0;
  std::uint64_t refused_starts = 0;
  std::uint64_t exchanges = 0;
  // Connections opened to upstreams.
  std::uint64_t connections = 0;
  // Tasks that waited at an upstream, and their waiting time.
  std::uint64_t waited_at_upstream = 0;
  Duration upstream_wait{0};
  std::uint64_t violations = 0;
  // Processor time of the dispatchers, and calls of `Handle`.
  double handle_seconds = 0;
  std::uint64_t handle_calls = 0;
};

}  // namespace jaypick::bench

#endif  // BENCH_OUTCOME_H_
