// Debug log lines of the requests that start and stop runs.
#ifndef JAYPICK_NODE_RUN_REQUEST_LOG_H_
#define JAYPICK_NODE_RUN_REQUEST_LOG_H_

#include <string>
#include <string_view>
#include <variant>

#include "control/upstream_session.h"
#include "jaypick/time.h"
#include "schedule/messages.h"

namespace jaypick::node {

// The name of a run in logs: step, index and number of the run.
std::string RunName(const schedule::RunId& run);

// Context of a request at the time when it is sent or answered.
struct RunRequestContext {
  std::string_view failure_domain;
  std::string_view upstream;
  // Time left until the list of upstreams is too old for starts; `max()` if it
  // does not grow old.
  Duration list_time_left = Duration::max();
  // Delay of the event loop.
  Duration lag{0};
};

void LogStartSent(const control::StartRequest& request,
                  const RunRequestContext& context);
void LogStopSent(const control::StopRequest& request,
                 const RunRequestContext& context);

// Logs the response to a start or stop request that was sent `took` ago.
// `event` is "start_answered" or "stop_answered".
void LogRunResponse(
    std::string_view event,
    const schedule::RunId& run,
    const std::variant<control::RunResponse, control::NoResponse>& response,
    Duration took,
    const RunRequestContext& context);

}  // namespace jaypick::node

#endif  // JAYPICK_NODE_RUN_REQUEST_LOG_H_
