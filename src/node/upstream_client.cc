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

UpstreamCaller::UpstreamCaller(Runtime& runtime, const Dialect& dialect)
    : runtime_(runtime),
      dialect_(dialect),
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

void UpstreamCaller::Order(const schedule::Upstream& upstream,
                           http::Request request,
                           OrderCallback callback) {
  orders_.Send(upstream.address, std::move(request),
               answer_time_.Timeout(runtime_.lag()),
               [this, sent = runtime_.Now(), callback = std::move(callback)](
                   const http::ClientResult& result) {
                 if (std::holds_alternative<http::Response>(result)) {
                   answer_time_.OnAnswer(runtime_.Now() - sent);
                 } else {
                   answer_time_.OnSilence();
                 }
                 callback(dialect_.DecodeOrder(result));
               });
}

void UpstreamCaller::Start(const schedule::Upstream& upstream,
                           const command::StartCall& call,
                           OrderCallback callback) {
  Order(upstream, dialect_.EncodeStart(upstream.id, call), std::move(callback));
}

void UpstreamCaller::Stop(const schedule::Upstream& upstream,
                          const command::StopCall& call,
                          OrderCallback callback) {
  Order(upstream, dialect_.EncodeStop(upstream.id, call), std::move(callback));
}

void UpstreamCaller::Look(const schedule::Upstream& upstream,
                          const command::LookCall& call,
                          LookCallback callback) {
  http::Client& client = call.is_recovery ? recovery_ : looks_;
  command::LookCall look = call;
  look.wait = answer_time_.LookWait(call.wait);
  client.Send(
      upstream.address, dialect_.EncodeLook(upstream.id, look),
      look.wait + 2 * answer_time_.Timeout(runtime_.lag()),
      [this, callback = std::move(callback)](const http::ClientResult& result) {
        answer_time_.OnLook(std::holds_alternative<http::Response>(result));
        callback(dialect_.DecodeLook(result));
      });
}

}  // namespace jaypick::node
