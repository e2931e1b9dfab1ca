// Peer exchange: entries compare versions of their configuration and instance
// list, and send each other the newer ones.
#ifndef JAYPICK_DAEMON_EXCHANGE_H_
#define JAYPICK_DAEMON_EXCHANGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "daemon/message_bus.h"
#include "jaypick/configuration.h"
#include "jaypick/dispatcher.h"
#include "jaypick/ids.h"
#include "jaypick/instance.h"

namespace jaypick::daemon {

inline constexpr const char* kExchangePath = "/v1/peer/exchange";

// Body of an exchange request and of its response. Version or revision 0 means
// that the sender has no configuration or no instance list.
struct ExchangeMessage {
  std::string entry;
  Incarnation incarnation;
  std::uint64_t configuration_version = 0;
  std::uint64_t instances_revision = 0;
  std::optional<Configuration> configuration;
  std::optional<InstanceList> instances;
};

// Makes a message from the state of `dispatcher`. It contains the configuration
// and the instance list if they are newer than those that the peer announced in
// `known`. If `known` is null, it contains only versions.
ExchangeMessage MakeExchange(const Dispatcher& dispatcher,
                             const ExchangeMessage* known);

std::string WriteExchange(const ExchangeMessage& message);

// Parses a message. Returns an error message if `text` is not valid.
std::variant<ExchangeMessage, std::string> ReadExchange(
    const std::string& text);

// Offers the configuration and instance list in `message` to the dispatcher,
// and publishes the peer's configuration version.
void OfferExchange(MessageBus& message_bus, ExchangeMessage message);

}  // namespace jaypick::daemon

#endif  // JAYPICK_DAEMON_EXCHANGE_H_
