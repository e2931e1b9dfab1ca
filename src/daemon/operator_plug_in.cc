// Plug-in `operator_api`: the HTTP API for operators. Every request needs the
// bearer token.
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "daemon/api_server.h"
#include "daemon/bearer_token.h"
#include "daemon/kernel.h"
#include "daemon/log.h"
#include "jaypick/operator_api.h"

namespace jaypick::daemon {
namespace {

using http::Method;
using http::Request;
using http::Responder;

constexpr int kUnauthorized = 401;

std::int64_t UnixMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

http::Response ToResponse(OperatorResponse response) {
  return {.status = response.status,
          .headers = {},
          .body = std::move(response.body)};
}

// Makes a reply callback that sends through `responder`. The responder is held
// in a shared pointer because `std::function` needs a copyable target.
OperatorReply ReplyTo(Responder responder) {
  auto shared = std::make_shared<Responder>(std::move(responder));
  return [shared](OperatorResponse response) {
    shared->Send(ToResponse(std::move(response)));
  };
}

class OperatorPlugIn : public ApiServer {
 public:
  explicit OperatorPlugIn(Kernel& kernel)
      : ApiServer(kernel, "operators", kernel.settings().operators),
        kernel_(kernel),
        token_(BearerToken::Load(kernel.settings().operator_token_file)),
        api_({.store = &kernel.store(),
              .in_force = [this] { return CurrentConfiguration(); },
              .unix_ms = UnixMilliseconds,
              .on_accepted =
                  [this](const Configuration& accepted) {
                    OnAccepted(accepted);
                  }}) {
    kernel.message_bus().Subscribe<PeerSeen>([this](PeerSeen& message) {
      peer_versions_[message.entry] = message.configuration_version;
    });
    Serve(Method::kPost, "/v1/operator/config/check",
          [this](const Request& request, Responder responder) {
            api_.Check(request.body, ReplyTo(std::move(responder)));
          });
    Serve(Method::kPost, "/v1/operator/config/apply",
          [this](const Request& request, Responder responder) {
            api_.Apply(request.body, ReplyTo(std::move(responder)));
          });
    Serve(Method::kGet, "/v1/operator/config",
          [this](const Request&, Responder responder) {
            responder.Send(ToResponse(api_.ShowConfiguration()));
          });
    Serve(Method::kGet, "/v1/operator/audit",
          [this](const Request& request, Responder responder) {
            const auto limit = request.query.find("limit");
            api_.Audit(limit == request.query.end() ? "" : limit->second,
                       ReplyTo(std::move(responder)));
          });
    Serve(Method::kGet, "/v1/operator/instances",
          [this](const Request&, Responder responder) {
            responder.Send(
                ToResponse(OperatorApi::ShowInstances(MakeInstancesView())));
          });
  }

 private:
  using AuthorizedHandler = std::function<void(const Request&, Responder)>;

  // Registers a handler for requests that carry the token. Other requests get
  // 401.
  void Serve(Method method, std::string path, AuthorizedHandler handler) {
    server().Handle(
        method, std::move(path),
        [this, handler = std::move(handler)](const Request& request,
                                             Responder responder) {
          if (!token_.Matches(request.headers)) {
            LogEvent(LogLevel::kWarning, "operator_refused",
                     {{"path", request.path}});
            responder.Send({.status = kUnauthorized,
                            .headers = {{"WWW-Authenticate", "Bearer"}},
                            .body = R"({"reason":"unauthorized"})"});
            return;
          }
          handler(request, std::move(responder));
        });
  }

  std::optional<Configuration> CurrentConfiguration() const {
    const Configuration* const in_force = kernel_.dispatcher().configuration();
    return in_force == nullptr ? std::nullopt : std::optional(*in_force);
  }

  void OnAccepted(const Configuration& accepted) {
    LogEvent(LogLevel::kInfo, "configuration_accepted",
             {{"version", std::to_string(accepted.version())},
              {"author", accepted.header().author},
              {"operation", accepted.header().operation_id}});
    kernel_.message_bus().Send(
        Event(ConfigurationOffered{.configuration = accepted}));
    kernel_.message_bus().Send(ChangeApplied{.configuration = accepted});
  }

  InstancesView MakeInstancesView() const {
    InstancesView view;
    if (const InstanceList* const list = kernel_.dispatcher().instances()) {
      view.list = *list;
    }
    view.config_versions = peer_versions_;
    if (const Configuration* const own = kernel_.dispatcher().configuration()) {
      view.config_versions[kernel_.settings().entry] = own->version();
    }
    view.ejected_upstreams = kernel_.dispatcher().ejected_upstreams();
    return view;
  }

  Kernel& kernel_;
  BearerToken token_;
  OperatorApi api_;
  // Configuration version of each entry, from its last peer exchange.
  std::map<std::string, std::uint64_t> peer_versions_;
};

const PlugInRegistration kRegistration =
    Register<OperatorPlugIn>("operator_api");

}  // namespace
}  // namespace jaypick::daemon
