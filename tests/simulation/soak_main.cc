// jaypick-soak: runs the randomised simulation for one or more seeds.
#include <chrono>
#include <cstdint>
#include <iostream>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "tests/simulation/run.h"

ABSL_FLAG(std::uint64_t, seed, 1, "first seed");
ABSL_FLAG(std::uint64_t, seeds, 1, "number of seeds");
ABSL_FLAG(std::uint64_t, steps, 1'000'000, "number of steps for each seed");
ABSL_FLAG(int,
          mutant,
          0,
          "number of the mutant, which removes one guard; 0 for none");

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  const std::uint64_t first = absl::GetFlag(FLAGS_seed);
  int violations = 0;
  for (std::uint64_t seed = first; seed < first + absl::GetFlag(FLAGS_seeds);
       ++seed) {
    const auto began = std::chrono::steady_clock::now();
    const jaypick::simulation::RunResult result = jaypick::simulation::Run(
        {.seed = seed,
         .steps = absl::GetFlag(FLAGS_steps),
         .mutant = static_cast<jaypick::internal::Mutant>(
             absl::GetFlag(FLAGS_mutant))});
    const std::chrono::duration<double> took =
        std::chrono::steady_clock::now() - began;
    std::cout << "seed " << seed << ": " << result.steps << " steps in "
              << took.count() << " s, " << result.submissions
              << " submissions, " << result.tasks_started << " starts, "
              << result.completed << " complete, " << result.refused
              << " refused, " << result.entry_faults << " entry faults, "
              << result.configurations << " configurations" << std::endl;
    if (!result.violation.empty()) {
      ++violations;
      std::cout << "VIOLATION: " << result.violation << std::endl;
    }
  }
  return violations == 0 ? 0 : 1;
}
