#include "daemon/upstream_connection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>

#include <charconv>
#include <cstring>
#include <string_view>
#include <utility>

#include "daemon/raw_json.h"
#include "http/evhttp_conversions.h"
#include "http/socket_options.h"

namespace jaypick::daemon {
namespace {

constexpr int kOk = 200;
constexpr std::string_view kKindPrefix = "{\"kind\":";
constexpr std::string_view kPayloadPrefix = ",\"payload\":";
constexpr int kTaskFailed = 500;
constexpr int kTaskNotRun = 503;
// A larger response counts as lost.
constexpr ev_ssize_t kMaxResponseBytes = ev_ssize_t{8} * 1024 * 1024;

std::optional<std::uint32_t> ReportedLoad(evhttp_request* request) {
  const char* const text = evhttp_find_header(
      evhttp_request_get_input_headers(request), "Jaypick-Running");
  std::uint32_t load = 0;
  if (text == nullptr) {
    return std::nullopt;
  }
  const char* const end = text + std::strlen(text);
  const auto [rest, error] = std::from_chars(text, end, load);
  if (error != std::errc() || rest != end) {
    return std::nullopt;
  }
  return load;
}

std::optional<attempt::RefusalCause> ParseCause(std::string_view name) {
  if (name == "busy") {
    return attempt::RefusalCause::kBusy;
  }
  if (name == "leaving") {
    return attempt::RefusalCause::kLeaving;
  }
  if (name == "deadline") {
    return attempt::RefusalCause::kDeadline;
  }
  return std::nullopt;
}

AttemptOutcome Lost(std::string cause) {
  return attempt::Lost{.cause = std::move(cause)};
}

// Returns the outcome stated by a response that has the expected attempt id.
AttemptOutcome ParseOutcome(int status, const RawMembers& members) {
  const RawMember* const result = FindMember(members, "result");
  const RawMember* const error = FindMember(members, "error");
  const bool has_error = error != nullptr && error->type == JsonType::kString;
  if (status == kOk && result != nullptr) {
    return attempt::Succeeded{.result = std::string(result->raw)};
  }
  if (status == kTaskFailed && has_error) {
    return attempt::Failed{.message = error->text};
  }
  if (status == kTaskNotRun && has_error) {
    if (const auto cause = ParseCause(error->text)) {
      return attempt::Refused{.cause = *cause};
    }
  }
  return Lost("unexpected response with status " + std::to_string(status));
}

}  // namespace

UpstreamConnection::UpstreamConnection(event_base* base,
                                       const Address& address,
                                       const Callbacks& callbacks)
    : address_(address),
      host_(address.host + ":" + std::to_string(address.port)),
      callbacks_(callbacks),
      handle_(evhttp_connection_base_bufferevent_new(
          base,
          nullptr,
          bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE),
          address.host.c_str(),
          address.port)) {
  evhttp_connection_set_max_body_size(handle_, kMaxResponseBytes);
  evhttp_connection_set_closecb(handle_, &UpstreamConnection::OnClose, this);
}

UpstreamConnection::~UpstreamConnection() {
  evhttp_connection_set_closecb(handle_, nullptr, nullptr);
  evhttp_connection_free(handle_);
}

bool UpstreamConnection::Open() {
  evhttp_request* const request =
      evhttp_request_new(&UpstreamConnection::OnHealthResponse, this);
  evhttp_add_header(evhttp_request_get_output_headers(request), "Host",
                    host_.c_str());
  is_busy_ = true;
  if (evhttp_make_request(handle_, request, EVHTTP_REQ_GET, "/healthz") != 0) {
    is_busy_ = false;
    return false;
  }
  if (Socket() >= 0) {
    http::SetSocketOptions(Socket());
  }
  return true;
}

