#include "node/upstream_client.h"

#include <utility>

namespace jaypick::node {
namespace {

// Starts of one upstream are sent one after the other on two connections; each
// takes a round trip.
constexpr std::size_t kOrderConnections = 2;
// One waits; the other one replaces it while the first is being given up.
constexpr std::size_t kLookConnections = 2;
constexpr std::size_t kRecoveryConnections = 2;
// A recovery look must not reuse a connection that may have gone silent.
constexpr Duration kRecoveryIdle = std::chrono::milliseconds(150);
constexpr Duration kIdle = std::chrono::seconds(60);

}  // namespace

UpstreamClient::UpstreamClient(Runtime& runtime, const MessageCodec& codec)
    : runtime_(runtime),
      codec_(codec),
      orders_(runtime.base(),
              {.connections_per_address = kOrderConnections,
               .idle_timeout = kIdle,
               .resets_on_timeout = true}),
      looks_(
          runtime.base(),
          {.connections_per_address = kLookConnections, .idle_timeout = kIdle}),
      recovery_(runtime.base(),
                {.connections_per_address = kRecoveryConnections,
                 .idle_timeout = kRecoveryIdle}) {}

void UpstreamClient::Order(const schedule::Upstream& upstream,
                           http::Request request,
                           RunResponseCallback callback) {
  orders_.Send(upstream.address, std::move(request),
               response_timeout_.Timeout(runtime_.lag()),
               [this, sent = runtime_.Now(), callback = std::move(callback)](
                   const http::ClientResult& result) {
                 if (std::holds_alternative<http::Response>(result)) {
                   response_timeout_.OnResponse(runtime_.Now() - sent);
                 } else {
                   response_timeout_.OnTimeout();
                 }
                 callback(codec_.DecodeRunResponse(result));
               });
}

void UpstreamClient::Start(const schedule::Upstream& upstream,
                           const control::StartRequest& request,
                           RunResponseCallback callback) {
  Order(upstream, codec_.EncodeStart(upstream.id, request),
        std::move(callback));
}

void UpstreamClient::Stop(const schedule::Upstream& upstream,
                          const control::StopRequest& request,
                          RunResponseCallback callback) {
  Order(upstream, codec_.EncodeStop(upstream.id, request), std::move(callback));
}

void UpstreamClient::Poll(const schedule::Upstream& upstream,
                          const control::PollRequest& request,
                          PollCallback callback) {
  http::Client& client = request.is_recovery ? recovery_ : looks_;
  control::PollRequest look = request;
  look.wait = response_timeout_.PollWait(request.wait);
  client.Send(
      upstream.address, codec_.EncodePoll(upstream.id, look),
      look.wait + 2 * response_timeout_.Timeout(runtime_.lag()),
      [this, callback = std::move(callback)](const http::ClientResult& result) {
        response_timeout_.OnPoll(
            std::holds_alternative<http::Response>(result));
        callback(codec_.DecodePollResponse(result));
      });
}

}  // namespace jaypick::node
