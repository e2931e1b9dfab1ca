// Addresses in messages of other processes.
#ifndef JAYPICK_NODE_ADDRESS_H_
#define JAYPICK_NODE_ADDRESS_H_

#include <cstdint>
#include <optional>
#include <string>

#include "jaypick/instance.h"

namespace jaypick::node {

// Returns the address, or nullopt if `host` is not a numeric IP address or
// `port` is not one that a connection can be opened to. Host names are refused
// because looking one up would block the event loop.
std::optional<Address> ToConnectableAddress(std::string host,
                                            std::uint64_t port);

}  // namespace jaypick::node

#endif  // JAYPICK_NODE_ADDRESS_H_
