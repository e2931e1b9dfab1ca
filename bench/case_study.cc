// Case study: runs with faults, bursts and overload, and the same runs without
// them for comparison.
#include <algorithm>

#include "bench/study.h"

namespace jaypick::bench {
namespace {

constexpr double kDefaultLoad = 0.8;

// One case: a modification of the reference scenario.
struct Case {
  std::string name;
  double load = kDefaultLoad;
  void (*modify)(Scenario&) = nullptr;
};

void DeclareTenTimes(Scenario& scenario) {
  scenario.simulation.declared_run_time *= 10;
}

void DeclareTenth(Scenario& scenario) {
  scenario.simulation.declared_run_time /= 10;
}

void AddStragglers(Scenario& scenario) {
  // 1% of the tasks take ten times as long. The mean run time that the offered
  // load is computed from includes them.
  scenario.workload.run_times.straggler_fraction = 0.01;
  scenario.simulation.timeout = std::chrono::seconds(60);
}

void SlowDownTenthOfUpstreams(Scenario& scenario) {
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

void MakeOneUpstreamFail(Scenario& scenario) {
  AddFault(scenario, UpstreamFault::kFailsEverything);
}

void MakeOneUpstreamUnreachable(Scenario& scenario) {
  AddFault(scenario, UpstreamFault::kUnreachable);
}

// The second owner sends ten times its normal load during the middle third of
// the run.
void AddBurst(Scenario& scenario) {
  const Duration length = scenario.workload.length;
  scenario.workload.burst = Burst{
      .owner = 1, .factor = 10, .from = length / 3, .until = length * 2 / 3};
}

// For the overload cases: cancels half of the jobs shortly after submission and
// declares run times ten times too long.
void CancelHalfOfJobs(Scenario& scenario) {
  scenario.workload.cancelled_fraction = 0.5;
  DeclareTenTimes(scenario);
}

void RemoveUpstreamBacklog(Scenario& scenario) {
  scenario.simulation.upstream.backlog_limit = 0;
}

const std::vector<Case>& AllCases() {
  static const std::vector<Case> cases = {
      {.name = "none", .modify = [](Scenario&) {}},
      {.name = "declared_times_ten", .modify = DeclareTenTimes},
      {.name = "declared_tenth", .modify = DeclareTenth},
      {.name = "stragglers", .modify = AddStragglers},
      {.name = "slow_tenth", .modify = SlowDownTenthOfUpstreams},
      {.name = "one_fails_everything", .modify = MakeOneUpstreamFail},
      {.name = "one_unreachable", .modify = MakeOneUpstreamUnreachable},
      {.name = "no_upstream_backlog", .modify = RemoveUpstreamBacklog},
      {.name = "burst_60", .load = 0.6, .modify = AddBurst},
      {.name = "none_60", .load = 0.6, .modify = [](Scenario&) {}},
      {.name = "overload_100", .load = 1.0, .modify = CancelHalfOfJobs},
      {.name = "overload_150", .load = 1.5, .modify = CancelHalfOfJobs},
      {.name = "overload_200", .load = 2.0, .modify = CancelHalfOfJobs},
      {.name = "overload_300", .load = 3.0, .modify = CancelHalfOfJobs},
  };
  return cases;
}

bool IsSelected(const StudyOptions& options, const std::string& name) {
  return options.cases.empty() ||
         std::find(options.cases.begin(), options.cases.end(), name) !=
             options.cases.end();
}

void RunOne(const StudyOptions& options,
            const Case& study_case,
            std::uint64_t seed,
            std::uint32_t job_tasks) {
  Scenario scenario =
      ReferenceScenario(seed, study_case.load, job_tasks, options.seconds);
  study_case.modify(scenario);
  const std::vector<JobPlan> jobs = MakeWorkload(scenario.workload);
  nlohmann::json oracle_line = {
      {"study", "cases"},          {"case", study_case.name},
      {"variant", "oracle"},       {"seed", seed},
      {"load", study_case.load},   {"job_tasks", job_tasks},
      {"seconds", options.seconds}};
  oracle_line.update(
      SummarizeRun(scenario, jobs, RunOracleFor(scenario, jobs)));
  PrintLine(oracle_line);
  const std::vector<std::string> variants =
      options.variants.empty() ? std::vector<std::string>{"default"}
                               : options.variants;
  for (const std::string& name : variants) {
    scenario.simulation.dispatcher = {};
    FindVariant(name)->apply(scenario.simulation.dispatcher);
    nlohmann::json line = {
        {"study", "cases"},          {"case", study_case.name},
        {"variant", name},           {"seed", seed},
        {"load", study_case.load},   {"job_tasks", job_tasks},
        {"seconds", options.seconds}};
    line.update(
        SummarizeRun(scenario, jobs, Simulate(scenario.simulation, jobs)));
    PrintLine(line);
  }
}

}  // namespace

void RunCaseStudy(const StudyOptions& options) {
  for (const Case& study_case : AllCases()) {
    if (!IsSelected(options, study_case.name)) {
      continue;
    }
    for (const std::uint64_t seed : options.seeds) {
      for (const std::uint32_t job_tasks : options.job_tasks) {
        RunOne(options, study_case, seed, job_tasks);
      }
    }
  }
}

}  // namespace jaypick::bench
