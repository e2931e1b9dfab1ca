// Choice of the instance that takes over the leadership of a domain when its
// leader must hand it over while the store is unavailable.
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
  // The instance is in the domain.
  bool is_in_domain = false;
  // The instance is shutting down.
  bool is_draining = false;
  // The instance was offered the leadership before, and refused or did not
  // respond.
  bool was_asked = false;
  double processor_share = 0;
  // Time since the last message from the instance.
  Duration silence{0};
};

struct SuccessorChoiceOptions {
  // Candidates that were silent for longer are left out. Two intervals of the
  // pings that instances send to leaders.
  Duration longest_silence = std::chrono::milliseconds(500);
};

// Returns the index of the most suitable successor: an instance of the domain
// if possible, and among these the one with the largest processor share.
// Returns nothing if no instance is suitable.
std::optional<std::size_t> ChooseSuccessor(
    const SuccessorChoiceOptions& options,
    const std::vector<SuccessorCandidate>& instances);

}  // namespace jaypick::control

#endif  // JAYPICK_CONTROL_SUCCESSOR_CHOICE_H_
