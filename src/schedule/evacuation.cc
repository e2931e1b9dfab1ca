#include "schedule/evacuation.h"

namespace jaypick::schedule {

EvacuationVerdict Evacuation::Assess(TimePoint now,
                                     std::uint32_t starts) const {
  if (!is_in_progress()) {
    return EvacuationVerdict::kMayStart;
  }
  if (starts == 0) {
    return EvacuationVerdict::kMove;
  }
  return PreventsAllStarts(now) ? EvacuationVerdict::kGiveUp
                                : EvacuationVerdict::kMayStart;
}

}  // namespace jaypick::schedule
