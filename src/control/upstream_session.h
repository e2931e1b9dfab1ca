// Command of one upstream: leases, runs, ends, and what is known after silence.
#ifndef JAYPICK_CONTROL_UPSTREAM_SESSION_H_
#define JAYPICK_CONTROL_UPSTREAM_SESSION_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "jaypick/time.h"
#include "schedule/messages.h"

namespace jaypick::control {

using schedule::RunId;
using schedule::RunOutcome;

// Numbers the calls of one session.
using RequestNumber = std::uint64_t;

// --- What the upstream answers ----------------------------------------------

enum class ResponseStatus {
  kDone,
  // A higher fencing token has been seen.
  kFenced,
  // The run is not higher than one that ended or was stopped there.
  kStaleRun,
  // The lease that the order carried had ended.
  kLate,
  kNoRoom,
  // The upstream does not understand the order.
  kInvalid,
  // The upstream is unhealthy and has done nothing.
  kUnhealthy,
  // Another life of the upstream answered and has done nothing.
  kOtherIncarnation,
};

std::string_view ToString(ResponseStatus result);

// The upstream's clock, and its life, at the time of an answer.
struct UpstreamTimestamps {
  std::optional<std::int64_t> clock_ms;
  // Start of this life, milliseconds since the Unix epoch.
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

// State of the upstream's runs. Ends are repeated until they are acknowledged.
struct PollResponse {
  ResponseStatus result = ResponseStatus::kDone;
  UpstreamTimestamps stamp;
  std::vector<RunId> running;
  std::vector<ReportedRunEnd> ended;
};

// No answer came: the order may have been carried out, or still will be.
struct NoResponse {
  // True if no byte was sent.
  bool not_sent = false;
};

// --- What the session asks for ----------------------------------------------

struct StartRequest {
  RequestNumber request_number = 0;
  RunId run;
  std::string payload;
  std::uint64_t token = 0;
  // On the upstream's clock.
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
  // Ends up to this number have been taken over.
  std::uint64_t acknowledged = 0;
  // Absent: leases are not extended.
  std::optional<std::int64_t> lease_expiry_ms;
  // The upstream may hold its answer for so long until something ends.
  Duration wait{0};
  // Sent on a connection of its own, as the usual one may have gone silent.
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

// Somebody else commands the upstream.
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
  // Part by which the upstream's clock may be slow.
  double clock_error = 0.02;
  // Margin over the lease for rounding to whole milliseconds.
  Duration lease_margin = std::chrono::milliseconds(10);
  // A look waits at most so long, so that leases are renewed well before they
  // end.
  Duration poll_wait = std::chrono::milliseconds(450);
  // Interval of looks at an upstream that does not answer: many round trips,
  // and few looks within a lease.
  Duration recovery_poll_interval = std::chrono::milliseconds(50);
  Duration lost_poll_interval = std::chrono::milliseconds(500);
  // Ends at an idle upstream are acknowledged after this time.
  Duration idle_acknowledge_delay = std::chrono::milliseconds(800);
};

// One commander's view of one upstream.
//
// The upstream carries out orders late, twice or not at all, and answers may be
// lost. Three things make the view safe: each order carries a lease end on the
// upstream's own clock, so that an order that is held up is refused; raising
// the fencing token refuses all earlier orders that are still on their way; and
// once the longest lease has passed since the last order, nothing of ours runs.
class UpstreamSession {
 public:
  // `token` is the holder's lowest token, see `fencing_token.h`. The session
  // raises it with each doubt, and loses the command when no higher one is
  // left.
  UpstreamSession(SessionOptions options, std::uint64_t token);

  // Takes over the upstream: looks what runs there and stops it.
  void Begin(TimePoint now, SessionOutputs& outputs);

  // The service discovery shows that the upstream has started anew.
  void OnUpstreamRestarted(TimePoint now,
                           std::int64_t started_unix_ms,
                           SessionOutputs& outputs);

  // Starts a run. The session must be ready.
  void Start(TimePoint now,
             const RunId& run,
             std::string payload,
             SessionOutputs& outputs);

