// A leader's session with one upstream: leases, runs, their ends, and recovery
// after lost messages.
#ifndef JAYPICK_CONTROL_UPSTREAM_SESSION_H_
#define JAYPICK_CONTROL_UPSTREAM_SESSION_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "control/run_bounds.h"
#include "jaypick/time.h"
#include "schedule/messages.h"

namespace jaypick::control {

using schedule::RunId;
using schedule::RunOutcome;

// Numbers the requests of one session.
using RequestNumber = std::uint64_t;

// --- Responses of the upstream ----------------------------------------------

enum class ResponseStatus {
  kDone,
  // The upstream has seen a higher fencing token.
  kFenced,
  // A run of the task with this number or a higher one has ended or was stopped
  // at the upstream.
  kStaleRun,
  // The lease in the request had already expired.
  kLate,
  kNoRoom,
  // The upstream does not understand the request.
  kInvalid,
  // The upstream is unhealthy and did not carry out the request.
  kUnhealthy,
  // Another incarnation of the upstream responded, without carrying out the
  // request.
  kOtherIncarnation,
};

std::string_view ToString(ResponseStatus status);

// Clock and incarnation of the upstream at the time of a response.
struct UpstreamTimestamps {
  std::optional<std::int64_t> clock_ms;
  // Start of this incarnation, milliseconds since the Unix epoch.
  std::optional<std::int64_t> started_unix_ms;
};

struct RunResponse {
  ResponseStatus result = ResponseStatus::kDone;
  UpstreamTimestamps stamp;
};

struct ReportedRunEnd {
  std::uint64_t number = 0;
  RunId run;
  RunOutcome end = RunOutcome::kFailed;
};

// State of the upstream's runs. The upstream reports each end until it is
// acknowledged.
struct PollResponse {
  ResponseStatus result = ResponseStatus::kDone;
  UpstreamTimestamps stamp;
  std::vector<RunId> running;
  std::vector<ReportedRunEnd> ended;
};

// No response arrived: the request may have been carried out, or may still be.
struct NoResponse {
  // True if no byte was sent.
  bool not_sent = false;
  // The connection was refused. The upstream's process has probably ended, but
  // a cut may look the same.
  bool is_refused = false;
};

// --- Outputs of the session -------------------------------------------------

struct StartRequest {
  RequestNumber request_number = 0;
  RunId run;
  std::string payload;
  std::uint64_t token = 0;
  // Milliseconds on the upstream's clock.
  std::int64_t lease_expiry_ms = 0;
};

struct StopRequest {
  RequestNumber request_number = 0;
  RunId run;
  std::uint64_t token = 0;
};

struct PollRequest {
  RequestNumber request_number = 0;
  std::uint64_t token = 0;
  // Ends up to this number have been processed.
  std::uint64_t acknowledged = 0;
  // Absent: leases are not extended.
  std::optional<std::int64_t> lease_expiry_ms;
  // How long the upstream may delay its response until a run ends.
  Duration wait{0};
  // Sent on a separate connection, as the usual one may be stalled.
  bool is_recovery = false;
};

struct RunEnded {
  RunId run;
  RunOutcome end = RunOutcome::kFailed;
  // For logs.
  std::string_view cause;
};

struct ReadinessChanged {
  bool is_ready = false;
  std::string_view cause;
};

// The session is over: another leader has taken over the upstream, or the
// fencing tokens are used up.
struct SessionFenced {};

using SessionOutput = std::variant<StartRequest,
                                   StopRequest,
                                   PollRequest,
                                   RunEnded,
                                   ReadinessChanged,
                                   SessionFenced>;
using SessionOutputs = std::vector<SessionOutput>;

struct SessionOptions {
  // Longest lease that the upstream grants, on its own clock.
  Duration longest_lease = std::chrono::milliseconds(1000);
  // Fraction by which the upstream's clock may run slow.
  double clock_error = kUpstreamClockError;
  // Margin over the lease for rounding to whole milliseconds.
  Duration lease_margin = kLeaseMargin;
  // Returns when somebody was last known to wait for the job. If empty, all
  // jobs are attended at any time.
  std::function<TimePoint(const std::string& job)> attended_at;
  // A lease covers all runs at the upstream. It ends this long after any of
  // their jobs was attended last.
  Duration longest_unattended_run = kLongestUnattendedRun;
  // Leases are shorter by the possible drift of the upstream's clock since it
  // was last read. Beyond this drift, the clock is read before a run is
  // started, so that leases outlast a poll that gets lost.
  Duration longest_drift = std::chrono::milliseconds(200);
  // No leases are extended at an upstream from the request to stop a run there
  // until the run has ended, so it ends with its lease at the latest. If it has
  // not ended after this time, the stop is repeated and nothing is started.
  Duration stop_confirmation_limit = std::chrono::milliseconds(200);
  // Until then, runs are started under the lease that the upstream has already
  // got, if this much of it is left.
  Duration shortest_start_lease = std::chrono::milliseconds(250);
  // Longest wait of a poll, short enough that leases are renewed well before
  // they expire. A poll that extends a lease waits for half of it at most.
  Duration poll_wait = std::chrono::milliseconds(420);
  // Intervals of polls to an upstream that does not respond, while its leases
  // may be valid and otherwise. The first interval is many round trips long and
  // allows few polls within a lease.
  Duration recovery_poll_interval = std::chrono::milliseconds(50);
  Duration lost_poll_interval = std::chrono::milliseconds(500);
  // Ends at an idle upstream are acknowledged after this time.
  Duration idle_acknowledge_delay = std::chrono::milliseconds(800);
  // Shortest interval of polls that verify listed start times which the
  // upstream does not confirm.
  Duration listing_check_interval = std::chrono::milliseconds(500);
};

// A leader's view of one upstream.
//
// The upstream may carry out requests late, twice or not at all, and responses
// may be lost. Three mechanisms keep the view safe: each request that starts a
// run or extends leases carries a lease expiry on the upstream's own clock, so
// that a delayed request is refused; raising the fencing token makes the
// upstream refuse all earlier requests that are still in flight; and once the
// longest lease has passed since the last request, no run of this session is
// active.
class UpstreamSession {
 public:
  // `token` is the leader's lowest fencing token, see `fencing_token.h`. The
  // session raises it whenever the outcome of a request is unknown, and ends
  // with `SessionFenced` when no higher one is left.
  UpstreamSession(SessionOptions options, std::uint64_t token);

