// Which failure domains the operators have evacuated.
#ifndef JAYPICK_CONTROL_EVACUATION_H_
#define JAYPICK_CONTROL_EVACUATION_H_

#include <set>
#include <string>
#include <vector>

namespace jaypick::control {

// The difference between two sets of evacuated domains.
struct EvacuationChanges {
  std::vector<std::string> begun;
  std::vector<std::string> ended;
  // Domains that are newly asked for, but do not exist here.
  std::vector<std::string> unknown;

  friend bool operator==(const EvacuationChanges&,
                         const EvacuationChanges&) = default;
};

// Returns what changes when the operators ask for `after` instead of `before`,
// in a system with the domains `known`.
EvacuationChanges CompareEvacuations(const std::vector<std::string>& known,
                                     const std::set<std::string>& before,
                                     const std::set<std::string>& after);

}  // namespace jaypick::control

#endif  // JAYPICK_CONTROL_EVACUATION_H_
