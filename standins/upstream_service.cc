#include "standins/upstream_service.h"

#include <array>
#include <chrono>
#include <cmath>
#include <stdexcept>
#include <string_view>
#include <utility>

namespace jaypick::standin {
namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFoundStatus = 404;
constexpr int kInternalErrorStatus = 500;
constexpr int kUnavailableStatus = 503;

constexpr std::string_view kGarbage = "\x01\x02 this is not HTTP\r\n\r\n";

struct FaultName {
  std::string_view name;
  UpstreamFault fault;
};

constexpr std::array kFaultNames = {
    FaultName{"none", UpstreamFault::kNone},
    FaultName{"fail", UpstreamFault::kFail},
    FaultName{"slow", UpstreamFault::kSlow},
    FaultName{"silent", UpstreamFault::kSilent},
    FaultName{"silent_tasks", UpstreamFault::kSilentTasks},
    FaultName{"garbage", UpstreamFault::kGarbage},
    FaultName{"half", UpstreamFault::kHalf},
    FaultName{"wrong_attempt", UpstreamFault::kWrongAttempt},
    FaultName{"drop_before_start", UpstreamFault::kDropBeforeStart},
    FaultName{"drop_after_start", UpstreamFault::kDropAfterStart},
    FaultName{"busy", UpstreamFault::kBusy},
    FaultName{"leaving", UpstreamFault::kLeaving},
};

UpstreamFault ParseFault(std::string_view name) {
  for (const FaultName& candidate : kFaultNames) {
    if (candidate.name == name) {
      return candidate.fault;
    }
  }
  throw std::invalid_argument("unknown fault");
}

// Returns the id of another attempt of the same task, for which no client is
// waiting.
std::string AnotherAttempt(const std::string& attempt) {
  return attempt.substr(0, attempt.rfind('.') + 1) + "999";
}

std::string HeaderOr(const WireRequest& request,
                     std::string_view name,
                     const char* fallback) {
  return std::string(
      http::FindHeader(request.headers, name).value_or(fallback));
}

}  // namespace

UpstreamService::UpstreamService(event_base* base,
                                 UpstreamServiceOptions options)
    : base_(base),
      options_(options),
      random_(options.seed),
      server_(base,
              options.port,
              [this](const WireRequest& request, Exchange exchange) {
                Handle(request, exchange);
              }),
      control_(
          base,
          options.control_port,
          ControlHandler([this](const std::string& path, const Json& body) {
            return Control(path, body);
          })) {
  server_.set_connection_limit(options.connection_limit);
}

void UpstreamService::Handle(const WireRequest& request,
                             const Exchange& exchange) {
  if (fault_ == UpstreamFault::kSilent) {
    return;
  }
  if (request.method == "GET" && request.path == "/healthz") {
    ++counts_.health_checks;
    return exchange.Send(Response(kOk, {{"status", "ok"}}));
  }
  if (request.method != "POST" || request.path != "/v1/tasks") {
    return exchange.Send(Response(kNotFoundStatus, {{"error", "not found"}}));
  }
  ++counts_.requests;
  try {
    HandleTask(request, exchange);
  } catch (const std::exception& error) {
    exchange.Send(Response(kBadRequest, {{"error", error.what()}}));
  }
}

void UpstreamService::HandleTask(const WireRequest& request,
                                 const Exchange& exchange) {
  const Json body = Json::parse(request.body);
  const auto deadline = std::chrono::milliseconds(
      std::stoll(HeaderOr(request, "Jaypick-Deadline-Ms", "60000")));
  Task task{.attempt = HeaderOr(request, "Jaypick-Attempt", ""),
            .kind = body.at("kind").get<std::string>(),
            .payload = body.at("payload"),
            .deadline = MonotonicNow() + deadline,
            .fault = UpstreamFault::kNone,
            .exchange = exchange};
  if (task.attempt.empty()) {
    throw std::invalid_argument("no header Jaypick-Attempt");
  }
  task.fault = ConsumeFault();
  if (task.fault == UpstreamFault::kDropBeforeStart) {
    return exchange.Reset();
  }
  if (task.fault == UpstreamFault::kLeaving) {
    return Refuse(task, "leaving");
  }
  const bool is_full =
      running_ >= options_.slots && waiting_.size() >= options_.backlog_limit;
  if (is_full || task.fault == UpstreamFault::kBusy) {
    return Refuse(task, "busy");
  }
  waiting_.push_back(std::move(task));
  StartWaitingTasks();
}

UpstreamFault UpstreamService::ConsumeFault() {
  const UpstreamFault fault = fault_;
  if (fault_count_ != 0 && --fault_count_ == 0) {
    fault_ = UpstreamFault::kNone;
  }
  return fault;
}

void UpstreamService::StartWaitingTasks() {
  while (running_ < options_.slots && !waiting_.empty()) {
    Task task = std::move(waiting_.front());
    waiting_.pop_front();
    Start(std::move(task));
  }
}

