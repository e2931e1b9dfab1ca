// Figures of a run as JSON.
#ifndef BENCH_REPORT_H_
#define BENCH_REPORT_H_

#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "bench/outcome.h"
#include "bench/workload.h"
#include "jaypick/time.h"

namespace jaypick::bench {

// Messages that a caller's job needs at least, one way after the other:
// submission, start, result, answer.
inline constexpr int kUnavoidableMessages = 4;

struct Percentiles {
  double p50 = 0;
  double p95 = 0;
  double p99 = 0;
  double p999 = 0;
};

// Percentiles of `values`; zeros if there are none.
Percentiles PercentilesOf(std::vector<double> values);

// Part of the run whose jobs are counted: the start, while queues fill, is left
// out.
struct Window {
  Duration from{0};
  Duration until{0};
};

// Response ratios of the owner's complete jobs that were sent in `window`.
std::vector<double> ResponseRatios(const Outcome& outcome,
                                   const std::vector<JobPlan>& jobs,
                                   std::uint32_t owner,
                                   Window window,
                                   Duration message_delay);

// Tasks of jobs that were sent in `window` and completed, per second.
double Goodput(const Outcome& outcome,
               const std::vector<JobPlan>& jobs,
               Window window);

// Wasted messages per task start: two for each repeated start (request and
// answer; a refused start is always repeated or given up) and each exchange.
double WastedPerStart(const Outcome& outcome);

nlohmann::json ToJson(const Percentiles& percentiles);

// Jobs in `window` by how they ended.
nlohmann::json EndsOf(const Outcome& outcome,
                      const std::vector<JobPlan>& jobs,
                      Window window);

// Prints `line` as one JSON object.
void PrintLine(const nlohmann::json& line);

}  // namespace jaypick::bench

#endif  // BENCH_REPORT_H_
