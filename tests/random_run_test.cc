// Runs the randomised simulation with 100 seeds; any violated invariant fails
// the test.
#include <criterion/criterion.h>

#include "tests/simulation/run.h"

namespace jaypick::simulation {
namespace {

// 100 seeds x 50,000 steps are 5,000,000 steps; the sanitizer build runs a
// tenth, because it is about ten times as slow.
#ifdef JAYPICK_SANITIZED
constexpr std::uint64_t kSteps = 5'000;
#else
constexpr std::uint64_t kSteps = 50'000;
#endif
constexpr std::uint64_t kSeeds = 100;
constexpr std::uint64_t kSeedsPerTest = 10;
// Minimum number of kills, pauses and replacements of entries in each test:
// 100, and 10 in the sanitizer build.
constexpr std::uint64_t kEntryFaults = kSteps / 500;

// Guards against violations of jaypick's guarantees under combinations of
// faults.
void RunSeeds(std::uint64_t group) {
  const std::uint64_t first = 1 + group * kSeedsPerTest;
  RunResult total;
  for (std::uint64_t seed = first; seed < first + kSeedsPerTest; ++seed) {
    const RunResult result = Run({.seed = seed, .steps = kSteps});
    cr_assert(result.violation.empty(), "%s", result.violation.c_str());
    total.steps += result.steps;
    total.entry_faults += result.entry_faults;
    total.completed += result.completed;
  }
  cr_assert_geq(total.steps, kSteps * kSeedsPerTest);
  // Runs with too few faults or completed jobs would test too little.
  cr_assert_geq(total.entry_faults, kEntryFaults);
  cr_assert_gt(total.completed, kSteps * kSeedsPerTest / 500);
}

static_assert(kSeeds == 10 * kSeedsPerTest);

Test(random_run, seeds_1_to_10) {
  RunSeeds(0);
}
Test(random_run, seeds_11_to_20) {
  RunSeeds(1);
}
Test(random_run, seeds_21_to_30) {
  RunSeeds(2);
}
Test(random_run, seeds_31_to_40) {
  RunSeeds(3);
}
Test(random_run, seeds_41_to_50) {
  RunSeeds(4);
}
Test(random_run, seeds_51_to_60) {
  RunSeeds(5);
}
Test(random_run, seeds_61_to_70) {
  RunSeeds(6);
}
Test(random_run, seeds_71_to_80) {
  RunSeeds(7);
}
Test(random_run, seeds_81_to_90) {
  RunSeeds(8);
}
Test(random_run, seeds_91_to_100) {
  RunSeeds(9);
}

// Guards against runs that cannot be reproduced from their seed.
Test(random_run, same_seed_reproduces_the_run) {
  const RunResult first = Run({.seed = 7, .steps = 3'000});
  const RunResult second = Run({.seed = 7, .steps = 3'000});
  cr_assert_eq(first.tasks_started, second.tasks_started);
  cr_assert_eq(first.completed, second.completed);
  cr_assert_eq(first.refused, second.refused);
}

}  // namespace
}  // namespace jaypick::simulation
