// Withdrawals of forwarded jobs.
#include "control/withdrawals.h"

#include <criterion/criterion.h>

#include <chrono>
#include <vector>

#include "control/forwarding_lease.h"

namespace jaypick::control {
namespace {

const TimePoint kStart{std::chrono::seconds(100)};
const Address kPeer{.host = "127.0.0.1", .port = 7001};
const Address kOther{.host = "127.0.0.1", .port = 7002};

using Numbers = std::vector<ForwardNumber>;

// Guards against a withdrawal that is told once, and lost.
Test(withdrawals, are_pending_until_they_are_acknowledged) {
  Withdrawals withdrawals;
  withdrawals.Add(kStart, kPeer, 3);
  withdrawals.Add(kStart, kPeer, 5);
  withdrawals.Add(kStart, kOther, 4);
  cr_assert((withdrawals.Pending(kStart, kPeer) == Numbers{3, 5}));
  cr_assert((withdrawals.Pending(kStart, kPeer) == Numbers{3, 5}));
  withdrawals.Acknowledge(kPeer, {3, 4});
  cr_assert((withdrawals.Pending(kStart, kPeer) == Numbers{5}));
  cr_assert((withdrawals.Pending(kStart, kOther) == Numbers{4}));
  withdrawals.Acknowledge(kPeer, {5});
  cr_assert(withdrawals.Pending(kStart, kPeer).empty());
  cr_assert((withdrawals.Peers(kStart) == std::vector<Address>{kOther}));
}

// Guards against a withdrawal that is forgotten before the lease has expired,
// and against pings without end to a peer that is gone.
Test(withdrawals, are_pending_until_the_lease_has_expired) {
  Withdrawals withdrawals;
  withdrawals.Add(kStart, kPeer, 3);
  const TimePoint expiry = kStart + kForwardingLease;
  cr_assert((withdrawals.Pending(expiry, kPeer) == Numbers{3}));
  cr_assert(withdrawals.Peers(expiry + 2 * kForwardingLease).empty());
  cr_assert(withdrawals.Pending(expiry + 2 * kForwardingLease, kPeer).empty());
}

}  // namespace
}  // namespace jaypick::control
