// Interface for the message formats, which differ between platforms.
#ifndef JAYPICK_NODE_MESSAGE_CODEC_H_
#define JAYPICK_NODE_MESSAGE_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "control/upstream_session.h"
#include "http/client.h"
#include "http/http.h"
#include "jaypick/key_value_store.h"
#include "node/routing.h"
#include "schedule/fleet.h"
#include "schedule/messages.h"

namespace jaypick::node {

// A job submitted by a caller, with the time for which the caller waits.
struct JobSubmission {
  schedule::JobSpec spec;
  Duration timeout{0};
};

// A caller asks for the state of a job, or cancels it.
struct JobQuery {
  std::string id;
};
struct JobCancel {
  std::string id;
};
// A caller asks how many jobs of the route are pending.
struct PendingCountQuery {};
// The request cannot be served; `response` states the reason.
struct RejectedRequest {
  http::Response response;
};

using CallerRequest = std::variant<JobSubmission,
                                   JobQuery,
                                   JobCancel,
                                   PendingCountQuery,
                                   RejectedRequest>;

// Encodes and decodes the messages of a platform. It contains no decision
// logic.
class MessageCodec {
 public:
  virtual ~MessageCodec() = default;

  // Keys in the store that are written by the operators and by the upstreams.
  // All keys of the operators begin with the prefix.
  virtual std::string operator_prefix() const = 0;
  virtual std::string configuration_key() const = 0;
  virtual std::string upstream_prefix() const = 0;

  // Return nullopt and describe the error in `fault` if the value is not a
  // valid configuration or upstream entry.
  virtual std::optional<RoutingTable> DecodeRouting(
      std::string_view value,
      std::string& fault) const = 0;
  virtual std::optional<schedule::Upstream> DecodeUpstream(
      const KeyValue& item,
      std::string& fault) const = 0;

  // The failure domain that the operators evacuate as long as there is a key
  // `key`; nullopt if the key means something else.
  virtual std::optional<std::string> EvacuatedDomain(
      std::string_view key) const = 0;

  // `route` is the route selected by the host and path of the request.
  virtual CallerRequest DecodeCallerRequest(const http::Request& request,
                                            const Route& route) const = 0;
  virtual http::Response EncodeOutcome(
      const schedule::JobOutcome& outcome) const = 0;
  virtual http::Response EncodeUnknownJob() const = 0;
  virtual http::Response EncodePending(std::uint64_t pending) const = 0;

  // Requests to the upstream with the id `upstream`.
  virtual http::Request EncodeStart(
      const std::string& upstream,
      const control::StartRequest& request) const = 0;
  virtual http::Request EncodeStop(
      const std::string& upstream,
      const control::StopRequest& request) const = 0;
  virtual http::Request EncodePoll(
      const std::string& upstream,
      const control::PollRequest& request) const = 0;
  virtual std::variant<control::RunResponse, control::NoResponse>
  DecodeRunResponse(const http::ClientResult& result) const = 0;
  virtual std::variant<control::PollResponse, control::NoResponse>
  DecodePollResponse(const http::ClientResult& result) const = 0;
};

}  // namespace jaypick::node

#endif  // JAYPICK_NODE_MESSAGE_CODEC_H_
