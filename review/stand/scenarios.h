#ifndef REVIEW_STAND_SCENARIOS_H_
#define REVIEW_STAND_SCENARIOS_H_

#include <string>

#include "bed.h"

namespace review {

// Returns the exit code.
int RunScenario(const std::string& name, BedOptions options, bool trouble);

}  // namespace review

#endif  // REVIEW_STAND_SCENARIOS_H_
