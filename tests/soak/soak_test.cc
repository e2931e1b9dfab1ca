// Short soak test with a fixed seed.
//
// The environment variables SOAK_SEED and SOAK_SECONDS select another seed and
// another length of the phase with faults, and SOAK_FOLDER a folder that keeps
// the logs of the nodes: see tools/soak.sh.
#include "tests/soak/soak.h"

#include <criterion/criterion.h>

#include <cstdlib>
#include <iostream>

#include "tests/process_harness.h"

namespace jaypick::soak {
namespace {

std::uint64_t FromEnvironment(const char* name, std::uint64_t default_value) {
  const char* const value = std::getenv(name);
  return value == nullptr ? default_value : std::strtoull(value, nullptr, 10);
}

void AssertNoViolation(const SoakOptions& options) {
  const testing::TemporaryFolder folder;
  const char* const kept_folder = std::getenv("SOAK_FOLDER");
  const SoakReport report =
      RunSoak(options, kept_folder == nullptr ? folder.Path("") : kept_folder);
  std::cout << "soak seed " << options.seed << ": " << report.jobs << " jobs, "
            << report.completed << " completed, " << report.refused
            << " refused, " << report.starts << " starts, "
            << report.faults.size() << " faults, " << report.violations.size()
            << " violations\n";
  if (!report.violations.empty()) {
    for (const std::string& fault : report.faults) {
      std::cout << "  fault: " << fault << '\n';
    }
    for (const std::string& violation : report.violations) {
      std::cout << "  violation: " << violation << '\n';
    }
  }
  std::cout.flush();
  cr_assert(report.violations.empty(), "seed %llu",
            static_cast<unsigned long long>(options.seed));
}

// Guards against guarantees that are violated when processes, connections, the
// store and upstreams fail at the same time.
Test(soak, seeded_run_keeps_the_promises) {
  AssertNoViolation({.seed = FromEnvironment("SOAK_SEED", 1),
                     .fault_duration = std::chrono::seconds(
                         FromEnvironment("SOAK_SECONDS", 10))});
}

}  // namespace
}  // namespace jaypick::soak
