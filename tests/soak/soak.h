// Randomized soak test: runs real node processes behind relays and injects
// faults into processes, connections, store and upstreams.
#ifndef JAYPICK_TESTS_SOAK_SOAK_H_
#define JAYPICK_TESTS_SOAK_SOAK_H_

#include <cstdint>
#include <string>
#include <vector>

#include "jaypick/time.h"

namespace jaypick::soak {

struct SoakOptions {
  std::uint64_t seed = 1;
  // Length of the phase with faults. A phase without faults follows.
  Duration fault_duration = std::chrono::seconds(10);
  std::size_t nodes = 4;
  std::size_t upstreams = 6;
  // Mean intervals between two faults and between two jobs.
  Duration fault_interval = std::chrono::milliseconds(300);
  Duration job_interval = std::chrono::milliseconds(25);
};

struct SoakReport {
  // Violated guarantees, each with the time and, where known, the job, node or
  // upstream.
  std::vector<std::string> violations;
  // Injected faults in order, for the diagnosis of a failure.
  std::vector<std::string> faults;
  std::size_t jobs = 0;
  std::size_t completed = 0;
  std::size_t refused = 0;
  std::size_t starts = 0;
};

// Runs the programs of the build folder. The logs of the nodes are written to
// `folder`.
SoakReport RunSoak(const SoakOptions& options, const std::string& folder);

}  // namespace jaypick::soak

#endif  // JAYPICK_TESTS_SOAK_SOAK_H_
