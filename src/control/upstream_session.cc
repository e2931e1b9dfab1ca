#include "control/upstream_session.h"

#include <algorithm>
#include <utility>

#include "control/fencing_token.h"

namespace jaypick::control {
namespace {

// How long a look waits for the runs of an earlier commander to end.
constexpr Duration kTakeOverWait = std::chrono::milliseconds(60);

}  // namespace

std::string_view ToString(ResponseStatus result) {
  switch (result) {
    case ResponseStatus::kDone:
      return "done";
    case ResponseStatus::kFenced:
      return "fenced";
    case ResponseStatus::kStaleRun:
      return "stale_run";
    case ResponseStatus::kLate:
      return "late";
    case ResponseStatus::kNoRoom:
      return "no_room";
    case ResponseStatus::kInvalid:
      return "invalid";
    case ResponseStatus::kUnhealthy:
      return "unhealthy";
    case ResponseStatus::kOtherIncarnation:
      return "other_life";
  }
  return "unknown";
}

UpstreamSession::UpstreamSession(SessionOptions options, std::uint64_t token)
    : options_(options), token_(token) {}

void UpstreamSession::Begin(TimePoint now, SessionOutputs& outputs) {
  SendLook(now, Duration(0), false, true, outputs);
}

// The estimate of the upstream's clock is never ahead of it: the clock was read
// before the answer arrived. So the lease ends no later than meant.
std::int64_t UpstreamSession::LeaseExpiry(TimePoint now) {
  return *clock_ms_ + ToMilliseconds(now - clock_read_) +
         ToMilliseconds(options_.longest_lease);
}

void UpstreamSession::NoteLease(TimePoint now) {
  const auto longest = static_cast<Duration::rep>(
      static_cast<double>(options_.longest_lease.count()) *
      (1 + options_.clock_error));
  lease_bound_ =
      std::max(lease_bound_, now + Duration(longest) + options_.lease_margin);
}

void UpstreamSession::SendLook(TimePoint now,
                               Duration wait,
                               bool extends_lease,
                               bool is_recovery,
                               SessionOutputs& outputs) {
  PollRequest look{.request_number = ++last_call_,
                   .token = token_,
                   .acknowledged = acknowledged_,
                   .wait = wait,
                   .is_recovery = is_recovery};
  if (extends_lease && clock_ms_) {
    look.lease_expiry_ms = LeaseExpiry(now);
    NoteLease(now);
  }
  acknowledged_sent_ = acknowledged_;
  look_ = PendingLook{.request_number = look.request_number,
                      .sent = now,
                      .is_recovery = is_recovery,
                      .token = token_};
  outputs.emplace_back(look);
}

void UpstreamSession::Start(TimePoint now,
                            const RunId& run,
                            std::string payload,
                            SessionOutputs& outputs) {
  const StartRequest start{.request_number = ++last_call_,
                           .run = run,
                           .payload = std::move(payload),
                           .token = token_,
                           .lease_expiry_ms = LeaseExpiry(now)};
  NoteLease(now);
  runs_[run] = Run{};
  starts_[start.request_number] = {.run = run, .token = token_};
  outputs.push_back(start);
}

void UpstreamSession::Stop(TimePoint /*now*/,
                           const RunId& run,
                           SessionOutputs& outputs) {
  const auto it = runs_.find(run);
  if (it == runs_.end() || it->second.is_stopping) {
    return;
  }
  it->second.is_stopping = true;
  // In doubt, the run is stopped once the upstream answers again.
  if (state_ != State::kReady) {
    return;
  }
  const StopRequest stop{
      .request_number = ++last_call_, .run = run, .token = token_};
  stops_[stop.request_number] = {.run = run, .token = token_};
  outputs.push_back(stop);
}

bool UpstreamSession::TakeStamp(TimePoint now,
                                const UpstreamTimestamps& stamp,
                                ResponseStatus result,
                                std::uint64_t token,
                                SessionOutputs& outputs) {
  if (result == ResponseStatus::kOtherIncarnation) {
    // Somebody else has the address; the discovery will say so.
    EndAllRuns(RunOutcome::kLeaseExpired, "other_life", outputs);
    ChangeState(State::kLost, "other_life", outputs);
    next_recovery_ = now + options_.lost_poll_interval;
    return false;
  }
  const bool is_other_life = stamp.started_unix_ms && started_unix_ms_ &&
                             *stamp.started_unix_ms != *started_unix_ms_;
  if (is_other_life) {
    EndRunsOfEarlierIncarnation("restarted", outputs);
  }
  if (result == ResponseStatus::kFenced && token >= token_) {
    EndAllRuns(RunOutcome::kTakenOver, "fenced", outputs);
    ChangeState(State::kFenced, "fenced", outputs);
    outputs.push_back(SessionFenced{});
    return false;
  }
  if (stamp.started_unix_ms) {
    started_unix_ms_ = stamp.started_unix_ms;
  }
  if (stamp.clock_ms) {
    clock_ms_ = stamp.clock_ms;
    clock_read_ = now;
  }
  return true;
}

void UpstreamSession::EndRunsOfEarlierIncarnation(std::string_view cause,
                                                  SessionOutputs& outputs) {
  std::vector<RunId> gone;
  for (const auto& [run, state] : runs_) {
    if (state.is_confirmed) {
      gone.push_back(run);
    }
  }
  for (const RunId& run : gone) {
    EndRun(run, RunOutcome::kLeaseExpired, cause, outputs);
  }
  look_.reset();
  acknowledged_ = 0;
  acknowledged_sent_ = 0;
}

void UpstreamSession::OnUpstreamRestarted(TimePoint now,
                                          std::int64_t started_unix_ms,
                                          SessionOutputs& outputs) {
  if (state_ == State::kFenced ||
      (started_unix_ms_ && *started_unix_ms_ >= started_unix_ms)) {
    return;
  }
  EndRunsOfEarlierIncarnation("restarted", outputs);
  ChangeState(State::kTakingOver, "restarted", outputs);
  started_unix_ms_ = started_unix_ms;
  clock_ms_.reset();
  starts_.clear();
  RaiseToken();
  SendLook(now, Duration(0), false, true, outputs);
}

void UpstreamSession::OnStartResponse(
    TimePoint now,
    RequestNumber request_number,
    const std::variant<RunResponse, NoResponse>& answer,
    SessionOutputs& outputs) {
  const auto it = starts_.find(request_number);
  if (it == starts_.end()) {
    return;
  }
  const PendingOrder order = it->second;
  starts_.erase(it);
  if (const auto* const silence = std::get_if<NoResponse>(&answer)) {
    if (silence->not_sent) {
      EndRun(order.run, RunOutcome::kNotStarted, "not_sent", outputs);
    }
    EnterDoubt(now, "start_unanswered", outputs);
    return;
  }
  const auto& order_answer = std::get<RunResponse>(answer);
  if (!TakeStamp(now, order_answer.stamp, order_answer.result, order.token,
                 outputs)) {
    return;
  }
  switch (order_answer.result) {
    case ResponseStatus::kDone:
      if (const auto run = runs_.find(order.run); run != runs_.end()) {
        run->second.is_confirmed = true;
        run->second.confirmed_at = now;
      }
      break;
    case ResponseStatus::kNoRoom:
      EndRun(order.run, RunOutcome::kNoRoom, "no_room", outputs);
      break;
    case ResponseStatus::kUnhealthy:
      EndRun(order.run, RunOutcome::kUnhealthy, "unhealthy", outputs);
      break;
    case ResponseStatus::kInvalid:
      EndRun(order.run, RunOutcome::kFailed, "invalid", outputs);
      break;
    case ResponseStatus::kFenced:
    case ResponseStatus::kStaleRun:
    case ResponseStatus::kLate:
    case ResponseStatus::kOtherIncarnation:
      EndRun(order.run, RunOutcome::kNotStarted, ToString(order_answer.result),
             outputs);
      break;
  }
  ContinueLooking(now, outputs);
}

void UpstreamSession::OnStopResponse(
    TimePoint now,
    RequestNumber request_number,
    const std::variant<RunResponse, NoResponse>& answer,
    SessionOutputs& outputs) {
  const auto it = stops_.find(request_number);
  if (it == stops_.end()) {
    return;
  }
  const PendingOrder order = it->second;
  stops_.erase(it);
  if (std::holds_alternative<NoResponse>(answer)) {
    if (const auto run = runs_.find(order.run); run != runs_.end()) {
      run->second.is_stopping = false;
      EnterDoubt(now, "stop_unanswered", outputs);
      run->second.is_stopping = true;
    }
    return;
  }
  const auto& order_answer = std::get<RunResponse>(answer);
  if (TakeStamp(now, order_answer.stamp, order_answer.result, order.token,
                outputs)) {
    ContinueLooking(now, outputs);
  }
}

void UpstreamSession::OnPollResponse(
    TimePoint now,
    RequestNumber request_number,
    const std::variant<PollResponse, NoResponse>& answer,
    SessionOutputs& outputs) {
  if (!look_ || look_->request_number != request_number) {
    return;
  }
  const PendingLook look = *std::exchange(look_, std::nullopt);
  const auto* const found = std::get_if<PollResponse>(&answer);
  if (found == nullptr) {
    if (state_ == State::kReady) {
      EnterDoubt(now, "look_unanswered", outputs);
    } else {
      next_recovery_ = std::max(
          next_recovery_, look.sent + (state_ == State::kInDoubt
                                           ? options_.recovery_poll_interval
                                           : options_.lost_poll_interval));
    }
    return;
  }
  if (!TakeStamp(now, found->stamp, found->result, look.token, outputs)) {
    return;
  }
  if (found->result != ResponseStatus::kDone) {
    next_recovery_ = now + options_.recovery_poll_interval;
    if (state_ == State::kReady) {
      EnterDoubt(now, ToString(found->result), outputs);
    }
    return;
  }
  Reconcile(now, look, *found, outputs);
  ContinueLooking(now, outputs);
}

void UpstreamSession::Reconcile(TimePoint now,
                                const PendingLook& look,
                                const PollResponse& answer,
                                SessionOutputs& outputs) {
  for (const ReportedRunEnd& ended : answer.ended) {
    acknowledged_ = std::max(acknowledged_, ended.number);
    EndRun(ended.run, ended.end, "reported", outputs);
  }
  const std::set<RunId> running(answer.running.begin(), answer.running.end());
  // A recovery look had a higher token than any order before it, so what it
  // does not show will not start any more.
  const bool is_complete = look.is_recovery && look.token == token_;
  std::vector<std::pair<RunId, bool>> missing;
  for (auto& [run, state] : runs_) {
    if (running.contains(run)) {
      state.is_confirmed = true;
      state.confirmed_at = std::min(state.confirmed_at, now);
      continue;
    }
    const bool was_there =
        state.is_confirmed && state.confirmed_at <= look.sent;
    if (was_there || is_complete) {
      missing.emplace_back(run, state.is_confirmed);
    }
  }
  for (const auto& [run, was_confirmed] : missing) {
    EndRun(run,
           was_confirmed ? RunOutcome::kLeaseExpired : RunOutcome::kNotStarted,
           "not_running", outputs);
  }
  StopForeignRuns(answer, outputs);
  const bool is_foreign_left = std::ranges::any_of(
      answer.running, [&](const RunId& run) { return !runs_.contains(run); });
  if (state_ == State::kTakingOver && is_foreign_left) {
    SendLook(now, kTakeOverWait, false, true, outputs);
    return;
  }
  if (state_ != State::kReady && clock_ms_) {
    ChangeState(State::kReady, "answered", outputs);
    for (auto& [run, state] : runs_) {
      if (std::exchange(state.is_stopping, false)) {
        Stop(now, run, outputs);
      }
    }
  }
}

// Runs of an earlier commander: nobody waits for them here, and the same job
// may be submitted again.
void UpstreamSession::StopForeignRuns(const PollResponse& answer,
                                      SessionOutputs& outputs) {
  for (const RunId& run : answer.running) {
    if (!runs_.contains(run)) {
      const StopRequest stop{
          .request_number = ++last_call_, .run = run, .token = token_};
      stops_[stop.request_number] = {.run = run, .token = token_};
      outputs.push_back(stop);
    }
  }
}

void UpstreamSession::ContinueLooking(TimePoint now, SessionOutputs& outputs) {
  if (state_ != State::kReady || look_) {
    return;
  }
  if (runs_.empty()) {
    idle_since_ = now;
    return;
  }
  SendLook(now, options_.poll_wait, true, false, outputs);
}

void UpstreamSession::EnterDoubt(TimePoint now,
                                 std::string_view cause,
                                 SessionOutputs& outputs) {
  if (state_ != State::kReady) {
    return;
  }
  ChangeState(State::kInDoubt, cause, outputs);
  look_.reset();
  starts_.clear();
  RaiseToken();
  SendLook(now, Duration(0), !runs_.empty(), true, outputs);
}

void UpstreamSession::RaiseToken() {
  // At the last token, `Advance` loses the command.
  if (!IsLastTokenOfLeader(token_)) {
    ++token_;
  }
}

void UpstreamSession::ChangeState(State state,
                                  std::string_view cause,
                                  SessionOutputs& outputs) {
  const bool was_ready = is_ready();
  state_ = state;
  if (was_ready != is_ready()) {
    outputs.push_back(ReadinessChanged{.is_ready = is_ready(), .cause = cause});
  }
}

void UpstreamSession::EndRun(const RunId& run,
                             RunOutcome end,
                             std::string_view cause,
                             SessionOutputs& outputs) {
  if (runs_.erase(run) > 0) {
    outputs.push_back(RunEnded{.run = run, .end = end, .cause = cause});
  }
}

void UpstreamSession::EndAllRuns(RunOutcome end,
                                 std::string_view cause,
                                 SessionOutputs& outputs) {
  starts_.clear();
  stops_.clear();
  look_.reset();
  for (const auto& [run, state] : std::exchange(runs_, {})) {
    outputs.push_back(RunEnded{.run = run, .end = end, .cause = cause});
  }
}

void UpstreamSession::Advance(TimePoint now, SessionOutputs& outputs) {
  switch (state_) {
    case State::kFenced:
      return;
    case State::kReady: {
      const bool has_news = acknowledged_ != acknowledged_sent_;
      if (!look_ && runs_.empty() && has_news &&
          now >= idle_since_ + options_.idle_acknowledge_delay) {
        SendLook(now, Duration(0), false, false, outputs);
      }
      return;
    }
    case State::kInDoubt:
      if (now >= lease_bound_) {
        EndAllRuns(RunOutcome::kLeaseExpired, "silent_beyond_lease", outputs);
        ChangeState(State::kLost, "silent_beyond_lease", outputs);
        next_recovery_ = now + options_.lost_poll_interval;
        return;
      }
      break;
    case State::kTakingOver:
    case State::kLost:
      break;
  }
  if (IsLastTokenOfLeader(token_)) {
    EndAllRuns(RunOutcome::kTakenOver, "tokens_used_up", outputs);
    ChangeState(State::kFenced, "tokens_used_up", outputs);
    outputs.push_back(SessionFenced{});
    return;
  }
  if (!look_ && now >= next_recovery_) {
    RaiseToken();
    // Leases are not extended while in doubt: the bound would never come.
    SendLook(now, Duration(0), false, true, outputs);
  }
}

std::optional<TimePoint> UpstreamSession::next_wakeup() const {
  switch (state_) {
    case State::kFenced:
      return std::nullopt;
    case State::kReady:
      if (!look_ && runs_.empty() && acknowledged_ != acknowledged_sent_) {
        return idle_since_ + options_.idle_acknowledge_delay;
      }
      return std::nullopt;
    case State::kInDoubt:
      return look_ ? lease_bound_ : std::min(lease_bound_, next_recovery_);
    case State::kTakingOver:
    case State::kLost:
      break;
  }
  return look_ ? std::nullopt : std::optional(next_recovery_);
}

}  // namespace jaypick::control
