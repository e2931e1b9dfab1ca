#include "standins/program.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <event2/event.h>
#include <event2/util.h>
#include <signal.h>

#include <cstdio>
#include <limits>
#include <memory>
#include <stdexcept>
#include <utility>

ABSL_FLAG(std::uint32_t,
          port,
          0,
          "port of the service; 0 lets the system "
          "choose");
ABSL_FLAG(std::uint32_t,
          control_port,
          0,
          "port of the control API; 0 lets the system choose");
ABSL_FLAG(std::uint32_t,
          lifetime_s,
          3600,
          "seconds after which the process exits");

namespace jaypick::standin {
namespace {

constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFoundStatus = 404;

timeval ToTimeval(Duration duration) {
  return {.tv_sec = duration.count() / kMicrosecondsPerSecond,
          .tv_usec = duration.count() % kMicrosecondsPerSecond};
}

event* NewSignalEvent(event_base* base, int number) {
  const auto stop = [](evutil_socket_t, short, void* self) {
    event_base_loopbreak(static_cast<event_base*>(self));
  };
  event* const signal = evsignal_new(base, number, stop, base);
  event_add(signal, nullptr);
  return signal;
}

std::uint16_t ToPort(std::uint32_t value) {
  return static_cast<std::uint16_t>(std::min<std::uint32_t>(
      value, std::numeric_limits<std::uint16_t>::max()));
}

}  // namespace

TimePoint MonotonicNow() {
  static evutil_monotonic_timer* const timer = [] {
    evutil_monotonic_timer* const created = evutil_monotonic_timer_new();
    evutil_configure_monotonic_time(created, EV_MONOT_PRECISE);
    return created;
  }();
  timeval now{};
  evutil_gettime_monotonic(timer, &now);
  return TimePoint(Duration(now.tv_sec * kMicrosecondsPerSecond + now.tv_usec));
}

Program::Program(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  signal(SIGPIPE, SIG_IGN);
  base_ = event_base_new();
  interrupt_ = NewSignalEvent(base_, SIGINT);
  terminate_ = NewSignalEvent(base_, SIGTERM);
}

Program::~Program() {
  event_free(interrupt_);
  event_free(terminate_);
  event_base_free(base_);
}

std::uint16_t Program::port() const {
  return ToPort(absl::GetFlag(FLAGS_port));
}

std::uint16_t Program::control_port() const {
  return ToPort(absl::GetFlag(FLAGS_control_port));
}

int Program::Run(const std::string& name,
                 std::uint16_t port,
                 std::uint16_t control_port) {
  const Json ready = {
      {"ready", name}, {"port", port}, {"control_port", control_port}};
  std::printf("%s\n", ready.dump().c_str());
  std::fflush(stdout);
  const timeval lifetime =
      ToTimeval(std::chrono::seconds(absl::GetFlag(FLAGS_lifetime_s)));
  event_base_loopexit(base_, &lifetime);
  event_base_dispatch(base_);
  return 0;
}

void RunAfter(event_base* base, Duration delay, std::function<void()> action) {
  auto owned_action =
      std::make_unique<std::function<void()>>(std::move(action));
  const timeval time = ToTimeval(delay);
  const auto run = [](evutil_socket_t, short, void* self) {
    const std::unique_ptr<std::function<void()>> action(
        static_cast<std::function<void()>*>(self));
    (*action)();
  };
  event_base_once(base, -1, EV_TIMEOUT, run, owned_action.release(), &time);
}

http::Response JsonResponse(int status, const Json& body) {
  http::Response response;
  response.status = status;
  // Replaces invalid UTF-8, which can come from a client; by default `dump`
  // would throw.
  response.body =
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return response;
}

WireHandler ControlHandler(
    std::function<std::optional<Json>(const std::string& path,
                                      const Json& body)> handle) {
  return [handle = std::move(handle)](const WireRequest& request,
                                      const Exchange& exchange) {
    try {
      const Json body =
          request.body.empty() ? Json::object() : Json::parse(request.body);
      const auto response_body = handle(request.path, body);
      exchange.Send(response_body ? JsonResponse(kOk, *response_body)
                                  : JsonResponse(kNotFoundStatus,
                                                 {{"error", "unknown path"}}));
    } catch (const std::exception& error) {
      exchange.Send(JsonResponse(kBadRequest, {{"error", error.what()}}));
    }
  };
}

}  // namespace jaypick::standin
