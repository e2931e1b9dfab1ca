// Choice of the failure domain in which a job runs.
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
  // The leader of the domain can be reached.
  bool is_reachable = false;
  // The operators have evacuated the domain.
  bool is_evacuated = false;
  // Expected queueing time of a task in the domain, from the last load report.
  Duration wait{0};
  // Cores of the domain's usable upstreams.
  double cores = 0;
};

struct DomainChoiceOptions {
  // A job leaves its own domain only if it starts earlier elsewhere by more
  // than this, which covers the round trip to the other domain and the age of
  // the load reports.
  Duration spill_cost = std::chrono::milliseconds(15);
};

// Returns the index of the reachable domain in which a job is expected to start
// earliest, leaving out the domains in `excluded`, which have refused the job.
// Returns nothing if no domain is left.
std::optional<std::size_t> ChooseDomain(
    const DomainChoiceOptions& options,
    const std::vector<DomainCandidate>& domains,
    const std::vector<std::string>& excluded);

}  // namespace jaypick::control

#endif  // JAYPICK_CONTROL_DOMAIN_CHOICE_H_
