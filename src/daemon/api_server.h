// Base of plug-ins that serve HTTP.
#ifndef JAYPICK_DAEMON_API_SERVER_H_
#define JAYPICK_DAEMON_API_SERVER_H_

#include "daemon/kernel.h"
#include "http/server.h"

namespace jaypick::daemon {

// Owns a server, and closes it gracefully when the process drains.
class ApiServer : public PlugIn {
 public:
  ApiServer(Kernel& kernel, const Address& address)
      : server_(kernel.base(),
                {.address = address,
                 .body_limit_bytes = kernel.settings().body_limit_bytes,
                 .connection_limit = kernel.settings().connection_limit}) {
    // From the start of a drain, kept connections move to other entries.
    kernel.mailbox().Subscribe<ShutdownRequested>(
        [this](ShutdownRequested&) { server_.CloseAfterAnswers(); });
  }

  void StopAccepting() override { server_.StopAccepting(); }
  std::size_t open_calls() const override { return server_.open_calls(); }
  std::uint16_t port() const override { return server_.port(); }

  http::Server& server() { return server_; }

 private:
  http::Server server_;
};

}  // namespace jaypick::daemon

#endif  // JAYPICK_DAEMON_API_SERVER_H_
