#include "control/successor_choice.h"

#include <tuple>

namespace jaypick::control {

std::optional<std::size_t> ChooseSuccessor(
    const SuccessorChoiceOptions& options,
    const std::vector<SuccessorCandidate>& instances) {
  const auto rank = [&](std::size_t number) {
    const SuccessorCandidate& view = instances[number];
    return std::tie(view.is_in_domain, view.processor_share, view.instance);
  };
  std::optional<std::size_t> best;
  for (std::size_t number = 0; number < instances.size(); ++number) {
    const SuccessorCandidate& view = instances[number];
    const bool is_possible = !view.is_draining && !view.was_asked &&
                             view.silence <= options.longest_silence;
    if (is_possible && (!best || rank(number) > rank(*best))) {
      best = number;
    }
  }
  return best;
}

}  // namespace jaypick::control
