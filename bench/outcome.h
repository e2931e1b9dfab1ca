// Measurements of one simulation run.
#ifndef BENCH_OUTCOME_H_
#define BENCH_OUTCOME_H_

#include <cstdint>
#include <vector>

#include "jaypick/time.h"

namespace jaypick::bench {

enum class JobEnd { kOpen, kComplete, kRefused, kFailed, kCancelled };

// Result of one job.
struct JobResult {
  JobEnd end = JobEnd::kOpen;
  // Time from the submission by the caller to the arrival of the answer at the
  // caller.
  Duration response_time{0};
};

struct Outcome {
  // In the order of the workload.
  std::vector<JobResult> jobs;
  std::uint64_t first_starts = 0;
  // Starts of a task after its first one.
  std::uint64_t repeated_starts = 0;
  std::uint64_t refused_starts = 0;
  // Exchanges between peers.
  std::uint64_t exchanges = 0;
  // Connections opened to upstreams.
  std::uint64_t connections = 0;
  // Tasks that were queued at an upstream, and their total waiting time.
  std::uint64_t waited_at_upstream = 0;
  Duration upstream_wait{0};
  // Violated invariants that the dispatchers reported.
  std::uint64_t violations = 0;
  // Wall-clock time spent in `Dispatcher::Handle`, and number of calls.
  double handle_seconds = 0;
  std::uint64_t handle_calls = 0;
};

}  // namespace jaypick::bench

#endif  // BENCH_OUTCOME_H_
