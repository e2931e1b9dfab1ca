// Randomised simulation that runs the decision code of several entries under
// injected faults.
#ifndef JAYPICK_TESTS_SIMULATION_RUN_H_
#define JAYPICK_TESTS_SIMULATION_RUN_H_

#include <cstdint>
#include <string>

#include "jaypick/internal/mutant.h"

namespace jaypick::simulation {

struct RunOptions {
  std::uint64_t seed = 1;
  // Scheduler steps under load and faults. Afterwards all faults end and open
  // calls finish.
  std::uint64_t steps = 50'000;
  internal::Mutant mutant = internal::Mutant::kNone;
  // If false, violations that the dispatcher's own checks report are ignored,
  // so that only the simulation's checks can detect a mutant.
  bool uses_program_checks = true;
};

struct RunResult {
  // Seed, step, violated invariant and trace; empty if there was no violation.
  std::string violation;
  std::uint64_t steps = 0;
  std::uint64_t submissions = 0;
  std::uint64_t tasks_started = 0;
  std::uint64_t completed = 0;
  std::uint64_t refused = 0;
  // Number of times that an entry was killed, paused, or drained and replaced.
  std::uint64_t entry_faults = 0;
  std::uint64_t configurations = 0;
};

RunResult Run(const RunOptions& options);

}  // namespace jaypick::simulation

#endif  // JAYPICK_TESTS_SIMULATION_RUN_H_
