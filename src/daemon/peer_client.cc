// Plug-in `peer_client`: forwards calls to the entries that issued their ids,
// and runs peer exchanges.
#include <optional>
#include <random>
#include <utility>
#include <variant>
#include <vector>

#include "daemon/api_request.h"
#include "daemon/api_response.h"
#include "daemon/exchange.h"
#include "daemon/kernel.h"
#include "daemon/log.h"
#include "daemon/poller.h"
#include "daemon/raw_json.h"
#include "http/client.h"

namespace jaypick::daemon {
namespace {

constexpr int kOk = 200;
// Added to the timeout of a forwarded call, which lasts at most as long as its
// job if it waits for the result.
constexpr Duration kForwardMargin = std::chrono::seconds(2);
constexpr Duration kExchangeTimeout = std::chrono::milliseconds(800);
// Each forwarded call that waits for its job occupies a connection.
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
        forward_client_(kernel.base(),
                        {.connections_per_address = kForwardConnections}),
        exchange_client_(
            kernel.base(),
            {.timeout = kExchangeTimeout, .connections_per_address = 1}),
        random_(kernel.incarnation().value),
        poller_(kernel.base(), kernel.settings().exchange_interval, [this] {
          ExchangeWithRandomPeer();
        }) {
    kernel.message_bus().Subscribe<ForwardCall>(
        [this](ForwardCall& message) { Send(std::move(message)); });
    kernel.message_bus().Subscribe<ChangeApplied>(
        [this](ChangeApplied& message) {
          SendToAllPeers(message.configuration);
        });
  }

  void Start() override { poller_.Start(); }

 private:
  void Send(ForwardCall message) {
    Forward forward = std::visit(
        [](const auto& typed) { return MakeForward(typed); }, message.message);
    forward.request.headers.push_back({.name = kForwardedHeader, .value = "1"});
    forward_client_.Send(message.address, std::move(forward.request),
                         forward.timeout,
                         [this, call = message.call,
                          id = message.id](http::ClientResult result) mutable {
                           Finish(call, std::move(id), std::move(result));
                         });
  }

  void Finish(CallId call, JobId id, http::ClientResult result) {
    auto* const response = std::get_if<http::Response>(&result);
    if (response != nullptr &&
        http::FindHeader(response->headers, kEntryHeader)) {
      kernel_.message_bus().Send(RelayResponse{
          .call = call, .response = MakeRelayedResponse(*response)});
      return;
    }
    LogEvent(LogLevel::kInfo, "forward_failed", {{"id", ToString(id)}});
    kernel_.message_bus().Send(
        Event(ForwardFailed{.call = call, .id = std::move(id)}));
  }

  // Returns the response with only the headers that are meant for the caller;
  // headers that belong to the connection between the entries are left out.
  static http::Response MakeRelayedResponse(http::Response& response) {
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

  // Exchanges with a random entry, alternating between entries of this failure
  // domain and entries of other domains. If one group is empty, uses the other.
  void ExchangeWithRandomPeer() {
    is_own_domain_turn_ = !is_own_domain_turn_;
    auto address = RandomPeer(is_own_domain_turn_);
    if (!address) {
      address = RandomPeer(!is_own_domain_turn_);
    }
    if (address) {
      Exchange(*address, MakeExchange(kernel_.dispatcher(), nullptr), true);
    }
  }

  std::vector<Address> Peers(std::optional<bool> in_own_domain) const {
    std::vector<Address> peers;
    const InstanceList* const list = kernel_.dispatcher().instances();
    if (list == nullptr) {
      return peers;
    }
    const Settings& settings = kernel_.settings();
    for (const Instance& instance : list->instances) {
      const bool is_in_own_domain =
          instance.failure_domain == settings.failure_domain;
      if (instance.role == InstanceRole::kEntry &&
          instance.name != settings.entry &&
          (!in_own_domain || *in_own_domain == is_in_own_domain)) {
        peers.push_back(instance.address);
      }
    }
    return peers;
  }

  std::optional<Address> RandomPeer(bool in_own_domain) {
    const std::vector<Address> peers = Peers(in_own_domain);
    if (peers.empty()) {
      return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> distribution(0,
                                                            peers.size() - 1);
    return peers[distribution(random_)];
  }

  // Sends a configuration that was applied through this entry to all peers
  // immediately, without waiting for the next exchange.
  void SendToAllPeers(const Configuration& configuration) {
    ExchangeMessage message = MakeExchange(kernel_.dispatcher(), nullptr);
    message.configuration_version = configuration.version();
    message.configuration = configuration;
    for (const Address& address : Peers(std::nullopt)) {
      Exchange(address, message, false);
    }
  }

  // With `may_send_newer`, a second message follows if the peer reports an
  // older configuration or instance list than this entry has.
  void Exchange(const Address& address,
                const ExchangeMessage& message,
                bool may_send_newer) {
    kernel_.metrics().CountWaste(WasteCause::kPeerExchange);
    exchange_client_.Send(
        address,
        {.method = http::Method::kPost,
         .path = kExchangePath,
         .query = {},
         .headers = {},
         .body = WriteExchange(message)},
        [this, address, may_send_newer](http::ClientResult result) {
          FinishExchange(address, may_send_newer, std::move(result));
        });
  }

  void FinishExchange(const Address& address,
                      bool may_send_newer,
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
    ExchangeMessage newer = MakeExchange(kernel_.dispatcher(), &message);
    OfferExchange(kernel_.message_bus(), std::move(message));
    if (may_send_newer && (newer.configuration || newer.instances)) {
      Exchange(address, newer, false);
    }
  }

  Kernel& kernel_;
  http::Client forward_client_;
  http::Client exchange_client_;
  std::mt19937_64 random_;
  Poller poller_;
  bool is_own_domain_turn_ = false;
};

const PlugInRegistration kRegistration = Register<PeerClient>("peer_client");

}  // namespace
}  // namespace jaypick::daemon
