// What a node learns about its peers from their ping responses.

// clang-format off
// Boost.Intrusive uses the name `Test`, which Criterion defines as a macro.
#include <boost/intrusive/list.hpp>
#include "node/peers.h"
#include <criterion/criterion.h>
// clang-format on

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "http/server.h"
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

Ping PingFromGhent() {
  return {.sender = {.failure_domain = "ghent",
                     .incarnation = "sender",
                     .address = {.host = "127.0.0.1", .port = 9}}};
}

// A leader that counts its pings.
struct FakeLeader {
  FakeLeader(testing::EventLoop& loop, const std::string& domain)
      : failure_domain(domain),
        server(loop.base(), {.address = {.host = "127.0.0.1", .port = 0}}) {
    server.Handle(
        http::Method::kPost, kPingPath,
        [this](const http::Request& request, http::Responder responder) {
          ++pings;
          const Ping ping = DecodePing(request.body).value_or(Ping());
          last_sent = ping.sent;
          withdrawn = ping.withdrawn;
          if (is_silent) {
            held.push_back(std::move(responder));
            return;
          }
          PingResponse response = Response();
          response.withdrawn = ping.withdrawn;
          responder.Send({.body = Encode(response)});
        });
  }

  LeaderRecord Record() const {
    return {.instance = failure_domain,
            .failure_domain = failure_domain,
            .incarnation = failure_domain,
            .address = {.host = "127.0.0.1", .port = server.port()}};
  }

  PingResponse Response() const {
    PingResponse response{.clock_us = 1,
                          .incarnation = failure_domain,
                          .statuses = {{.failure_domain = failure_domain,
                                        .is_draining = !held_upstreams.empty(),
                                        .held_upstreams = held_upstreams}}};
    if (relays != nullptr) {
      response.relayed = {{.status = {.failure_domain = relays->failure_domain,
                                      .load = {.cores = 7}},
                           .incarnation = relays->failure_domain,
                           .age = std::chrono::milliseconds(100)}};
    }
    return response;
  }

  std::string failure_domain;
  // The leader on which this one reports.
  const FakeLeader* relays = nullptr;
  // Not empty: the leader is handing over.
  std::vector<std::string> held_upstreams;
  bool is_silent = false;
  int pings = 0;
  std::vector<http::Responder> held;
  // From the last ping.
  std::optional<ProcessTime> last_sent;
  std::vector<control::ForwardNumber> withdrawn;
  http::Server server;
};

// Guards against pings that grow with the number of instances times that of
// domains: with 147 instances, 735 a second at each leader.
Test(peers, leaders_of_other_domains_are_pinged_rarely_while_others_report) {
  testing::EventLoop loop;
  Runtime runtime(loop.base());
  FakeLeader own(loop, "ghent");
  FakeLeader other(loop, "antwerp");
  own.relays = &other;
  Peers peers(
      runtime, {}, [] { return PingFromGhent(); },
      [](const Address&, const PingResponse&) {});
  peers.SetUsesRelays(true);
  peers.MonitorLeader("ghent", own.Record(), 10);
  peers.MonitorLeader("antwerp", other.Record(), 10);
  const auto is_alive = [&] {
    return peers.LeaderStateOf("antwerp") == control::LeaderState::kAlive;
  };
  cr_assert(loop.RunUntil(is_alive));
  other.pings = 0;
  own.pings = 0;
  for (int step = 0; step < 60; ++step) {
    loop.RunFor(50);
    cr_assert(is_alive());
  }
  cr_assert_leq(other.pings, 4);
  cr_assert_geq(own.pings, 10);
  cr_assert_eq(peers.Status("antwerp")->load.cores, 7);

  // Without reports, it is pinged as often as before.
  own.relays = nullptr;
  other.pings = 0;
  for (int step = 0; step < 40; ++step) {
    loop.RunFor(50);
    cr_assert(is_alive());
  }
  cr_assert_geq(other.pings, 5);
}

