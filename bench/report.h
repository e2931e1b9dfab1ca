// Computes the metrics of a simulation run and prints them as JSON.
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

// Minimum number of sequential messages for a job: submission, start of a task,
// result of the task, answer to the caller.
inline constexpr int kUnavoidableMessages = 4;

struct Percentiles {
  double p50 = 0;
  double p95 = 0;
  double p99 = 0;
  double p999 = 0;
};

// Returns zeros if `values` is empty.
Percentiles PercentilesOf(std::vector<double> values);

// Part of a run whose jobs are measured. It excludes the warm-up, during which
// the queues fill.
struct MeasurementWindow {
  Duration from{0};
  Duration until{0};
};

// Response ratios of the owner's completed jobs that were sent in `window`: the
// response time divided by the minimum possible one, which is the run time of
// the job's longest task plus `kUnavoidableMessages` message delays.
std::vector<double> ResponseRatios(const Outcome& outcome,
                                   const std::vector<JobPlan>& jobs,
                                   std::uint32_t owner,
                                   MeasurementWindow window,
                                   Duration message_delay);

// Tasks per second, counting the completed jobs that were sent in `window`.
double Goodput(const Outcome& outcome,
               const std::vector<JobPlan>& jobs,
               MeasurementWindow window);

// Wasted messages per first start of a task. Each repeated start and each
// exchange between peers counts as two messages, request and answer. Refused
// starts are not counted on their own, because each is followed by a repeated
// start or the task is given up.
double WastedMessagesPerStart(const Outcome& outcome);

nlohmann::json ToJson(const Percentiles& percentiles);

// Number of jobs sent in `window`, by the way in which they ended.
nlohmann::json CountJobEnds(const Outcome& outcome,
                            const std::vector<JobPlan>& jobs,
                            MeasurementWindow window);

// Prints `line` as a single-line JSON object.
void PrintLine(const nlohmann::json& line);

}  // namespace jaypick::bench

#endif  // BENCH_REPORT_H_
