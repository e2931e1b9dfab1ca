// What nodes know of the store, and how they pass it on: the age of the list of
// upstreams, changes between mirrors, and the cost of their exchange.

// clang-format off
// Boost.Intrusive uses the name `Test`, which Criterion defines as a macro.
#include <boost/intrusive/list.hpp>
#include "tests/platform_rig.h"
#include <criterion/criterion.h>
// clang-format on

#include <algorithm>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "http/server.h"
#include "node/prefix_mirror.h"
#include "platform/store_client.h"
#include "standins/relay.h"

namespace jaypick::testing {
namespace {

using node::MirrorChanges;
using node::MirroredItems;
using node::PrefixMirror;

std::string Id(int number) {
  const std::string digits = std::to_string(number);
  return std::string(16 - digits.size(), '0') + digits;
}

void AssertNoViolation(const PlatformRig& rig) {
  cr_assert(rig.run_monitor.violations.empty(), "%s",
            rig.run_monitor.violations.empty()
                ? ""
                : rig.run_monitor.violations.front().c_str());
}

// A store that never responds: these mirrors learn from peers only.
class SilentStore : public WatchableStore {
 public:
  void Range(RangeRequest /*request*/,
             StoreCallback<RangeResult> /*callback*/) override {}
  void Txn(TxnRequest /*request*/,
           StoreCallback<TxnResult> /*callback*/) override {}
  void GrantLease(Duration /*time_to_live*/,
                  StoreCallback<LeaseResult> /*callback*/) override {}
  void Watch(WatchRequest /*request*/,
             StoreCallback<WatchResult> /*callback*/) override {}
  void RenewLease(std::int64_t /*lease*/,
                  StoreCallback<LeaseStatus> /*callback*/) override {}
  void RevokeLease(std::int64_t /*lease*/,
                   StoreCallback<LeaseStatus> /*callback*/) override {}
};

KeyValue Item(const std::string& key, std::int64_t revision) {
  return {.key = key,
          .value = "v" + std::to_string(revision),
          .create_revision = 1,
          .mod_revision = revision};
}

struct MirrorRig {
  EventLoop loop;
  node::Runtime runtime{loop.base()};
  SilentStore store;
  PrefixMirror from{runtime, store, "p/", [] {}};
  PrefixMirror to{runtime, store, "p/", [] {}};

