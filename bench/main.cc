// Benchmark program: placement policy study, case study and cost slopes.
#include <cstdint>
#include <iostream>
#include <string>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include "bench/study.h"

ABSL_FLAG(
    std::string,
    study,
    "all",
    "study to run: policy, cases, slopes, or all (a selection of the three "
    "that takes less than 3 minutes)");
ABSL_FLAG(std::uint32_t, first_seed, 1, "seed of the first run");
ABSL_FLAG(std::uint32_t,
          seeds,
          0,
          "number of consecutive seeds; 0 selects the study's default");
ABSL_FLAG(std::vector<std::string>,
          variants,
          {},
          "names of the dispatcher variants to run; default: all in the policy "
          "study, \"default\" in the case study");
ABSL_FLAG(std::vector<std::string>,
          loads,
          {},
          "offered loads as fractions of the capacity, e.g. 0.85");
ABSL_FLAG(std::vector<std::string>, job_tasks, {}, "job sizes: tasks per job");
ABSL_FLAG(std::vector<std::string>,
          cases,
          {},
          "names of the cases to run; default: all");
ABSL_FLAG(std::uint32_t,
          seconds,
          120,
          "duration of a run with single-task jobs, in virtual seconds");

namespace jaypick::bench {
namespace {

constexpr int kUsageError = 2;

StudyOptions OptionsFromFlags(std::uint32_t default_seeds) {
  StudyOptions options;
  const std::uint32_t seeds = absl::GetFlag(FLAGS_seeds);
  const std::uint32_t first = absl::GetFlag(FLAGS_first_seed);
  for (std::uint32_t i = 0; i < (seeds == 0 ? default_seeds : seeds); ++i) {
    options.seeds.push_back(first + i);
  }
  options.variants = absl::GetFlag(FLAGS_variants);
  options.cases = absl::GetFlag(FLAGS_cases);
  options.seconds = absl::GetFlag(FLAGS_seconds);
  for (const std::string& load : absl::GetFlag(FLAGS_loads)) {
    options.loads.push_back(std::stod(load));
  }
  for (const std::string& tasks : absl::GetFlag(FLAGS_job_tasks)) {
    options.job_tasks.push_back(static_cast<std::uint32_t>(std::stoul(tasks)));
  }
  if (options.loads.empty()) {
    options.loads = {0.6, 0.85, 0.95, 1.2};
  }
  if (options.job_tasks.empty()) {
    options.job_tasks = {1, 64};
  }
  return options;
}

void RunPolicy(StudyOptions options) {
  if (options.variants.empty()) {
    for (const Variant& variant : AllVariants()) {
      options.variants.push_back(variant.name);
    }
  }
  RunPolicyStudy(options);
}

// Runs every study with few seeds and two variants, to bound the total time.
void RunAll() {
  StudyOptions options = OptionsFromFlags(2);
  options.variants = {"default", "least_outstanding"};
  RunPolicyStudy(options);
  RunCaseStudy(options);
  RunSlopeStudy(options);
}

int Run() {
  const std::string study = absl::GetFlag(FLAGS_study);
  const StudyOptions options = OptionsFromFlags(5);
  for (const std::string& name : options.variants) {
    if (FindVariant(name) == nullptr) {
      std::cerr << "unknown variant \"" << name << "\"\n";
      return kUsageError;
    }
  }
  if (study == "policy") {
    RunPolicy(options);
  } else if (study == "cases") {
    RunCaseStudy(options);
  } else if (study == "slopes") {
    RunSlopeStudy(options);
  } else if (study == "all") {
    RunAll();
  } else {
    std::cerr << "unknown study \"" << study << "\"\n";
    return kUsageError;
  }
  return 0;
}

}  // namespace
}  // namespace jaypick::bench

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "Benchmarks jaypick's dispatcher in virtual time and prints one JSON "
      "object per line.");
  absl::ParseCommandLine(argc, argv);
  return jaypick::bench::Run();
}
