// Who takes a command, and where a job goes.
#include "control/election.h"

#include <criterion/criterion.h>

#include "control/domain_choice.h"
#include "control/fencing_token.h"
#include "control/successor_choice.h"

namespace jaypick::control {
namespace {

using std::chrono::milliseconds;

struct Case {
  const char* name;
  ElectionInput view;
  bool is_taken;
};

// Guards against two holders, and against a domain without any.
Test(election, table_of_views) {
  const Case cases[] = {
      {"first start, own domain",
       {.is_in_domain = true, .state_age = milliseconds(60)},
       true},
      {"first start, other domain", {.state_age = milliseconds(60)}, false},
      {"no home instance came", {.state_age = milliseconds(700)}, true},
      {"holder lives, record lost",
       {.is_in_domain = true,
        .holder = LeaderState::kAlive,
        .state_age = std::chrono::seconds(9)},
       false},
      {"holder's process ended",
       {.is_in_domain = true,
        .has_record = true,
        .holder = LeaderState::kGone,
        .state_age = milliseconds(60)},
       true},
      {"holder silent, record stands: perhaps it is we who are cut off",
       {.is_in_domain = true,
        .has_record = true,
        .holder = LeaderState::kSilent,
        .state_age = std::chrono::seconds(9)},
       false},
      {"holder silent, record lapsed",
       {.is_in_domain = true,
        .holder = LeaderState::kSilent,
        .state_age = milliseconds(600),
        .reachable_for = milliseconds(800)},
       true},
      {"holder silent, record lapsed, partition has just healed",
       {.holder = LeaderState::kSilent,
        .state_age = std::chrono::seconds(6),
        .reachable_for = milliseconds(100)},
       false},
      {"holder hands over",
       {.is_in_domain = true,
        .holder = LeaderState::kLeaving,
        .state_age = milliseconds(60)},
       true},
      {"shutting down",
       {.is_in_domain = true,
        .is_draining = true,
        .holder = LeaderState::kGone,
        .state_age = std::chrono::seconds(9)},
       false},
      {"holder itself",
       {.is_in_domain = true,
        .is_leader = true,
        .state_age = std::chrono::seconds(9)},
       false},
      {"later rank",
       {.is_in_domain = true,
        .holder = LeaderState::kGone,
        .state_age = milliseconds(60),
        .rank_delay = milliseconds(100)},
       false},
  };
  for (const Case& each : cases) {
    cr_assert_eq(ShouldTakeLeadership({}, each.view), each.is_taken, "%s",
                 each.name);
  }
}

// Guards against a domain that waits for larger instances which it does not
// have: after a power loss all instances of a site are as small as its last
// holder.
Test(election, instance_as_large_as_the_last_holder_does_not_wait) {
  const auto delay = [](double own, std::optional<double> last) {
    return ProcessorShareDelay({}, own, last);
  };
  cr_assert_eq(delay(0.2, 0.2), Duration(0));
  cr_assert_eq(delay(0.3, 0.2), Duration(0));
  cr_assert_eq(delay(0.5, 2.0), Duration(0));
  cr_assert_eq(delay(0.25, 0.5), milliseconds(75));
  cr_assert_eq(delay(0.25, std::nullopt), milliseconds(75));
  cr_assert_eq(delay(0.25, 0.0), milliseconds(75));
}

DomainCandidate View(const char* name,
                     Duration wait,
                     bool is_own_domain = false) {
  return {.failure_domain = name,
          .is_own_domain = is_own_domain,
          .is_reachable = true,
          .wait = wait,
          .cores = 100};
}

// Guards against jobs that leave their domain for a gain of nothing.
Test(domain_choice, job_leaves_its_domain_only_for_a_gain) {
  const auto choose = [](Duration home, Duration other) {
    return *ChooseDomain({}, {View("a", home, true), View("b", other)}, {});
  };
  cr_assert_eq(choose(milliseconds(10), Duration(0)), 0);
  cr_assert_eq(choose(milliseconds(100), Duration(0)), 1);
}

// Guards against a second try at a domain that refused.
Test(domain_choice, refusing_and_unreachable_domains_are_left_out) {
  std::vector<DomainCandidate> domains = {View("a", Duration(0), true),
                                          View("b", milliseconds(50)),
                                          View("c", milliseconds(90))};
  cr_assert_eq(*ChooseDomain({}, domains, {"a"}), 1);
  domains[1].is_reachable = false;
  cr_assert_eq(*ChooseDomain({}, domains, {"a"}), 2);
  domains[2].cores = 0;
  cr_assert(!ChooseDomain({}, domains, {"a"}));
}

// Guards against a command that is offered to an instance that cannot keep it:
// rolling stops during an outage of the store.
Test(successor_choice, home_instance_that_stays_is_chosen) {
  const SuccessorCandidate home{
      .instance = "a", .is_in_domain = true, .processor_share = 0.3};
  const SuccessorCandidate other{.instance = "b", .processor_share = 1};
  const auto choose = [](const std::vector<SuccessorCandidate>& views) {
    return ChooseSuccessor({}, views);
  };
  cr_assert_eq(*choose({other, home}), 1);

  SuccessorCandidate leaving = home;
  leaving.is_draining = true;
  cr_assert_eq(*choose({leaving, other}), 1);
  SuccessorCandidate asked = home;
  asked.was_asked = true;
  cr_assert_eq(*choose({asked, other}), 1);
  SuccessorCandidate silent = home;
  silent.silence = milliseconds(501);
  cr_assert_eq(*choose({silent, other}), 1);

  SuccessorCandidate larger = home;
  larger.instance = "c";
  larger.processor_share = 0.5;
  cr_assert_eq(*choose({larger, home}), 0);
  cr_assert(!choose({leaving, asked, silent}));
}

// Guards against two holders with the same token, and against a holder that
// raises its tokens into those of the next one.
Test(token_range, holders_of_one_record_share_no_token) {
  std::uint64_t token = FirstFencingToken(9);
  int holders = 1;
  while (const auto next = NextLeaderToken(token + 5)) {
    cr_assert_eq(*next, token + kFencingTokensPerLeader);
    cr_assert(IsLastTokenOfLeader(*next - 1));
    cr_assert_eq(RecordRevision(*next), 9);
    token = *next;
    ++holders;
  }
  cr_assert_eq(holders, 8);
  cr_assert_lt(token + kFencingTokensPerLeader - 1, FirstFencingToken(10));
}

}  // namespace
}  // namespace jaypick::control
