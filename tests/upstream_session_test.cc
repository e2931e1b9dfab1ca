// What a commander knows of an upstream that answers late, twice or never.
#include "control/upstream_session.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <optional>

#include "control/fencing_token.h"

namespace jaypick::control {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kToken = FirstFencingToken(7);

RunId Run(std::uint32_t index, std::uint32_t run = 1) {
  return {.job = "5c0e7a21d94b36f8", .index = index, .run = run};
}

// Drives a session; the upstream's clock is 5 s behind ours.
class Rig {
 public:
  Rig() { session.Begin(now, outputs); }

  template <typename Output>
  std::optional<Output> Take() {
    const auto it = std::ranges::find_if(outputs, [](const auto& output) {
      return std::holds_alternative<Output>(output);
    });
    if (it == outputs.end()) {
      return std::nullopt;
    }
    Output output = std::get<Output>(*it);
    outputs.erase(it);
    return output;
  }

  std::optional<RunOutcome> EndOf(const RunId& run) {
    std::optional<RunOutcome> end;
    for (const SessionOutput& output : outputs) {
      const auto* const ended = std::get_if<RunEnded>(&output);
      if (ended != nullptr && ended->run == run) {
        end = ended->end;
      }
    }
    return end;
  }

  std::int64_t clock() const {
    return ToMilliseconds(now.time_since_epoch()) - 5000;
  }
  UpstreamTimestamps stamp() const {
    return {.clock_ms = clock(), .started_unix_ms = life};
  }

  void Answer(const PollRequest& look,
              std::vector<RunId> running = {},
              std::vector<ReportedRunEnd> ended = {}) {
    session.OnPollResponse(now, look.request_number,
                           PollResponse{.stamp = stamp(),
                                        .running = std::move(running),
                                        .ended = std::move(ended)},
                           outputs);
  }

  void BecomeReady() {
    Answer(*Take<PollRequest>());
    cr_assert(session.is_ready());
    outputs.clear();
  }

  StartRequest Start(const RunId& run) {
    session.Start(now, run, "p", outputs);
    return *Take<StartRequest>();
  }

  void Confirm(const StartRequest& start) {
    session.OnStartResponse(now, start.request_number,
                            RunResponse{.stamp = stamp()}, outputs);
  }

  void Pass(Duration duration) {
    now += duration;
    session.Advance(now, outputs);
  }

