// Who gets a command that its holder must give up while the store is away.
#ifndef JAYPICK_CONTROL_SUCCESSOR_CHOICE_H_
#define JAYPICK_CONTROL_SUCCESSOR_CHOICE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "jaypick/time.h"

namespace jaypick::control {

struct SuccessorCandidate {
  std::string instance;
  // It is in the domain.
  bool is_in_domain = false;
  // It is shutting down.
  bool is_draining = false;
  // It was asked before, and refused or did not answer.
  bool was_asked = false;
  double processor_share = 0;
  // Time since it was heard of.
  Duration silence{0};
};

struct SuccessorChoiceOptions {
  // Two intervals of the pings that instances send to holders.
  Duration longest_silence = std::chrono::milliseconds(500);
};

// The instance that serves the domain best: at home there, with the largest
// part of a processor.
std::optional<std::size_t> ChooseSuccessor(
    const SuccessorChoiceOptions& options,
    const std::vector<SuccessorCandidate>& instances);

}  // namespace jaypick::control

#endif  // JAYPICK_CONTROL_SUCCESSOR_CHOICE_H_
