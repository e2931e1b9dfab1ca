#include "control/withdrawals.h"

#include "control/forwarding_lease.h"

namespace jaypick::control {
namespace {

// A peer that has received no ping for the length of a lease drops the job. The
// second one covers a ping that it processes late.
constexpr Duration kRepetitionLimit = 2 * kForwardingLease;

}  // namespace

void Withdrawals::Add(TimePoint now,
                      const Address& peer,
                      ForwardNumber number) {
  pending_[peer].emplace(number, now);
}

std::vector<ForwardNumber> Withdrawals::Pending(TimePoint now,
                                                const Address& peer) {
  RemoveExpired(now);
  std::vector<ForwardNumber> numbers;
  const auto it = pending_.find(peer);
  if (it != pending_.end()) {
    for (const auto& [number, ended] : it->second) {
      numbers.push_back(number);
    }
  }
  return numbers;
}

void Withdrawals::Acknowledge(const Address& peer,
                              const std::vector<ForwardNumber>& numbers) {
  const auto it = pending_.find(peer);
  if (it == pending_.end()) {
    return;
  }
  for (const ForwardNumber number : numbers) {
    it->second.erase(number);
  }
  if (it->second.empty()) {
    pending_.erase(it);
  }
}

std::vector<Address> Withdrawals::Peers(TimePoint now) {
  RemoveExpired(now);
  std::vector<Address> peers;
  for (const auto& [peer, numbers] : pending_) {
    peers.push_back(peer);
  }
  return peers;
}

void Withdrawals::RemoveExpired(TimePoint now) {
  for (auto& [peer, numbers] : pending_) {
    std::erase_if(numbers, [now](const auto& entry) {
      return now - entry.second >= kRepetitionLimit;
    });
  }
  std::erase_if(pending_,
                [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace jaypick::control
