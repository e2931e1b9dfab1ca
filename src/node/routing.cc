#include "node/routing.h"

namespace jaypick::node {

const Route* RoutingTable::Find(std::string_view host,
                                std::string_view path) const {
  host = host.substr(0, host.find(':'));
  const Route* best = nullptr;
  for (const Route& route : routes) {
    const bool matches = route.host == host && path.starts_with(route.prefix);
    if (matches &&
        (best == nullptr || route.prefix.size() > best->prefix.size())) {
      best = &route;
    }
  }
  return best;
}

}  // namespace jaypick::node
