// Oracle: an ideal dispatcher with a single queue and full knowledge of all
// slots, as the lower bound that the variants are compared with.
#ifndef BENCH_ORACLE_H_
#define BENCH_ORACLE_H_

#include <cstdint>
#include <vector>

#include "bench/outcome.h"
#include "bench/workload.h"
#include "jaypick/time.h"

namespace jaypick::bench {

struct OracleOptions {
  std::uint32_t slots = 136;
  // Slots that run tasks `slow_factor` times as long; they are used last.
  std::uint32_t slow_slots = 0;
  double slow_factor = 1;
  Duration message_delay = std::chrono::microseconds(500);
  Duration timeout = std::chrono::seconds(20);
  // Weights of the owners, in percent.
  std::vector<std::uint32_t> shares = {60, 40};
};

// Runs `jobs` through one fair queue that assigns the next task at the instant
// at which a slot becomes free. Message delays are the same as in `Simulate`.
Outcome RunOracle(const OracleOptions& options,
                  const std::vector<JobPlan>& jobs);

}  // namespace jaypick::bench

#endif  // BENCH_ORACLE_H_