  TimePoint now{std::chrono::seconds(1000)};
  std::int64_t life = 1;
  SessionOutputs outputs;
  UpstreamSession session{SessionOptions(), kToken};
};

// Guards against orders before it is known what runs at the upstream.
Test(upstream_session, runs_of_a_predecessor_are_stopped_first) {
  Rig rig;
  const PollRequest look = *rig.Take<PollRequest>();
  cr_assert(!look.lease_expiry_ms, "a look extends the leases of others");
  rig.Answer(look, {Run(0)});
  cr_assert(!rig.session.is_ready());
  cr_assert_eq(rig.Take<StopRequest>()->run, Run(0));
  const PollRequest second = *rig.Take<PollRequest>();
  rig.Answer(second, {}, {{.number = 4, .run = Run(0)}});
  cr_assert(rig.session.is_ready());
}

// Guards against leases that outlive what the commander believes.
Test(upstream_session, leases_end_on_the_upstreams_clock) {
  Rig rig;
  rig.BecomeReady();
  const StartRequest start = rig.Start(Run(0));
  cr_assert_leq(start.lease_expiry_ms, rig.clock() + 1000);
  cr_assert_geq(rig.session.lease_bound(), rig.now + milliseconds(1020));
}

// Guards against an end that is counted twice or acknowledged too early.
Test(upstream_session, ends_are_reported_once_and_then_acknowledged) {
  Rig rig;
  rig.BecomeReady();
  rig.Confirm(rig.Start(Run(0)));
  const PollRequest look = *rig.Take<PollRequest>();
  cr_assert_eq(look.acknowledged, 0);
  rig.session.Start(rig.now, Run(1), "p", rig.outputs);
  const StartRequest second = *rig.Take<StartRequest>();
  rig.Confirm(second);
  const ReportedRunEnd end{
      .number = 3, .run = Run(0), .end = RunOutcome::kSucceeded};
  rig.Answer(look, {Run(1)}, {end});
  cr_assert(rig.EndOf(Run(0)) == RunOutcome::kSucceeded);
  rig.outputs.erase(std::ranges::find_if(rig.outputs, [](const auto& output) {
    return std::holds_alternative<RunEnded>(output);
  }));
  const PollRequest next = *rig.Take<PollRequest>();
  cr_assert_eq(next.acknowledged, 3);
  rig.Answer(next, {Run(1)}, {end});
  cr_assert(!rig.EndOf(Run(0)));
}

// Guards against a second run while the first start is still on its way: the
// answer is lost, and the order may be carried out seconds later.
Test(upstream_session, unanswered_start_is_fenced_off_before_it_is_given_up) {
  Rig rig;
  rig.BecomeReady();
  const StartRequest start = rig.Start(Run(0));
  rig.Pass(milliseconds(250));
  rig.session.OnStartResponse(rig.now, start.request_number, NoResponse{},
                              rig.outputs);
  cr_assert(!rig.session.is_ready());
  cr_assert(!rig.EndOf(Run(0)), "given up while it may still start");
  const PollRequest look = *rig.Take<PollRequest>();
  cr_assert_gt(look.token, start.token, "the late order is not refused");
  cr_assert(look.is_recovery);
  rig.Answer(look);
  cr_assert(rig.EndOf(Run(0)) == RunOutcome::kNotStarted);
  cr_assert(rig.session.is_ready());
}

// Guards against losing a run whose start was only not answered.
Test(upstream_session, unanswered_start_that_runs_is_kept) {
  Rig rig;
  rig.BecomeReady();
  const StartRequest start = rig.Start(Run(0));
  rig.session.OnStartResponse(rig.now, start.request_number, NoResponse{},
                              rig.outputs);
  rig.Answer(*rig.Take<PollRequest>(), {Run(0)});
  cr_assert(!rig.EndOf(Run(0)));
  cr_assert_eq(rig.session.runs(), 1);
}

// Guards against repeating a run at an upstream that fell silent before its
// lease has ended, slow clock included.
Test(upstream_session, runs_of_a_silent_upstream_lapse_with_their_lease) {
  Rig rig;
  rig.BecomeReady();
  rig.Confirm(rig.Start(Run(0)));
  const PollRequest look = *rig.Take<PollRequest>();
  rig.Pass(milliseconds(700));
  rig.session.OnPollResponse(rig.now, look.request_number, NoResponse{},
                             rig.outputs);
  const TimePoint bound = rig.session.lease_bound();
  while (rig.now + milliseconds(50) < bound) {
    rig.Pass(milliseconds(50));
    if (const auto again = rig.Take<PollRequest>()) {
      rig.session.OnPollResponse(rig.now, again->request_number, NoResponse{},
                                 rig.outputs);
    }
    cr_assert(!rig.EndOf(Run(0)));
  }
  cr_assert_eq(rig.session.lease_bound().time_since_epoch().count(),
               bound.time_since_epoch().count(),
               "doubt must not extend the lease for ever");
  rig.Pass(milliseconds(60));
  cr_assert(rig.EndOf(Run(0)) == RunOutcome::kLeaseExpired);
}

// Guards against a commander that goes on after somebody else took over.
Test(upstream_session, higher_token_elsewhere_ends_the_command) {
  Rig rig;
  rig.BecomeReady();
  const StartRequest start = rig.Start(Run(0));
  rig.session.OnStartResponse(
      rig.now, start.request_number,
      RunResponse{.result = ResponseStatus::kFenced, .stamp = rig.stamp()},
      rig.outputs);
  cr_assert(rig.Take<SessionFenced>().has_value());
  // Not `kLeaseExpired`: the run may go on until its lease ends.
  cr_assert(rig.EndOf(Run(0)) == RunOutcome::kTakenOver);
}

// Guards against taking our own raised token for somebody else's.
Test(upstream_session, order_overtaken_by_a_raised_token_did_not_start) {
  Rig rig;
  rig.BecomeReady();
  const StartRequest first = rig.Start(Run(0));
  const StartRequest second = rig.Start(Run(1));
  rig.session.OnStartResponse(rig.now, first.request_number, NoResponse{},
                              rig.outputs);
  rig.session.OnStartResponse(
      rig.now, second.request_number,
      RunResponse{.result = ResponseStatus::kFenced, .stamp = rig.stamp()},
      rig.outputs);
  cr_assert(!rig.Take<SessionFenced>().has_value());
}

// Guards against runs that are thought to go on at a new life under the same
// id.
Test(upstream_session, rebirth_ends_what_ran_before) {
  Rig rig;
  rig.BecomeReady();
  rig.Confirm(rig.Start(Run(0)));
  rig.life = 2;
  const StartRequest start = rig.Start(Run(1));
  rig.Confirm(start);
  cr_assert(rig.EndOf(Run(0)) == RunOutcome::kLeaseExpired);
  cr_assert(!rig.EndOf(Run(1)), "the new life has started it");
}

// Guards against a stop that is forgotten while the upstream is in doubt.
Test(upstream_session, stop_in_doubt_is_sent_when_the_upstream_answers) {
  Rig rig;
  rig.BecomeReady();
  rig.Confirm(rig.Start(Run(0)));
  const PollRequest look = *rig.Take<PollRequest>();
  rig.session.OnPollResponse(rig.now, look.request_number, NoResponse{},
                             rig.outputs);
  rig.session.Stop(rig.now, Run(0), rig.outputs);
  cr_assert(!rig.Take<StopRequest>());
  rig.Answer(*rig.Take<PollRequest>(), {Run(0)});
  cr_assert_eq(rig.Take<StopRequest>()->run, Run(0));
}

// Guards against ends that are never acknowledged at an idle upstream.
Test(upstream_session, idle_upstream_gets_a_last_acknowledgement) {
  Rig rig;
  rig.BecomeReady();
  rig.Confirm(rig.Start(Run(0)));
  rig.Answer(*rig.Take<PollRequest>(), {},
             {{.number = 1, .run = Run(0), .end = RunOutcome::kSucceeded}});
  cr_assert(!rig.Take<PollRequest>());
  rig.Pass(std::chrono::seconds(1));
  const auto look = rig.Take<PollRequest>();
  cr_assert(look && look->acknowledged == 1 && !look->lease_expiry_ms);
}

}  // namespace
}  // namespace jaypick::control
