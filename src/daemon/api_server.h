// Base class of plug-ins that serve HTTP.
#ifndef JAYPICK_DAEMON_API_SERVER_H_
#define JAYPICK_DAEMON_API_SERVER_H_

#include <string>
#include <string_view>

#include "daemon/api_response.h"
#include "daemon/kernel.h"
#include "daemon/log.h"
#include "http/server.h"

namespace jaypick::daemon {

// Owns an HTTP server and shuts it down gracefully when the process drains.
class ApiServer : public PlugIn {
 public:
  ApiServer(Kernel& kernel, std::string_view interface, const Address& address)
      : server_(
            kernel.base(),
            {.address = address,
             .body_limit_bytes = kernel.settings().body_limit_bytes,
             .on_oversize_body =
                 OversizeBodyResponse(kernel.settings().body_limit_bytes),
             .limits = {.connections = kernel.settings().connection_limit}}) {
    // From the start of a drain, responses close their connections, so that
    // clients with persistent connections reconnect to other entries.
    kernel.message_bus().Subscribe<ShutdownRequested>(
        [this](ShutdownRequested&) { server_.CloseAfterAnswers(); });
    LogEvent(LogLevel::kInfo, "listening",
             {{"interface", std::string(interface)},
              {"host", address.host},
              {"port", std::to_string(server_.port())}});
  }

  void StopAccepting() override { server_.StopAccepting(); }
  std::size_t open_calls() const override { return server_.open_calls(); }

  http::Server& server() { return server_; }

 private:
  http::Server server_;
};

}  // namespace jaypick::daemon

#endif  // JAYPICK_DAEMON_API_SERVER_H_