bool UpstreamConnection::Send(const UpstreamTask& task) {
  evhttp_request* const request =
      evhttp_request_new(&UpstreamConnection::OnResponse, this);
  evkeyvalq* const headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Host", host_.c_str());
  evhttp_add_header(headers, "Content-Type", "application/json");
  evhttp_add_header(headers, "Jaypick-Attempt", task.attempt.c_str());
  evhttp_add_header(headers, "Jaypick-Deadline-Ms",
                    std::to_string(ToMilliseconds(task.remaining)).c_str());
  std::string body;
  body.reserve(kKindPrefix.size() + task.kind_json.size() +
               kPayloadPrefix.size() + task.payload.size() + 1);
  body += kKindPrefix;
  body += task.kind_json;
  body += kPayloadPrefix;
  body += task.payload;
  body += '}';
  http::AppendText(evhttp_request_get_output_buffer(request), std::move(body));
  expected_attempt_ = task.attempt;
  is_busy_ = true;
  if (evhttp_make_request(handle_, request, EVHTTP_REQ_POST, "/v1/tasks") !=
      0) {
    is_busy_ = false;
    return false;
  }
  return true;
}

bool UpstreamConnection::IsReady() const {
  return IsReusable() &&
         http::PeekIdleSocket(Socket()) == http::IdleSocketState::kReady;
}

bool UpstreamConnection::IsReusable() const {
  return is_health_checked_ && !is_busy_ && !is_closed_ &&
         evbuffer_get_length(bufferevent_get_input(
             evhttp_connection_get_bufferevent(handle_))) == 0;
}

void UpstreamConnection::OnHealthResponse(evhttp_request* request, void* self) {
  static_cast<UpstreamConnection*>(self)->FinishOpening(request);
}

void UpstreamConnection::FinishOpening(evhttp_request* request) {
  is_busy_ = false;
  // evhttp reports a failure to connect as a request without a status, and any
  // later failure as a null request.
  is_health_checked_ =
      request != nullptr && evhttp_request_get_response_code(request) == kOk;
  if (is_health_checked_) {
    // The dispatcher enforces the timeouts of attempts. evhttp's own timeouts
    // would cost a timer operation with each read and write.
    bufferevent_set_timeouts(evhttp_connection_get_bufferevent(handle_),
                             nullptr, nullptr);
  }
  callbacks_.on_health_checked(*this, IsReusable());
}

void UpstreamConnection::OnResponse(evhttp_request* request, void* self) {
  auto* const connection = static_cast<UpstreamConnection*>(self);
  connection->is_busy_ = false;
  UpstreamResponse response = connection->ReadResponse(request);
  if (std::holds_alternative<attempt::Lost>(response.outcome)) {
    connection->is_closed_ = true;
  }
  connection->callbacks_.on_response(*connection, std::move(response));
}

UpstreamResponse UpstreamConnection::ReadResponse(evhttp_request* request) {
  if (request == nullptr || evhttp_request_get_response_code(request) == 0) {
    return {.outcome = Lost("connection failed before a complete response"),
            .reported_load = std::nullopt};
  }
  UpstreamResponse response{.outcome = attempt::NotSent{},
                            .reported_load = ReportedLoad(request)};
  const std::string body =
      http::TakeAll(evhttp_request_get_input_buffer(request));
  const auto read = ReadMembers(body);
  const auto* const members = std::get_if<RawMembers>(&read);
  if (members == nullptr) {
    response.outcome = Lost("response is not JSON");
    return response;
  }
  const RawMember* const echoed = FindMember(*members, "attempt");
  if (echoed == nullptr || echoed->text != expected_attempt_) {
    response.outcome = Lost("response names another attempt");
    return response;
  }
  response.outcome =
      ParseOutcome(evhttp_request_get_response_code(request), *members);
  return response;
}

void UpstreamConnection::OnClose(evhttp_connection* /*handle*/, void* self) {
  auto* const connection = static_cast<UpstreamConnection*>(self);
  connection->is_closed_ = true;
  if (!connection->is_busy_) {
    connection->callbacks_.on_closed(*connection);
  }
}

int UpstreamConnection::Socket() const {
  return bufferevent_getfd(evhttp_connection_get_bufferevent(handle_));
}

}  // namespace jaypick::daemon
