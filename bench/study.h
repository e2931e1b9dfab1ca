// The studies that the benchmark program runs.
#ifndef BENCH_STUDY_H_
#define BENCH_STUDY_H_

#include <cstdint>
#include <string>
#include <vector>

#include "bench/outcome.h"
#include "bench/report.h"
#include "bench/simulation.h"
#include "bench/workload.h"

namespace jaypick::bench {

// What to run; empty lists stand for the study's own selection.
struct StudyOptions {
  std::vector<std::uint64_t> seeds;
  std::vector<std::string> variants;
  std::vector<double> loads;
  std::vector<std::uint32_t> job_tasks;
  std::vector<std::string> cases;
  // Virtual seconds of a run of single-task jobs; jobs of 64 tasks run four
  // times as long, because there are fewer of them.
  std::uint32_t seconds = 120;
};

// A named setting of the dispatcher.
struct Variant {
  std::string name;
  void (*apply)(DispatcherOptions&) = nullptr;
};

// All variants; the first is the default setting.
const std::vector<Variant>& AllVariants();

// The variant called `name`, or null.
const Variant* FindVariant(const std::string& name);

// One workload, and the system that serves it.
struct Scenario {
  WorkloadOptions workload;
  SimulationOptions simulation;

  // First tenth left out.
  Window MeasuredWindow() const;
};

// Today's failure domain: 17 upstreams with 8 slots and 2 entries.
Scenario TodaysScenario(std::uint64_t seed,
                        double load,
                        std::uint32_t job_tasks,
                        std::uint32_t seconds);

// The oracle on the scenario's slots.
Outcome RunOracleOf(const Scenario& scenario, const std::vector<JobPlan>& jobs);

// Figures of one run of `scenario`.
nlohmann::json Describe(const Scenario& scenario,
                        const std::vector<JobPlan>& jobs,
                        const Outcome& outcome);

// Each variant and the oracle at each load and job size.
void RunPolicyStudy(const StudyOptions& options);

// Faults, bursts and overload.
void RunCaseStudy(const StudyOptions& options);

// Cost of a task start, a task, an upstream and an owner over several sizes.
void RunSlopeStudy(const StudyOptions& options);

}  // namespace jaypick::bench

#endif  // BENCH_STUDY_H_