// Guards against a leader that drops the jobs of an instance which it does not
// hear from.
Test(peers, leader_with_a_job_in_flight_is_pinged_often) {
  testing::EventLoop loop;
  Runtime runtime(loop.base());
  FakeLeader own(loop, "ghent");
  FakeLeader other(loop, "antwerp");
  own.relays = &other;
  std::vector<http::Responder> held;
  other.server.Handle(http::Method::kPost, kForwardedJobPath,
                      [&](const http::Request&, http::Responder responder) {
                        held.push_back(std::move(responder));
                      });
  Peers peers(
      runtime, {}, [] { return PingFromGhent(); },
      [](const Address&, const PingResponse&) {});
  peers.SetUsesRelays(true);
  peers.MonitorLeader("ghent", own.Record(), 10);
  peers.MonitorLeader("antwerp", other.Record(), 10);
  cr_assert(loop.RunUntil([&] { return other.pings > 0; }));
  const std::uint64_t request =
      peers.Forward(other.Record().address, {}, std::chrono::seconds(10),
                    [](const http::ClientResult&) {});
  cr_assert(loop.RunUntil([&] { return !held.empty(); }));
  other.pings = 0;
  loop.RunFor(2000);
  cr_assert_geq(other.pings, 7);
  peers.Cancel(request);
  loop.RunFor(300);
  other.pings = 0;
  loop.RunFor(2000);
  cr_assert_leq(other.pings, 3);
}

// Guards against a time that is converted to the clock of a process by what an
// earlier one at the same address has reported (a job's deadline).
Test(peers, clock_of_an_earlier_process_is_not_used) {
  testing::EventLoop loop;
  Runtime runtime(loop.base());
  FakeLeader own(loop, "ghent");
  Peers peers(
      runtime, {}, [] { return PingFromGhent(); },
      [](const Address&, const PingResponse&) {});
  const Address address = own.Record().address;
  const auto knows_clock_of = [&](const std::string& incarnation) {
    return peers.ToClockOf(address, incarnation, runtime.Now()).has_value();
  };
  cr_assert(!knows_clock_of("ghent"));
  peers.MonitorLeader("ghent", own.Record(), 10);
  cr_assert(loop.RunUntil([&] { return knows_clock_of("ghent"); }));
  cr_assert(!knows_clock_of("later"));
  cr_assert(own.last_sent.has_value());
  cr_assert(loop.RunUntil([&] { return own.last_sent->incarnation != ""; }));
  cr_assert_eq(own.last_sent->incarnation, "ghent");
  // The leader's clock shows 1 us in each response.
  cr_assert_leq(own.last_sent->clock_us, 1'000'000);
}

// Guards against a leader that hands its domain over and drops the jobs of an
// instance which pings only the successor from then on; and against pings
// without end to the leader that has answered them.
Test(peers, former_leader_is_pinged_while_a_job_is_in_flight) {
  testing::EventLoop loop;
  Runtime runtime(loop.base());
  FakeLeader former(loop, "ghent");
  FakeLeader successor(loop, "ghent");
  std::vector<http::Responder> held;
  const auto hold = [&](const http::Request&, http::Responder responder) {
    held.push_back(std::move(responder));
  };
  former.server.Handle(http::Method::kPost, kForwardedJobPath, hold);
  former.server.Handle(http::Method::kPost, kSnapshotPath, hold);
  Peers peers(
      runtime, {}, [] { return PingFromGhent(); },
      [](const Address&, const PingResponse&) {});
  peers.MonitorLeader("ghent", former.Record(), 10);
  cr_assert(loop.RunUntil([&] { return former.pings > 0; }));
  const std::uint64_t job =
      peers.Forward(former.Record().address, {}, std::chrono::seconds(10),
                    [](const http::ClientResult&) {});
  cr_assert(loop.RunUntil([&] { return held.size() == 1; }));
  peers.MonitorLeader("ghent", successor.Record(), 20);
  loop.RunFor(300);
  former.pings = 0;
  loop.RunFor(2000);
  cr_assert_geq(former.pings, 7);
  cr_assert_leq(former.pings, 11);
  cr_assert_eq(peers.LeaderStateOf("ghent"), control::LeaderState::kAlive);

  // Other requests need no pings.
  const std::uint64_t snapshot = peers.Send(
      former.Record().address,
      {.method = http::Method::kPost, .path = kSnapshotPath, .body = "{}"},
      std::chrono::seconds(10), [](const http::ClientResult&) {});
  cr_assert(loop.RunUntil([&] { return held.size() == 2; }));
  peers.Cancel(job);
  loop.RunFor(300);
  former.pings = 0;
  loop.RunFor(1000);
  cr_assert_eq(former.pings, 0);
  peers.Cancel(snapshot);
}