  void Pass() { to.Merge(from.ChangesSince(to.revision()), runtime.Now()); }
};

// Guards against whole snapshots where a few items have changed.
Test(store_snapshot, mirrors_pass_on_what_has_changed) {
  MirrorRig rig;
  rig.from.Merge({.prefix = "p/",
                  .revision = 10,
                  .items = {{"p/a", Item("p/a", 3)}, {"p/b", Item("p/b", 4)}}},
                 rig.runtime.Now());
  rig.Pass();
  cr_assert(rig.to.items() == rig.from.items());

  rig.from.Merge({.prefix = "p/",
                  .since = 10,
                  .revision = 14,
                  .items = {{"p/c", Item("p/c", 12)}},
                  .removed = {{"p/a", 13}}},
                 rig.runtime.Now());
  const MirrorChanges changes = rig.from.ChangesSince(10);
  cr_assert_eq(changes.since, 10);
  cr_assert_eq(changes.items.size(), 1);
  cr_assert_eq(changes.removed.size(), 1);
  rig.Pass();
  cr_assert(rig.to.items() == rig.from.items());
  cr_assert_eq(rig.to.revision(), 14);
  cr_assert(rig.from.ChangesSince(14).items.empty());
}

// Guards against a removed upstream that is in use again after a peer has sent
// an older or an incomplete list.
Test(store_snapshot, removed_items_do_not_come_back) {
  MirrorRig rig;
  rig.from.Merge({.prefix = "p/",
                  .revision = 10,
                  .items = {{"p/a", Item("p/a", 3)}, {"p/b", Item("p/b", 4)}}},
                 rig.runtime.Now());
  const MirrorChanges old = rig.from.ChangesSince(0);
  rig.Pass();
  rig.to.Merge(
      {.prefix = "p/", .since = 10, .revision = 20, .removed = {{"p/a", 15}}},
      rig.runtime.Now());
  rig.to.Merge(old, rig.runtime.Now());
  cr_assert(!rig.to.items().contains("p/a"));
  rig.to.MergeItems(old.items);
  cr_assert(!rig.to.items().contains("p/a"));
  // A change that was sent on its own, before the removal is known.
  rig.to.MergeItems({{"p/d", Item("p/d", 25)}});
  cr_assert(rig.to.items().contains("p/d"));
  // Changes that do not follow on the known revision leave a gap.
  rig.to.Merge(
      {.prefix = "p/", .since = 30, .revision = 40, .removed = {{"p/d", 35}}},
      rig.runtime.Now());
  cr_assert_eq(rig.to.revision(), 20);
}

// Guards against changes that skip removals which the sender has forgotten.
Test(store_snapshot, all_items_are_sent_if_removals_are_forgotten) {
  EventLoop loop;
  node::Runtime runtime(loop.base());
  SilentStore store;
  PrefixMirror mirror(runtime, store, "p/", [] {}, {.max_removals = 2});
  MirroredItems items;
  for (const char* const key : {"p/a", "p/b", "p/c", "p/d"}) {
    items.emplace(key, Item(key, 3));
  }
  mirror.Merge({.prefix = "p/", .revision = 10, .items = items}, runtime.Now());
  std::int64_t revision = 10;
  for (const char* const key : {"p/a", "p/b", "p/c"}) {
    ++revision;
    mirror.Merge({.prefix = "p/",
                  .since = revision - 1,
                  .revision = revision,
                  .removed = {{key, revision}}},
                 runtime.Now());
  }
  const MirrorChanges changes = mirror.ChangesSince(10);
  cr_assert_eq(changes.since, 0);
  cr_assert_eq(changes.items.size(), 1);
}

// Guards against a list that counts as fresh although its sender's is old.
Test(store_snapshot, age_of_the_senders_list_counts) {
  MirrorRig rig;
  const TimePoint now = rig.runtime.Now();
  rig.to.Merge({.prefix = "p/", .revision = 10, .age = std::chrono::seconds(3)},
               now);
  cr_assert(rig.to.current_as_of() == now - std::chrono::seconds(3));
  rig.to.Merge({.prefix = "p/", .revision = 10}, now);
  cr_assert(rig.to.current_as_of() == now - std::chrono::seconds(3));
  rig.to.Merge({.prefix = "p/", .revision = 10, .age = Duration(-5'000'000)},
               now);
  cr_assert(rig.to.current_as_of() == now);
}

// A store that answers reads and watches with the bodies of the test; the last
// one is repeated.
class BodiesStore {
 public:
  BodiesStore(EventLoop& loop, std::vector<std::string> bodies)
      : bodies_(std::move(bodies)),
        server_(loop.base(), {.address = {.host = "127.0.0.1", .port = 0}}) {
    for (const char* const path : {"/api/kv-range", "/api/kv-watch"}) {
      server_.Handle(
          http::Method::kGet, path,
          [this](const http::Request& request, http::Responder responder) {
            const auto after = request.query.find("after");
            after_.push_back(after == request.query.end() ? "" : after->second);
            const std::size_t body =
                std::min(after_.size(), bodies_.size()) - 1;
            responder.Send({.body = bodies_[body]});
          });
    }
  }

  Address address() const {
    return {.host = "127.0.0.1", .port = server_.port()};
  }
  // The member `after` of all requests so far.
  const std::vector<std::string>& after() const { return after_; }

