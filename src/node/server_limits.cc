#include "node/server_limits.h"

#include <algorithm>

namespace jaypick::node {
namespace {

constexpr std::size_t kMaxConnections = 3000;
// For files, the event loop and the listening sockets.
constexpr std::size_t kReservedDescriptors = 64;
// Health checks and scrapes are few and small.
constexpr http::ConnectionLimits kSmallServer = {
    .connections = 32,
    .buffered_bytes = std::size_t{1024} * 1024};

}  // namespace

ServerLimits ShareLimits(const MachineLimits& machine) {
  const std::size_t usable =
      machine.descriptors -
      std::min(machine.descriptors / 2,
               kReservedDescriptors + 2 * kSmallServer.connections);
  const std::size_t connections = std::min(kMaxConnections, usable * 2 / 5);
  return {.callers = {.connections = connections,
                      .buffered_bytes = machine.memory_bytes / 4},
          .peers = {.connections = connections,
                    .buffered_bytes = machine.memory_bytes / 8},
          .readiness = kSmallServer,
          .metrics = kSmallServer};
}

}  // namespace jaypick::node
