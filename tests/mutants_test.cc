// Mutants: the randomised run must detect each deliberate defect.
#include <criterion/criterion.h>

#include <string>
#include <vector>

#include "tests/simulation/run.h"

namespace jaypick::simulation {
namespace {

using internal::Mutant;

constexpr std::uint64_t kSteps = 20'000;
constexpr std::uint64_t kSeeds = 30;

struct MutantCase {
  const char* name;
  Mutant mutant;
  // True if the checks of the simulation detect it without the invariant checks
  // of the dispatcher.
  bool is_detected_by_simulation;
};

const std::vector<MutantCase> kMutants = {
    {"closed id reopens", Mutant::kReopenClosedId, true},
    {"start without claim", Mutant::kStartWithoutClaim, true},
    {"lost attempt of any kind is repeated", Mutant::kRetryAnyKind, true},
    {"partial answer", Mutant::kPartialAnswer, true},
    {"stale response accepted", Mutant::kAcceptStaleResponse, true},
    {"deadline ignored", Mutant::kIgnoreDeadline, true},
    {"start on leaving upstream", Mutant::kStartOnLeaving, true},
    {"configuration goes back", Mutant::kConfigurationGoesBack, true},
    {"always not_run", Mutant::kAlwaysNotRun, true},
    {"drain cuts off", Mutant::kDrainCutsOff, true},
    {"incarnation ignored", Mutant::kIgnoreIncarnation, true},
    {"unknown answered as failed", Mutant::kUnknownIsFailed, true},
    {"closed calls answered", Mutant::kAnswerClosedCalls, true},
    {"one waiter", Mutant::kOneWaiter, true},
    {"first configuration kept", Mutant::kKeepFirstConfiguration, true},
    {"only versions compared", Mutant::kCompareVersionOnly, true},
    {"first instance list kept", Mutant::kKeepFirstInstances, true},
    {"unlimited retries", Mutant::kUnlimitedRetries, true},
    {"drain never ends", Mutant::kDrainNeverEnds, true},
};

std::string FirstViolation(Mutant mutant, bool uses_program_checks) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const RunResult result = Run({.seed = seed,
                                  .steps = kSteps,
                                  .mutant = mutant,
                                  .uses_program_checks = uses_program_checks});
    if (!result.violation.empty()) {
      return result.violation.substr(0, result.violation.find('\n'));
    }
  }
  return "";
}

// Guards against checks that never fail: each mutant must violate one.
Test(mutants, each_is_detected) {
  for (const MutantCase& row : kMutants) {
    const std::string violation = FirstViolation(row.mutant, true);
    cr_expect(!violation.empty(), "%s was not detected", row.name);
    cr_log_info("%s: %s", row.name, violation.c_str());
  }
}

// Guards against simulation checks that detect a mutant only because the
// dispatcher's own invariant checks do.
Test(mutants, each_is_detected_without_own_checks) {
  for (const MutantCase& row : kMutants) {
    if (row.is_detected_by_simulation) {
      const std::string violation = FirstViolation(row.mutant, false);
      cr_expect(!violation.empty(), "%s was not detected", row.name);
      cr_log_info("%s: %s", row.name, violation.c_str());
    }
  }
}

}  // namespace
}  // namespace jaypick::simulation
