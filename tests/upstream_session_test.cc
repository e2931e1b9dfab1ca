// A leader's session with an upstream that responds late, twice or never.
#include "control/upstream_session.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "control/fencing_token.h"
#include "control/forwarding_lease.h"

namespace jaypick::control {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kToken = FirstFencingToken(7);

RunId Run(std::uint32_t index, std::uint32_t run = 1) {
  return {.job = "5c0e7a21d94b36f8", .index = index, .run = run};
}

// Drives a session; the upstream's clock is 5 s behind the leader's at first.
class SessionRig {
 public:
  explicit SessionRig(double clock_rate = 1, SessionOptions options = {})
      : session(std::move(options), kToken), clock_rate_(clock_rate) {
    session.Begin(now, outputs);
  }

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
    const double elapsed = static_cast<double>((now - kBeginning).count());
    return kFirstClock + ToMilliseconds(Duration(static_cast<Duration::rep>(
                             elapsed * clock_rate_)));
  }
  // Returns when the upstream's clock shows `clock_ms`.
  TimePoint TimeAtClock(std::int64_t clock_ms) const {
    const Duration elapsed = milliseconds(clock_ms - kFirstClock);
    return kBeginning +
           Duration(static_cast<Duration::rep>(
               static_cast<double>(elapsed.count()) / clock_rate_));
  }
  UpstreamTimestamps stamp() const {
    return {.clock_ms = clock(), .started_unix_ms = incarnation};
  }

  void Respond(const PollRequest& poll,
               std::vector<RunId> running = {},
               std::vector<ReportedRunEnd> ended = {}) {
    session.OnPollResponse(now, poll.request_number,
                           PollResponse{.stamp = stamp(),
                                        .running = std::move(running),
                                        .ended = std::move(ended)},
                           outputs);
  }

  void BecomeReady() {
    Respond(*Take<PollRequest>());
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

  void AdvanceBy(Duration duration) {
    now += duration;
    session.Advance(now, outputs);
  }

  // Starts a run and answers the reading of the upstream's clock that may
  // precede it.
  StartRequest StartAfterClockReading(const RunId& run) {
    session.Start(now, run, "p", outputs);
    if (const auto poll = Take<PollRequest>()) {
      Respond(*poll);
    }
    return *Take<StartRequest>();
  }

  // No poll is answered until all leases have expired.
  void LoseUpstream(const NoResponse& response) {
    const TimePoint bound = session.lease_bound();
    while (now < bound) {
      if (const auto poll = Take<PollRequest>()) {
        session.OnPollResponse(now, poll->request_number, response, outputs);
      }
      AdvanceBy(milliseconds(20));
    }
  }

  static constexpr TimePoint kBeginning{std::chrono::seconds(1000)};
  static constexpr std::int64_t kFirstClock = 995'000;

  TimePoint now = kBeginning;
  std::int64_t incarnation = 1;
  SessionOutputs outputs;
  UpstreamSession session;

 private:
  double clock_rate_;
};

enum class StopAnswer { kDone, kUnhealthy, kNone };

// Responds to starts and polls at once and grants leases on its own clock, but
// carries out stops late or never.
class SlowlyStoppingUpstream {
 public:
  SlowlyStoppingUpstream(SessionRig& rig,
                         StopAnswer answer,
                         std::optional<Duration> stop_time)
      : rig_(rig), answer_(answer), stop_time_(stop_time) {}

  bool IsRunning(const RunId& run) const { return running_.contains(run); }
  int stops() const { return stops_; }

  void RunUntil(TimePoint end) {
    while (rig_.now < end) {
      rig_.AdvanceBy(milliseconds(5));
      while (const auto start = rig_.Take<StartRequest>()) {
        running_.insert(start->run);
        lease_expiry_ = std::max(lease_expiry_, start->lease_expiry_ms);
        rig_.Confirm(*start);
      }
      while (const auto stop = rig_.Take<StopRequest>()) {
        OnStop(*stop);
      }
      if (const auto poll = rig_.Take<PollRequest>()) {
        lease_expiry_ =
            std::max(lease_expiry_, poll->lease_expiry_ms.value_or(0));
        std::erase_if(ended_, [&](const ReportedRunEnd& ended) {
          return ended.number <= poll->acknowledged;
        });
        poll_ = poll;
        poll_due_ = rig_.now + poll->wait;
      }
      EndRuns();
      Respond();
    }
  }

 private:
  static constexpr Duration kStopTimeout = milliseconds(120);

  void OnStop(const StopRequest& stop) {
    ++stops_;
    if (stop_time_) {
      stop_due_.try_emplace(stop.run, rig_.now + *stop_time_);
    }
    unanswered_stops_.emplace_back(
        rig_.now + (answer_ == StopAnswer::kNone ? kStopTimeout : Duration(0)),
        stop.request_number);
  }

  void EndRuns() {
    for (const auto& [run, due] : stop_due_) {
      if (rig_.now >= due && running_.erase(run) > 0) {
        ended_.push_back(
            {.number = ++last_end_, .run = run, .end = RunOutcome::kStopped});
      }
    }
    if (rig_.clock() >= lease_expiry_) {
      for (const RunId& run : std::exchange(running_, {})) {
        ended_.push_back({.number = ++last_end_,
                          .run = run,
                          .end = RunOutcome::kLeaseExpired});
      }
    }
  }

  void Respond() {
    for (const auto& [due, number] : std::exchange(unanswered_stops_, {})) {
      if (rig_.now < due) {
        unanswered_stops_.emplace_back(due, number);
      } else if (answer_ == StopAnswer::kNone) {
        rig_.session.OnStopResponse(rig_.now, number, NoResponse{},
                                    rig_.outputs);
      } else {
        rig_.session.OnStopResponse(
            rig_.now, number,
            RunResponse{.result = answer_ == StopAnswer::kDone
                                      ? ResponseStatus::kDone
                                      : ResponseStatus::kUnhealthy,
                        .stamp = rig_.stamp()},
            rig_.outputs);
      }
    }
    if (poll_ && (rig_.now >= poll_due_ || !ended_.empty())) {
      rig_.Respond(*std::exchange(poll_, std::nullopt),
                   {running_.begin(), running_.end()}, ended_);
    }
  }

