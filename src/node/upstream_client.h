// Sends requests to upstreams.
#ifndef JAYPICK_NODE_UPSTREAM_CLIENT_H_
#define JAYPICK_NODE_UPSTREAM_CLIENT_H_

#include <functional>
#include <string>
#include <variant>

#include "control/response_timeout.h"
#include "control/upstream_session.h"
#include "http/client.h"
#include "node/message_codec.h"
#include "node/runtime.h"
#include "schedule/fleet.h"

namespace jaypick::node {

using RunResponseCallback = std::function<void(
    const std::variant<control::RunResponse, control::NoResponse>&)>;
using PollCallback = std::function<void(
    const std::variant<control::PollResponse, control::NoResponse>&)>;

// The connections of a node to its upstreams, shared by all sessions. Requests
// to start or stop runs, long polls and recovery polls use separate connections
// so that they do not queue behind each other.
class UpstreamClient {
 public:
  UpstreamClient(Runtime& runtime, const MessageCodec& codec);

  void Start(const schedule::Upstream& upstream,
             const control::StartRequest& request,
             RunResponseCallback callback);
  void Stop(const schedule::Upstream& upstream,
            const control::StopRequest& request,
            RunResponseCallback callback);
  void Poll(const schedule::Upstream& upstream,
            const control::PollRequest& request,
            PollCallback callback);

 private:
  void CloseIdleAfterTimeout(const Address& address,
                             const http::ClientResult& result);
  // Sends a start or stop request and updates the response timeout estimate.
  void SendRunRequest(const schedule::Upstream& upstream,
                      http::Request request,
                      RunResponseCallback callback);

  Runtime& runtime_;
  const MessageCodec& codec_;
  control::ResponseTimeoutEstimator response_timeout_;
  http::Client run_client_;
  http::Client poll_client_;
  http::Client recovery_client_;
};

}  // namespace jaypick::node

#endif  // JAYPICK_NODE_UPSTREAM_CLIENT_H_
