// The randomised run of several entries' decision code under faults.
#ifndef JAYPICK_TESTS_SIMULATION_RUN_H_
#define JAYPICK_TESTS_SIMULATION_RUN_H_

#include <cstdint>
#include <string>

#include "jaypick/internal/mutant.h"

namespace jaypick::simulation {

struct RunOptions {
  std::uint64_t seed = 1;
  // Steps under load and faults; afterwards all faults end and calls drain.
  std::uint64_t steps = 50'000;
  internal::Mutant mutant = internal::Mutant::kNone;
  // False: violations that the program itself reports are ignored, so that a
  // mutant is caught only by the checks from outside.
  bool uses_program_checks = true;
};

struct RunResult {
  // Seed, step, what was violated, and a trace; empty if nothing was.
  std::string violation;
  std::uint64_t steps = 0;
  std::uint64_t submissions = 0;
  std::uint64_t tasks_started = 0;
  std::uint64_t completed = 0;
  std::uint64_t refused = 0;
  // Entries killed, paused, or drained and replaced.
  std::uint64_t entry_faults = 0;
  std::uint64_t configurations = 0;
};

RunResult Run(const RunOptions& options);

}  // namespace jaypick::simulation

#endif  // JAYPICK_TESTS_SIMULATION_RUN_H_