  SessionRig& rig_;
  StopAnswer answer_;
  // Absent: stops are not carried out.
  std::optional<Duration> stop_time_;
  std::set<RunId> running_;
  std::vector<ReportedRunEnd> ended_;
  std::uint64_t last_end_ = 0;
  std::int64_t lease_expiry_ = 0;
  std::optional<PollRequest> poll_;
  TimePoint poll_due_;
  std::map<RunId, TimePoint> stop_due_;
  std::vector<std::pair<TimePoint, RequestNumber>> unanswered_stops_;
  int stops_ = 0;
};

// Guards against starts before it is known what runs at the upstream.
Test(upstream_session, runs_of_a_predecessor_are_stopped_first) {
  SessionRig rig;
  const PollRequest poll = *rig.Take<PollRequest>();
  cr_assert(!poll.lease_expiry_ms,
            "the first poll extends leases of another leader");
  rig.Respond(poll, {Run(0)});
  cr_assert(!rig.session.is_ready());
  cr_assert_eq(rig.Take<StopRequest>()->run, Run(0));
  const PollRequest second = *rig.Take<PollRequest>();
  rig.Respond(second, {}, {{.number = 4, .run = Run(0)}});
  cr_assert(rig.session.is_ready());
}

// Guards against leases that last longer than the leader assumes.
Test(upstream_session, leases_end_on_the_upstreams_clock) {
  SessionRig rig;
  rig.BecomeReady();
  const StartRequest start = rig.Start(Run(0));
  cr_assert_leq(start.lease_expiry_ms, rig.clock() + 1000);
  cr_assert_geq(rig.session.lease_bound(), rig.now + milliseconds(1020));
}

// Guards against a lease that ends after the session has declared it over: the
// upstream's clock is estimated from a reading that may be old.
Test(upstream_session, leases_end_by_their_bound_after_silence) {
  for (const double clock_rate : {0.98, 1.0, 1.0005}) {
    for (const int idle_seconds : {1, 9, 30, 300}) {
      SessionRig rig(clock_rate);
      rig.BecomeReady();
      rig.AdvanceBy(std::chrono::seconds(idle_seconds));
      const StartRequest start = rig.StartAfterClockReading(Run(0));
      const std::int64_t lease =
          ToMilliseconds(rig.TimeAtClock(start.lease_expiry_ms) - rig.now);
      const std::int64_t bound =
          ToMilliseconds(rig.session.lease_bound() - rig.now);
      cr_expect(lease <= bound && lease >= 790,
                "rate %.4f, idle for %d s: the lease ends after %d ms, and its "
                "bound is %d ms",
                clock_rate, idle_seconds, static_cast<int>(lease),
                static_cast<int>(bound));
    }
  }
}

// Guards against a start with a lease so short that it expires before it can be
// extended, because the upstream's clock was read long ago.
Test(upstream_session, clock_is_read_before_a_start_after_long_silence) {
  SessionRig rig;
  rig.BecomeReady();
  rig.AdvanceBy(std::chrono::seconds(60));
  cr_assert(!rig.Take<PollRequest>(), "an idle upstream is polled");
  rig.session.Start(rig.now, Run(0), "p", rig.outputs);
  rig.session.Start(rig.now, Run(1), "p", rig.outputs);
  cr_assert(!rig.Take<StartRequest>());
  const PollRequest poll = *rig.Take<PollRequest>();
  cr_assert(poll.wait == Duration(0) && !poll.lease_expiry_ms);
  cr_assert(!rig.Take<PollRequest>(), "one reading serves all starts");
  rig.AdvanceBy(milliseconds(1));
  rig.Respond(poll);
  for (const RunId& run : {Run(0), Run(1)}) {
    const auto start = rig.Take<StartRequest>();
    cr_assert(start && start->run == run && start->payload == "p");
    cr_assert_eq(start->lease_expiry_ms, rig.clock() + 1000);
    rig.Confirm(*start);
  }
  cr_assert(rig.Take<PollRequest>()->lease_expiry_ms.has_value());
}

// Guards against a run that waits for an upstream that does not respond, or
// that is taken for lost there although it was never sent.
Test(upstream_session, start_that_was_not_sent_ends_when_the_clock_is_unread) {
  SessionRig rig;
  rig.BecomeReady();
  rig.AdvanceBy(std::chrono::seconds(60));
  rig.session.Start(rig.now, Run(0), "p", rig.outputs);
  const PollRequest poll = *rig.Take<PollRequest>();
  rig.AdvanceBy(milliseconds(240));
  rig.session.OnPollResponse(rig.now, poll.request_number, NoResponse{},
                             rig.outputs);
  cr_assert(rig.EndOf(Run(0)) == RunOutcome::kNotStarted);
  cr_assert(!rig.session.is_ready());
  rig.Respond(*rig.Take<PollRequest>());
  cr_assert(rig.session.is_ready());
  cr_assert(!rig.Take<StartRequest>());
}

// Guards against a crash that is charged to a run that was never sent.
Test(upstream_session, start_that_was_not_sent_does_not_crash_the_upstream) {
  SessionRig rig;
  rig.BecomeReady();
  rig.AdvanceBy(std::chrono::seconds(60));
  rig.session.Start(rig.now, Run(0), "p", rig.outputs);
  rig.session.OnPollResponse(
      rig.now, rig.Take<PollRequest>()->request_number,
      PollResponse{.result = ResponseStatus::kOtherIncarnation}, rig.outputs);
  cr_assert(rig.EndOf(Run(0)) == RunOutcome::kNotStarted);
}

// Guards against a start that is sent after it was cancelled.
Test(upstream_session, stop_of_a_start_that_was_not_sent_ends_it_at_once) {
  SessionRig rig;
  rig.BecomeReady();
  rig.AdvanceBy(std::chrono::seconds(60));
  rig.session.Start(rig.now, Run(0), "p", rig.outputs);
  rig.session.Stop(rig.now, Run(0), rig.outputs);
  cr_assert(rig.EndOf(Run(0)) == RunOutcome::kNotStarted);
  rig.Respond(*rig.Take<PollRequest>());
  cr_assert(!rig.Take<StartRequest>() && !rig.Take<StopRequest>());
  cr_assert(rig.session.is_ready());
}

// Guards against a bound that the end of a lease exceeds by rounding.
Test(upstream_session, leases_end_by_their_bound_in_steady_work) {
  for (const double clock_rate : {0.98, 1.0, 1.0005}) {
    SessionRig rig(clock_rate);
    rig.BecomeReady();
    rig.Confirm(rig.Start(Run(0)));
    PollRequest poll = *rig.Take<PollRequest>();
    TimePoint lease_end = rig.TimeAtClock(*poll.lease_expiry_ms);
    for (int number = 0; number < 100; ++number) {
      rig.AdvanceBy(std::chrono::microseconds(499'337));
      rig.Respond(poll, {Run(0)});
      poll = *rig.Take<PollRequest>();
      const TimePoint renewed = rig.TimeAtClock(*poll.lease_expiry_ms);
      cr_assert_geq(ToMilliseconds(lease_end - rig.now), 480,
                    "renewed late, rate %.4f", clock_rate);
      cr_assert_geq(ToMilliseconds(renewed - rig.now), 990, "rate %.4f",
                    clock_rate);
      cr_assert_leq((renewed - rig.now).count(),
                    (rig.session.lease_bound() - rig.now).count(), "rate %.4f",
                    clock_rate);
      lease_end = renewed;
    }
  }
}

// Guards against an end that is reported twice or acknowledged too early.
Test(upstream_session, ends_are_reported_once_and_then_acknowledged) {
  SessionRig rig;
  rig.BecomeReady();
  rig.Confirm(rig.Start(Run(0)));
  const PollRequest poll = *rig.Take<PollRequest>();
  cr_assert_eq(poll.acknowledged, 0);
  rig.session.Start(rig.now, Run(1), "p", rig.outputs);
  const StartRequest second = *rig.Take<StartRequest>();
  rig.Confirm(second);
  const ReportedRunEnd end{
      .number = 3, .run = Run(0), .end = RunOutcome::kSucceeded};
  rig.Respond(poll, {Run(1)}, {end});
  cr_assert(rig.EndOf(Run(0)) == RunOutcome::kSucceeded);
  rig.outputs.erase(std::ranges::find_if(rig.outputs, [](const auto& output) {
    return std::holds_alternative<RunEnded>(output);
  }));
  const PollRequest next = *rig.Take<PollRequest>();
  cr_assert_eq(next.acknowledged, 3);
  rig.Respond(next, {Run(1)}, {end});
  cr_assert(!rig.EndOf(Run(0)));
}

// Guards against a second run while the first start is still in flight: the
// response is lost, and the request may be carried out seconds later.
Test(upstream_session, unanswered_start_is_fenced_before_its_run_ends) {
  SessionRig rig;
  rig.BecomeReady();
  const StartRequest start = rig.Start(Run(0));
  rig.AdvanceBy(milliseconds(250));
  rig.session.OnStartResponse(rig.now, start.request_number, NoResponse{},
                              rig.outputs);
  cr_assert(!rig.session.is_ready());
  cr_assert(!rig.EndOf(Run(0)), "run ended while it may still start");
  const PollRequest poll = *rig.Take<PollRequest>();
  cr_assert_gt(poll.token, start.token,
               "the delayed start request is not fenced");
  cr_assert(poll.is_recovery);
  rig.Respond(poll);
  cr_assert(rig.EndOf(Run(0)) == RunOutcome::kNotStarted);
  cr_assert(rig.session.is_ready());
}

// Guards against losing a run that started although the response was lost.
Test(upstream_session, unanswered_start_that_runs_is_kept) {
  SessionRig rig;
  rig.BecomeReady();
  const StartRequest start = rig.Start(Run(0));
  rig.session.OnStartResponse(rig.now, start.request_number, NoResponse{},
                              rig.outputs);
  rig.Respond(*rig.Take<PollRequest>(), {Run(0)});
  cr_assert(!rig.EndOf(Run(0)));
  cr_assert_eq(rig.session.runs(), 1);
}

// Guards against retrying a run before its lease has ended at an upstream that
// stopped responding; the upstream's clock may be slow.
Test(upstream_session, runs_of_a_silent_upstream_end_with_their_lease) {
  SessionRig rig;
  rig.BecomeReady();
  rig.Confirm(rig.Start(Run(0)));
  const PollRequest poll = *rig.Take<PollRequest>();
  rig.AdvanceBy(milliseconds(700));
  rig.session.OnPollResponse(rig.now, poll.request_number, NoResponse{},
                             rig.outputs);
  const TimePoint bound = rig.session.lease_bound();
  while (rig.now + milliseconds(50) < bound) {
    rig.AdvanceBy(milliseconds(50));
    if (const auto again = rig.Take<PollRequest>()) {
      rig.session.OnPollResponse(rig.now, again->request_number, NoResponse{},
                                 rig.outputs);
    }
    cr_assert(!rig.EndOf(Run(0)));
  }
  cr_assert_eq(rig.session.lease_bound().time_since_epoch().count(),
               bound.time_since_epoch().count(),
               "recovery polls must not extend the lease");
  rig.AdvanceBy(milliseconds(60));
  cr_assert(rig.EndOf(Run(0)) == RunOutcome::kUpstreamSilent);
}

// Guards against a crash of the upstream that passes for silence, so that the
// task that caused it crashes further upstreams.
Test(upstream_session, upstream_that_refuses_connections_has_likely_crashed) {
  SessionRig rig;
  rig.BecomeReady();
  rig.Confirm(rig.Start(Run(0)));
  const PollRequest poll = *rig.Take<PollRequest>();
  const TimePoint bound = rig.session.lease_bound();
  rig.session.OnPollResponse(rig.now, poll.request_number, NoResponse{},
                             rig.outputs);
  while (rig.now < bound) {
    cr_assert(!rig.EndOf(Run(0)), "a cut may look the same");
    if (const auto again = rig.Take<PollRequest>()) {
      rig.session.OnPollResponse(
          rig.now, again->request_number,
          NoResponse{.not_sent = true, .is_refused = true}, rig.outputs);
    }
    rig.AdvanceBy(milliseconds(20));
  }
  rig.AdvanceBy(milliseconds(60));
  cr_assert(rig.EndOf(Run(0)) == RunOutcome::kUpstreamLikelyCrashed);
}

// Guards against a task that is charged with the crash of an upstream that its
// start may never have reached, and against a job that is answered as not run
// although the start may have been carried out.
Test(upstream_session, unconfirmed_start_is_charged_with_no_crash) {
  for (const bool is_refused : {false, true}) {
    SessionRig rig;
    rig.BecomeReady();
    rig.Confirm(rig.Start(Run(0)));
    const StartRequest start = rig.Start(Run(1));
    rig.session.OnStartResponse(rig.now, start.request_number, NoResponse{},
                                rig.outputs);
    rig.LoseUpstream({.not_sent = is_refused, .is_refused = is_refused});
    const auto end = rig.EndOf(Run(1));
    cr_assert(end.has_value());
    cr_assert(schedule::DidStart(*end));
    cr_assert(*end == RunOutcome::kStartUnconfirmed, "%s",
              std::string(schedule::ToString(*end)).c_str());
    cr_assert(rig.EndOf(Run(0)) == (is_refused
                                        ? RunOutcome::kUpstreamLikelyCrashed
                                        : RunOutcome::kUpstreamSilent));
  }
}

// Guards against a run that is answered as not started although the earlier
// incarnation of the upstream may have run it.
Test(upstream_session, start_before_a_restart_may_have_run) {
  SessionRig rig;
  rig.BecomeReady();
  const StartRequest start = rig.Start(Run(0));
  rig.session.OnStartResponse(rig.now, start.request_number, NoResponse{},
                              rig.outputs);
  rig.incarnation = 2;
  rig.Respond(*rig.Take<PollRequest>());
  cr_assert(rig.session.is_ready());
  const auto end = rig.EndOf(Run(0));
  cr_assert(end.has_value());
  cr_assert(schedule::DidStart(*end), "%s",
            std::string(schedule::ToString(*end)).c_str());
}

// Guards against a task that is suspected of a crash because its leader was
// paused for longer than the lease: the upstream is well and says so.
Test(upstream_session, run_that_lapsed_at_a_live_upstream_is_no_crash) {
  SessionRig rig;
  rig.BecomeReady();
  rig.Confirm(rig.Start(Run(0)));
  const PollRequest poll = *rig.Take<PollRequest>();
  rig.now += milliseconds(700);
  rig.Respond(poll, {});
  cr_assert(rig.EndOf(Run(0)) == RunOutcome::kLeaseExpired);
}

// Guards against a leader that continues after another one has taken over.
Test(upstream_session, higher_token_at_the_upstream_ends_the_session) {
  SessionRig rig;
  rig.BecomeReady();
  const StartRequest start = rig.Start(Run(0));
  rig.session.OnStartResponse(
      rig.now, start.request_number,
      RunResponse{.result = ResponseStatus::kFenced, .stamp = rig.stamp()},
      rig.outputs);
  cr_assert(rig.Take<SessionFenced>().has_value());
  // Not `kLeaseExpired`: the run may continue until its lease ends.
  cr_assert(rig.EndOf(Run(0)) == RunOutcome::kTakenOver);
}

// Guards against mistaking the session's own raised token for that of another
// leader.
Test(upstream_session, start_fenced_by_the_own_token_does_not_end_the_session) {
  SessionRig rig;
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

// Guards against runs that are believed to continue at a new incarnation under
// the same id.
Test(upstream_session, restart_of_the_upstream_ends_earlier_runs) {
  SessionRig rig;
  rig.BecomeReady();
  rig.Confirm(rig.Start(Run(0)));
  rig.incarnation = 2;
  const StartRequest start = rig.Start(Run(1));
  rig.Confirm(start);
  cr_assert(rig.EndOf(Run(0)) == RunOutcome::kUpstreamCrashed);
  cr_assert(!rig.EndOf(Run(1)), "the new incarnation has started it");
}

// Guards against the response of an earlier incarnation, read late, that ends
// runs of the present one: the task is then started beside its running copy.
Test(upstream_session, late_responses_of_an_earlier_incarnation_end_no_run) {
  SessionRig rig;
  rig.incarnation = 1000;
  rig.BecomeReady();
  rig.Confirm(rig.Start(Run(0)));
  rig.session.Stop(rig.now, Run(0), rig.outputs);
  const StopRequest stop = *rig.Take<StopRequest>();
  const StartRequest unanswered = rig.Start(Run(1));
  const StartRequest start = rig.Start(Run(2));
  const UpstreamTimestamps earlier = rig.stamp();
  rig.outputs.clear();
  rig.incarnation = 3000;
  rig.Confirm(start);
  cr_assert(rig.EndOf(Run(0)) == RunOutcome::kUpstreamCrashed);
  rig.session.OnStopResponse(rig.now, stop.request_number,
                             RunResponse{.stamp = earlier}, rig.outputs);
  rig.session.OnStartResponse(rig.now, unanswered.request_number,
                              RunResponse{.stamp = earlier}, rig.outputs);
  cr_assert(!rig.EndOf(Run(2)), "the present incarnation runs it");
  cr_assert_eq(*rig.session.started_unix_ms(), 3000);
  cr_assert(!rig.EndOf(Run(1)), "it may still start");
  const PollRequest poll = *rig.Take<PollRequest>();
  cr_assert(poll.is_recovery && poll.token > unanswered.token);
  rig.Respond(poll, {Run(2)});
  cr_assert(rig.session.is_ready());
  cr_assert(rig.EndOf(Run(1)) == RunOutcome::kStartUnconfirmed,
            "the earlier incarnation may have run it");
  cr_assert(!rig.EndOf(Run(2)));
}

// Guards against the same response after the service discovery has shown the
// restart.
Test(upstream_session, late_stop_response_after_a_listed_restart_ends_no_run) {
  SessionRig rig;
  rig.incarnation = 1000;
  rig.BecomeReady();
  rig.Confirm(rig.Start(Run(0)));
  rig.session.Stop(rig.now, Run(0), rig.outputs);
  const StopRequest stop = *rig.Take<StopRequest>();
  const UpstreamTimestamps earlier = rig.stamp();
  rig.outputs.clear();
  rig.incarnation = 3000;
  rig.session.OnUpstreamRestarted(rig.now, 3000, rig.outputs);
  rig.BecomeReady();
  rig.Confirm(rig.Start(Run(1)));
  rig.session.OnStopResponse(rig.now, stop.request_number,
                             RunResponse{.stamp = earlier}, rig.outputs);
  cr_assert(!rig.EndOf(Run(1)));
  cr_assert(rig.session.is_ready());
  cr_assert_eq(*rig.session.started_unix_ms(), 3000);
}

// Guards against an upstream that stays unusable, or whose runs are started
// again beside it, since its time of day was set back before it restarted.
Test(upstream_session, restart_with_an_earlier_start_time_is_confirmed_first) {
  SessionRig rig;
  rig.incarnation = 3000;
  rig.BecomeReady();
  rig.Confirm(rig.Start(Run(0)));
  rig.outputs.clear();
  rig.incarnation = 1000;
  rig.Confirm(rig.Start(Run(1)));
  cr_assert(!rig.EndOf(Run(0)));
  cr_assert(!rig.EndOf(Run(1)));
  cr_assert_eq(*rig.session.started_unix_ms(), 3000);
  cr_assert(!rig.session.is_ready());
  const PollRequest poll = *rig.Take<PollRequest>();
  cr_assert(poll.is_recovery);
  rig.Respond(poll, {Run(1)});
  cr_assert(rig.EndOf(Run(0)) == RunOutcome::kUpstreamCrashed);
  cr_assert(!rig.EndOf(Run(1)));
  cr_assert(rig.session.is_ready());
  cr_assert_eq(*rig.session.started_unix_ms(), 1000);
}

// Guards against the end of a run that the present incarnation has started
// before the restart was known: the response to a start need not name the
// incarnation.
Test(upstream_session, run_that_the_restarted_upstream_lists_is_kept) {
  SessionRig rig;
  rig.BecomeReady();
  rig.Confirm(rig.Start(Run(0)));
  const PollRequest poll = *rig.Take<PollRequest>();
  rig.AdvanceBy(milliseconds(10));
  const StartRequest start = rig.Start(Run(1));
  rig.incarnation = 2;
  rig.session.OnStartResponse(rig.now, start.request_number,
                              RunResponse{.stamp = {.clock_ms = rig.clock()}},
                              rig.outputs);
  rig.AdvanceBy(milliseconds(10));
  rig.Respond(poll, {Run(1)});
  rig.Respond(*rig.Take<PollRequest>(), {Run(1)});
  cr_assert(rig.EndOf(Run(0)) == RunOutcome::kUpstreamCrashed);
  cr_assert(!rig.EndOf(Run(1)));
  cr_assert(rig.session.is_ready());
}

// Guards against an entry of another writer that ends the runs of an upstream,
// which are then started again beside it.
Test(upstream_session, listed_restart_that_the_upstream_denies_ends_no_run) {
  constexpr std::int64_t kListed = 8'999'999'999'999'999;
  SessionRig rig;
  rig.BecomeReady();
  const StartRequest start = rig.Start(Run(0));
  rig.Confirm(start);
  rig.outputs.clear();
  rig.session.OnUpstreamRestarted(rig.now, kListed, rig.outputs);
  cr_assert(!rig.EndOf(Run(0)));
  const PollRequest poll = *rig.Take<PollRequest>();
  cr_assert(poll.is_recovery && poll.wait == Duration(0));
  cr_assert_gt(poll.token, start.token);
  rig.Respond(poll, {Run(0)});
  cr_assert(rig.session.is_ready());
  cr_assert_eq(*rig.session.started_unix_ms(), 1);
  cr_assert_eq(rig.session.runs(), 1);
  rig.Confirm(rig.Start(Run(1)));
  cr_assert_leq(rig.session.lease_bound(), rig.now + milliseconds(1031));
}

// Guards against polls and held starts at each change of a list that holds
// wrong entries.
Test(upstream_session, wrong_listed_start_times_are_rarely_verified) {
  SessionRig rig;
  rig.BecomeReady();
  rig.Confirm(rig.Start(Run(0)));
  int polls = 0;
  for (int change = 0; change < 100; ++change) {
    rig.outputs.clear();
    rig.AdvanceBy(milliseconds(10));
    const std::int64_t listed = change < 50 ? 9000 : 9000 + change;
    rig.session.OnUpstreamRestarted(rig.now, listed, rig.outputs);
    rig.session.OnUpstreamRestarted(rig.now, 1, rig.outputs);
    if (const auto poll = rig.Take<PollRequest>()) {
      ++polls;
      rig.Respond(*poll, {Run(0)});
    }
    cr_assert(rig.session.is_ready());
  }
  cr_assert_eq(polls, 2, "%d polls", polls);
  cr_assert_eq(rig.session.runs(), 1);
}

// Guards against runs that are awaited at a restarted upstream until their
// leases end, also after wrong entries.
Test(upstream_session, listed_restart_that_the_upstream_confirms_ends_runs) {
  SessionRig rig;
  rig.incarnation = 1000;
  rig.BecomeReady();
  rig.Confirm(rig.Start(Run(0)));
  for (const std::int64_t restart : {2000, 2001}) {
    rig.outputs.clear();
    rig.AdvanceBy(milliseconds(10));
    rig.incarnation = restart;
    rig.session.OnUpstreamRestarted(rig.now, restart, rig.outputs);
    rig.Respond(*rig.Take<PollRequest>());
    cr_assert(rig.EndOf(Run(0)) == RunOutcome::kUpstreamCrashed);
    cr_assert(rig.session.is_ready());
    rig.Confirm(rig.Start(Run(0)));
  }
}

// Guards against runs that never end at an upstream that is listed as restarted
// and does not respond.
Test(upstream_session, runs_end_with_their_lease_after_a_listed_restart) {
  SessionRig rig;
  rig.BecomeReady();
  rig.Confirm(rig.Start(Run(0)));
  rig.outputs.clear();
  rig.session.OnUpstreamRestarted(rig.now, 2, rig.outputs);
  const TimePoint bound = rig.now + milliseconds(1031);
  while (rig.now < bound) {
    cr_assert(!rig.EndOf(Run(0)));
    if (const auto poll = rig.Take<PollRequest>()) {
      rig.session.OnPollResponse(rig.now, poll->request_number, NoResponse{},
                                 rig.outputs);
    }
    rig.session.OnUpstreamRestarted(rig.now, 2, rig.outputs);
    rig.AdvanceBy(milliseconds(10));
  }
  cr_assert(rig.EndOf(Run(0)) == RunOutcome::kUpstreamSilent);
}

// Guards against a stop that is lost while the session recovers.
Test(upstream_session,
     stop_during_recovery_is_sent_when_the_upstream_responds) {
  SessionRig rig;
  rig.BecomeReady();
  rig.Confirm(rig.Start(Run(0)));
  const PollRequest poll = *rig.Take<PollRequest>();
  rig.session.OnPollResponse(rig.now, poll.request_number, NoResponse{},
                             rig.outputs);
  rig.session.Stop(rig.now, Run(0), rig.outputs);
  cr_assert(!rig.Take<StopRequest>());
  rig.Respond(*rig.Take<PollRequest>(), {Run(0)});
  cr_assert_eq(rig.Take<StopRequest>()->run, Run(0));
}

// Guards against a run of an abandoned job that continues for as long as other
// runs on its upstream, beside a run of the job's next submission elsewhere.
Test(upstream_session, run_ends_in_time_though_its_stop_is_not_carried_out) {
  // A caller submits a job again at the earliest after this time.
  constexpr Duration kResubmission = milliseconds(1300);
  for (const StopAnswer answer :
       {StopAnswer::kDone, StopAnswer::kUnhealthy, StopAnswer::kNone}) {
    for (int delay = 0; delay < 500; delay += 45) {
      SessionRig rig(0.98);
      rig.BecomeReady();
      SlowlyStoppingUpstream upstream(rig, answer, std::nullopt);
      rig.session.Start(rig.now, Run(0), "p", rig.outputs);
      rig.session.Start(rig.now, Run(1), "p", rig.outputs);
      upstream.RunUntil(rig.now + milliseconds(700 + delay));
      cr_assert(upstream.IsRunning(Run(0)));
      rig.session.Stop(rig.now, Run(0), rig.outputs);
      const TimePoint stopped = rig.now;
      upstream.RunUntil(stopped + kResubmission);
      cr_assert(!upstream.IsRunning(Run(0)),
                "answer %d, stopped after %d ms: still running",
                static_cast<int>(answer), 700 + delay);
      cr_assert(rig.EndOf(Run(0)) == RunOutcome::kLeaseExpired);
      cr_assert(rig.session.is_ready());
      cr_assert_geq(upstream.stops(), 2, "the stop is not repeated");
    }
  }
}

// Guards against a bound that holds only if the upstream reports the end.
Test(upstream_session, leases_are_not_extended_after_an_unconfirmed_stop) {
  SessionRig rig;
  rig.BecomeReady();
  rig.Confirm(rig.Start(Run(0)));
  rig.Confirm(rig.Start(Run(1)));
  rig.session.Stop(rig.now, Run(0), rig.outputs);
  const TimePoint stopped = rig.now;
  PollRequest poll = *rig.Take<PollRequest>();
  cr_assert(rig.session.next_wakeup() == stopped + milliseconds(200));
  for (int number = 0; number < 30; ++number) {
    rig.AdvanceBy(milliseconds(100));
    rig.Respond(poll, {Run(0), Run(1)});
    poll = *rig.Take<PollRequest>();
    cr_assert_leq(
        ToMilliseconds(rig.session.lease_bound() - stopped), 1300,
        "leases may last for %d ms after the stop",
        static_cast<int>(ToMilliseconds(rig.session.lease_bound() - stopped)));
  }
  cr_assert(!rig.session.is_ready(), "a start would extend the leases");
}

// Guards against runs that lapse because another one on their upstream was
// stopped slowly.
Test(upstream_session, other_runs_outlast_a_slow_stop) {
  for (const StopAnswer answer : {StopAnswer::kDone, StopAnswer::kNone}) {
    for (int delay = 0; delay < 500; delay += 45) {
      SessionRig rig;
      rig.BecomeReady();
      SlowlyStoppingUpstream upstream(rig, answer, milliseconds(500));
      rig.session.Start(rig.now, Run(0), "p", rig.outputs);
      rig.session.Start(rig.now, Run(1), "p", rig.outputs);
      upstream.RunUntil(rig.now + milliseconds(700 + delay));
      rig.session.Stop(rig.now, Run(0), rig.outputs);
      const TimePoint stopped = rig.now;
      upstream.RunUntil(stopped + milliseconds(100));
      cr_assert(answer == StopAnswer::kNone || rig.session.is_ready());
      upstream.RunUntil(stopped + std::chrono::seconds(3));
      cr_assert(rig.EndOf(Run(0)) == RunOutcome::kStopped);
      cr_assert(upstream.IsRunning(Run(1)) && !rig.EndOf(Run(1)));
      cr_assert(rig.session.is_ready());
    }
  }
}

// Guards against a poll that extends leases because the state of the upstream
// is unknown, while a stop is not confirmed.
Test(upstream_session, recovery_does_not_extend_the_lease_of_a_stopped_run) {
  SessionRig rig;
  rig.BecomeReady();
  rig.Confirm(rig.Start(Run(0)));
  const PollRequest poll = *rig.Take<PollRequest>();
  rig.session.Stop(rig.now, Run(0), rig.outputs);
  rig.AdvanceBy(milliseconds(450));
  rig.session.OnPollResponse(rig.now, poll.request_number, NoResponse{},
                             rig.outputs);
  const PollRequest recovery = *rig.Take<PollRequest>();
  cr_assert(recovery.is_recovery && !recovery.lease_expiry_ms);
  rig.outputs.clear();
  rig.Respond(recovery, {Run(0)});
  cr_assert_eq(rig.Take<StopRequest>()->run, Run(0));
  cr_assert(!rig.session.is_ready());
  cr_assert(!rig.Take<PollRequest>()->lease_expiry_ms);
}

// Guards against a poll or a start that extends the lease of a run soon after
// its stop was requested, when the stop may be lost.
Test(upstream_session, lease_is_not_extended_while_a_stop_is_pending) {
  SessionRig rig;
  rig.BecomeReady();
  rig.Confirm(rig.Start(Run(0)));
  const PollRequest poll = *rig.Take<PollRequest>();
  rig.AdvanceBy(milliseconds(100));
  rig.session.Stop(rig.now, Run(0), rig.outputs);
  const TimePoint bound = rig.session.lease_bound();
  rig.session.Start(rig.now, Run(1), "p", rig.outputs);
  const auto start = rig.Take<StartRequest>();
  cr_assert(start.has_value(), "enough of the lease is left");
  rig.AdvanceBy(milliseconds(50));
  rig.Respond(poll, {Run(0), Run(1)});
  const PollRequest next = *rig.Take<PollRequest>();
  cr_assert(!next.lease_expiry_ms);
  cr_assert(rig.session.lease_bound() == bound);
  rig.Respond(next, {Run(1)}, {{.number = 1, .run = Run(0)}});
  cr_assert(rig.Take<PollRequest>()->lease_expiry_ms.has_value());
}

// Guards against a start whose lease ends before it can be extended.
Test(upstream_session,
     start_needs_enough_of_the_lease_while_a_stop_is_pending) {
  SessionRig rig;
  rig.BecomeReady();
  rig.Confirm(rig.Start(Run(0)));
  rig.now += milliseconds(800);
  rig.session.Stop(rig.now, Run(0), rig.outputs);
  rig.session.Start(rig.now, Run(1), "p", rig.outputs);
  cr_assert(!rig.Take<StartRequest>());
  cr_assert(rig.EndOf(Run(1)) == RunOutcome::kNotStarted);
}

// Guards against a start that extends the lease of a run to be stopped before
// the session has noticed that the stop is late.
Test(upstream_session, start_beside_an_unconfirmed_stop_is_not_sent) {
  SessionRig rig;
  rig.BecomeReady();
  rig.Confirm(rig.Start(Run(0)));
  rig.session.Stop(rig.now, Run(0), rig.outputs);
  rig.now += milliseconds(900);
  const TimePoint bound = rig.session.lease_bound();
  rig.session.Start(rig.now, Run(1), "p", rig.outputs);
  cr_assert(!rig.Take<StartRequest>());
  cr_assert(rig.EndOf(Run(1)) == RunOutcome::kNotStarted);
  cr_assert(rig.session.lease_bound() == bound);
}

// Guards against leases that are extended for a run that nobody waits for and
// that is not part of the session.
Test(upstream_session, unknown_run_that_does_not_stop_gets_no_leases) {
  SessionRig rig;
  rig.BecomeReady();
  rig.Confirm(rig.Start(Run(0)));
  rig.Respond(*rig.Take<PollRequest>(), {Run(0), Run(9)});
  cr_assert_eq(rig.Take<StopRequest>()->run, Run(9));
  rig.AdvanceBy(milliseconds(300));
  cr_assert_eq(rig.Take<StopRequest>()->run, Run(9), "the stop is repeated");
  cr_assert(!rig.session.is_ready());
  rig.Respond(*rig.Take<PollRequest>(), {Run(0), Run(9)});
  const PollRequest poll = *rig.Take<PollRequest>();
  cr_assert(!poll.lease_expiry_ms);
  rig.Respond(poll, {Run(0)});
  cr_assert(rig.session.is_ready() && !rig.EndOf(Run(0)));
  cr_assert(rig.Take<PollRequest>()->lease_expiry_ms.has_value());
}

// When the jobs of runs were attended; all others are attended at any time.
class Attendance {
 public:
  SessionOptions Options(const TimePoint& now) {
    SessionOptions options;
    options.longest_lease = RunLease(options.longest_lease);
    options.attended_at = [this, &now](const std::string& job) {
      const auto it = last_.find(job);
      return it == last_.end() ? now : it->second;
    };
    return options;
  }
  void EndAt(const std::string& job, TimePoint time) { last_[job] = time; }
  void Resume(const std::string& job) { last_.erase(job); }

 private:
  std::map<std::string, TimePoint> last_;
};

constexpr char kOtherJob[] = "5c0e7a21d94b36f9";

// Guards against a run that outlives the time after which its job may be
// submitted again: the process that waited for it is lost, the leader learns of
// it only when the forwarding lease ends, and no stop is carried out.
Test(upstream_session, run_ends_in_time_after_its_job_was_attended_last) {
  for (const double clock_rate : {0.98, 1.0, 1.02}) {
    for (const StopAnswer answer :
         {StopAnswer::kDone, StopAnswer::kUnhealthy, StopAnswer::kNone}) {
      for (int delay = 0; delay < 500; delay += 35) {
        Attendance attendance;
        TimePoint now = SessionRig::kBeginning;
        SessionRig rig(clock_rate, attendance.Options(now));
        rig.BecomeReady();
        SlowlyStoppingUpstream upstream(rig, answer, std::nullopt);
        const auto run_until = [&](TimePoint end) {
          while (rig.now < end) {
            now = rig.now;
            upstream.RunUntil(std::min(end, rig.now + milliseconds(5)));
          }
          now = rig.now;
        };
        rig.session.Start(rig.now, Run(0), "p", rig.outputs);
        run_until(rig.now + milliseconds(700 + delay));
        cr_assert(upstream.IsRunning(Run(0)));
        const TimePoint last = rig.now;
        attendance.EndAt(Run(0).job, last);
        run_until(last + milliseconds(300));
        const RunId other{.job = kOtherJob, .index = 0, .run = 1};
        rig.session.Start(rig.now, other, "p", rig.outputs);
        run_until(last + kForwardingLease + kForwardingLeaseCheck);
        cr_assert(upstream.IsRunning(Run(0)), "the lease ends too early");
        cr_assert(upstream.IsRunning(other));
        rig.session.Stop(rig.now, Run(0), rig.outputs);
        cr_assert_leq(
            rig.session.lease_bound().time_since_epoch().count(),
            (last + kLongestUnattendedRun).time_since_epoch().count());
        run_until(last + kLongestUnattendedRun);
        cr_assert(!upstream.IsRunning(Run(0)),
                  "clock rate %f, answer %d, %d ms", clock_rate,
                  static_cast<int>(answer), delay);
      }
    }
  }
}

// Guards against runs that lapse because the job of another run at their
// upstream is not attended, although that one is stopped in time.
Test(upstream_session, other_runs_outlast_one_that_is_not_attended) {
  for (int delay = 0; delay < 500; delay += 35) {
    Attendance attendance;
    TimePoint now = SessionRig::kBeginning;
    SessionRig rig(1, attendance.Options(now));
    rig.BecomeReady();
    SlowlyStoppingUpstream upstream(rig, StopAnswer::kDone, milliseconds(50));
    const auto run_until = [&](TimePoint end) {
      while (rig.now < end) {
        now = rig.now;
        upstream.RunUntil(std::min(end, rig.now + milliseconds(5)));
      }
      now = rig.now;
    };
    const RunId other{.job = kOtherJob, .index = 0, .run = 1};
    rig.session.Start(rig.now, Run(0), "p", rig.outputs);
    rig.session.Start(rig.now, other, "p", rig.outputs);
    run_until(rig.now + milliseconds(700 + delay));
    const TimePoint last = rig.now;
    attendance.EndAt(Run(0).job, last);
    run_until(last + kForwardingLease + kForwardingLeaseCheck);
    rig.session.Stop(rig.now, Run(0), rig.outputs);
    run_until(last + std::chrono::seconds(4));
    cr_assert(rig.EndOf(Run(0)) == RunOutcome::kStopped);
    cr_assert(upstream.IsRunning(other) && !rig.EndOf(other), "%d ms", delay);
    cr_assert(rig.session.is_ready());
  }
}

// Guards against a lease that is not extended again once the job is attended
// again.
Test(upstream_session, run_goes_on_if_its_job_is_attended_again_in_time) {
  Attendance attendance;
  TimePoint now = SessionRig::kBeginning;
  SessionRig rig(0.98, attendance.Options(now));
  rig.BecomeReady();
  SlowlyStoppingUpstream upstream(rig, StopAnswer::kDone, milliseconds(50));
  rig.session.Start(rig.now, Run(0), "p", rig.outputs);
  for (int round = 1; round < 40; ++round) {
    // Pings that come late, and just before the job would be given up.
    attendance.EndAt(Run(0).job, rig.now);
    const TimePoint end = rig.now + milliseconds(round * 22);
    while (rig.now < end) {
      now = rig.now;
      upstream.RunUntil(rig.now + milliseconds(5));
    }
    cr_assert(upstream.IsRunning(Run(0)), "round %d", round);
  }
}

// Guards against a run that joins the lease of others and outlives the bound of
// its own job.
Test(upstream_session, run_of_a_job_that_is_not_attended_does_not_start) {
  Attendance attendance;
  TimePoint now = SessionRig::kBeginning;
  SessionRig rig(1, attendance.Options(now));
  rig.BecomeReady();
  rig.Confirm(rig.Start(Run(0)));
  const RunId other{.job = kOtherJob, .index = 0, .run = 1};
  attendance.EndAt(kOtherJob, rig.now - kLongestUnattendedStart);
  rig.session.Start(rig.now, other, "p", rig.outputs);
  cr_assert(rig.Take<StartRequest>().has_value());
  const RunId late{.job = kOtherJob, .index = 1, .run = 1};
  attendance.EndAt(kOtherJob,
                   rig.now - kLongestUnattendedStart - milliseconds(5));
  rig.session.Start(rig.now, late, "p", rig.outputs);
  cr_assert(!rig.Take<StartRequest>());
  cr_assert(rig.EndOf(late) == RunOutcome::kNotStarted);
  cr_assert(!rig.session.is_ready(), "the scheduler would try again at once");
  rig.AdvanceBy(milliseconds(100));
  cr_assert(rig.session.is_ready());
}

// Guards against ends at an idle upstream that are never acknowledged.
Test(upstream_session, ends_at_an_idle_upstream_are_acknowledged) {
  SessionRig rig;
  rig.BecomeReady();
  rig.Confirm(rig.Start(Run(0)));
  rig.Respond(*rig.Take<PollRequest>(), {},
              {{.number = 1, .run = Run(0), .end = RunOutcome::kSucceeded}});
  cr_assert(!rig.Take<PollRequest>());
  rig.AdvanceBy(std::chrono::seconds(1));
  const auto poll = rig.Take<PollRequest>();
  cr_assert(poll && poll->acknowledged == 1 && !poll->lease_expiry_ms);
}

}  // namespace
}  // namespace jaypick::control
