// Plug-in `peer_api`: the HTTP API for other entries, for forwarded calls and
// peer exchanges.
#include <utility>
#include <variant>

#include "daemon/api_server.h"
#include "daemon/exchange.h"
#include "daemon/job_api.h"
#include "daemon/kernel.h"
#include "daemon/log.h"

namespace jaypick::daemon {
namespace {

constexpr int kBadRequest = 400;

class PeerApi : public ApiServer {
 public:
  explicit PeerApi(Kernel& kernel)
      : ApiServer(kernel, "peer", kernel.settings().peer),
        kernel_(kernel),
        job_api_(kernel, server(), /*is_forwarded=*/true) {
    server().Handle(
        http::Method::kPost, kExchangePath,
        [this](const http::Request& request, http::Responder responder) {
          responder.Send(Exchange(request.body));
        });
  }

 private:
  http::Response Exchange(const std::string& body) {
    auto read = ReadExchange(body);
    if (const auto* const error = std::get_if<std::string>(&read)) {
      LogEvent(LogLevel::kWarning, "exchange_invalid", {{"message", *error}});
      return {.status = kBadRequest,
              .headers = {},
              .body = R"({"error":"not an exchange"})"};
    }
    auto& message = std::get<ExchangeMessage>(read);
    http::Response response{
        .headers = {},
        .body = WriteExchange(MakeExchange(kernel_.dispatcher(), &message))};
    OfferExchange(kernel_.message_bus(), std::move(message));
    return response;
  }

  Kernel& kernel_;
  JobApi job_api_;
};

const PlugInRegistration kRegistration = Register<PeerApi>("peer_api");

}  // namespace
}  // namespace jaypick::daemon
