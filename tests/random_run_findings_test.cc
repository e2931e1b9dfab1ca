// Regression tests for bugs that the randomised simulation found.
#include <criterion/criterion.h>

#include "tests/support/dispatcher_rig.h"

namespace jaypick::test {
namespace {

Refusal OnlyRefusal(const DispatcherRig& rig) {
  const auto answers = rig.Of<AnswerCall>();
  cr_assert_eq(answers.size(), 1);
  return std::get<Refusal>(answers.at(0).answer);
}

// Guards against a resubmission that reserves more ids than the limit.
Test(random_run_findings, resubmission_reserves_within_the_limit) {
  DispatcherRig rig({.reserve_limit = 10});
  DispatcherRig::MakeReady(rig, 1);
  JobRequest request = rig.MakeRequest(rig.Reserve(), 1);
  rig.Submit(request);
  rig.End(rig.Of<StartAttempt>().at(0), attempt::Succeeded{"1"});
  request.reserve = 1'000'000;
  rig.Submit(request);
  const auto answer =
      std::get<CompleteAnswer>(rig.Of<AnswerCall>().at(0).answer);
  cr_assert_eq(answer.next_ids.size(), 10);
}

// Guards against an entry that wakes every microsecond while it drains.
Test(random_run_findings, draining_waits_for_events) {
  DispatcherRig rig;
  DispatcherRig::MakeReady(rig, 1);
  rig.Submit(rig.MakeRequest(rig.Reserve(), 1));
  rig.Send(DrainRequested{.notice = seconds(1)});
  rig.Advance(seconds(1));
  cr_assert_geq(*rig.dispatcher.next_wakeup() - rig.now, milliseconds(100));
}

// Guards against sending a task after its deadline: the claim of the key took
// longer than the timeout of the job, and no run time was learned yet.
Test(random_run_findings, claim_that_outlasts_the_deadline) {
  DispatcherRig rig;
  DispatcherRig::MakeReady(rig, 1);
  JobRequest request = rig.MakeRequest(SubmissionKey{"k"}, 1);
  request.timeout = milliseconds(500);
  const CallId call = rig.Submit(request);
  rig.now += milliseconds(500);
  rig.Send(KeyClaimSettled{.call = call, .result = KeyClaimed()});
  cr_assert(rig.Of<StartAttempt>().empty());
  cr_assert(OnlyRefusal(rig).reason == RefusalReason::kDeadlineExceeded);
  cr_assert(OnlyRefusal(rig).run == RunState::kNotRun);
}

// Guards against answering or forwarding a call that its caller closed while
// the key was being claimed.
Test(random_run_findings, caller_gone_during_the_claim) {
  DispatcherRig rig;
  DispatcherRig::MakeReady(rig, 1);
  const CallId first = rig.Submit(rig.MakeRequest(SubmissionKey{"k"}, 1));
  rig.Send(CallClosed{.call = first});
  rig.Send(KeyClaimSettled{.call = first, .result = KeyClaimed()});
  const auto start = rig.Of<StartAttempt>().at(0);
  rig.End(start, attempt::Succeeded{"1"});
  cr_assert(rig.Of<AnswerCall>().empty());
  const CallId second = rig.Submit(rig.MakeRequest(SubmissionKey{"j"}, 1));
  rig.Send(CallClosed{.call = second});
  const JobId holder{.entry = "e2", .incarnation = {6}, .counter = 0};
  rig.Send(
      KeyClaimSettled{.call = second, .result = KeyAlreadyClaimed{holder}});
  cr_assert(rig.actions.empty());
}

// Guards against use of a job record after its eviction from the id window,
// which may happen during the claim of a key or the answer to a cancellation.
Test(random_run_findings, record_evicted_from_the_id_window) {
  DispatcherRig rig({.id_window = 1});
  DispatcherRig::MakeReady(rig, 1);
  const CallId claiming = rig.Submit(rig.MakeRequest(SubmissionKey{"k"}, 1));
  JobRequest request = rig.MakeRequest(rig.Reserve(), 1);
  rig.Send(KeyClaimSettled{.call = claiming, .result = KeyClaimFailed()});
  cr_assert(OnlyRefusal(rig).run == RunState::kUnknown);
  request.reserve = 5;
  rig.Submit(request);
  const auto id = std::get<JobId>(request.identity);
  rig.Send(CancelJob{.call = {99}, .id = id, .owner = "ghent"});
  cr_assert_eq(rig.Of<AnswerCall>().size(), 2);
}

// Guards against slots that stay occupied long after the deadline of their job.
Test(random_run_findings, attempt_ends_with_its_deadline) {
  DispatcherRig rig;
  DispatcherRig::MakeReady(rig, 1);
  JobRequest request = rig.MakeRequest(rig.Reserve(), 1);
  request.timeout = milliseconds(300);
  rig.Submit(request);
  rig.Advance(milliseconds(300));
  cr_assert_eq(rig.Of<AbandonAttempt>().size(), 1);
  cr_assert_eq(rig.dispatcher.running_tasks(), 0);
}

// Guards against ejection of a healthy upstream because of jobs whose timeout
// is shorter than their run time.
Test(random_run_findings, short_deadlines_do_not_eject) {
  DispatcherRig rig;
  DispatcherRig::MakeReady(rig, 2);
  for (int job = 0; job < 20; ++job) {
    JobRequest request = rig.MakeRequest(rig.Reserve(), 1);
    request.timeout = milliseconds(50);
    rig.Submit(request);
    rig.Advance(milliseconds(50));
  }
  cr_assert(rig.dispatcher.ejected_upstreams().empty());
}

// Guards against a drain that cannot finish while callers keep sending requests
// for jobs of other entries.
Test(random_run_findings, drained_entry_forwards_nothing) {
  DispatcherRig rig;
  DispatcherRig::MakeReady(rig, 1);
  rig.Send(DrainRequested{.notice = seconds(1)});
  const JobId other{.entry = "e2", .incarnation = {6}, .counter = 0};
  rig.Submit(rig.MakeRequest(other, 1));
  cr_assert_eq(rig.Of<ForwardCall>().size(), 1);
  rig.Advance(seconds(1));
  rig.Submit(rig.MakeRequest(other, 1));
  cr_assert(rig.Of<ForwardCall>().empty());
  cr_assert(OnlyRefusal(rig).run == RunState::kUnknown);
  cr_assert(OnlyRefusal(rig).reason == RefusalReason::kDraining);
}

// Guards against entries that keep different configurations with the same
// version after the platform's key-value service restarted with an older head.
Test(random_run_findings, one_configuration_for_one_version) {
  const auto change = [](std::int64_t created, std::string digest) {
    ConfigurationHeader header = SmallConfiguration(4).header();
    header.created_unix_ms = created;
    header.digest = std::move(digest);
    return Configuration(header, SmallConfiguration(4).content());
  };
  for (const bool later_first : {false, true}) {
    DispatcherRig rig;
    rig.Send(ConfigurationOffered{change(later_first ? 2 : 1, "a")});
    rig.Send(ConfigurationOffered{change(later_first ? 1 : 2, "b")});
    const auto& header = rig.dispatcher.configuration()->header();
    cr_assert_eq(header.created_unix_ms, 2);
  }
}

}  // namespace
}  // namespace jaypick::test