 private:
  std::vector<std::string> bodies_;
  std::vector<std::string> after_;
  http::Server server_;
};

// Items that are no items; "djM=" is the text "v3".
constexpr const char* kOddItems[] = {
    "null",
    "7",
    R"("...")",
    "[]",
    "{}",
    R"({"value":"djM=","revision":3})",
    R"({"key":7,"value":"djM=","revision":3})",
    R"({"key":"","value":"djM=","revision":3})",
    R"({"key":"p/x","value":"djM="})",
    R"({"key":"p/x","value":"djM=","revision":"3"})",
    R"({"key":"p/x","value":"djM=","revision":-3})",
    R"({"key":"p/x","value":"djM=","revision":0})",
    R"({"key":"p/x","value":"djM=","revision":3.5})",
    R"({"key":"p/x","value":"djM=","revision":9223372036854775807})",
    R"({"key":"p/x","value":"djM=","revision":99999999999999999999})"};

StoreResult<RangeResult> ReadAll(EventLoop& loop, const BodiesStore& store) {
  adapter::StoreClient client(loop.base(), {.address = store.address()});
  std::optional<StoreResult<RangeResult>> result;
  client.Range(
      {.key = "p/", .range_end = "p0"},
      [&](StoreResult<RangeResult> read) { result = std::move(read); });
  cr_assert(loop.RunUntil(
      [&] { return result.has_value() || store.after().size() > 20; }));
  cr_assert(result.has_value(), "the same page is read again and again");
  return *result;
}

// Guards against one item of a list that is no item and ends the process, is
// used, or makes it read the same page forever.
Test(store_snapshot, odd_items_of_a_page_are_skipped) {
  for (const char* const odd : kOddItems) {
    EventLoop loop;
    const BodiesStore store(
        loop, {R"({"items":[)" + std::string(odd) +
                   R"(,{"key":"p/a","value":"djM=","revision":3},)" + odd +
                   R"(],"has_more":true,"current_rev":9})",
               R"({"items":[{"key":"p/z","value":"djM=","revision":4}],)"
               R"("has_more":false,"current_rev":10})"});
    const auto result = ReadAll(loop, store);
    const auto* const range = std::get_if<RangeResult>(&result);
    cr_assert(range != nullptr, "%s", odd);
    cr_expect_eq(range->revision, 9);
    cr_expect_eq(range->values.size(), 2, "%s: %zu items", odd,
                 range->values.size());
    cr_expect_eq(store.after().size(), 2);
    cr_expect(store.after().back() == "p/a", "%s: after \"%s\"", odd,
              store.after().back().c_str());
    for (const KeyValue& item : range->values) {
      cr_expect(item.key == "p/a" || item.key == "p/z", "%s: \"%s\"", odd,
                item.key.c_str());
      cr_expect_str_eq(item.value.c_str(), "v3");
    }
  }
}

// Guards against reading a list forever, in ever more memory, if no page has
// an item after which the next page begins.
Test(store_snapshot, pages_that_lead_no_further_end_the_read) {
  const std::string sound = R"({"key":"p/a","value":"djM=","revision":3})";
  for (const std::string& items : {std::string(), std::string("7"), sound}) {
    EventLoop loop;
    const BodiesStore store(
        loop,
        {R"({"items":[)" + sound + R"(],"has_more":true,"current_rev":9})",
         R"({"items":[)" + items + R"(],"has_more":true,"current_rev":9})"});
    const auto result = ReadAll(loop, store);
    cr_expect(std::holds_alternative<StoreError>(result), "%s", items.c_str());
    cr_expect_eq(store.after().size(), 2);
  }
}

// Guards against one odd event that ends the process or hides the others.
Test(store_snapshot, odd_events_of_a_watch_are_skipped) {
  std::vector<std::string> odd(std::begin(kOddItems), std::end(kOddItems));
  for (const char* const removal :
       {R"({"deleted":true})", R"({"deleted":true,"key":7,"revision":3})",
        R"({"deleted":true,"key":"p/a"})",
        R"({"deleted":true,"key":"p/a","revision":9223372036854775807})"}) {
    odd.emplace_back(removal);
  }
  for (const std::string& event : odd) {
    EventLoop loop;
    const BodiesStore store(
        loop, {R"({"events":[)" + event +
               R"(,{"key":"p/a","value":"djM=","revision":3},)" + event +
               R"(],"current_rev":9})"});
    adapter::StoreClient client(loop.base(), {.address = store.address()});
    std::optional<StoreResult<WatchResult>> result;
    client.Watch(
        {.prefix = "p/", .after_revision = 2, .wait = Duration(0)},
        [&](StoreResult<WatchResult> watched) { result = std::move(watched); });
    cr_assert(loop.RunUntil([&] { return result.has_value(); }));
    const auto* const changes = std::get_if<WatchResult>(&*result);
    cr_assert(changes != nullptr, "%s", event.c_str());
    cr_expect_eq(changes->revision, 9);
    cr_expect_eq(changes->events.size(), 1, "%s: %zu events", event.c_str(),
                 changes->events.size());
  }
}

// Guards against items of another prefix, whose keys the readers of the mirror
// shorten by the prefix: an exception ended the process.
Test(store_snapshot, items_of_another_prefix_are_not_mirrored) {
  MirrorRig rig;
  const MirroredItems items = {{"", Item("", 3)},
                               {"o", Item("o", 3)},
                               {"p", Item("p", 3)},
                               {"p/a", Item("p/a", 3)}};
  const auto assert_only_a = [&] {
    cr_assert_eq(rig.to.items().size(), 1, "%zu", rig.to.items().size());
    cr_assert(rig.to.items().contains("p/a"));
  };
  rig.to.Merge({.prefix = "p/", .revision = 10, .items = items},
               rig.runtime.Now());
  assert_only_a();
  rig.to.Merge({.prefix = "p/",
                .since = 10,
                .revision = 20,
                .items = {{"x", Item("x", 15)}}},
               rig.runtime.Now());
  assert_only_a();
  rig.to.MergeItems({{"y", Item("y", 25)}});
  assert_only_a();
}

// A store whose watches the test answers.
class ScriptedStore : public SilentStore {
 public:
  void Range(RangeRequest /*request*/,
             StoreCallback<RangeResult> callback) override {
    callback(RangeResult{.revision = 1});
  }
  void Watch(WatchRequest /*request*/,
             StoreCallback<WatchResult> callback) override {
    watches.push_back(std::move(callback));
  }

