// Faults, bursts and overload against the same run without them.
#include <algorithm>

#include "bench/study.h"

namespace jaypick::bench {
namespace {

constexpr double kUsualLoad = 0.8;

// One case: a scenario, changed.
struct Case {
  std::string name;
  double load = kUsualLoad;
  void (*change)(Scenario&) = nullptr;
};

void DeclareTenTimes(Scenario& scenario) {
  scenario.simulation.declared_run_time *= 10;
}

void DeclareTenth(Scenario& scenario) {
  scenario.simulation.declared_run_time /= 10;
}

void AddStragglers(Scenario& scenario) {
  // 1% of the tasks take ten times as long; the load counts them.
  scenario.workload.run_times.stragglers = 0.01;
  scenario.simulation.timeout = std::chrono::seconds(60);
}

void SlowTenth(Scenario& scenario) {
  scenario.simulation.slow_upstreams = 2;
  scenario.simulation.slow_factor = 4;
}

void AddFault(Scenario& scenario, UpstreamFault fault) {
  const Duration length = scenario.workload.length;
  scenario.simulation.fault = FaultPlan{.fault = fault,
                                        .count = 1,
                                        .from = length * 3 / 10,
                                        .until = length * 7 / 10};
}

void FailEverything(Scenario& scenario) {
  AddFault(scenario, UpstreamFault::kFailsEverything);
}

void Unreachable(Scenario& scenario) {
  AddFault(scenario, UpstreamFault::kUnreachable);
}

// The second owner sends ten times his usual load for a third of the run.
void AddBurst(Scenario& scenario) {
  const Duration length = scenario.workload.length;
  scenario.workload.burst = Burst{
      .owner = 1, .factor = 10, .from = length / 3, .until = length * 2 / 3};
}

void CancelHalf(Scenario& scenario) {
  scenario.workload.cancelled = 0.5;
  DeclareTenTimes(scenario);
}

void SmallBacklog(Scenario& scenario) {
  scenario.simulation.upstream.backlog_limit = 0;
}

const std::vector<Case>& AllCases() {
  static const std::vector<Case> cases = {
      {.name = "none", .change = [](Scenario&) {}},
      {.name = "declared_times_ten", .change = DeclareTenTimes},
      {.name = "declared_tenth", .change = DeclareTenth},
      {.name = "stragglers", .change = AddStragglers},
      {.name = "slow_tenth", .change = SlowTenth},
      {.name = "one_fails_everything", .change = FailEverything},
      {.name = "one_unreachable", .change = Unreachable},
      {.name = "no_upstream_backlog", .change = SmallBacklog},
      {.name = "burst_60", .load = 0.6, .change = AddBurst},
      {.name = "none_60", .load = 0.6, .change = [](Scenario&) {}},
      {.name = "overload_100", .load = 1.0, .change = CancelHalf},
      {.name = "overload_150", .load = 1.5, .change = CancelHalf},
      {.name = "overload_200", .load = 2.0, .change = CancelHalf},
      {.name = "overload_300", .load = 3.0, .change = CancelHalf},
  };
  return cases;
}

bool IsSelected(const StudyOptions& options, const std::string& name) {
  return options.cases.empty() ||
         std::find(options.cases.begin(), options.cases.end(), name) !=
             options.cases.end();
}

void RunOne(const StudyOptions& options,
            const Case& selected,
            std::uint64_t seed,
            std::uint32_t job_tasks) {
  Scenario scenario =
      TodaysScenario(seed, selected.load, job_tasks, options.seconds);
  selected.change(scenario);
  const std::vector<JobPlan> jobs = MakeWorkload(scenario.workload);
  nlohmann::json best = {{"study", "cases"},          {"case", selected.name},
                         {"variant", "oracle"},       {"seed", seed},
                         {"load", selected.load},     {"job_tasks", job_tasks},
                         {"seconds", options.seconds}};
  best.update(Describe(scenario, jobs, RunOracleOf(scenario, jobs)));
  PrintLine(best);
  const std::vector<std::string> variants =
      options.variants.empty() ? std::vector<std::string>{"default"}
                               : options.variants;
  for (const std::string& name : variants) {
    scenario.simulation.dispatcher = {};
    FindVariant(name)->apply(scenario.simulation.dispatcher);
    nlohmann::json line = {
        {"study", "cases"},          {"case", selected.name},
        {"variant", name},           {"seed", seed},
        {"load", selected.load},     {"job_tasks", job_tasks},
        {"seconds", options.seconds}};
    line.update(Describe(scenario, jobs, Simulate(scenario.simulation, jobs)));
    PrintLine(line);
  }
}

}  // namespace

void RunCaseStudy(const StudyOptions& options) {
  for (const Case& selected : AllCases()) {
    if (!IsSelected(options, selected.name)) {
      continue;
    }
    for (const std::uint64_t seed : options.seeds) {
      for (const std::uint32_t job_tasks : options.job_tasks) {
        RunOne(options, selected, seed, job_tasks);
      }
    }
  }
}

}  // namespace jaypick::bench
