#include "bench/workload.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace jaypick::bench {
namespace {

constexpr double kStragglerFactor = 10;

double LogUniformMean(Duration low, Duration high) {
  const auto a = static_cast<double>(low.count());
  const auto b = static_cast<double>(high.count());
  return (b - a) / std::log(b / a);
}

Duration DrawLogUniform(Duration low, Duration high, std::mt19937_64& engine) {
  std::uniform_real_distribution<double> exponent(
      std::log(static_cast<double>(low.count())),
      std::log(static_cast<double>(high.count())));
  return Duration(static_cast<std::int64_t>(std::exp(exponent(engine))));
}

Duration DrawRunTime(const RunTimeDistribution& shape,
                     std::mt19937_64& engine) {
  const bool is_tail = std::bernoulli_distribution(shape.tail_fraction)(engine);
  const Duration time =
      is_tail ? DrawLogUniform(shape.tail_start, shape.longest, engine)
              : DrawLogUniform(shape.shortest, shape.tail_start, engine);
  const bool is_straggler =
      std::bernoulli_distribution(shape.straggler_fraction)(engine);
  return is_straggler ? time * static_cast<int>(kStragglerFactor) : time;
}

// Appends the jobs of one owner. Each owner has its own random number
// generator, so that a burst of one owner does not change the arrivals of the
// others.
void AddOwner(const WorkloadOptions& options,
              std::uint32_t owner,
              std::vector<JobPlan>& jobs) {
  std::mt19937_64 engine(options.seed * 1000 + owner);
  const double task_rate =
      options.load * options.slots /
      static_cast<double>(options.run_times.Mean().count());
  const double rate =
      task_rate * options.owner_fractions[owner] / options.job_tasks;
  double time = 0;
  while (true) {
    const Duration now(static_cast<std::int64_t>(time));
    const bool in_burst = options.burst && options.burst->owner == owner &&
                          now >= options.burst->from &&
                          now < options.burst->until;
    const double factor = in_burst ? options.burst->factor : 1;
    time += std::exponential_distribution<double>(rate * factor)(engine);
    JobPlan job{.sent = Duration(static_cast<std::int64_t>(time)),
                .owner = owner};
    if (job.sent >= options.length) {
      return;
    }
    job.entry = std::uniform_int_distribution<std::uint32_t>(
        0, options.entries - 1)(engine);
    job.is_idempotent =
        std::bernoulli_distribution(options.idempotent_fraction)(engine);
    if (std::bernoulli_distribution(options.cancelled_fraction)(engine)) {
      job.cancel_after = Duration(std::uniform_int_distribution<std::int64_t>(
          0, options.cancel_within.count())(engine));
    }
    for (std::uint32_t i = 0; i < options.job_tasks; ++i) {
      job.run_times.push_back(DrawRunTime(options.run_times, engine));
    }
    jobs.push_back(std::move(job));
  }
}

}  // namespace

Duration RunTimeDistribution::Mean() const {
  const double mean =
      (1 - tail_fraction) * LogUniformMean(shortest, tail_start) +
      tail_fraction * LogUniformMean(tail_start, longest);
  return Duration(static_cast<std::int64_t>(
      mean * (1 + straggler_fraction * (kStragglerFactor - 1))));
}

Duration JobPlan::LongestRunTime() const {
  return *std::max_element(run_times.begin(), run_times.end());
}

std::vector<JobPlan> MakeWorkload(const WorkloadOptions& options) {
  std::vector<JobPlan> jobs;
  for (std::uint32_t owner = 0; owner < options.owner_fractions.size();
       ++owner) {
    AddOwner(options, owner, jobs);
  }
  std::stable_sort(
      jobs.begin(), jobs.end(),
      [](const JobPlan& a, const JobPlan& b) { return a.sent < b.sent; });
  return jobs;
}

}  // namespace jaypick::bench