  std::vector<StoreCallback<WatchResult>> watches;
};

// Guards against a list that counts as fresh although the store has sent only
// the first of many changes, and against pauses that let the mirror fall behind
// further: DRAIN 136 times in the sweep of bfp-pasbank-large at 300 instances.
Test(store_snapshot,
     mirror_that_is_behind_catches_up_before_it_counts_as_fresh) {
  EventLoop loop;
  node::Runtime runtime(loop.base());
  ScriptedStore store;
  PrefixMirror mirror(runtime, store, "p/", [] {},
                      {.watch_wait = Duration(0),
                       .batch_interval = std::chrono::milliseconds(400)});
  mirror.Start();
  const TimePoint as_of = mirror.current_as_of();
  cr_assert_eq(store.watches.size(), 1);
  loop.RunFor(20);
  WatchResult many{.revision = 501};
  for (int key = 0; key < 500; ++key) {
    many.events.emplace_back(Item("p/" + std::to_string(key), key + 2));
  }
  store.watches[0](many);
  cr_assert_eq(store.watches.size(), 2, "the next changes are read at once");
  cr_assert(mirror.current_as_of() == as_of);
  loop.RunFor(20);
  store.watches[1](
      WatchResult{.events = {Item("p/last", 510)}, .revision = 510});
  cr_assert(mirror.current_as_of() > as_of);
  cr_assert_eq(store.watches.size(), 2, "changes are batched again");
  cr_assert_eq(mirror.items().size(), 501);
}

// Guards against a leader that takes one late response for an outage of the
// store and goes on with its list, and one that is late itself in a burst.
Test(store_snapshot, late_responses_are_no_outage) {
  EventLoop loop;
  node::Runtime runtime(loop.base());
  ScriptedStore store;
  PrefixMirror mirror(runtime, store, "p/", [] {},
                      {.watch_wait = Duration(0),
                       .initial_retry_delay = std::chrono::milliseconds(5)});
  mirror.Start();
  cr_assert(mirror.is_responsive());
  const auto fail_next_call = [&] {
    const std::size_t calls = store.watches.size();
    store.watches.back()(StoreError{.message = "timed out"});
    cr_assert(loop.RunUntil([&] { return store.watches.size() > calls; }));
  };
  loop.RunFor(100);
  fail_next_call();
  cr_assert(mirror.is_responsive() && !mirror.is_connected());
  store.watches.back()(WatchResult{.revision = 2});
  fail_next_call();
  cr_assert(mirror.is_responsive(), "the calls must be in a row");
  // The loop is blocked for longer than a tick, and then ticks late.
  std::this_thread::sleep_for(std::chrono::milliseconds(250));
  loop.RunFor(20);
  cr_assert_geq(runtime.lag().count(), 100'000);
  fail_next_call();
  fail_next_call();
  cr_assert(mirror.is_responsive(), "this process is late itself");
  for (int call = 0; call < 2; ++call) {
    cr_assert(loop.RunUntil(
        [&] { return runtime.lag() < std::chrono::milliseconds(50); }));
    fail_next_call();
  }
  cr_assert(!mirror.is_responsive());
}

// A store whose reads the test answers.
class PendingReadsStore : public SilentStore {
 public:
  void Range(RangeRequest /*request*/,
             StoreCallback<RangeResult> callback) override {
    reads.push_back(std::move(callback));
  }

  std::vector<StoreCallback<RangeResult>> reads;
};

// Guards against a list that is never read to its end, because a read that
// takes long is abandoned for a new one.
Test(store_snapshot, refresh_waits_for_the_read_in_progress) {
  EventLoop loop;
  node::Runtime runtime(loop.base());
  PendingReadsStore store;
  PrefixMirror mirror(runtime, store, "p/", [] {});
  mirror.Start();
  mirror.Refresh();
  mirror.Refresh();
  cr_assert_eq(store.reads.size(), 1);
  store.reads[0](RangeResult{.revision = 7, .values = {Item("p/a", 7)}});
  cr_assert_eq(mirror.revision(), 7);
  cr_assert_eq(store.reads.size(), 2,
               "the evidence may be newer than the read");
  store.reads[1](RangeResult{.revision = 8, .values = {Item("p/a", 7)}});
  cr_assert_eq(mirror.revision(), 8);
  cr_assert_eq(store.reads.size(), 2);
  // A watch is in progress now; it may be on a dead connection.
  mirror.Refresh();
  cr_assert_eq(store.reads.size(), 3);
  store.reads[2](StoreError{.kind = StoreErrorCode::kOutcomeUnknown});
  mirror.Refresh();
  cr_assert_eq(store.reads.size(), 4);
}

// Guards against leaders whose links are filled with snapshots when many nodes
// lose the store at once. In scenario bfp-pasbank-large trouble-1, the leaders
// then looked dead to their peers and were taken over one after the other.
Test(store_snapshot, exchange_without_the_store_stays_within_the_budget) {
  // Bytes a second that a node may use for control.
  constexpr std::uint64_t kBudget = 9'000;
  constexpr std::uint64_t kNodes = 5;
  constexpr std::uint64_t kSeconds = 3;
  PlatformRig rig;
  for (int entry = 0; entry < 1100; ++entry) {
    rig.store.Put("servers/other-" + std::to_string(entry),
                  R"({"padding":")" + std::string(250, 'x') + R"("})");
  }
  for (std::uint64_t node = 0; node <= kNodes; ++node) {
    rig.AddNode();
  }
  cr_assert(rig.WaitUntilReady());
  rig.loop.RunFor(1000);
  rig.store.SetDown(true);
  rig.loop.RunFor(kSeconds * 1000);
  const auto leader = static_cast<std::size_t>(rig.LeaderOf());
  const std::uint64_t sent = rig.node(leader).snapshot_exchange().bytes_sent();
  cr_assert_leq(sent, kBudget * kNodes * kSeconds,
                "%llu bytes in %llu requests",
                static_cast<unsigned long long>(sent),
                static_cast<unsigned long long>(
                    rig.node(leader).snapshot_exchange().requests()));
}

// Submits `jobs` jobs to `node`, one each 100 ms. Returns true if the upstream
// gets a run meanwhile.
bool IsUsed(PlatformRig& rig,
            const standin::PlatformUpstream& upstream,
            std::size_t node,
            int jobs) {
  bool was_used = false;
  for (int job = 0; job < jobs; ++job) {
    rig.Submit(node, Id(job), 3, "100");
    for (int step = 0; step < 10; ++step) {
      rig.loop.RunFor(10);
      was_used = was_used || upstream.running() > 0;
    }
  }
  return was_used;
}

// Guards against a new leader that starts runs on an upstream whose notice has
// ended, because nodes without a domain read the list rarely: DRAIN in
// scenarios bara-jp trouble-2 (seed 393428112911) and bfp-pasbank-large
// trouble-3.
Test(store_snapshot, new_leader_starts_nothing_on_an_old_list) {
  PlatformRig rig;
  rig.AddUpstream("u4", "antwerp");
  const std::size_t first = rig.AddNode();
  cr_assert(rig.WaitUntilReady());
  cr_assert(rig.loop.RunUntil([&] { return rig.LeaderOf("antwerp") >= 0; }));
  const std::size_t second = rig.AddNode();
  rig.loop.RunFor(1000);
  rig.upstreams[0]->Register("draining");
  rig.loop.RunFor(2500);
  rig.store.DelayRanges(std::chrono::milliseconds(600));
  rig.KillNode(first);
  const bool was_used = IsUsed(rig, *rig.upstreams[0], second, 20);
  cr_assert(!was_used, "the upstream had announced its shutdown 2.5 s before");
  rig.store.DelayRanges(Duration(0));
  cr_assert(rig.WaitUntilReady(2));
  rig.Submit(second, Id(100), 3, "50");
  cr_assert(rig.WaitForResponses());
  cr_assert_eq(rig.StatusOf(Id(100)), 200, "%s", rig.BodyOf(Id(100)).c_str());
  AssertNoViolation(rig);
}

// Guards against a new leader that takes a read of the list without a response
// for an outage of the store, and starts tasks on the old list. Its claim shows
// that the store worked seconds after the list.
Test(store_snapshot, new_leader_whose_read_times_out_starts_nothing) {
  PlatformRig rig;
  rig.AddUpstream("u4", "antwerp");
  const std::size_t former = rig.AddNode();
  cr_assert(rig.WaitUntilReady());
  cr_assert(rig.loop.RunUntil([&] { return rig.LeaderOf("antwerp") >= 0; }));
  const std::size_t leader = rig.AddNode();
  rig.loop.RunFor(500);
  node::LeadershipManager& leaderships = rig.node(former).leadership_manager();
  for (const char* const domain : {"ghent", "antwerp"}) {
    leaderships.Resign(domain, "test", "");
  }
  cr_assert(rig.loop.RunUntil([&] {
    return rig.LeaderOf() == static_cast<int>(leader) &&
           !leaderships.leads_any_domain();
  }));
  rig.loop.RunFor(3000);
  rig.upstreams[0]->Register("draining");
  rig.loop.RunFor(2500);
  rig.store.DelayRanges(std::chrono::seconds(2));
  rig.KillNode(leader);
  const bool was_used = IsUsed(rig, *rig.upstreams[0], former, 25);
  cr_assert(!was_used, "the upstream had announced its shutdown 2.5 s before");
  rig.store.DelayRanges(Duration(0));
  cr_assert(rig.WaitUntilReady(2));
  rig.Submit(former, Id(100), 3, "50");
  cr_assert(rig.WaitForResponses());
  cr_assert_eq(rig.StatusOf(Id(100)), 200, "%s", rig.BodyOf(Id(100)).c_str());
  AssertNoViolation(rig);
}

// Guards against held tasks that start on the old list when a newer one
// arrives: DRAIN in the sweep of bfp-pasbank-large at 300 instances, on
// upstreams whose notice had ended seconds before.
Test(store_snapshot, held_tasks_start_on_the_new_list) {
  PlatformRig rig;
  rig.upstream_notice = std::chrono::milliseconds(1000);
  const std::size_t leader = rig.AddNode();
  cr_assert(rig.WaitUntilReady());
  rig.loop.RunFor(500);
  rig.store.StallWatches(true);
  rig.store.DelayRanges(std::chrono::milliseconds(300));
  rig.upstreams[0]->Register("draining");
  const schedule::Scheduler& scheduler =
      rig.node(leader).leadership_manager().Find("ghent")->scheduler();
  cr_assert(rig.loop.RunUntil(
      [&] { return rig.runtime.Now() >= scheduler.start_limit(); }));
  rig.Submit(leader, Id(0), 4, "100");
  bool was_used = false;
  cr_assert(rig.loop.RunUntil([&] {
    was_used = was_used || rig.upstreams[0]->running() > 0;
    return rig.StatusOf(Id(0)) != 0;
  }));
  cr_assert_eq(rig.StatusOf(Id(0)), 200, "%s", rig.BodyOf(Id(0)).c_str());
  cr_assert(!was_used, "the upstream had announced its shutdown");
  AssertNoViolation(rig);
}

// Guards against a leader that cannot reach the store and does not learn from
// its peers that an upstream is shutting down.
Test(store_snapshot, leader_without_the_store_learns_of_shutdowns_from_peers) {
  PlatformRig rig;
  standin::Relay relay(rig.loop.base(),
                       {.target_port = rig.store.address().port});
  rig.AddUpstream("u4", "antwerp");
  const std::size_t cut = rig.AddNodeBehind(relay.port());
  const std::size_t other = rig.AddNode("antwerp");
  cr_assert(rig.WaitUntilReady());
  cr_assert(rig.loop.RunUntil([&] {
    return rig.LeaderOf("ghent") == static_cast<int>(cut) &&
           rig.LeaderOf("antwerp") == static_cast<int>(other);
  }));
  rig.loop.RunFor(1000);
  relay.Control("/fault", {{"cut", true}});
  rig.loop.RunFor(300);
  rig.upstreams[0]->Register("draining");
  rig.loop.RunFor(1700);
  const bool was_used = IsUsed(rig, *rig.upstreams[0], cut, 20);
  cr_assert(!was_used);
  cr_assert(rig.WaitForResponses());
  cr_assert_eq(rig.StatusOf(Id(0)), 200, "%s", rig.BodyOf(Id(0)).c_str());
  AssertNoViolation(rig);
}

// Guards against a node that cannot take over a domain because it has started
// during a store outage and knows no upstream.
Test(store_snapshot, node_that_started_without_the_store_takes_a_domain_over) {
  PlatformRig rig;
  rig.AddNode();
  rig.AddNode();
  cr_assert(rig.WaitUntilReady());
  rig.loop.RunFor(500);
  const auto leader = static_cast<std::size_t>(rig.LeaderOf());
  const std::size_t other = 1 - leader;
  rig.store.SetDown(true);
  rig.loop.RunFor(200);
  rig.KillNode(other);
  rig.loop.RunFor(700);
  rig.RestartNode(other);
  rig.loop.RunFor(1000);
  rig.node(leader).RequestShutdown();
  cr_assert(rig.loop.RunUntil(
      [&] { return rig.LeaderOf() == static_cast<int>(other); }));
  cr_assert(rig.WaitUntilReady());
  rig.Submit(other, Id(0), 2, "50");
  cr_assert(rig.WaitForResponses());
  cr_assert_eq(rig.StatusOf(Id(0)), 200, "%s", rig.BodyOf(Id(0)).c_str());
  AssertNoViolation(rig);
}

}  // namespace
}  // namespace jaypick::testing
