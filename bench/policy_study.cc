// Placement variants against the oracle.
#include "bench/study.h"

namespace jaypick::bench {
namespace {

// Ratio of the p99 of `variant` to that of `oracle`, over all owners.
double ExcessOfP99(const Scenario& scenario,
                   const std::vector<JobPlan>& jobs,
                   const Outcome& variant,
                   const Outcome& oracle) {
  std::vector<double> ours;
  std::vector<double> best;
  const Window window = scenario.MeasuredWindow();
  const Duration delay = scenario.simulation.message_delay;
  for (std::uint32_t owner = 0; owner < scenario.simulation.shares.size();
       ++owner) {
    const auto a = ResponseRatios(variant, jobs, owner, window, delay);
    const auto b = ResponseRatios(oracle, jobs, owner, window, delay);
    ours.insert(ours.end(), a.begin(), a.end());
    best.insert(best.end(), b.begin(), b.end());
  }
  return PercentilesOf(std::move(ours)).p99 /
         PercentilesOf(std::move(best)).p99;
}

void RunOne(const StudyOptions& options,
            std::uint64_t seed,
            double load,
            std::uint32_t job_tasks) {
  Scenario scenario = TodaysScenario(seed, load, job_tasks, options.seconds);
  const std::vector<JobPlan> jobs = MakeWorkload(scenario.workload);
  const Outcome oracle = RunOracleOf(scenario, jobs);
  const nlohmann::json common = {{"study", "policy"},
                                 {"seed", seed},
                                 {"load", load},
                                 {"job_tasks", job_tasks},
                                 {"seconds", options.seconds}};
  nlohmann::json line = common;
  line["variant"] = "oracle";
  line.update(Describe(scenario, jobs, oracle));
  PrintLine(line);
  for (const std::string& name : options.variants) {
    scenario.simulation.dispatcher = {};
    FindVariant(name)->apply(scenario.simulation.dispatcher);
    const Outcome outcome = Simulate(scenario.simulation, jobs);
    line = common;
    line["variant"] = name;
    line.update(Describe(scenario, jobs, outcome));
    line["p99_to_oracle"] = ExcessOfP99(scenario, jobs, outcome, oracle);
    PrintLine(line);
  }
}

}  // namespace

void RunPolicyStudy(const StudyOptions& options) {
  for (const std::uint64_t seed : options.seeds) {
    for (const std::uint32_t job_tasks : options.job_tasks) {
      for (const double load : options.loads) {
        RunOne(options, seed, load, job_tasks);
      }
    }
  }
}

}  // namespace jaypick::bench
