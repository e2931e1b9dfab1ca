// Peer exchange: versions, and what the other side lacks.
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

// Body of an exchange and of its answer. Version and revision 0 mean that the
// side has none.
struct ExchangeMessage {
  std::string entry;
  Incarnation incarnation;
  std::uint64_t configuration_version = 0;
  std::uint64_t instances_revision = 0;
  std::optional<Configuration> configuration;
  std::optional<InstanceList> instances;
};

// What the receiver of `known` lacks, from the state of `dispatcher`. With no
// `known` only versions are stated.
ExchangeMessage MakeExchange(const Dispatcher& dispatcher,
                             const ExchangeMessage* known);

std::string WriteExchange(const ExchangeMessage& message);

// Returns what is wrong if `text` is not an exchange.
std::variant<ExchangeMessage, std::string> ReadExchange(
    const std::string& text);

// Offers what `message` brings to the dispatcher and notes the peer's version.
void OfferExchange(MessageBus& message_bus, ExchangeMessage message);

}  // namespace jaypick::daemon

#endif  // JAYPICK_DAEMON_EXCHANGE_H_
