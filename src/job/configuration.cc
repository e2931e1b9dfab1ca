#include "jaypick/configuration.h"

#include <algorithm>
#include <utility>

namespace jaypick {

Configuration::Configuration(ConfigurationHeader header,
                             ConfigurationContent content)
    : header_(std::move(header)), content_(std::move(content)) {}

const Kind* Configuration::FindKind(std::string_view service,
                                    std::string_view name) const {
  const auto it = std::ranges::find_if(content_.kinds, [&](const Kind& kind) {
    return kind.service == service && kind.name == name;
  });
  return it == content_.kinds.end() ? nullptr : &*it;
}

const Share* Configuration::FindShare(std::string_view service,
                                      std::string_view owner) const {
  const auto it =
      std::ranges::find_if(content_.shares, [&](const Share& share) {
        return share.service == service && share.owner == owner;
      });
  return it == content_.shares.end() ? nullptr : &*it;
}

bool Configuration::HasOwner(std::string_view owner) const {
  return std::ranges::any_of(content_.shares, [&](const Share& share) {
    return share.owner == owner;
  });
}

}  // namespace jaypick
