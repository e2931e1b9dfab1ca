#include "control/upstream_session.h"

#include <algorithm>
#include <utility>

#include "control/fencing_token.h"

namespace jaypick::control {
namespace {

// How long a poll waits for the runs of an earlier leader to end.
constexpr Duration kTakeOverPollWait = std::chrono::milliseconds(60);

}  // namespace

std::string_view ToString(ResponseStatus status) {
  switch (status) {
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
    : options_(std::move(options)), token_(token) {}

void UpstreamSession::Begin(TimePoint now, SessionOutputs& outputs) {
  SendPoll(now, Duration(0), false, true, outputs);
}

Duration UpstreamSession::Drift(TimePoint now) const {
  return Duration(static_cast<Duration::rep>(
      static_cast<double>((now - clock_read_).count()) * options_.clock_error));
}

// The estimate of the upstream's clock is never ahead of that clock, which was
// read before the response arrived and has been slow by `Drift` at most. So the
// lease ends no later than intended.
std::int64_t UpstreamSession::LeaseExpiry(TimePoint now) const {
  return *clock_ms_ + ToMilliseconds(now - clock_read_ - Drift(now)) +
         ToMilliseconds(options_.longest_lease);
}

TimePoint UpstreamSession::LatestEnd(const RunId& run) const {
  return options_.attended_at
             ? options_.attended_at(run.job) + options_.longest_unattended_run
             : TimePoint::max();
}

Duration UpstreamSession::AllowedLease(TimePoint now) const {
  if (!options_.attended_at) {
    return options_.longest_lease;
  }
  TimePoint latest = TimePoint::max();
  const std::string* job = nullptr;
  for (const auto& [run, state] : runs_) {
    // Runs are ordered by their jobs.
    if (job == nullptr || *job != run.job) {
      job = &run.job;
      latest = std::min(latest, LatestEnd(run));
    }
  }
  if (latest - now >= options_.longest_unattended_run) {
    return options_.longest_lease;
  }
  const auto allowed = static_cast<Duration::rep>(
      static_cast<double>((latest - now - options_.lease_margin).count()) *
      (1 - options_.clock_error));
  return std::clamp(Duration(allowed), Duration(0), options_.longest_lease);
}

std::optional<std::int64_t> UpstreamSession::ExtendLease(TimePoint now) {
  const Duration lease = AllowedLease(now);
  if (lease < std::chrono::milliseconds(1)) {
    return std::nullopt;
  }
  const auto longest = static_cast<Duration::rep>(
      static_cast<double>(lease.count()) / (1 - options_.clock_error));
  lease_bound_ =
      std::max(lease_bound_, now + Duration(longest) + options_.lease_margin);
  const std::int64_t expiry =
      LeaseExpiry(now) - ToMilliseconds(options_.longest_lease - lease);
  lease_expiry_ms_ = std::max(lease_expiry_ms_, expiry);
  return expiry;
}

std::int64_t UpstreamSession::LeaseLeftMs(TimePoint now) const {
  return clock_ms_ ? lease_expiry_ms_ - LeaseExpiry(now) +
                         ToMilliseconds(options_.longest_lease)
                   : 0;
}

std::optional<std::int64_t> UpstreamSession::StartLeaseExpiry(
    TimePoint now,
    const RunId& run) {
  std::optional<std::int64_t> expiry;
  if (!stopping_.empty()) {
    expiry = MayStart(now) ? std::optional(lease_expiry_ms_) : std::nullopt;
  } else if (ExtendLease(now) &&
             LeaseLeftMs(now) >=
                 ToMilliseconds(options_.shortest_start_lease)) {
    expiry = lease_expiry_ms_;
  }
  // The run joins the lease that the upstream has already got.
  return lease_bound_ <= LatestEnd(run) ? expiry : std::nullopt;
}

void UpstreamSession::SendPoll(TimePoint now,
                               Duration wait,
                               bool extends_lease,
                               bool is_recovery,
                               SessionOutputs& outputs) {
  PollRequest poll{.request_number = ++last_request_number_,
                   .token = token_,
                   .acknowledged = acknowledged_,
                   .wait = wait,
                   .is_recovery = is_recovery};
  if (!stopping_.empty()) {
    // Extends the lease soon after the run has ended.
    poll.wait = std::min(wait, options_.stop_confirmation_limit);
  } else if (extends_lease && clock_ms_) {
    poll.lease_expiry_ms = ExtendLease(now);
    poll.wait = std::min(wait, std::max((lease_bound_ - now) / 2,
                                        options_.recovery_poll_interval));
  }
  acknowledged_sent_ = acknowledged_;
  poll_ = PendingPoll{.request_number = poll.request_number,
                      .sent = now,
                      .is_recovery = is_recovery,
                      .token = token_};
  outputs.emplace_back(poll);
}

void UpstreamSession::Start(TimePoint now,
                            const RunId& run,
                            std::string payload,
                            SessionOutputs& outputs) {
  runs_[run] = Run{};
  if (!MayStart(now)) {
    // A start would extend the lease of the run to be stopped.
    CheckStops(now, outputs);
    EndRun(run, RunOutcome::kNotStarted, "stop_unconfirmed", outputs);
    return;
  }
  if (Drift(now) <= options_.longest_drift) {
    SendStart(now, run, std::move(payload), outputs);
    return;
  }
  unsent_[run] = std::move(payload);
  if (!poll_) {
    SendPoll(now, Duration(0), false, false, outputs);
  }
}

void UpstreamSession::SendStart(TimePoint now,
                                const RunId& run,
                                std::string payload,
                                SessionOutputs& outputs) {
  const auto lease_expiry_ms = StartLeaseExpiry(now, run);
  if (!lease_expiry_ms) {
    const std::string_view cause =
        stopping_.empty() ? "unattended" : "stop_unconfirmed";
    HoldStarts(now + options_.recovery_poll_interval, cause, outputs);
    EndRun(run, RunOutcome::kNotStarted, cause, outputs);
    return;
  }
  const StartRequest start{.request_number = ++last_request_number_,
                           .run = run,
                           .payload = std::move(payload),
                           .token = token_,
                           .lease_expiry_ms = *lease_expiry_ms};
  runs_[run].started_unix_ms = started_unix_ms_;
  starts_[start.request_number] = {.run = run, .token = token_};
  outputs.push_back(start);
}

void UpstreamSession::Stop(TimePoint now,
                           const RunId& run,
                           SessionOutputs& outputs) {
  if (!runs_.contains(run) || stopping_.contains(run)) {
    return;
  }
  if (unsent_.contains(run)) {
    EndRun(run, RunOutcome::kNotStarted, "not_sent", outputs);
    return;
  }
  stopping_[run] = now;
  // If the upstream does not respond, `Reconcile` stops the run once it does.
  if (IsResponding()) {
    SendStop(run, outputs);
  }
}

void UpstreamSession::SendStop(const RunId& run, SessionOutputs& outputs) {
  const StopRequest stop{
      .request_number = ++last_request_number_, .run = run, .token = token_};
  stops_[stop.request_number] = {.run = run, .token = token_};
  outputs.push_back(stop);
}

bool UpstreamSession::IsStopLate(TimePoint now) const {
  return std::ranges::any_of(stopping_, [&](const auto& entry) {
    return now >= entry.second + options_.stop_confirmation_limit;
  });
}

bool UpstreamSession::MayStart(TimePoint now) const {
  if (stopping_.empty()) {
    return state_ != State::kHoldingStarts ||
           AllowedLease(now) >= options_.shortest_start_lease;
  }
  return !IsStopLate(now) &&
         LeaseLeftMs(now) >= ToMilliseconds(options_.shortest_start_lease);
}

void UpstreamSession::CheckStops(TimePoint now, SessionOutputs& outputs) {
  if (MayStart(now)) {
    ChangeState(State::kReady, "stopped", outputs);
    return;
  }
  HoldStarts(now, "stop_unconfirmed", outputs);
  if (now < next_stops_) {
    return;
  }
  next_stops_ = now + options_.stop_confirmation_limit;
  for (const auto& [run, requested] : stopping_) {
    if (now >= requested + options_.stop_confirmation_limit) {
      SendStop(run, outputs);
    }
  }
}

void UpstreamSession::HoldStarts(TimePoint next_check,
                                 std::string_view cause,
                                 SessionOutputs& outputs) {
  if (state_ == State::kReady) {
    ChangeState(State::kHoldingStarts, cause, outputs);
    next_stops_ = next_check;
  }
}

bool UpstreamSession::AcceptResponse(TimePoint now,
                                     const UpstreamTimestamps& timestamps,
                                     ResponseStatus status,
                                     std::uint64_t token,
                                     const PendingPoll* poll,
                                     SessionOutputs& outputs) {
  if (status == ResponseStatus::kOtherIncarnation) {
    // Another incarnation uses the address; the service discovery will report
    // it.
    EndAllRuns(RunOutcome::kUpstreamLikelyCrashed, "other_life", outputs);
    ChangeState(State::kLost, "other_life", outputs);
    next_recovery_poll_ = now + options_.lost_poll_interval;
    return false;
  }
  const bool has_restarted = timestamps.started_unix_ms && started_unix_ms_ &&
                             *timestamps.started_unix_ms != *started_unix_ms_;
  // An earlier start time means a restart only if the upstream's time of day
  // was set back, which a poll on another connection confirms.
  if (has_restarted && *timestamps.started_unix_ms < *started_unix_ms_ &&
      (poll == nullptr || !poll->is_recovery)) {
    EnterRecovery(now, "earlier_incarnation", outputs);
    return false;
  }
  if (has_restarted) {
    ForgetIncarnation();
    if (poll == nullptr) {
      EndRunsOfEarlierIncarnation("restarted", outputs);
    }
  }
  if (status == ResponseStatus::kFenced && token >= token_) {
    EndAllRuns(RunOutcome::kTakenOver, "fenced", outputs);
    ChangeState(State::kFenced, "fenced", outputs);
    outputs.push_back(SessionFenced{});
    return false;
  }
  if (timestamps.started_unix_ms) {
    started_unix_ms_ = timestamps.started_unix_ms;
  }
  if (timestamps.clock_ms) {
    clock_ms_ = timestamps.clock_ms;
    clock_read_ = now;
  }
  if (has_restarted && IsResponding()) {
    EnterRecovery(now, "restarted", outputs);
    return poll == nullptr;
  }
  return true;
}

void UpstreamSession::ForgetIncarnation() {
  for (auto& [run, state] : runs_) {
    state.is_of_earlier_incarnation = state.is_confirmed;
  }
  // Responses to these requests may be those of the earlier incarnation, and
  // may not say so.
  starts_.clear();
  stops_.clear();
  poll_.reset();
  acknowledged_ = 0;
  acknowledged_sent_ = 0;
  clock_ms_.reset();
  lease_expiry_ms_ = 0;
  listed_unix_ms_.reset();
}

void UpstreamSession::EndRunsOfEarlierIncarnation(std::string_view cause,
                                                  SessionOutputs& outputs) {
  std::vector<RunId> earlier_runs;
  for (const auto& [run, state] : runs_) {
    if (state.is_of_earlier_incarnation) {
      earlier_runs.push_back(run);
    }
  }
  for (const RunId& run : earlier_runs) {
    EndRun(run, RunOutcome::kUpstreamCrashed, cause, outputs);
  }
}

void UpstreamSession::OnUpstreamRestarted(TimePoint now,
                                          std::int64_t started_unix_ms,
                                          SessionOutputs& outputs) {
  const bool is_checked =
      listed_unix_ms_ &&
      (*listed_unix_ms_ == started_unix_ms ||
       now < listing_checked_ + options_.listing_check_interval);
  if (state_ == State::kFenced || is_checked ||
      (started_unix_ms_ && *started_unix_ms_ >= started_unix_ms)) {
    return;
  }
  listed_unix_ms_ = started_unix_ms;
  listing_checked_ = now;
  if (IsResponding() && !runs_.empty()) {
    EnterRecovery(now, "restart_listed", outputs);
    return;
  }
  if (IsResponding()) {
    ChangeState(State::kTakingOver, "restart_listed", outputs);
  }
  RaiseToken();
  SendPoll(now, Duration(0), false, true, outputs);
}

void UpstreamSession::OnStartResponse(
    TimePoint now,
    RequestNumber request_number,
    const std::variant<RunResponse, NoResponse>& response,
    SessionOutputs& outputs) {
  const auto it = starts_.find(request_number);
  if (it == starts_.end()) {
    return;
  }
  const PendingRunRequest request = it->second;
  starts_.erase(it);
  if (const auto* const no_response = std::get_if<NoResponse>(&response)) {
    if (no_response->not_sent) {
      EndRun(request.run, RunOutcome::kNotStarted, "not_sent", outputs);
    }
    was_refused_ = no_response->is_refused;
    EnterRecovery(now, "start_unanswered", outputs);
    return;
  }
  const auto& run_response = std::get<RunResponse>(response);
  if (!AcceptResponse(now, run_response.stamp, run_response.result,
                      request.token, nullptr, outputs)) {
    return;
  }
  switch (run_response.result) {
    case ResponseStatus::kDone:
      if (const auto run = runs_.find(request.run); run != runs_.end()) {
        run->second.is_confirmed = true;
        run->second.confirmed_at = now;
      }
      break;
    case ResponseStatus::kNoRoom:
      EndRun(request.run, RunOutcome::kNoRoom, "no_room", outputs);
      break;
    case ResponseStatus::kUnhealthy:
      EndRun(request.run, RunOutcome::kUnhealthy, "unhealthy", outputs);
      break;
    case ResponseStatus::kInvalid:
      EndRun(request.run, RunOutcome::kFailed, "invalid", outputs);
      break;
    case ResponseStatus::kFenced:
    case ResponseStatus::kStaleRun:
    case ResponseStatus::kLate:
    case ResponseStatus::kOtherIncarnation:
      EndRun(request.run, RunOutcome::kNotStarted,
             ToString(run_response.result), outputs);
      break;
  }
  ContinuePolling(now, outputs);
}

void UpstreamSession::OnStopResponse(
    TimePoint now,
    RequestNumber request_number,
    const std::variant<RunResponse, NoResponse>& response,
    SessionOutputs& outputs) {
  const auto it = stops_.find(request_number);
  if (it == stops_.end()) {
    return;
  }
  const PendingRunRequest request = it->second;
  stops_.erase(it);
  if (std::holds_alternative<NoResponse>(response)) {
    if (stopping_.contains(request.run)) {
      EnterRecovery(now, "stop_unanswered", outputs);
    }
    return;
  }
  const auto& run_response = std::get<RunResponse>(response);
  if (AcceptResponse(now, run_response.stamp, run_response.result,
                     request.token, nullptr, outputs)) {
    ContinuePolling(now, outputs);
  }
}

void UpstreamSession::OnPollResponse(
    TimePoint now,
    RequestNumber request_number,
    const std::variant<PollResponse, NoResponse>& response,
    SessionOutputs& outputs) {
  if (!poll_ || poll_->request_number != request_number) {
    return;
  }
  const PendingPoll poll = *std::exchange(poll_, std::nullopt);
  const auto* const poll_response = std::get_if<PollResponse>(&response);
  if (poll_response == nullptr) {
    was_refused_ = std::get<NoResponse>(response).is_refused;
    if (IsResponding()) {
      EnterRecovery(now, "look_unanswered", outputs);
    } else {
      next_recovery_poll_ =
          std::max(next_recovery_poll_,
                   poll.sent + (state_ == State::kRecovering
                                    ? options_.recovery_poll_interval
                                    : options_.lost_poll_interval));
    }
    return;
  }
  if (!AcceptResponse(now, poll_response->stamp, poll_response->result,
                      poll.token, &poll, outputs)) {
    return;
  }
  if (poll_response->result != ResponseStatus::kDone) {
    next_recovery_poll_ = now + options_.recovery_poll_interval;
    EnterRecovery(now, ToString(poll_response->result), outputs);
    return;
  }
  Reconcile(now, poll, *poll_response, outputs);
  ContinuePolling(now, outputs);
}

void UpstreamSession::Reconcile(TimePoint now,
                                const PendingPoll& poll,
                                const PollResponse& response,
                                SessionOutputs& outputs) {
  for (const ReportedRunEnd& ended : response.ended) {
    acknowledged_ = std::max(acknowledged_, ended.number);
    EndRun(ended.run, ended.end, "reported", outputs);
  }
  const std::set<RunId> running(response.running.begin(),
                                response.running.end());
  // A recovery poll carries a higher token than all requests before it, so runs
  // that are missing from its response cannot start any more.
  const bool is_complete = poll.is_recovery && poll.token == token_;
  std::vector<std::pair<RunId, RunOutcome>> missing;
  for (auto& [run, state] : runs_) {
    if (running.contains(run)) {
      state.is_confirmed = true;
      state.is_of_earlier_incarnation = false;
      state.confirmed_at = std::min(state.confirmed_at, now);
      continue;
    }
    const bool was_running =
        state.is_confirmed && state.confirmed_at <= poll.sent;
    if (was_running || is_complete) {
      missing.emplace_back(run, OutcomeOfMissing(state));
    }
  }
  if (is_complete) {
    EndRunsOfEarlierIncarnation("restarted", outputs);
  }
  for (const auto& [run, outcome] : missing) {
    EndRun(run, outcome, "not_running", outputs);
  }
  std::erase_if(stopping_, [&](const auto& entry) {
    return !runs_.contains(entry.first) && !running.contains(entry.first);
  });
  StopRunsOfEarlierLeaders(now, response, outputs);
  const bool has_other_runs = std::ranges::any_of(
      response.running, [&](const RunId& run) { return !runs_.contains(run); });
  if (state_ == State::kTakingOver && has_other_runs) {
    SendPoll(now, kTakeOverPollWait, false, true, outputs);
    return;
  }
  if (!IsResponding() && clock_ms_) {
    ChangeState(MayStart(now) ? State::kReady : State::kHoldingStarts,
                "answered", outputs);
    next_stops_ = now + options_.stop_confirmation_limit;
    for (const auto& [run, requested] : stopping_) {
      if (runs_.contains(run)) {
        SendStop(run, outputs);
      }
    }
  }
}

RunOutcome UpstreamSession::OutcomeOfMissing(const Run& run) const {
  if (run.is_confirmed) {
    return RunOutcome::kLeaseExpired;
  }
  return run.started_unix_ms == started_unix_ms_
             ? RunOutcome::kNotStarted
             : RunOutcome::kStartUnconfirmed;
}

// Nobody waits here for runs of an earlier leader, and their jobs may be
// submitted again.
void UpstreamSession::StopRunsOfEarlierLeaders(TimePoint now,
                                               const PollResponse& response,
                                               SessionOutputs& outputs) {
  for (const RunId& run : response.running) {
    if (!runs_.contains(run)) {
      stopping_.try_emplace(run, now);
      SendStop(run, outputs);
    }
  }
}

void UpstreamSession::ContinuePolling(TimePoint now, SessionOutputs& outputs) {
  if (!IsResponding()) {
    return;
  }
  CheckStops(now, outputs);
  if (poll_) {
    return;
  }
  if (!unsent_.empty()) {
    for (auto& [run, payload] : std::exchange(unsent_, {})) {
      SendStart(now, run, std::move(payload), outputs);
    }
    return;
  }
  if (runs_.empty() && stopping_.empty()) {
    idle_since_ = now;
    return;
  }
  SendPoll(now, options_.poll_wait, !runs_.empty(), false, outputs);
}

void UpstreamSession::EnterRecovery(TimePoint now,
                                    std::string_view cause,
                                    SessionOutputs& outputs) {
  if (!IsResponding()) {
    return;
  }
  ChangeState(State::kRecovering, cause, outputs);
  poll_.reset();
  starts_.clear();
  RaiseToken();
  SendPoll(now, Duration(0), !runs_.empty(), true, outputs);
}

void UpstreamSession::RaiseToken() {
  // At the last token, `Advance` ends the session.
  if (!IsLastTokenOfLeader(token_)) {
    ++token_;
  }
}

void UpstreamSession::ChangeState(State state,
                                  std::string_view cause,
                                  SessionOutputs& outputs) {
  const bool was_ready = is_ready();
  state_ = state;
  has_taken_over_ = has_taken_over_ || is_ready();
  if (was_ready != is_ready()) {
    outputs.push_back(ReadinessChanged{.is_ready = is_ready(), .cause = cause});
  }
  if (!is_ready()) {
    EndUnsentRuns(outputs);
  }
}

void UpstreamSession::EndRun(const RunId& run,
                             RunOutcome outcome,
                             std::string_view cause,
                             SessionOutputs& outputs) {
  unsent_.erase(run);
  stopping_.erase(run);
  if (runs_.erase(run) > 0) {
    outputs.push_back(RunEnded{.run = run, .end = outcome, .cause = cause});
  }
}

void UpstreamSession::EndUnsentRuns(SessionOutputs& outputs) {
  for (const auto& [run, payload] : std::exchange(unsent_, {})) {
    EndRun(run, RunOutcome::kNotStarted, "not_sent", outputs);
  }
}

void UpstreamSession::EndAllRuns(RunOutcome outcome,
                                 std::string_view cause,
                                 SessionOutputs& outputs) {
  EndUnsentRuns(outputs);
  starts_.clear();
  stops_.clear();
  stopping_.clear();
  poll_.reset();
  const bool is_lost = schedule::IsUpstreamLoss(outcome);
  for (const auto& [run, state] : std::exchange(runs_, {})) {
    const RunOutcome end = is_lost && !state.is_confirmed
                               ? RunOutcome::kStartUnconfirmed
                               : outcome;
    outputs.push_back(RunEnded{.run = run, .end = end, .cause = cause});
  }
}

void UpstreamSession::Advance(TimePoint now, SessionOutputs& outputs) {
  switch (state_) {
    case State::kFenced:
      return;
    case State::kReady:
    case State::kHoldingStarts: {
      CheckStops(now, outputs);
      const bool has_unacknowledged_ends = acknowledged_ != acknowledged_sent_;
      if (!poll_ && runs_.empty() && has_unacknowledged_ends &&
          now >= idle_since_ + options_.idle_acknowledge_delay) {
        SendPoll(now, Duration(0), false, false, outputs);
      }
      return;
    }
    case State::kRecovering:
      if (now >= lease_bound_) {
        const std::string_view cause =
            was_refused_ ? "refused_beyond_lease" : "silent_beyond_lease";
        EndAllRuns(was_refused_ ? RunOutcome::kUpstreamLikelyCrashed
                                : RunOutcome::kUpstreamSilent,
                   cause, outputs);
        ChangeState(State::kLost, cause, outputs);
        next_recovery_poll_ = now + options_.lost_poll_interval;
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
  if (!poll_ && now >= next_recovery_poll_) {
    RaiseToken();
    // Repeated recovery polls do not extend leases, as `lease_bound_` would
    // then never be reached.
    SendPoll(now, Duration(0), false, true, outputs);
  }
}

std::optional<TimePoint> UpstreamSession::next_wakeup() const {
  switch (state_) {
    case State::kFenced:
      return std::nullopt;
    case State::kHoldingStarts:
      return next_stops_;
    case State::kReady: {
      std::optional<TimePoint> next;
      if (!poll_ && runs_.empty() && acknowledged_ != acknowledged_sent_) {
        next = idle_since_ + options_.idle_acknowledge_delay;
      }
      for (const auto& [run, requested] : stopping_) {
        const TimePoint late = requested + options_.stop_confirmation_limit;
        next = next ? std::min(*next, late) : late;
      }
      return next;
    }
    case State::kRecovering:
      return poll_ ? lease_bound_ : std::min(lease_bound_, next_recovery_poll_);
    case State::kTakingOver:
    case State::kLost:
      break;
  }
  return poll_ ? std::nullopt : std::optional(next_recovery_poll_);
}

}  // namespace jaypick::control
