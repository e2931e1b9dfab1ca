// How long a leader works on forwarded jobs.
#include "control/forwarding_lease.h"

#include <criterion/criterion.h>

#include <chrono>
#include <string>

namespace jaypick::control {
namespace {

using std::chrono::milliseconds;

const TimePoint kStart{std::chrono::seconds(100)};

// Guards against a lease that a later process of the same instance extends.
Test(forwarding_lease, belongs_to_one_process) {
  ForwardingLeases leases;
  for (int ms = 0; ms < 2000; ms += 200) {
    const TimePoint now = kStart + milliseconds(ms);
    leases.Extend(now, "second", now);
  }
  const TimePoint end = kStart + kForwardingLease;
  cr_assert(!leases.HasExpired(end - Duration(1), "first", kStart));
  cr_assert(leases.HasExpired(end, "first", kStart));
  cr_assert(!leases.HasExpired(end, "second", kStart));
}

// Guards against a lease that is extended by a message which was held up.
Test(forwarding_lease, is_counted_from_the_time_of_sending) {
  ForwardingLeases leases;
  const TimePoint sent = kStart + milliseconds(200);
  leases.Extend(kStart + milliseconds(800), "first", sent);
  const TimePoint end = sent + kForwardingLease;
  cr_assert(!leases.HasExpired(end - Duration(1), "first", kStart));
  cr_assert(leases.HasExpired(end, "first", kStart));
  // Messages may arrive in any order.
  leases.Extend(kStart + milliseconds(900), "first", kStart);
  cr_assert(!leases.HasExpired(end - Duration(1), "first", kStart));
}

// Guards against a job whose lease ends with an earlier one of its process.
Test(forwarding_lease, of_a_job_starts_when_it_was_forwarded) {
  ForwardingLeases leases;
  leases.Extend(kStart, "first", kStart);
  const TimePoint forwarded = kStart + milliseconds(500);
  cr_assert(!leases.HasExpired(kStart + kForwardingLease, "first", forwarded));
  cr_assert(
      leases.HasExpired(forwarded + kForwardingLease, "first", forwarded));
}

// Guards against a request that arrives after its withdrawal, and is accepted.
Test(forwarding_lease, withdrawals_are_known_for_as_long_as_requests_may_come) {
  ForwardingLeases leases;
  leases.Withdraw(kStart, "first", {7});
  leases.Extend(kStart, "first", kStart);
  const TimePoint end = kStart + kForwardingLease;
  leases.Extend(end - Duration(1), "first", end - Duration(1));
  cr_assert(leases.IsWithdrawn("first", 7));
  cr_assert(!leases.IsWithdrawn("first", 6));
  cr_assert(!leases.IsWithdrawn("second", 7));
}

// Guards against memory that grows with the processes that there ever were.
Test(forwarding_lease, expired_ones_are_forgotten) {
  ForwardingLeases leases;
  for (int number = 0; number < 100; ++number) {
    const TimePoint now = kStart + number * kForwardingLease;
    leases.Withdraw(now, std::to_string(number), {1, 2});
    leases.Extend(now, std::to_string(number), now);
  }
  cr_assert_leq(leases.size(), 3);
}

}  // namespace
}  // namespace jaypick::control
