#include "node/upstream_client.h"

#include <utility>

namespace jaypick::node {
namespace {

// Start and stop requests in flight per upstream; each occupies a connection
// for a round trip.
constexpr std::size_t kRunConnections = 2;
// One long poll waits at the upstream; another one may replace it while the
// first is being cancelled.
constexpr std::size_t kPollConnections = 2;
constexpr std::size_t kRecoveryConnections = 2;
// A recovery poll must not reuse a connection that may be dead.
constexpr Duration kRecoveryIdle = std::chrono::milliseconds(150);
constexpr Duration kIdle = std::chrono::seconds(60);

}  // namespace

UpstreamClient::UpstreamClient(Runtime& runtime, const MessageCodec& codec)
    : runtime_(runtime),
      codec_(codec),
      run_client_(runtime.base(),
                  {.connections_per_address = kRunConnections,
                   .idle_timeout = kIdle,
                   .resets_on_timeout = true}),
      poll_client_(
          runtime.base(),
          {.connections_per_address = kPollConnections, .idle_timeout = kIdle}),
      recovery_client_(runtime.base(),
                       {.connections_per_address = kRecoveryConnections,
                        .idle_timeout = kRecoveryIdle}) {}

void UpstreamClient::SendRunRequest(const schedule::Upstream& upstream,
                                    http::Request request,
                                    RunResponseCallback callback) {
  run_client_.Send(
      upstream.address, std::move(request),
      response_timeout_.Timeout(runtime_.lag()),
      [this, address = upstream.address, sent = runtime_.Now(),
       callback = std::move(callback)](const http::ClientResult& result) {
        if (std::holds_alternative<http::Response>(result)) {
          response_timeout_.OnResponse(runtime_.Now() - sent);
        } else {
          response_timeout_.OnTimeout();
        }
        CloseIdleAfterTimeout(address, result);
        callback(codec_.DecodeRunResponse(result));
      });
}

void UpstreamClient::Start(const schedule::Upstream& upstream,
                           const control::StartRequest& request,
                           RunResponseCallback callback) {
  SendRunRequest(upstream, codec_.EncodeStart(upstream.id, request),
                 std::move(callback));
}

void UpstreamClient::Stop(const schedule::Upstream& upstream,
                          const control::StopRequest& request,
                          RunResponseCallback callback) {
  SendRunRequest(upstream, codec_.EncodeStop(upstream.id, request),
                 std::move(callback));
}

void UpstreamClient::Poll(const schedule::Upstream& upstream,
                          const control::PollRequest& request,
                          PollCallback callback) {
  http::Client& client = request.is_recovery ? recovery_client_ : poll_client_;
  control::PollRequest poll = request;
  poll.wait = response_timeout_.PollWait(request.wait);
  client.Send(
      upstream.address, codec_.EncodePoll(upstream.id, poll),
      poll.wait + 2 * response_timeout_.Timeout(runtime_.lag()),
      [this, address = upstream.address,
       callback = std::move(callback)](const http::ClientResult& result) {
        response_timeout_.OnPoll(
            std::holds_alternative<http::Response>(result));
        CloseIdleAfterTimeout(address, result);
        callback(codec_.DecodePollResponse(result));
      });
}

// The connections of the other clients to the address may be as unresponsive as
// that of the request.
void UpstreamClient::CloseIdleAfterTimeout(const Address& address,
                                           const http::ClientResult& result) {
  const auto* const error = std::get_if<http::ClientError>(&result);
  if (error == nullptr || !error->timed_out) {
    return;
  }
  for (http::Client* const client :
       {&run_client_, &poll_client_, &recovery_client_}) {
    client->CloseIdle(address);
  }
}

}  // namespace jaypick::node