  // Stops a run; its end is reported as usual.
  void Stop(TimePoint now, const RunId& run, SessionOutputs& outputs);

  void OnStartResponse(TimePoint now,
                       RequestNumber request_number,
                       const std::variant<RunResponse, NoResponse>& answer,
                       SessionOutputs& outputs);
  void OnStopResponse(TimePoint now,
                      RequestNumber request_number,
                      const std::variant<RunResponse, NoResponse>& answer,
                      SessionOutputs& outputs);
  void OnPollResponse(TimePoint now,
                      RequestNumber request_number,
                      const std::variant<PollResponse, NoResponse>& answer,
                      SessionOutputs& outputs);

  // Handles what is due.
  void Advance(TimePoint now, SessionOutputs& outputs);
  std::optional<TimePoint> next_wakeup() const;

  bool is_ready() const { return state_ == State::kReady; }
  std::size_t runs() const { return runs_.size(); }
  std::uint64_t token() const { return token_; }
  // Nothing that this session ordered runs after this time, unless it orders
  // more.
  TimePoint lease_bound() const { return lease_bound_; }

 private:
  enum class State {
    // No look was answered yet, or runs of others are still being stopped.
    kTakingOver,
    kReady,
    // An order got no answer.
    kInDoubt,
    // Silent for longer than a lease.
    kLost,
    // Somebody else commands it.
    kFenced,
  };

  struct Run {
    bool is_confirmed = false;
    bool is_stopping = false;
    TimePoint confirmed_at;
  };

  struct PendingLook {
    RequestNumber request_number = 0;
    TimePoint sent;
    bool is_recovery = false;
    std::uint64_t token = 0;
  };

  struct PendingOrder {
    RunId run;
    std::uint64_t token = 0;
  };

  std::int64_t LeaseExpiry(TimePoint now);
  void NoteLease(TimePoint now);
  void SendLook(TimePoint now,
                Duration wait,
                bool extends_lease,
                bool is_recovery,
                SessionOutputs& outputs);
  void ContinueLooking(TimePoint now, SessionOutputs& outputs);
  void EnterDoubt(TimePoint now,
                  std::string_view cause,
                  SessionOutputs& outputs);
  // Refuses earlier orders that are still on their way.
  void RaiseToken();
  void ChangeState(State state,
                   std::string_view cause,
                   SessionOutputs& outputs);
  // Returns false if the answer shows another life or another commander.
  bool TakeStamp(TimePoint now,
                 const UpstreamTimestamps& stamp,
                 ResponseStatus result,
                 std::uint64_t token,
                 SessionOutputs& outputs);
  // Ends the runs that were known to be at an earlier life. Starts that are on
  // their way may still reach the new one.
  void EndRunsOfEarlierIncarnation(std::string_view cause,
                                   SessionOutputs& outputs);
  void EndRun(const RunId& run,
              RunOutcome end,
              std::string_view cause,
              SessionOutputs& outputs);
  void EndAllRuns(RunOutcome end,
                  std::string_view cause,
                  SessionOutputs& outputs);
  void Reconcile(TimePoint now,
                 const PendingLook& look,
                 const PollResponse& answer,
                 SessionOutputs& outputs);
  void StopForeignRuns(const PollResponse& answer, SessionOutputs& outputs);

  SessionOptions options_;
  std::uint64_t token_;
  State state_ = State::kTakingOver;
  std::map<RunId, Run> runs_;
  std::map<RequestNumber, PendingOrder> starts_;
  std::map<RequestNumber, PendingOrder> stops_;
  std::optional<PendingLook> look_;
  RequestNumber last_call_ = 0;
  std::uint64_t acknowledged_ = 0;
  std::uint64_t acknowledged_sent_ = 0;
  std::optional<std::int64_t> clock_ms_;
  TimePoint clock_read_;
  std::optional<std::int64_t> started_unix_ms_;
  TimePoint lease_bound_;
  TimePoint next_recovery_;
  TimePoint idle_since_;
};

}  // namespace jaypick::control

#endif  // JAYPICK_CONTROL_UPSTREAM_SESSION_H_