void UpstreamService::Start(Task task) {
  if (task.deadline <= MonotonicNow()) {
    return Refuse(task, "deadline");
  }
  RecordStart(task);
  if (task.fault == UpstreamFault::kDropAfterStart) {
    task.exchange.Reset();
  }
  ++running_;
  const Duration run_time = RunTime(task);
  RunAfter(base_, run_time,
           [this, task = std::move(task)] { FinishTask(task); });
}

void UpstreamService::RecordStart(const Task& task) {
  ++counts_.started;
  if (options_.record_starts) {
    starts_.push_back(
        {{"attempt", task.attempt},
         {"kind", task.kind},
         {"payload", task.payload},
         {"ms", ToMilliseconds(MonotonicNow().time_since_epoch())}});
  }
}

Duration UpstreamService::RunTime(const Task& task) {
  if (task.fault == UpstreamFault::kFail) {
    return Duration{0};
  }
  double milliseconds = 0;
  if (task.payload.is_object() && task.payload.contains("run_ms")) {
    milliseconds = task.payload["run_ms"].get<double>();
  } else {
    const double median =
        std::chrono::duration<double, std::milli>(options_.median_run_time)
            .count();
    std::lognormal_distribution<double> distribution(std::log(median),
                                                     options_.run_time_sigma);
    milliseconds = distribution(random_);
  }
  if (task.fault == UpstreamFault::kSlow) {
    milliseconds *= slow_factor_;
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(milliseconds));
}

void UpstreamService::FinishTask(const Task& task) {
  --running_;
  ++counts_.ended;
  SendResult(task);
  StartWaitingTasks();
}

void UpstreamService::SendResult(const Task& task) const {
  const bool has_result =
      task.payload.is_object() && task.payload.contains("result");
  Json body = {{"attempt", task.attempt},
               {"result", has_result ? task.payload["result"] : task.payload}};
  const http::Response success = Response(kOk, body);
  switch (task.fault) {
    case UpstreamFault::kFail:
      return task.exchange.Send(
          Response(kInternalErrorStatus,
                   {{"attempt", task.attempt}, {"error", "injected fault"}}));
    case UpstreamFault::kSilentTasks:
      return;
    case UpstreamFault::kGarbage:
      return task.exchange.SendRaw(kGarbage);
    case UpstreamFault::kHalf:
      return task.exchange.SendHalf(success);
    case UpstreamFault::kWrongAttempt:
      body["attempt"] = AnotherAttempt(task.attempt);
      return task.exchange.Send(Response(kOk, body));
    default:
      break;
  }
  if (task.payload.is_object() && task.payload.contains("fail")) {
    return task.exchange.Send(
        Response(kInternalErrorStatus,
                 {{"attempt", task.attempt}, {"error", task.payload["fail"]}}));
  }
  task.exchange.Send(success);
}

void UpstreamService::Refuse(const Task& task, const char* error) {
  ++counts_.refused;
  task.exchange.Send(Response(kUnavailableStatus,
                              {{"attempt", task.attempt}, {"error", error}}));
}

http::Response UpstreamService::Response(int status, const Json& body) const {
  http::Response response = JsonResponse(status, body);
  if (options_.report_load) {
    response.headers.push_back(
        {.name = "Jaypick-Running",
         .value = std::to_string(running_ + waiting_.size())});
  }
  return response;
}

void UpstreamService::SetFault(const Json& body) {
  fault_ = ParseFault(body.at("mode").get<std::string>());
  fault_count_ = body.value("count", std::uint64_t{0});
  slow_factor_ = body.value("factor", 10.0);
}

void UpstreamService::SetOptions(const Json& body) {
  options_.slots = body.value("slots", options_.slots);
  options_.backlog_limit = body.value("backlog_limit", options_.backlog_limit);
  options_.connection_limit =
      body.value("connection_limit", options_.connection_limit);
  server_.set_connection_limit(options_.connection_limit);
  StartWaitingTasks();
}

Json UpstreamService::Stats() const {
  return {{"requests", counts_.requests},
          {"health_checks", counts_.health_checks},
          {"started", counts_.started},
          {"ended", counts_.ended},
          {"refused", counts_.refused},
          {"running", running_},
          {"waiting", waiting_.size()},
          {"connections", server_.connections()},
          {"connections_peak", server_.connections_peak()},
          {"connections_refused", server_.connections_refused()},
          {"ms", ToMilliseconds(MonotonicNow().time_since_epoch())}};
}

std::optional<Json> UpstreamService::Control(const std::string& path,
                                             const Json& body) {
  if (path == "/starts") {
    return Json{{"starts", starts_}};
  }
  if (path == "/fault") {
    SetFault(body);
  } else if (path == "/options") {
    SetOptions(body);
  } else if (path == "/reset") {
    starts_.clear();
    counts_ = {};
  } else if (path != "/stats") {
    return std::nullopt;
  }
  return Stats();
}

}  // namespace jaypick::standin
