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

// Selection of what to run. An empty list of variants or cases selects the
// study's default.
struct StudyOptions {
  std::vector<std::uint64_t> seeds;
  std::vector<std::string> variants;
  std::vector<double> loads;
  std::vector<std::uint32_t> job_tasks;
  std::vector<std::string> cases;
  // Duration of a run of single-task jobs, in virtual seconds. Runs of larger
  // jobs last four times as long, because at the same load they contain fewer
  // jobs.
  std::uint32_t seconds = 120;
};

// A named set of dispatcher options.
struct Variant {
  std::string name;
  void (*apply)(DispatcherOptions&) = nullptr;
};

// All variants; the first one has the default options.
const std::vector<Variant>& AllVariants();

// Returns null if there is no variant called `name`.
const Variant* FindVariant(const std::string& name);

// A workload and the simulated system that serves it.
struct Scenario {
  WorkloadOptions workload;
  SimulationOptions simulation;

  // The whole run except for the first tenth, which is the warm-up.
  MeasurementWindow MeasuredWindow() const;
};

// The reference failure domain: 17 upstreams with 8 slots each, and 2 entries.
Scenario ReferenceScenario(std::uint64_t seed,
                           double load,
                           std::uint32_t job_tasks,
                           std::uint32_t seconds);

// Runs the oracle with the scenario's slots, delays and shares.
Outcome RunOracleFor(const Scenario& scenario,
                     const std::vector<JobPlan>& jobs);

// Metrics of one run of `scenario` as a JSON object.
nlohmann::json SummarizeRun(const Scenario& scenario,
                            const std::vector<JobPlan>& jobs,
                            const Outcome& outcome);

// Runs each variant and the oracle at each load and job size.
void RunPolicyStudy(const StudyOptions& options);

// Runs the cases with faults, bursts and overload.
void RunCaseStudy(const StudyOptions& options);

// Measures the cost of a task start, a task, an upstream and an owner at
// several sizes.
void RunSlopeStudy(const StudyOptions& options);

}  // namespace jaypick::bench

#endif  // BENCH_STUDY_H_
