#include "node/server_limits.h"

#include <sys/resource.h>
#include <sys/sysinfo.h>

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

MachineLimits DetectMachineLimits() {
  MachineLimits limits;
  struct sysinfo machine {};
  if (::sysinfo(&machine) == 0) {
    limits.memory_bytes =
        static_cast<std::size_t>(machine.totalram) * machine.mem_unit;
  }
  rlimit descriptors{};
  if (::getrlimit(RLIMIT_NOFILE, &descriptors) == 0 &&
      descriptors.rlim_cur != RLIM_INFINITY) {
    limits.descriptors = descriptors.rlim_cur;
  }
  return limits;
}

MachineLimits LowerOf(const MachineLimits& a, const MachineLimits& b) {
  return {.memory_bytes = std::min(a.memory_bytes, b.memory_bytes),
          .descriptors = std::min(a.descriptors, b.descriptors)};
}

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

JobMemoryLimits ShareJobMemory(const MachineLimits& machine) {
  return {.job_bytes = machine.memory_bytes / 4,
          .run_bytes = machine.memory_bytes / 8};
}

}  // namespace jaypick::node
