// Plug-in `peer_client`: hands calls to other entries, and exchanges versions.
#include <optional>
#include <random>
#include <utility>
#include <variant>
#include <vector>

#include "daemon/api_answer.h"
#include "daemon/api_request.h"
#include "daemon/exchange.h"
#include "daemon/kernel.h"
#include "daemon/log.h"
#include "daemon/poller.h"
#include "daemon/raw_json.h"
#include "http/client.h"

namespace jaypick::daemon {
namespace {

constexpr int kOk = 200;
// A call that waits lasts as long as its job at most; this comes on top.
constexpr Duration kForwardMargin = std::chrono::seconds(2);
constexpr Duration kExchangeTimeout = std::chrono::milliseconds(800);
// Waiting calls hold a connection each.
constexpr std::size_t kForwardConnections = 64;

struct Forward {
  http::Request request;
  Duration timeout = kForwardMargin;
};

std::string JobPath(const JobId& id) {
  return "/v1/jobs/" + ToString(id);
}

Forward MakeForward(const SubmitJob& message) {
  Duration timeout = kForwardMargin;
  if (message.request.wait) {
    timeout += message.request.timeout.value_or(kMaxJobTimeout);
  }
  return {.request = {.method = http::Method::kPost,
                      .path = "/v1/jobs",
                      .query = {},
                      .headers = {},
                      .body = WriteSubmit(message.request)},
          .timeout = timeout};
}

Forward MakeForward(const QueryJob& message) {
  return {.request = {.method = http::Method::kGet,
                      .path = JobPath(message.id),
                      .query = {{"owner", message.owner},
                                {"wait", message.wait ? "true" : "false"}},
                      .headers = {},
                      .body = {}},
          .timeout =
              message.wait ? kMaxJobTimeout + kForwardMargin : kForwardMargin};
}

Forward MakeForward(const CancelJob& message) {
  std::string body = "{\"owner\":";
  AppendJsonString(body, message.owner);
  return {.request = {.method = http::Method::kPost,
                      .path = JobPath(message.id) + "/cancel",
                      .query = {},
                      .headers = {},
                      .body = body + '}'}};
}

class PeerClient : public PlugIn {
 public:
  explicit PeerClient(Kernel& kernel)
      : kernel_(kernel),
        forwards_(kernel.base(),
                  {.connections_per_address = kForwardConnections}),
        exchanges_(kernel.base(),
                   {.timeout = kExchangeTimeout, .connections_per_address = 1}),
        random_(kernel.incarnation().value),
        poller_(kernel.base(), kernel.settings().exchange_interval, [this] {
          ExchangeWithNext();
        }) {
    kernel.message_bus().Subscribe<ForwardCall>(
        [this](ForwardCall& message) { Send(std::move(message)); });
    kernel.message_bus().Subscribe<ChangeApplied>(
        [this](ChangeApplied& message) { Announce(message.configuration); });
  }

  void Start() override { poller_.Start(); }

 private:
  void Send(ForwardCall message) {
    Forward forward = std::visit(
        [](const auto& typed) { return MakeForward(typed); }, message.message);
    forward.request.headers.push_back({.name = kForwardedHeader, .value = "1"});
    forwards_.Send(message.address, std::move(forward.request), forward.timeout,
                   [this, call = message.call,
                    id = message.id](http::ClientResult result) mutable {
                     Finish(call, std::move(id), std::move(result));
                   });
  }

  void Finish(CallId call, JobId id, http::ClientResult result) {
    auto* const response = std::get_if<http::Response>(&result);
    if (response != nullptr &&
        http::FindHeader(response->headers, kEntryHeader)) {
      kernel_.message_bus().Send(
          RelayAnswer{.call = call, .response = Relayed(*response)});
      return;
    }
    LogEvent(LogLevel::kInfo, "forward_failed", {{"id", ToString(id)}});
    kernel_.message_bus().Send(
        Event(ForwardFailed{.call = call, .id = std::move(id)}));
  }