  // Takes over the upstream: polls for the runs of earlier leaders and stops
  // them.
  void Begin(TimePoint now, SessionOutputs& outputs);

  // The service discovery lists a start time of the upstream, perhaps that of a
  // new incarnation. The entry may be wrong, so a poll of the upstream decides.
  void OnUpstreamRestarted(TimePoint now,
                           std::int64_t started_unix_ms,
                           SessionOutputs& outputs);

  // Starts a run. The session must be ready. If the upstream has been silent
  // for long, its clock is read first; if that fails, or if a stop is late, the
  // run ends as not started.
  void Start(TimePoint now,
             const RunId& run,
             std::string payload,
             SessionOutputs& outputs);

  // Stops a run. Its end is reported by `RunEnded`, like that of any run. If
  // the stop is not carried out, the run ends with its lease.
  void Stop(TimePoint now, const RunId& run, SessionOutputs& outputs);

  void OnStartResponse(TimePoint now,
                       RequestNumber request_number,
                       const std::variant<RunResponse, NoResponse>& response,
                       SessionOutputs& outputs);
  void OnStopResponse(TimePoint now,
                      RequestNumber request_number,
                      const std::variant<RunResponse, NoResponse>& response,
                      SessionOutputs& outputs);
  void OnPollResponse(TimePoint now,
                      RequestNumber request_number,
                      const std::variant<PollResponse, NoResponse>& response,
                      SessionOutputs& outputs);

  // Performs what is due at `now`: recovery polls, expiry of leases, repeated
  // stops, and delayed acknowledgements.
  void Advance(TimePoint now, SessionOutputs& outputs);
  std::optional<TimePoint> next_wakeup() const;

  bool is_ready() const { return state_ == State::kReady; }
  // The upstream has responded to this leader, and no run of an earlier leader
  // is active there.
  bool has_taken_over() const { return has_taken_over_; }
  std::size_t runs() const { return runs_.size(); }
  // Start of the incarnation that responded last, milliseconds since the Unix
  // epoch.
  std::optional<std::int64_t> started_unix_ms() const {
    return started_unix_ms_;
  }
  std::uint64_t token() const { return token_; }
  // Upper bound of the lease ends: no run of this session is active after this
  // time, unless it starts runs or extends leases again.
  TimePoint lease_bound() const { return lease_bound_; }

 private:
  enum class State {
    // No poll has been answered yet, or runs of earlier leaders are still being
    // stopped.
    kTakingOver,
    kReady,
    // The upstream responds, but too little of a lease is left for a start: a
    // stop is pending, or the job of a run has not been attended for long.
    kHoldingStarts,
    // A request got no response, so the state of the runs is unknown.
    kRecovering,
    // No response came before all leases expired, or another incarnation
    // responded.
    kLost,
    // Another leader has taken over, or the fencing tokens are used up.
    kFenced,
  };

  struct Run {
    bool is_confirmed = false;
    // Confirmed before the present incarnation responded first.
    bool is_of_earlier_incarnation = false;
    TimePoint confirmed_at;
    // The incarnation that the start request was sent to.
    std::optional<std::int64_t> started_unix_ms;
  };

  struct PendingPoll {
    RequestNumber request_number = 0;
    TimePoint sent;
    bool is_recovery = false;
    std::uint64_t token = 0;
  };

  struct PendingRunRequest {
    RunId run;
    std::uint64_t token = 0;
  };

