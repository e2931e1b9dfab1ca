// Dispatcher of one entry: ids, outcomes, deadlines, draining.
#include <criterion/criterion.h>

#include "tests/support/dispatcher_rig.h"

namespace jaypick::test {
namespace {

const Refusal& RefusalOf(const DispatcherRig& rig, std::size_t index = 0) {
  static Refusal refusal;
  refusal = std::get<Refusal>(rig.Of<AnswerCall>().at(index).answer);
  return refusal;
}

// Guards against an answer with missing or reordered results.
Test(dispatcher, answers_with_all_results_in_task_order) {
  DispatcherRig rig;
  DispatcherRig::MakeReady(rig, 2);
  rig.Submit(rig.MakeRequest(rig.Reserve(), 3));
  const auto starts = rig.Of<StartAttempt>();
  cr_assert_eq(starts.size(), 3);
  for (const std::size_t index : {2, 0, 1}) {
    cr_assert(rig.Of<AnswerCall>().empty());
    rig.End(starts[index], attempt::Succeeded{std::to_string(index)});
  }
  const auto answer =
      std::get<CompleteAnswer>(rig.Of<AnswerCall>().at(0).answer);
  cr_assert(answer.results == std::vector<std::string>({"0", "1", "2"}));
}

// Guards against starting tasks again when a caller resubmits a job: while it
// is running, after its answer, and after the answer has expired.
Test(dispatcher, resubmission_never_starts_again) {
  DispatcherRig rig;
  DispatcherRig::MakeReady(rig, 1);
  const JobId id = rig.Reserve();
  const JobRequest request = rig.MakeRequest(id, 1);
  rig.Submit(request);
  const auto start = rig.Of<StartAttempt>().at(0);
  rig.Submit(request);
  cr_assert(rig.actions.empty());
  rig.End(start, attempt::Succeeded{"1"});
  cr_assert_eq(rig.Of<AnswerCall>().size(), 2);
  rig.Submit(request);
  cr_assert(rig.Of<StartAttempt>().empty());
  cr_assert(std::holds_alternative<CompleteAnswer>(
      rig.Of<AnswerCall>().at(0).answer));
  rig.Advance(seconds(61));
  rig.Submit(request);
  cr_assert(rig.Of<StartAttempt>().empty());
  cr_assert(RefusalOf(rig).reason == RefusalReason::kAnswerExpired);
}

// Guards against running a different job under an id that is already used.
Test(dispatcher, refuses_other_content_under_a_used_id) {
  DispatcherRig rig;
  DispatcherRig::MakeReady(rig, 1);
  const JobId id = rig.Reserve();
  rig.Submit(rig.MakeRequest(id, 1));
  rig.Submit(rig.MakeRequest(id, 2));
  cr_assert(RefusalOf(rig).reason == RefusalReason::kIdReused);
  cr_assert(rig.Of<StartAttempt>().empty());
}

// Guards against a delayed duplicate of a submission that runs after the caller
// was told `not_run`.
Test(dispatcher, not_run_refusal_closes_the_id) {
  DispatcherRig rig;
  rig.Send(ConfigurationOffered{SmallConfiguration()});
  const JobId id = rig.Reserve();
  rig.Submit(rig.MakeRequest(id, 1));
  cr_assert(RefusalOf(rig).reason == RefusalReason::kNoUpstream);
  cr_assert(RefusalOf(rig).run == RunState::kNotRun);
  rig.Send(InstancesOffered{MakeList(1, {MakeUpstream(1)})});
  rig.Submit(rig.MakeRequest(id, 1));
  cr_assert(rig.Of<StartAttempt>().empty());
  cr_assert(RefusalOf(rig).run == RunState::kNotRun);
}

struct OutcomeCase {
  const char* name;
  const char* kind;
  AttemptOutcome outcome;
  bool starts_again;
  RunState run;
  RefusalReason reason;
};

// Guards against retrying a task that may have run, unless it is idempotent,
// and against wrong run states in refusals.
Test(dispatcher, outcome_of_an_attempt_decides_on_repetition) {
  using attempt::RefusalCause;
  const std::vector<OutcomeCase> cases = {
      {"failed", "book-chair", attempt::Failed{"x"}, false, RunState::kFailed,
       RefusalReason::kTaskFailed},
      {"failed, idempotent", "match-wig", attempt::Failed{"x"}, false,
       RunState::kFailed, RefusalReason::kTaskFailed},
      {"lost", "book-chair", attempt::Lost{"reset"}, false, RunState::kUnknown,
       RefusalReason::kTaskOutcomeUnknown},
      {"lost, idempotent", "match-wig", attempt::Lost{"reset"}, true, {}, {}},
      {"busy",
       "book-chair",
       attempt::Refused{RefusalCause::kBusy},
       true,
       {},
       {}},
      {"leaving",
       "book-chair",
       attempt::Refused{RefusalCause::kLeaving},
       true,
       {},
       {}},
      {"not sent", "book-chair", attempt::NotSent{}, true, {}, {}},
      {"too late", "book-chair", attempt::Refused{RefusalCause::kDeadline},
       false, RunState::kNotRun, RefusalReason::kDeadlineExceeded},
  };
  for (const OutcomeCase& row : cases) {
    DispatcherRig rig;
    DispatcherRig::MakeReady(rig, 3);
    rig.Submit(rig.MakeRequest(rig.Reserve(), 1, row.kind));
    rig.End(rig.Of<StartAttempt>().at(0), row.outcome);
    cr_assert_eq(rig.Of<StartAttempt>().size(), row.starts_again ? 1 : 0, "%s",
                 row.name);
    if (!row.starts_again) {
      cr_assert(RefusalOf(rig).run == row.run, "%s", row.name);
      cr_assert(RefusalOf(rig).reason == row.reason, "%s", row.name);
    }
  }
}

// Guards against a late response, or one from another upstream, that ends the
// current attempt.
Test(dispatcher, stale_responses_are_dropped) {
  DispatcherRig rig;
  DispatcherRig::MakeReady(rig, 3);
  rig.Submit(rig.MakeRequest(rig.Reserve(), 1, "match-wig"));
  const auto first = rig.Of<StartAttempt>().at(0);
  rig.End(first, attempt::Lost{"reset"});
  const auto second = rig.Of<StartAttempt>().at(0);
  rig.End(first, attempt::Succeeded{"\"late\""});
  cr_assert(rig.actions.empty());
  auto crossed = second;
  crossed.upstream = "u9";
  rig.End(crossed, attempt::Succeeded{"\"crossed\""});
  cr_assert(rig.actions.empty());
  rig.End(second, attempt::Succeeded{"\"right\""});
  const auto answer =
      std::get<CompleteAnswer>(rig.Of<AnswerCall>().at(0).answer);
  cr_assert(answer.results.at(0) == "\"right\"");
  rig.End(second, attempt::Succeeded{"\"twice\""});
  cr_assert(rig.actions.empty());
}

// Guards against starting tasks after the deadline when the process was paused:
// the deadline must be handled before the event that would start the task.
Test(dispatcher, paused_past_the_deadline_starts_nothing) {
  DispatcherRig rig;
  DispatcherRig::MakeReady(rig, 1);
  rig.Submit(rig.MakeRequest(rig.Reserve(), 40, "match-wig"));
  const auto starts = rig.Of<StartAttempt>();
  cr_assert_lt(starts.size(), 40);
  rig.now += seconds(6);
  rig.End(starts.at(0), attempt::Succeeded{"1"});
  cr_assert(rig.Of<StartAttempt>().empty());
  cr_assert(RefusalOf(rig).run == RunState::kUnknown);
  cr_assert(RefusalOf(rig).reason == RefusalReason::kDeadlineExceeded);
}

// Guards against an attempt timeout before the deadline for a slow task of a
// non-idempotent kind: the job would fail with an unknown outcome although the
// task succeeds.
Test(dispatcher, non_idempotent_task_has_time_for_a_slow_answer) {
  DispatcherRig rig;
  DispatcherRig::MakeReady(rig, 1);
  rig.Submit(rig.MakeRequest(rig.Reserve(), 1));
  const auto start = rig.Of<StartAttempt>().at(0);
  rig.Advance(milliseconds(4900));
  cr_assert(rig.actions.empty());
  rig.End(start, attempt::Succeeded{"1"});
  cr_assert(std::holds_alternative<CompleteAnswer>(
      rig.Of<AnswerCall>().at(0).answer));
}

// Guards against a kind whose attempts all time out because its declared run
// time is far too short. Timeouts are recorded as run times, so later attempts
// get more time.
Test(dispatcher, attempt_timeouts_follow_run_times) {
  DispatcherRig rig;
  DispatcherRig::MakeReady(rig, 3);
  JobRequest request = rig.MakeRequest(rig.Reserve(), 1, "match-wig");
  request.timeout = seconds(30);
  rig.Submit(request);
  const TimePoint began = rig.now;
  std::vector<StartAttempt> starts = rig.Of<StartAttempt>();
  // The second attempt, started after 2 s, succeeds 9 s later.
  while (rig.now < began + seconds(30)) {
    rig.Advance(milliseconds(100));
    for (const StartAttempt& start : rig.Of<StartAttempt>()) {
      starts.push_back(start);
    }
    cr_assert(rig.Of<AnswerCall>().empty());
    if (starts.size() == 2 && rig.now > began + seconds(11)) {
      break;
    }
  }
  rig.End(starts.at(1), attempt::Succeeded{"1"});
  cr_assert(std::holds_alternative<CompleteAnswer>(
      rig.Of<AnswerCall>().at(0).answer));
}

// Guards against wrong answers for ids that were issued by an earlier process
// of this entry or by another entry.
Test(dispatcher, ids_of_other_processes) {
  DispatcherRig rig;
  DispatcherRig::MakeReady(rig, 1);
  rig.Submit(rig.MakeRequest(JobId{"e1", {6}, 0}, 1));
  cr_assert(RefusalOf(rig).reason == RefusalReason::kIssuerGone);
  cr_assert(RefusalOf(rig).run == RunState::kFailed);
  const CallId call = rig.Submit(rig.MakeRequest(JobId{"e2", {6}, 0}, 1));
  const auto forward = rig.Of<ForwardCall>().at(0);
  cr_assert_eq(forward.address.port, 8002);
  rig.Send(ForwardFailed{.call = call, .id = forward.id});
  cr_assert(RefusalOf(rig).run == RunState::kUnknown);
  rig.Submit(rig.MakeRequest(JobId{"e9", {6}, 0}, 1));
  cr_assert(RefusalOf(rig).reason == RefusalReason::kIssuerUnreachable);
}

// Guards against an owner that uses the id of another owner.
Test(dispatcher, an_id_belongs_to_its_owner) {
  DispatcherRig rig;
  DispatcherRig::MakeReady(rig, 1);
  const JobId id = rig.Reserve("antwerp");
  rig.Submit(rig.MakeRequest(id, 1));
  cr_assert(RefusalOf(rig).reason == RefusalReason::kIdNeverIssued);
  cr_assert(rig.Of<StartAttempt>().empty());
  rig.Send(CancelJob{.call = {99}, .id = id, .owner = "ghent"});
  cr_assert(RefusalOf(rig).reason == RefusalReason::kIdNeverIssued);
}

// Guards against starting tasks before the claim of the key is confirmed, and
// against starting them twice under one key.
Test(dispatcher, keyed_submission_starts_after_its_claim) {
  DispatcherRig rig;
  DispatcherRig::MakeReady(rig, 1);
  const JobRequest request = rig.MakeRequest(SubmissionKey{"k"}, 1);
  const CallId first = rig.Submit(request);
  const auto claim = rig.Of<ClaimKey>().at(0);
  cr_assert(rig.Of<StartAttempt>().empty());
  const CallId second = rig.Submit(request);
  // The response to the second claim, which finds the first one, arrives before
  // the response to the first.
  rig.Send(
      KeyClaimSettled{.call = second, .result = KeyAlreadyClaimed{claim.id}});
  cr_assert_eq(rig.Of<StartAttempt>().size(), 1);
  rig.Send(KeyClaimSettled{.call = first, .result = KeyClaimFailed{}});
  cr_assert(rig.actions.empty());
  const CallId third = rig.Submit(request);
  rig.Send(KeyClaimSettled{.call = third, .result = KeyClaimFailed{}});
  cr_assert(RefusalOf(rig).run == RunState::kUnknown);
  cr_assert(rig.Of<StartAttempt>().empty());
}

// Guards against a drain that finishes while a job is running, or that issues
// new ids.
Test(dispatcher, drain_finishes_after_the_last_answer) {
  DispatcherRig rig;
  DispatcherRig::MakeReady(rig, 1);
  const JobId running = rig.Reserve();
  const JobId late = rig.Reserve();
  rig.Submit(rig.MakeRequest(running, 1));
  const auto start = rig.Of<StartAttempt>().at(0);
  rig.Send(DrainRequested{.notice = seconds(1)});
  rig.Send(ReserveIds{.call = {50}, .owner = "ghent"});
  cr_assert(RefusalOf(rig).reason == RefusalReason::kDraining);
  rig.Advance(seconds(2));
  cr_assert(rig.Of<DrainFinished>().empty());
  rig.Submit(rig.MakeRequest(late, 1));
  cr_assert(RefusalOf(rig).run == RunState::kNotRun);
  rig.End(start, attempt::Succeeded{"1"});
  cr_assert_eq(rig.Of<AnswerCall>().size(), 1);
  cr_assert_eq(rig.Of<DrainFinished>().size(), 1);
}

// Guards against replacing a configuration by an older one.
Test(dispatcher, configuration_versions_only_grow) {
  DispatcherRig rig;
  for (const std::uint64_t version : {3, 2, 3, 4, 1}) {
    rig.Send(ConfigurationOffered{SmallConfiguration(version)});
  }
  cr_assert_eq(rig.dispatcher.configuration()->version(), 4);
}

// Guards against starting tasks on an upstream that is leaving, even if a
// delayed older list contains it as live.
Test(dispatcher, leaving_upstream_gets_no_start) {
  DispatcherRig rig;
  DispatcherRig::MakeReady(rig, 1);
  rig.Send(InstancesOffered{
      MakeList(3, {MakeUpstream(1, InstanceState::kLeaving)})});
  rig.Send(InstancesOffered{MakeList(2, {MakeUpstream(1)})});
  rig.Send(InstancesOffered{MakeList(4, {MakeUpstream(1)})});
  rig.Submit(rig.MakeRequest(rig.Reserve(), 1));
  cr_assert(rig.Of<StartAttempt>().empty());
}

// Guards against reporting the errors of a request one at a time.
Test(dispatcher, bad_request_names_all_faults) {
  DispatcherRig rig;
  DispatcherRig::MakeReady(rig, 1);
  JobRequest request = rig.MakeRequest(rig.Reserve(), 0, "no-such-kind");
  request.owner = "ghent";
  request.timeout = Duration(0);
  rig.Submit(request);
  cr_assert(RefusalOf(rig).reason == RefusalReason::kBadRequest);
  cr_assert_eq(RefusalOf(rig).faults.size(), 3);
  rig.Submit(rig.MakeRequest(rig.Reserve(), 411));
  cr_assert_str_eq(RefusalOf(rig).faults.at(0).json_pointer.c_str(), "/tasks");
}

}  // namespace
}  // namespace jaypick::test
