#include "control/domain_choice.h"

#include <algorithm>

namespace jaypick::control {

std::optional<std::size_t> ChooseDomain(
    const DomainChoiceOptions& options,
    const std::vector<DomainCandidate>& domains,
    const std::vector<std::string>& excluded) {
  std::optional<std::size_t> best;
  Duration best_cost{0};
  for (std::size_t i = 0; i < domains.size(); ++i) {
    const DomainCandidate& candidate = domains[i];
    const bool is_excluded =
        std::ranges::find(excluded, candidate.failure_domain) != excluded.end();
    if (!candidate.is_reachable || candidate.is_evacuated || is_excluded ||
        candidate.cores <= 0) {
      continue;
    }
    const Duration cost =
        candidate.wait +
        (candidate.is_own_domain ? Duration(0) : options.spill_cost);
    if (!best || cost < best_cost) {
      best = i;
      best_cost = cost;
    }
  }
  return best;
}

}  // namespace jaypick::control