// Guards against a process that counts as gone when it becomes a leader, since
// an earlier one at its address had refused pings while it finished a job.
Test(peers, refusals_by_a_former_leader_do_not_count_against_a_later_one) {
  testing::EventLoop loop;
  Runtime runtime(loop.base());
  FakeLeader former(loop, "ghent");
  FakeLeader successor(loop, "ghent");
  std::vector<http::Responder> held;
  former.server.Handle(http::Method::kPost, kForwardedJobPath,
                       [&](const http::Request&, http::Responder responder) {
                         held.push_back(std::move(responder));
                       });
  LeaderRecord later = former.Record();
  later.incarnation = "later";
  Peers peers(
      runtime, {}, [] { return PingFromGhent(); },
      [](const Address&, const PingResponse&) {});
  peers.MonitorLeader("ghent", former.Record(), 10);
  peers.Forward(former.Record().address, {}, std::chrono::seconds(10),
                [](const http::ClientResult&) {});
  cr_assert(loop.RunUntil([&] { return former.pings > 0 && !held.empty(); }));
  peers.MonitorLeader("ghent", successor.Record(), 20);
  former.server.StopAccepting();
  loop.RunFor(300);
  former.pings = 0;
  loop.RunFor(1500);
  cr_assert_eq(former.pings, 0, "pings are refused");
  cr_assert_eq(peers.jobs_in_flight(later.address), 1);
  peers.MonitorLeader("ghent", later, 30);
  cr_assert_eq(peers.LeaderStateOf("ghent"), control::LeaderState::kSilent);
}

// Guards against a successor that fences the upstreams of a predecessor that is
// only slow to respond, which ends its runs: scenario bfp-pasbank-large
// trouble-3, where a leader on a small instance handed over while connections
// were reset.
Test(peers, slow_predecessor_keeps_its_upstreams_for_a_while) {
  testing::EventLoop loop;
  Runtime runtime(loop.base());
  FakeLeader predecessor(loop, "ghent");
  predecessor.held_upstreams = {"u1"};
  Peers peers(
      runtime, {}, [] { return Ping{}; },
      [](const Address&, const PingResponse&) {});
  peers.MonitorLeader("ghent", predecessor.Record(), 10);
  cr_assert(loop.RunUntil([&] {
    return peers.LeaderStateOf("ghent") == control::LeaderState::kLeaving;
  }));
  peers.MonitorPredecessor("ghent", predecessor.Record(), {});
  cr_assert_eq(peers.HeldByPredecessor("ghent").size(), 1);
  predecessor.is_silent = true;
  loop.RunFor(1000);
  cr_assert_eq(peers.HeldByPredecessor("ghent").size(), 1);
  loop.RunFor(800);
  cr_assert(peers.HeldByPredecessor("ghent").empty());
}

