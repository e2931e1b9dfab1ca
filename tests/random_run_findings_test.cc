// Faults that the randomised run found, each with a directed test.
#include <criterion/criterion.h>

#include "tests/support/dispatcher_rig.h"

namespace jaypick::test {
namespace {

Refusal OnlyRefusal(const DispatcherRig& rig) {
  const auto answers = rig.Of<AnswerCall>();
  cr_assert_eq(answers.size(), 1);
  return std::get<Refusal>(answers.at(0).answer);
}

// Guards against a resubmission that makes the entry issue any number of ids.
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

// Guards against a start past the deadline when the claim of a key took longer
// than the job may take, and no run time is learned yet.
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

// Guards against an answer or a forward for a caller that has gone while its
// key was claimed.
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

// Guards against the use of a record that has left the id window while a key
// was claimed, and while a cancellation was answered.
Test(random_run_findings, record_leaves_the_window) {
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

// Guards against slots that stay taken for many run times after the deadline
// of their job.
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

// Guards against ejection of a healthy upstream because of jobs whose deadline
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

// Guards against a drain that lasts as long as callers ask for other entries'
// jobs.
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

// Guards against entries that keep different configurations under one version,
// after the platform's service restarted with an older head.
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
