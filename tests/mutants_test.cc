// Guards removed one by one: the randomised run must notice each of them.
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
  // True: also the checks from outside notice it, without those that the
  // program makes itself.
  bool is_seen_from_outside;
};

const std::vector<MutantCase> kMutants = {
    {"closed id reopens", Mutant::kReopenClosedId, true},
    {"start without claim", Mutant::kStartWithoutClaim, true},
    {"lost attempt of any kind is repeated", Mutant::kRetryAnyKind, true},
    {"partial answer", Mutant::kPartialAnswer, true},
    {"stale answer accepted", Mutant::kAcceptStaleAnswer, true},
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

// Guards against an invariant that cannot fail.
Test(mutants, each_is_noticed) {
  for (const MutantCase& row : kMutants) {
    const std::string violation = FirstViolation(row.mutant, true);
    cr_expect(!violation.empty(), "%s was not noticed", row.name);
    cr_log_info("%s: %s", row.name, violation.c_str());
  }
}

// Guards against checks that only repeat what the program checks itself.
Test(mutants, each_is_noticed_from_outside) {
  for (const MutantCase& row : kMutants) {
    if (row.is_seen_from_outside) {
      const std::string violation = FirstViolation(row.mutant, false);
      cr_expect(!violation.empty(), "%s was not noticed", row.name);
      cr_log_info("%s: %s", row.name, violation.c_str());
    }
  }
}

}  // namespace
}  // namespace jaypick::simulation
