#include "control/forwarding_lease.h"

#include <algorithm>

namespace jaypick::control {

void ForwardingLeases::Withdraw(TimePoint now,
                                const std::string& process,
                                const std::vector<ForwardNumber>& numbers) {
  RemoveExpired(now);
  for (const ForwardNumber number : numbers) {
    processes_[process].withdrawn[number] = now;
  }
}

void ForwardingLeases::Extend(TimePoint now,
                              const std::string& process,
                              TimePoint sent) {
  RemoveExpired(now);
  TimePoint& extended = processes_[process].extended;
  extended = std::max(extended, sent);
}

bool ForwardingLeases::IsWithdrawn(const std::string& process,
                                   ForwardNumber number) const {
  const auto it = processes_.find(process);
  return it != processes_.end() && it->second.withdrawn.contains(number);
}

TimePoint ForwardingLeases::AttendedAt(const std::string& process,
                                       TimePoint forwarded) const {
  const auto it = processes_.find(process);
  return it == processes_.end() ? forwarded
                                : std::max(forwarded, it->second.extended);
}

bool ForwardingLeases::HasExpired(TimePoint now,
                                  const std::string& process,
                                  TimePoint forwarded) const {
  return now - AttendedAt(process, forwarded) >= kForwardingLease;
}

void ForwardingLeases::RemoveExpired(TimePoint now) {
  if (now < next_removal_) {
    return;
  }
  next_removal_ = now + kForwardingLease;
  const auto has_expired = [now](TimePoint time) {
    return now - time >= kForwardingLease;
  };
  for (auto& [process, known] : processes_) {
    std::erase_if(known.withdrawn,
                  [&](const auto& entry) { return has_expired(entry.second); });
  }
  std::erase_if(processes_, [&](const auto& entry) {
    return has_expired(entry.second.extended) && entry.second.withdrawn.empty();
  });
}

}  // namespace jaypick::control
