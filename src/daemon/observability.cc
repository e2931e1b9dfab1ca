// Plug-in `observability`: /metrics, /healthz and /readyz. All of them stay
// available while the process drains.
#include <chrono>
#include <utility>

#include "daemon/api_server.h"
#include "daemon/kernel.h"

namespace jaypick::daemon {
namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr const char* kMetricsContentType =
    "text/plain; version=0.0.4; charset=utf-8";

std::int64_t UnixMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

class Observability : public ApiServer {
 public:
  explicit Observability(Kernel& kernel)
      : ApiServer(kernel, "observability", kernel.settings().observability),
        kernel_(kernel) {
    kernel.message_bus().Subscribe<ShutdownRequested>(
        [this](ShutdownRequested&) { is_shutting_down_ = true; });
    Serve("/metrics", [this] {
      return http::Response{.headers = {},
                            .body = kernel_.metrics().Text(kernel_.dispatcher(),
                                                           UnixMilliseconds()),
                            .content_type = kMetricsContentType};
    });
    Serve("/healthz", [] { return Status(true, "ok"); });
    Serve("/readyz", [this] { return Readiness(); });
  }

 private:
  void Serve(std::string path, std::function<http::Response()> make_response) {
    server().Handle(http::Method::kGet, std::move(path),
                    [make_response = std::move(make_response)](
                        const http::Request&, http::Responder responder) {
                      responder.Send(make_response());
                    });
  }

  http::Response Readiness() const {
    if (is_shutting_down_ || kernel_.dispatcher().is_draining()) {
      return Status(false, "draining");
    }
    if (kernel_.dispatcher().configuration() == nullptr) {
      return Status(false, "no configuration");
    }
    if (kernel_.dispatcher().instances() == nullptr) {
      return Status(false, "no instance list");
    }
    return Status(true, "ready");
  }

  static http::Response Status(bool is_ok, const std::string& status) {
    return {.status = is_ok ? kOk : kUnavailable,
            .headers = {},
            .body = "{\"status\":\"" + status + "\"}"};
  }

  Kernel& kernel_;
  bool is_shutting_down_ = false;
};

const PlugInRegistration kRegistration =
    Register<Observability>("observability");

}  // namespace
}  // namespace jaypick::daemon