  // Largest possible drift of the upstream's clock since its last reading.
  Duration Drift(TimePoint now) const;
  std::int64_t LeaseExpiry(TimePoint now) const;
  // Latest end of the run, as its job was attended.
  TimePoint LatestEnd(const RunId& run) const;
  // The lease that may be granted now, on the upstream's clock: the longest one
  // that ends before the latest end of each run. Zero if there is none.
  Duration AllowedLease(TimePoint now) const;
  // The expiry that a request to start the run states: extends the lease unless
  // a stop is pending. Returns nullopt if the run may not be started, as its
  // lease would be too short, or too long for a job that is not attended.
  std::optional<std::int64_t> StartLeaseExpiry(TimePoint now, const RunId& run);
  // Returns the expiry of a lease that is extended now, or nullopt if it may
  // not be.
  std::optional<std::int64_t> ExtendLease(TimePoint now);
  // How much of the lease that the upstream has got is left, on its clock.
  std::int64_t LeaseLeftMs(TimePoint now) const;
  void SendStart(TimePoint now,
                 const RunId& run,
                 std::string payload,
                 SessionOutputs& outputs);
  void SendStop(const RunId& run, SessionOutputs& outputs);
  // Returns whether enough of a lease is left for starts, without extending
  // that of a run to be stopped.
  bool MayStart(TimePoint now) const;
  void HoldStarts(TimePoint next_check,
                  std::string_view cause,
                  SessionOutputs& outputs);
  // Returns whether a run has not ended in time after its stop was requested.
  bool IsStopLate(TimePoint now) const;
  // Holds starts while they are not possible, and repeats the stops that are
  // late.
  void CheckStops(TimePoint now, SessionOutputs& outputs);
  void SendPoll(TimePoint now,
                Duration wait,
                bool extends_lease,
                bool is_recovery,
                SessionOutputs& outputs);
  bool IsResponding() const {
    return state_ == State::kReady || state_ == State::kHoldingStarts;
  }
  void ContinuePolling(TimePoint now, SessionOutputs& outputs);
  void EnterRecovery(TimePoint now,
                     std::string_view cause,
                     SessionOutputs& outputs);
  // Raises the fencing token, so that the upstream refuses earlier requests
  // that are still in flight.
  void RaiseToken();
  void ChangeState(State state,
                   std::string_view cause,
                   SessionOutputs& outputs);
  // Records the upstream's clock and incarnation, and ends the runs of an
  // earlier incarnation. `poll` is the poll that the response belongs to, or
  // null. Returns false if the response shows that another incarnation uses the
  // address or that another leader has taken over, or if the state of the runs
  // is known only after another poll.
  bool AcceptResponse(TimePoint now,
                      const UpstreamTimestamps& timestamps,
                      ResponseStatus status,
                      std::uint64_t token,
                      const PendingPoll* poll,
                      SessionOutputs& outputs);
  // Drops what is known of the present incarnation, and all requests that were
  // sent before the next one responded. Thus each response that is accepted
  // comes from the incarnation that responded last or from a later one.
  void ForgetIncarnation();
  void EndRunsOfEarlierIncarnation(std::string_view cause,
                                   SessionOutputs& outputs);
  void EndRun(const RunId& run,
              RunOutcome outcome,
              std::string_view cause,
              SessionOutputs& outputs);
  void EndUnsentRuns(SessionOutputs& outputs);
  // Runs whose start was not confirmed end as such if the upstream is lost.
  void EndAllRuns(RunOutcome outcome,
                  std::string_view cause,
                  SessionOutputs& outputs);
  void Reconcile(TimePoint now,
                 const PendingPoll& poll,
                 const PollResponse& response,
                 SessionOutputs& outputs);
  // How a run ended that no longer can run, and whose end is not reported.
  RunOutcome OutcomeOfMissing(const Run& run) const;
  void StopRunsOfEarlierLeaders(TimePoint now,
                                const PollResponse& response,
                                SessionOutputs& outputs);

  SessionOptions options_;
  std::uint64_t token_;
  State state_ = State::kTakingOver;
  bool has_taken_over_ = false;
  std::map<RunId, Run> runs_;
  // Runs to be stopped, also those of earlier leaders, and when each stop was
  // first requested.
  std::map<RunId, TimePoint> stopping_;
  TimePoint next_stops_;
  // Payloads of runs that wait for a reading of the upstream's clock.
  std::map<RunId, std::string> unsent_;
  std::map<RequestNumber, PendingRunRequest> starts_;
  std::map<RequestNumber, PendingRunRequest> stops_;
  std::optional<PendingPoll> poll_;
  RequestNumber last_request_number_ = 0;
  std::uint64_t acknowledged_ = 0;
  std::uint64_t acknowledged_sent_ = 0;
  std::optional<std::int64_t> clock_ms_;
  TimePoint clock_read_;
  std::optional<std::int64_t> started_unix_ms_;
  // The listed start time that was verified last, unless the upstream has
  // restarted since.
  std::optional<std::int64_t> listed_unix_ms_;
  TimePoint listing_checked_;
  TimePoint lease_bound_;
  // Latest lease expiry sent to this incarnation, on its clock.
  std::int64_t lease_expiry_ms_ = 0;
  // The last request without a response was refused.
  bool was_refused_ = false;
  TimePoint next_recovery_poll_;
  TimePoint idle_since_;
};

}  // namespace jaypick::control

#endif  // JAYPICK_CONTROL_UPSTREAM_SESSION_H_
