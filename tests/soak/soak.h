// Randomized soak of real nodes behind relays, with faults from outside.
#ifndef JAYPICK_TESTS_SOAK_SOAK_H_
#define JAYPICK_TESTS_SOAK_SOAK_H_

#include <cstdint>
#include <string>
#include <vector>

#include "jaypick/time.h"

namespace jaypick::soak {

struct SoakOptions {
  std::uint64_t seed = 1;
  // Time with faults; some calm seconds follow.
  Duration fault_duration = std::chrono::seconds(10);
  std::size_t nodes = 4;
  std::size_t upstreams = 6;
  // Mean interval between two faults, and between two jobs.
  Duration fault_interval = std::chrono::milliseconds(300);
  Duration job_interval = std::chrono::milliseconds(25);
};

struct SoakReport {
  // Promises that were broken, each with the time and the job or process.
  std::vector<std::string> violations;
  // Faults in their order, for the reader of a failure.
  std::vector<std::string> faults;
  std::size_t jobs = 0;
  std::size_t completed = 0;
  std::size_t refused = 0;
  std::size_t starts = 0;
};

// Runs the programs of the build folder. What nodes log is left in `folder`.
SoakReport RunSoak(const SoakOptions& options, const std::string& folder);

}  // namespace jaypick::soak

#endif  // JAYPICK_TESTS_SOAK_SOAK_H_
