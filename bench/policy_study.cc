// Policy study: compares placement variants with the oracle.
#include "bench/study.h"

namespace jaypick::bench {
namespace {

// p99 response ratio of `variant`, divided by that of `oracle`, over all
// owners.
double P99RatioToOracle(const Scenario& scenario,
                        const std::vector<JobPlan>& jobs,
                        const Outcome& variant,
                        const Outcome& oracle) {
  std::vector<double> variant_ratios;
  std::vector<double> oracle_ratios;
  const MeasurementWindow window = scenario.MeasuredWindow();
  const Duration delay = scenario.simulation.message_delay;
  for (std::uint32_t owner = 0; owner < scenario.simulation.shares.size();
       ++owner) {
    const auto of_variant = ResponseRatios(variant, jobs, owner, window, delay);
    const auto of_oracle = ResponseRatios(oracle, jobs, owner, window, delay);
    variant_ratios.insert(variant_ratios.end(), of_variant.begin(),
                          of_variant.end());
    oracle_ratios.insert(oracle_ratios.end(), of_oracle.begin(),
                         of_oracle.end());
  }
  return PercentilesOf(std::move(variant_ratios)).p99 /
         PercentilesOf(std::move(oracle_ratios)).p99;
}

void RunOne(const StudyOptions& options,
            std::uint64_t seed,
            double load,
            std::uint32_t job_tasks) {
  Scenario scenario = ReferenceScenario(seed, load, job_tasks, options.seconds);
  const std::vector<JobPlan> jobs = MakeWorkload(scenario.workload);
  const Outcome oracle = RunOracleFor(scenario, jobs);
  const nlohmann::json common = {{"study", "policy"},
                                 {"seed", seed},
                                 {"load", load},
                                 {"job_tasks", job_tasks},
                                 {"seconds", options.seconds}};
  nlohmann::json line = common;
  line["variant"] = "oracle";
  line.update(SummarizeRun(scenario, jobs, oracle));
  PrintLine(line);
  for (const std::string& name : options.variants) {
    scenario.simulation.dispatcher = {};
    FindVariant(name)->apply(scenario.simulation.dispatcher);
    const Outcome outcome = Simulate(scenario.simulation, jobs);
    line = common;
    line["variant"] = name;
    line.update(SummarizeRun(scenario, jobs, outcome));
    line["p99_to_oracle"] = P99RatioToOracle(scenario, jobs, outcome, oracle);
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
