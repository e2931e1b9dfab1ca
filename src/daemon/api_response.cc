#include "daemon/api_response.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "daemon/raw_json.h"

namespace jaypick::daemon {
namespace {

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kGone = 410;
constexpr int kTooManyRequests = 429;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

// Extra space reserved for ids and member names, to avoid a reallocation.
constexpr std::size_t kReservedBytesForIds = 256;
constexpr Duration kDefaultRetryAfter = std::chrono::seconds(1);

void AppendIds(std::string& json,
               std::string_view name,
               const std::vector<JobId>& ids) {
  json += '"';
  json += name;
  json += "\":[";
  for (std::size_t i = 0; i < ids.size(); ++i) {
    json += i == 0 ? "" : ",";
    AppendJsonString(json, ToString(ids[i]));
  }
  json += ']';
}

void AppendNextIds(std::string& json, const std::vector<JobId>& ids) {
  if (!ids.empty()) {
    json += ',';
    AppendIds(json, "next_ids", ids);
  }
}

void AppendField(std::string& json,
                 std::string_view name,
                 std::string_view value) {
  json += ",\"";
  json += name;
  json += "\":";
  AppendJsonString(json, value);
}

std::string BeginObject(std::string_view status) {
  std::string json = "{\"status\":\"";
  json += status;
  json += '"';
  return json;
}

void AppendFieldErrors(std::string& json,
                       const std::vector<FieldError>& faults) {
  if (faults.empty()) {
    return;
  }
  json += ",\"faults\":[";
  for (std::size_t i = 0; i < faults.size(); ++i) {
    json += i == 0 ? "{\"place\":" : ",{\"place\":";
    AppendJsonString(json, faults[i].json_pointer);
    AppendField(json, "message", faults[i].message);
    json += '}';
  }
  json += ']';
}

std::int64_t ToWholeSeconds(Duration duration) {
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(duration);
  return std::max<std::int64_t>(seconds.count(), 1);
}

struct ResponseWriter {
  http::Response operator()(const ReservedIds& answer) const {
    std::string json = BeginObject("reserved");
    json += ',';
    AppendIds(json, "ids", answer.ids);
    return Finish(kOk, std::move(json));
  }

  http::Response operator()(const RunningAnswer& answer) const {
    std::string json = BeginObject("running");
    AppendField(json, "id", ToString(answer.id));
    AppendNextIds(json, answer.next_ids);
    return Finish(kAccepted, std::move(json));
  }

  http::Response operator()(const CompleteAnswer& answer) const {
    std::string json = BeginObject("complete");
    std::size_t size = json.size();
    for (const std::string& result : answer.results) {
      size += result.size() + 1;
    }
    json.reserve(size + kReservedBytesForIds);
    AppendField(json, "id", ToString(answer.id));
    json += ",\"results\":[";
    for (std::size_t i = 0; i < answer.results.size(); ++i) {
      if (i != 0) {
        json += ',';
      }
      json += answer.results[i];
    }
    json += ']';
    AppendNextIds(json, answer.next_ids);
    return Finish(kOk, std::move(json));
  }

  http::Response operator()(const Refusal& refusal) const {
    const int status = StatusOf(refusal.reason);
    std::optional<Duration> retry_after = refusal.retry_after;
    if (!retry_after && status == kUnavailable) {
      retry_after = kDefaultRetryAfter;
    }
    std::string json = BeginObject("refused");
    if (refusal.id) {
      AppendField(json, "id", ToString(*refusal.id));
    }
    AppendField(json, "run", ToString(refusal.run));
    AppendField(json, "reason", ToString(refusal.reason));
    AppendField(json, "message", refusal.message);
    if (retry_after) {
      json += ",\"retry_after_ms\":";
      json += std::to_string(ToMilliseconds(*retry_after));
    }
    AppendFieldErrors(json, refusal.faults);
    AppendNextIds(json, refusal.next_ids);
    http::Response response = Finish(status, std::move(json));
    if (retry_after) {
      response.headers.push_back(
          {.name = "Retry-After",
           .value = std::to_string(ToWholeSeconds(*retry_after))});
    }
    return response;
  }

  static http::Response Finish(int status, std::string json) {
    json += '}';
    return {.status = status, .headers = {}, .body = std::move(json)};
  }
};

}  // namespace

int StatusOf(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kBadRequest:
    case RefusalReason::kUnknownKind:
    case RefusalReason::kUnknownOwner:
    case RefusalReason::kNeedsNotOffered:
      return kBadRequest;
    case RefusalReason::kIdNeverIssued:
    case RefusalReason::kNotSubmitted:
      return kNotFound;
    case RefusalReason::kIdClosed:
    case RefusalReason::kIdReused:
    case RefusalReason::kCancelled:
      return kConflict;
    case RefusalReason::kIdExpired:
    case RefusalReason::kIssuerGone:
    case RefusalReason::kAnswerExpired:
      return kGone;
    case RefusalReason::kQueueFull:
      return kTooManyRequests;
    case RefusalReason::kTaskFailed:
    case RefusalReason::kTaskOutcomeUnknown:
      return kBadGateway;
    case RefusalReason::kIssuerUnreachable:
    case RefusalReason::kKeyClaimUnavailable:
    case RefusalReason::kNoConfiguration:
    case RefusalReason::kNoUpstream:
    case RefusalReason::kOverloaded:
    case RefusalReason::kDeadlineUnreachable:
    case RefusalReason::kDraining:
      return kUnavailable;
    case RefusalReason::kDeadlineExceeded:
      return kGatewayTimeout;
  }
  return kBadRequest;
}

std::function<http::Response(std::size_t)> OversizeBodyResponse(
    std::size_t limit_bytes) {
  return [limit_bytes](std::size_t size) {
    const std::string message = "the body has " + std::to_string(size) +
                                " bytes; at most " +
                                std::to_string(limit_bytes) + " are accepted";
    return ToResponse(
        Refusal{.id = std::nullopt,
                .run = RunState::kUnknown,
                .reason = RefusalReason::kBadRequest,
                .message = message,
                .retry_after = std::nullopt,
                .faults = {{.json_pointer = "", .message = message}},
                .next_ids = {}});
  };
}

http::Response ToResponse(const CallAnswer& answer) {
  return std::visit(ResponseWriter{}, answer);
}

}  // namespace jaypick::daemon
