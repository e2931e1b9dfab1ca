// Election of leaders, choice of successors and of a job's failure domain.
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
  ElectionInput input;
  bool takes_leadership;
};

// Guards against two leaders of a domain, and against a domain without any.
Test(election, table_of_views) {
  const Case cases[] = {
      {"first start, own domain",
       {.is_in_domain = true, .record_absent_for = milliseconds(60)},
       true},
      {"first start, other domain",
       {.leads_other_domain = true, .record_absent_for = milliseconds(60)},
       false},
      {"no instance of the domain took over",
       {.leads_other_domain = true, .record_absent_for = milliseconds(700)},
       true},
      {"the same, but the leaders of other domains come first",
       {.record_absent_for = milliseconds(700)},
       false},
      {"no leader of another domain took over either",
       {.record_absent_for = milliseconds(2400)},
       true},
      {"first start, record present",
       {.is_in_domain = true,
        .has_record = true,
        .record_absent_for = milliseconds(700)},
       false},
      {"leader is alive, record lost",
       {.is_in_domain = true,
        .leader_state = LeaderState::kAlive,
        .state_age = std::chrono::seconds(9)},
       false},
      {"process of the leader has ended",
       {.is_in_domain = true,
        .has_record = true,
        .leader_state = LeaderState::kGone,
        .state_age = milliseconds(60)},
       true},
      {"leader silent, record present: this instance may be cut off",
       {.is_in_domain = true,
        .has_record = true,
        .leader_state = LeaderState::kSilent,
        .state_age = std::chrono::seconds(9)},
       false},
      {"leader silent, record expired",
       {.is_in_domain = true,
        .leader_state = LeaderState::kSilent,
        .state_age = milliseconds(600),
        .record_absent_for = milliseconds(60),
        .reachable_for = milliseconds(800)},
       true},
      {"leader silent, record has just expired: larger instances come first",
       {.is_in_domain = true,
        .leader_state = LeaderState::kSilent,
        .state_age = milliseconds(900),
        .record_absent_for = milliseconds(60),
        .reachable_for = milliseconds(800),
        .rank_delay = milliseconds(100)},
       false},
      {"leader silent for a moment, record revoked",
       {.is_in_domain = true,
        .leader_state = LeaderState::kSilent,
        .state_age = milliseconds(300),
        .record_absent_for = std::chrono::seconds(5),
        .reachable_for = milliseconds(800)},
       false},
      {"leader silent, record expired, partition has just healed",
       {.leads_other_domain = true,
        .leader_state = LeaderState::kSilent,
        .state_age = std::chrono::seconds(6),
        .record_absent_for = std::chrono::seconds(6),
        .reachable_for = milliseconds(100)},
       false},
      {"leader hands over",
       {.is_in_domain = true,
        .leader_state = LeaderState::kLeaving,
        .state_age = milliseconds(60)},
       true},
      {"shutting down",
       {.is_in_domain = true,
        .is_draining = true,
        .leader_state = LeaderState::kGone,
        .state_age = std::chrono::seconds(9)},
       false},
      {"this instance is the leader",
       {.is_in_domain = true,
        .is_leader = true,
        .state_age = std::chrono::seconds(9),
        .record_absent_for = std::chrono::seconds(9)},
       false},
      {"later rank",
       {.is_in_domain = true,
        .leader_state = LeaderState::kGone,
        .state_age = milliseconds(60),
        .rank_delay = milliseconds(100)},
       false},
  };
  for (const Case& each : cases) {
    cr_assert_eq(ShouldTakeLeadership({}, each.input), each.takes_leadership,
                 "%s", each.name);
  }
}

// Guards against a domain without a leader because all its instances wait for
// larger ones. After a power loss all instances of a site may be as small as
// its last leader.
Test(election, instance_as_large_as_the_last_leader_does_not_wait) {
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

DomainCandidate Candidate(const char* name,
                          Duration wait,
                          bool is_own_domain = false) {
  return {.failure_domain = name,
          .is_own_domain = is_own_domain,
          .is_reachable = true,
          .wait = wait,
          .cores = 100};
}

// Guards against jobs that move to another domain without starting earlier.
Test(domain_choice, job_leaves_its_domain_only_to_start_earlier) {
  const auto choose = [](Duration own, Duration other) {
    return *ChooseDomain({}, {Candidate("a", own, true), Candidate("b", other)},
                         {});
  };
  cr_assert_eq(choose(milliseconds(10), Duration(0)), 0);
  cr_assert_eq(choose(milliseconds(100), Duration(0)), 1);
}

// Guards against another attempt at a domain that has refused the job.
Test(domain_choice, refusing_and_unreachable_domains_are_left_out) {
  std::vector<DomainCandidate> domains = {Candidate("a", Duration(0), true),
                                          Candidate("b", milliseconds(50)),
                                          Candidate("c", milliseconds(90))};
  cr_assert_eq(*ChooseDomain({}, domains, {"a"}), 1);
  domains[1].is_reachable = false;
  cr_assert_eq(*ChooseDomain({}, domains, {"a"}), 2);
  domains[2].cores = 0;
  cr_assert(!ChooseDomain({}, domains, {"a"}));
}

// Guards against a leadership that is offered to an instance that cannot keep
// it, as in rolling restarts during an outage of the store.
Test(successor_choice, running_instance_of_the_domain_is_preferred) {
  const SuccessorCandidate own{
      .instance = "a", .is_in_domain = true, .processor_share = 0.3};
  const SuccessorCandidate other{.instance = "b", .processor_share = 1};
  const auto choose = [](const std::vector<SuccessorCandidate>& candidates) {
    return ChooseSuccessor({}, candidates);
  };
  cr_assert_eq(*choose({other, own}), 1);

  SuccessorCandidate leaving = own;
  leaving.is_draining = true;
  cr_assert_eq(*choose({leaving, other}), 1);
  SuccessorCandidate asked = own;
  asked.was_asked = true;
  cr_assert_eq(*choose({asked, other}), 1);
  SuccessorCandidate silent = own;
  silent.silence = milliseconds(501);
  cr_assert_eq(*choose({silent, other}), 1);

  SuccessorCandidate larger = own;
  larger.instance = "c";
  larger.processor_share = 0.5;
  cr_assert_eq(*choose({larger, own}), 0);
  cr_assert(!choose({leaving, asked, silent}));
}

// Guards against two leaders with the same token, and against a leader that
// raises its token into the range of its successor.
Test(token_range, leaders_of_one_record_share_no_token) {
  std::uint64_t token = FirstFencingToken(9);
  int leaders = 1;
  while (const auto next = NextLeaderToken(token + 5)) {
    cr_assert_eq(*next, token + kFencingTokensPerLeader);
    cr_assert(IsLastTokenOfLeader(*next - 1));
    cr_assert_eq(RecordRevision(*next), 9);
    token = *next;
    ++leaders;
  }
  cr_assert_eq(leaders, 8);
  cr_assert_lt(token + kFencingTokensPerLeader - 1, FirstFencingToken(10));
}

}  // namespace
}  // namespace jaypick::control
