// In which failure domain a job runs.
#ifndef JAYPICK_CONTROL_DOMAIN_CHOICE_H_
#define JAYPICK_CONTROL_DOMAIN_CHOICE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "jaypick/time.h"

namespace jaypick::control {

struct DomainCandidate {
  std::string failure_domain;
  bool is_own_domain = false;
  // Its commander can be reached.
  bool is_reachable = false;
  // Expected wait of a task there, as last reported.
  Duration wait{0};
  // Cores of its usable upstreams.
  double cores = 0;
};

struct DomainChoiceOptions {
  // Time that a job must save elsewhere to leave its own domain: a message
  // there and back, and the age of the reports.
  Duration spill_cost = std::chrono::milliseconds(15);
};

// The domain where a job starts soonest; `excluded` have refused it.
std::optional<std::size_t> ChooseDomain(
    const DomainChoiceOptions& options,
    const std::vector<DomainCandidate>& domains,
    const std::vector<std::string>& excluded);

}  // namespace jaypick::control

#endif  // JAYPICK_CONTROL_DOMAIN_CHOICE_H_
