#include "node/address.h"

#include <arpa/inet.h>

#include <limits>
#include <utility>

namespace jaypick::node {
namespace {

bool IsNumericHost(const std::string& host) {
  in6_addr parsed;
  const bool is_c_string = host.find('\0') == std::string::npos;
  return is_c_string && (inet_pton(AF_INET, host.c_str(), &parsed) == 1 ||
                         inet_pton(AF_INET6, host.c_str(), &parsed) == 1);
}

}  // namespace

std::optional<Address> ToConnectableAddress(std::string host,
                                            std::uint64_t port) {
  if (!IsNumericHost(host) || port == 0 ||
      port > std::numeric_limits<std::uint16_t>::max()) {
    return std::nullopt;
  }
  return Address{.host = std::move(host),
                 .port = static_cast<std::uint16_t>(port)};
}

}  // namespace jaypick::node
