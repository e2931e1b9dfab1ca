#include "node/run_request_log.h"

#include "daemon/log.h"

namespace jaypick::node {
namespace {

using daemon::IsLogged;
using daemon::LogEvent;
using daemon::LogLevel;

struct ResponseText {
  std::string operator()(const control::RunResponse& response) const {
    return std::string(control::ToString(response.result));
  }
  std::string operator()(const control::NoResponse& response) const {
    if (response.not_sent) {
      return response.is_refused ? "connection_refused" : "not_sent";
    }
    return "none";
  }
};

}  // namespace

std::string RunName(const schedule::RunId& run) {
  return std::to_string(run.step) + "." + std::to_string(run.index) + "#" +
         std::to_string(run.run);
}

void LogStartSent(const control::StartRequest& request,
                  const RunRequestContext& context) {
  if (!IsLogged(LogLevel::kDebug)) {
    return;
  }
  LogEvent(LogLevel::kDebug, "start_sent",
           {{"id", request.run.job},
            {"task", RunName(request.run)},
            {"upstream", std::string(context.upstream)},
            {"domain", std::string(context.failure_domain)},
            {"token", std::to_string(request.token)},
            {"lease_expiry_ms", std::to_string(request.lease_expiry_ms)},
            {"list_ms_left",
             context.list_time_left == Duration::max()
                 ? "none"
                 : std::to_string(ToMilliseconds(context.list_time_left))},
            {"lag_ms", std::to_string(ToMilliseconds(context.lag))}});
}

void LogStopSent(const control::StopRequest& request,
                 const RunRequestContext& context) {
  if (!IsLogged(LogLevel::kDebug)) {
    return;
  }
  LogEvent(LogLevel::kDebug, "stop_sent",
           {{"id", request.run.job},
            {"task", RunName(request.run)},
            {"upstream", std::string(context.upstream)},
            {"domain", std::string(context.failure_domain)},
            {"token", std::to_string(request.token)}});
}

void LogRunResponse(
    std::string_view event,
    const schedule::RunId& run,
    const std::variant<control::RunResponse, control::NoResponse>& response,
    Duration took,
    const RunRequestContext& context) {
  if (!IsLogged(LogLevel::kDebug)) {
    return;
  }
  LogEvent(LogLevel::kDebug, event,
           {{"id", run.job},
            {"task", RunName(run)},
            {"upstream", std::string(context.upstream)},
            {"domain", std::string(context.failure_domain)},
            {"result", std::visit(ResponseText(), response)},
            {"after_ms", std::to_string(ToMilliseconds(took))}});
}

}  // namespace jaypick::node
