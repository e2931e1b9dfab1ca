// Sends orders to upstreams.
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

// Connections of all sessions of a node. Orders, waiting looks and recovery
// looks have connections of their own, so that none waits behind another.
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
  // Sends an order and learns from the time of its answer.
  void Order(const schedule::Upstream& upstream,
             http::Request request,
             RunResponseCallback callback);

  Runtime& runtime_;
  const MessageCodec& codec_;
  control::ResponseTimeoutEstimator response_timeout_;
  http::Client orders_;
  http::Client looks_;
  http::Client recovery_;
};

}  // namespace jaypick::node

#endif  // JAYPICK_NODE_UPSTREAM_CLIENT_H_