  // The answer without the headers of the connection that it came over.
  static http::Response Relayed(http::Response& response) {
    http::Response relayed{.status = response.status,
                           .headers = {},
                           .body = std::move(response.body)};
    for (const char* const name : {kEntryHeader, "Retry-After"}) {
      if (const auto value = http::FindHeader(response.headers, name)) {
        relayed.headers.push_back({.name = name, .value = std::string(*value)});
      }
    }
    return relayed;
  }

  // In turn a random entry of the own failure domain and one of another. If
  // there is none of the wanted side, the other side is taken.
  void ExchangeWithNext() {
    is_turn_of_own_domain_ = !is_turn_of_own_domain_;
    auto address = RandomPeer(is_turn_of_own_domain_);
    if (!address) {
      address = RandomPeer(!is_turn_of_own_domain_);
    }
    if (address) {
      Exchange(*address, MakeExchange(kernel_.dispatcher(), nullptr), true);
    }
  }

  std::vector<Address> Peers(std::optional<bool> of_own_domain) const {
    std::vector<Address> peers;
    const InstanceList* const list = kernel_.dispatcher().instances();
    if (list == nullptr) {
      return peers;
    }
    const Settings& settings = kernel_.settings();
    for (const Instance& instance : list->instances) {
      const bool is_own = instance.failure_domain == settings.failure_domain;
      if (instance.role == InstanceRole::kEntry &&
          instance.name != settings.entry &&
          (!of_own_domain || *of_own_domain == is_own)) {
        peers.push_back(instance.address);
      }
    }
    return peers;
  }

  std::optional<Address> RandomPeer(bool of_own_domain) {
    const std::vector<Address> peers = Peers(of_own_domain);
    if (peers.empty()) {
      return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> choose(0, peers.size() - 1);
    return peers[choose(random_)];
  }

  // Tells every peer at once about a change that was applied here.
  void Announce(const Configuration& configuration) {
    ExchangeMessage message = MakeExchange(kernel_.dispatcher(), nullptr);
    message.configuration_version = configuration.version();
    message.configuration = configuration;
    for (const Address& address : Peers(std::nullopt)) {
      Exchange(address, message, false);
    }
  }

  // `may_follow`: a peer that lacks something gets it in a second message.
  void Exchange(const Address& address,
                const ExchangeMessage& message,
                bool may_follow) {
    kernel_.metrics().CountWaste(WasteCause::kPeerExchange);
    exchanges_.Send(address,
                    {.method = http::Method::kPost,
                     .path = kExchangePath,
                     .query = {},
                     .headers = {},
                     .body = WriteExchange(message)},
                    [this, address, may_follow](http::ClientResult result) {
                      FinishExchange(address, may_follow, std::move(result));
                    });
  }

  void FinishExchange(const Address& address,
                      bool may_follow,
                      http::ClientResult result) {
    const auto* const response = std::get_if<http::Response>(&result);
    const bool is_ok = response != nullptr && response->status == kOk;
    kernel_.metrics().CountPoll("peer", is_ok);
    if (!is_ok) {
      return;
    }
    auto read = ReadExchange(response->body);
    if (const auto* const error = std::get_if<std::string>(&read)) {
      LogEvent(LogLevel::kWarning, "exchange_invalid", {{"message", *error}});
      return;
    }
    auto& message = std::get<ExchangeMessage>(read);
    ExchangeMessage missing = MakeExchange(kernel_.dispatcher(), &message);
    OfferExchange(kernel_.message_bus(), std::move(message));
    if (may_follow && (missing.configuration || missing.instances)) {
      Exchange(address, missing, false);
    }
  }

  Kernel& kernel_;
  http::Client forwards_;
  http::Client exchanges_;
  std::mt19937_64 random_;
  Poller poller_;
  bool is_turn_of_own_domain_ = false;
};

const PlugInRegistration kRegistration = Register<PeerClient>("peer_client");

}  // namespace
}  // namespace jaypick::daemon
