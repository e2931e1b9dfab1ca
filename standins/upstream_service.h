// Stand-in upstream.
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
  // Run time of tasks whose payload names none: log-normal with this median.
  Duration median_run_time = std::chrono::milliseconds(20);
  // Standard deviation of the logarithm of the run time.
  double run_time_sigma = 0.5;
  std::uint64_t seed = 1;
  // Send the header Jaypick-Running.
  bool report_load = true;
  // Keep each start for `/starts`.
  bool record_starts = true;
};

// What happens to the requests to come.
enum class UpstreamFault {
  kNone,
  // Run nothing, answer 500 at once; recorded as a start.
  kFail,
  // Multiply run times by `factor`.
  kSlow,
  // Never answer anything, health checks included; tasks are not started.
  kSilent,
  // Start tasks and never answer them.
  kSilentTasks,
  // Start tasks and break the answer.
  kGarbage,
  kHalf,
  kWrongAttempt,
  // Reset the connection without a start, or once the task has started.
  kDropBeforeStart,
  kDropAfterStart,
  // Answer 503 without a start.
  kBusy,
  kLeaving,
};

// Serves POST /v1/tasks and GET /healthz as the design page, section 13, has
// them.
//
// The payload may name `run_ms`, `result` and `fail` (the task runs and fails
// with that message); the result is the payload if none is named.
//
// Control port:
//   POST /fault {"mode", "count", "factor"}  `count` tasks, 0 = all to come
//   POST /options {"slots", "backlog_limit", "connection_limit"}
//   POST /reset                              forgets starts and counts
//   GET  /starts   {"starts": [{"attempt", "kind", "payload", "ms"}]}
//   GET  /stats    counts, see `Stats`
class UpstreamService {
 public:
  UpstreamService(event_base* base, UpstreamServiceOptions options);

  std::uint16_t port() const { return server_.port(); }
  std::uint16_t control_port() const { return control_.port(); }

  // As a request to the control port; nothing for an unknown path.
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
  UpstreamFault TakeFault();
  void Start(Task task);
  void StartWaiting();
  void End(const Task& task);
  void Answer(const Task& task) const;
  void Refuse(const Task& task, const char* error);
  void Record(const Task& task);
  Duration RunTime(const Task& task);
  http::Response Response(int status, const Json& body) const;
  void SetFault(const Json& body);
  void SetOptions(const Json& body);
  Json Stats() const;

  event_base* base_;
  UpstreamServiceOptions options_;
  std::mt19937_64 random_;
  UpstreamFault fault_ = UpstreamFault::kNone;
  // Tasks that `fault_` still hits; 0 means all.
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
