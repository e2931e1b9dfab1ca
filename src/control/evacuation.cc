#include "control/evacuation.h"

#include <algorithm>

namespace jaypick::control {

EvacuationChanges CompareEvacuations(const std::vector<std::string>& known,
                                     const std::set<std::string>& before,
                                     const std::set<std::string>& after) {
  const auto is_known = [&](const std::string& domain) {
    return std::ranges::find(known, domain) != known.end();
  };
  EvacuationChanges changes;
  for (const std::string& domain : after) {
    if (!before.contains(domain)) {
      (is_known(domain) ? changes.begun : changes.unknown).push_back(domain);
    }
  }
  for (const std::string& domain : before) {
    if (!after.contains(domain) && is_known(domain)) {
      changes.ended.push_back(domain);
    }
  }
  return changes;
}

}  // namespace jaypick::control
