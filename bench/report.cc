#include "bench/report.h"

#include <algorithm>
#include <cmath>
#include <iostream>

namespace jaypick::bench {
namespace {

// Rounds to four decimals; further digits are noise.
double Rounded(double value) {
  return std::round(value * 10'000) / 10'000;
}

bool IsSentIn(const JobPlan& job, MeasurementWindow window) {
  return job.sent >= window.from && job.sent < window.until;
}

}  // namespace

Percentiles PercentilesOf(std::vector<double> values) {
  if (values.empty()) {
    return {};
  }
  std::sort(values.begin(), values.end());
  const auto at = [&values](double fraction) {
    const auto last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(std::lround(fraction * last))];
  };
  return {.p50 = at(0.5), .p95 = at(0.95), .p99 = at(0.99), .p999 = at(0.999)};
}

std::vector<double> ResponseRatios(const Outcome& outcome,
                                   const std::vector<JobPlan>& jobs,
                                   std::uint32_t owner,
                                   MeasurementWindow window,
                                   Duration message_delay) {
  std::vector<double> ratios;
  for (std::size_t i = 0; i < jobs.size(); ++i) {
    const JobResult& result = outcome.jobs[i];
    if (jobs[i].owner != owner || !IsSentIn(jobs[i], window) ||
        result.end != JobEnd::kComplete) {
      continue;
    }
    const Duration min_response_time =
        jobs[i].LongestRunTime() + message_delay * kUnavoidableMessages;
    ratios.push_back(static_cast<double>(result.response_time.count()) /
                     static_cast<double>(min_response_time.count()));
  }
  return ratios;
}

double Goodput(const Outcome& outcome,
               const std::vector<JobPlan>& jobs,
               MeasurementWindow window) {
  std::size_t tasks = 0;
  for (std::size_t i = 0; i < jobs.size(); ++i) {
    const bool counts =
        IsSentIn(jobs[i], window) && outcome.jobs[i].end == JobEnd::kComplete;
    tasks += counts ? jobs[i].run_times.size() : 0;
  }
  const std::chrono::duration<double> length = window.until - window.from;
  return static_cast<double>(tasks) / length.count();
}

double WastedMessagesPerStart(const Outcome& outcome) {
  if (outcome.first_starts == 0) {
    return 0;
  }
  return 2 * static_cast<double>(outcome.repeated_starts + outcome.exchanges) /
         static_cast<double>(outcome.first_starts);
}

nlohmann::json ToJson(const Percentiles& percentiles) {
  return {{"p50", Rounded(percentiles.p50)},
          {"p95", Rounded(percentiles.p95)},
          {"p99", Rounded(percentiles.p99)},
          {"p99.9", Rounded(percentiles.p999)}};
}

nlohmann::json CountJobEnds(const Outcome& outcome,
                            const std::vector<JobPlan>& jobs,
                            MeasurementWindow window) {
  std::array<std::uint64_t, 5> counts{};
  for (std::size_t i = 0; i < jobs.size(); ++i) {
    if (IsSentIn(jobs[i], window)) {
      ++counts.at(static_cast<std::size_t>(outcome.jobs[i].end));
    }
  }
  return {{"open", counts[0]},
          {"complete", counts[1]},
          {"refused", counts[2]},
          {"failed", counts[3]},
          {"cancelled", counts[4]}};
}

void PrintLine(const nlohmann::json& line) {
  std::cout << line.dump() << std::endl;
}

}  // namespace jaypick::bench
