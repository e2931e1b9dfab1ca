// Stand-in upstream with injectable faults.
#ifndef STANDINS_UPSTREAM_SERVICE_H_
#define STANDINS_UPSTREAM_SERVICE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "jaypick/time.h"
#include "standins/program.h"
#include "standins/wire_server.h"

namespace jaypick::standin {

struct UpstreamServiceOptions {
  std::uint16_t port = 0;
  std::uint16_t control_port = 0;
  std::size_t slots = 8;
  // Tasks that may wait for a slot.
  std::size_t backlog_limit = 64;
  std::size_t connection_limit = 60;
  // Median of the log-normal run time of tasks whose payload has no `run_ms`.
  Duration median_run_time = std::chrono::milliseconds(20);
  // Standard deviation of the logarithm of the run time.
  double run_time_sigma = 0.5;
  std::uint64_t seed = 1;
  // Whether responses carry the header Jaypick-Running.
  bool report_load = true;
  // Whether each start is recorded for GET /starts.
  bool record_starts = true;
};

// Fault injected into the next requests.
enum class UpstreamFault {
  kNone,
  // Record a start and respond 500 at once, without running the task.
  kFail,
  // Multiply run times by `factor`.
  kSlow,
  // Respond to no request, health checks included, and start no task.
  kSilent,
  // Run tasks, but never respond to them.
  kSilentTasks,
  // Run tasks and respond with bytes that are not HTTP.
  kGarbage,
  // Run tasks and close the connection after half of the response.
  kHalf,
  // Run tasks and respond with the id of another attempt.
  kWrongAttempt,
  // Reset the connection before the task starts, or after it has started.
  kDropBeforeStart,
  kDropAfterStart,
  // Respond 503 without starting the task.
  kBusy,
  kLeaving,
};

// Serves POST /v1/tasks and GET /healthz as specified in section 13 of the
// design page.
//
// The payload of a task may set `run_ms`, `result` and `fail` (the task runs
// and then fails with that message). Without `result`, the result is the
// payload.
//
// Control port:
//   POST /fault {"mode", "count", "factor"}  injects a fault into the next
//                                            `count` tasks; 0 means all tasks
//   POST /options {"slots", "backlog_limit", "connection_limit"}
//   POST /reset                              clears the starts and counts
//   GET  /starts   {"starts": [{"attempt", "kind", "payload", "ms"}]}
//   GET  /stats    counts, see `Stats`
class UpstreamService {
 public:
  UpstreamService(event_base* base, UpstreamServiceOptions options);

  std::uint16_t port() const { return server_.port(); }
  std::uint16_t control_port() const { return control_.port(); }

  // Handles a request as the control port does, and returns the response body;
  // `std::nullopt` for an unknown path.
  std::optional<Json> Control(const std::string& path, const Json& body);

 private:
  struct Task {
    std::string attempt;
    std::string kind;
    Json payload;
    TimePoint deadline;
    UpstreamFault fault = UpstreamFault::kNone;
    Exchange exchange;
  };
  struct Counts {
    std::uint64_t requests = 0;
    std::uint64_t health_checks = 0;
    std::uint64_t started = 0;
    std::uint64_t ended = 0;
    std::uint64_t refused = 0;
  };

  void Handle(const WireRequest& request, const Exchange& exchange);
  void HandleTask(const WireRequest& request, const Exchange& exchange);
  UpstreamFault ConsumeFault();
  void Start(Task task);
  void StartWaitingTasks();
  void FinishTask(const Task& task);
  void SendResult(const Task& task) const;
  void Refuse(const Task& task, const char* error);
  void RecordStart(const Task& task);
  Duration RunTime(const Task& task);
  http::Response Response(int status, const Json& body) const;
  void SetFault(const Json& body);
  void SetOptions(const Json& body);
  Json Stats() const;

  event_base* base_;
  UpstreamServiceOptions options_;
  std::mt19937_64 random_;
  UpstreamFault fault_ = UpstreamFault::kNone;
  // Number of tasks that `fault_` still applies to; 0 means no limit.
  std::uint64_t fault_count_ = 0;
  double slow_factor_ = 1;
  std::size_t running_ = 0;
  std::deque<Task> waiting_;
  std::vector<Json> starts_;
  Counts counts_;
  WireServer server_;
  WireServer control_;
};

}  // namespace jaypick::standin

#endif  // STANDINS_UPSTREAM_SERVICE_H_
