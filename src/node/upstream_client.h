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

using OrderCallback = std::function<void(
    const std::variant<command::OrderAnswer, command::NoAnswer>&)>;
using LookCallback = std::function<void(
    const std::variant<command::LookAnswer, command::NoAnswer>&)>;

// Connections of all sessions of a node. Orders, waiting looks and recovery
// looks have connections of their own, so that none waits behind another.
class UpstreamCaller {
 public:
  UpstreamCaller(Runtime& runtime, const Dialect& dialect);

  void Start(const schedule::Upstream& upstream,
             const command::StartCall& call,
             OrderCallback callback);
  void Stop(const schedule::Upstream& upstream,
            const command::StopCall& call,
            OrderCallback callback);
  void Look(const schedule::Upstream& upstream,
            const command::LookCall& call,
            LookCallback callback);

 private:
  // Sends an order and learns from the time of its answer.
  void Order(const schedule::Upstream& upstream,
             http::Request request,
             OrderCallback callback);

  Runtime& runtime_;
  const Dialect& dialect_;
  command::AnswerTimeModel answer_time_;
  http::Client orders_;
  http::Client looks_;
  http::Client recovery_;
};

}  // namespace jaypick::node

#endif  // JAYPICK_NODE_UPSTREAM_CLIENT_H_
