// What a node learns about its peers from their ping responses.

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

// Guards against an endless loop along a chain of delegations, and against
// delegations that are older than the leader record.
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
  const auto leader = [&] { return peers.LeaderOf("ghent")->instance; };

  peers.MonitorLeader("ghent", record("a"), 10);
  delegate("a", "b", 11);
  cr_assert_eq(leader(), "b");
  delegate("b", "a", 12);
  cr_assert_eq(leader(), "a");

  // A lagging mirror reports the first record again.
  peers.MonitorLeader("ghent", record("a"), 10);
  cr_assert_eq(leader(), "a");
  delegate("a", "c", 13);
  cr_assert_eq(leader(), "c");

  // `a` claims the domain again through the store.
  peers.MonitorLeader("ghent", record("a"), 20);
  cr_assert_eq(leader(), "a");
  delegate("a", "b", 11);
  cr_assert_eq(leader(), "a");
}

}  // namespace
}  // namespace jaypick::node
