#include "control/forwarding_lease.h"

#include <algorithm>

namespace jaypick::control {

void ForwardingLeases::Extend(TimePoint now,
                              const std::string& process,
                              TimePoint sent) {
  RemoveExpired(now);
  TimePoint& extended = extended_[process];
  extended = std::max(extended, sent);
}

bool ForwardingLeases::HasExpired(TimePoint now,
                                  const std::string& process,
                                  TimePoint forwarded) const {
  const auto it = extended_.find(process);
  const TimePoint last =
      it == extended_.end() ? forwarded : std::max(forwarded, it->second);
  return now - last >= kForwardingLease;
}

void ForwardingLeases::RemoveExpired(TimePoint now) {
  if (now < next_removal_) {
    return;
  }
  next_removal_ = now + kForwardingLease;
  std::erase_if(extended_, [now](const auto& entry) {
    return now - entry.second >= kForwardingLease;
  });
}

}  // namespace jaypick::control
