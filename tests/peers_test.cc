// What a node knows of others by their answers to pings.

// clang-format off
// Boost.Intrusive uses the name `Test`, which Criterion defines as a macro.
#include <boost/intrusive/list.hpp>
#include "node/peers.h"
#include <criterion/criterion.h>
// clang-format on

#include <cstdint>

#include "tests/event_loop.h"

namespace jaypick::node {
namespace {

// Guards against a chain of delegations that is followed in circles, or that is
// believed after a later record.
Test(peers, delegations_are_followed_up_to_a_later_record) {
  testing::EventLoop loop;
  Runtime runtime(loop.base());
  Peers peers(
      runtime, {}, [] { return Ping{}; },
      [](const Address&, const PingResponse&) {});
  const auto record = [](const char* instance) {
    return LeaderRecord{.instance = instance,
                        .failure_domain = "ghent",
                        .incarnation = instance,
                        .address = {.host = "127.0.0.1", .port = 9}};
  };
  const auto delegate = [&](const char* from, const char* to,
                            std::uint64_t token) {
    peers.OnDelegation({.failure_domain = "ghent",
                        .from = record(from),
                        .to = record(to),
                        .token = token});
  };
  const auto holder = [&] { return peers.LeaderOf("ghent")->instance; };

  peers.MonitorLeader("ghent", record("a"), 10);
  delegate("a", "b", 11);
  cr_assert_eq(holder(), "b");
  delegate("b", "a", 12);
  cr_assert_eq(holder(), "a");

  // A mirror that is behind shows the first record again.
  peers.MonitorLeader("ghent", record("a"), 10);
  cr_assert_eq(holder(), "a");
  delegate("a", "c", 13);
  cr_assert_eq(holder(), "c");

  // `a` wins the command anew at the store.
  peers.MonitorLeader("ghent", record("a"), 20);
  cr_assert_eq(holder(), "a");
  delegate("a", "b", 11);
  cr_assert_eq(holder(), "a");
}

}  // namespace
}  // namespace jaypick::node
