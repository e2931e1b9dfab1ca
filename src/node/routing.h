// The routes that the operators' configuration offers to callers.
#ifndef JAYPICK_NODE_ROUTING_H_
#define JAYPICK_NODE_ROUTING_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "jaypick/time.h"
#include "schedule/job_spec.h"

namespace jaypick::node {

// Requests with this host and path prefix submit jobs of one kind.
struct Route {
  std::string host;
  std::string prefix;
  schedule::KindPolicy kind;
  // Longest time for which a caller waits; 0 for no limit.
  Duration timeout{0};

  friend bool operator==(const Route&, const Route&) = default;
};

// One version of the routes; immutable.
struct RoutingTable {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::size_t body_limit_bytes = 0;

  // Returns the matching route with the longest prefix, or null. `host` may
  // include a port.
  const Route* Find(std::string_view host, std::string_view path) const;

  friend bool operator==(const RoutingTable&, const RoutingTable&) = default;
};

}  // namespace jaypick::node

#endif  // JAYPICK_NODE_ROUTING_H_