// Guards against a leader that goes on with a job because the end of the
// request's connection was lost, and its pings do not tell (TWICE).
Test(peers, withdrawal_is_repeated_until_it_is_acknowledged) {
  testing::EventLoop loop;
  Runtime runtime(loop.base());
  FakeLeader leader(loop, "ghent");
  std::vector<http::Responder> held;
  leader.server.Handle(http::Method::kPost, kForwardedJobPath,
                       [&](const http::Request&, http::Responder responder) {
                         held.push_back(std::move(responder));
                       });
  Peers peers(
      runtime, {}, [] { return PingFromGhent(); },
      [](const Address&, const PingResponse&) {});
  peers.MonitorLeader("ghent", leader.Record(), 10);
  const auto forward = [&] {
    const std::size_t before = held.size();
    const std::uint64_t request =
        peers.Forward(leader.Record().address, {}, std::chrono::seconds(10),
                      [](const http::ClientResult&) {});
    cr_assert(loop.RunUntil([&] { return held.size() == before + 1; }));
    return request;
  };
  const std::uint64_t cancelled = forward();
  forward();
  forward();
  leader.is_silent = true;
  peers.Cancel(cancelled);
  held.back().Send({.body = "{}"});
  for (int repetition = 0; repetition < 3; ++repetition) {
    leader.pings = 0;
    cr_assert(loop.RunUntil([&] { return leader.pings > 0; }));
    cr_assert_eq(leader.withdrawn.size(), 1, "%zu", leader.withdrawn.size());
    cr_assert_eq(leader.withdrawn.front(), 1);
  }
  leader.is_silent = false;
  cr_assert(loop.RunUntil(
      [&] { return leader.pings > 0 && leader.withdrawn.empty(); }));
}

// Guards against a leader that counts as silent, as nobody has asked it lately,
// and is passed over although it would respond.
Test(peers, leader_misses_a_ping_only_after_it_was_asked) {
  testing::EventLoop loop;
  Runtime runtime(loop.base());
  FakeLeader leader(loop, "ghent");
  Peers peers(
      runtime, {}, [] { return PingFromGhent(); },
      [](const Address&, const PingResponse&) {});
  peers.MonitorLeader("ghent", leader.Record(), 10);
  const TimePoint start = runtime.Now();
  cr_assert_eq(peers.LeaderStateOf("ghent"), control::LeaderState::kSilent);
  cr_assert(!peers.HasMissedPing("ghent", start));
  cr_assert(loop.RunUntil([&] { return leader.pings >= 3; }));
  cr_assert(!peers.HasMissedPing("ghent", TimePoint() + Duration(1)));
  leader.is_silent = true;
  const TimePoint silent = runtime.Now();
  cr_assert(
      loop.RunUntil([&] { return peers.HasMissedPing("ghent", silent); }));
  cr_assert_geq((runtime.Now() - silent).count(),
                Duration(PeerOptions().ping_timeout).count());
  cr_assert(!peers.HasMissedPing("ghent", runtime.Now()));
}

// Guards against a crash when a request is cancelled after its response has
// been read, before the callback runs: scenario bfp-pasbank-large trouble-1 and
// trouble-3, when callers left.
Test(peers, request_is_cancelled_when_its_response_has_been_read) {
  testing::EventLoop loop;
  Runtime runtime(loop.base());
  FakeLeader leader(loop, "ghent");
  std::vector<http::Responder> held;
  leader.server.Handle(http::Method::kPost, kForwardedJobPath,
                       [&](const http::Request&, http::Responder responder) {
                         held.push_back(std::move(responder));
                       });
  // Outlives `peers`, whose destructor ends the last request.
  std::vector<std::uint64_t> requests;
  Peers peers(
      runtime, {}, [] { return Ping{}; },
      [](const Address&, const PingResponse&) {});
  constexpr std::size_t kRequests = 8;
  for (std::size_t each = 0; each < kRequests; ++each) {
    requests.push_back(peers.Forward(
        leader.Record().address, {}, std::chrono::seconds(10),
        [&](const http::ClientResult&) {
          // The last one stays in flight.
          for (std::size_t other = 0; other + 1 < kRequests; ++other) {
            peers.Cancel(requests[other]);
          }
        }));
  }
  cr_assert(loop.RunUntil([&] { return held.size() == kRequests; }));
  for (std::size_t each = 0; each + 1 < kRequests; ++each) {
    held[each].Send({.body = "{}"});
  }
  loop.RunFor(100);
  cr_assert_eq(peers.jobs_in_flight(leader.Record().address), 1);
}

}  // namespace
}  // namespace jaypick::node
