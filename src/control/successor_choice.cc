#include "control/successor_choice.h"

#include <tuple>

namespace jaypick::control {

std::optional<std::size_t> ChooseSuccessor(
    const SuccessorChoiceOptions& options,
    const std::vector<SuccessorCandidate>& instances) {
  const auto rank = [&](std::size_t number) {
    const SuccessorCandidate& candidate = instances[number];
    return std::tie(candidate.is_in_domain, candidate.processor_share,
                    candidate.instance);
  };
  std::optional<std::size_t> best;
  for (std::size_t number = 0; number < instances.size(); ++number) {
    const SuccessorCandidate& candidate = instances[number];
    const bool is_possible = !candidate.is_draining && !candidate.was_asked &&
                             candidate.silence <= options.longest_silence;
    if (is_possible && (!best || rank(number) > rank(*best))) {
      best = number;
    }
  }
  return best;
}

}  // namespace jaypick::control
