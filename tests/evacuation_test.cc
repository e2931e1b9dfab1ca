// Evacuation of a failure domain: the decisions without a network, and nodes on
// one event loop under single failures.

// clang-format off
// Boost.Intrusive uses the name `Test`, which Criterion defines as a macro.
#include <boost/intrusive/list.hpp>
#include "tests/platform_rig.h"
#include "tests/support/scheduler_rig.h"
#include <criterion/criterion.h>
// clang-format on

#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "control/domain_choice.h"
#include "control/evacuation.h"
#include "platform/store_values.h"
#include "schedule/evacuation.h"
#include "standins/relay.h"

namespace jaypick::testing {
namespace {

using control::CompareEvacuations;
using control::EvacuationChanges;
using schedule::KindPolicy;
using schedule::RefusalReason;
using schedule::Refused;
using schedule::RunPlan;
using schedule::SchedulerRig;
using std::chrono::milliseconds;

constexpr const char* kGhentKey = "op/evacuate/ghent";
// Bound of the deployments, from the operator's write to the last start.
constexpr int kEvacuationMs = 5000;

std::string Id(int number) {
  const std::string digits = std::to_string(number);
  return std::string(16 - digits.size(), '0') + digits;
}

KindPolicy Kind() {
  return {.name = "match",
          .service = "fitting",
          .max_attempts = 3,
          .stretch = 1.6,
          .target_latency = milliseconds(60)};
}

void Evacuate(SchedulerRig& rig, bool is_evacuated) {
  schedule::Actions actions;
  rig.scheduler().SetEvacuated(rig.now(), is_evacuated, actions);
  for (schedule::Action& action : actions) {
    if (auto* const ended = std::get_if<schedule::JobEnded>(&action)) {
      rig.results[ended->job] = *ended;
    }
  }
}

RefusalReason ReasonOf(const SchedulerRig& rig, const std::string& job) {
  const auto* const refused =
      std::get_if<Refused>(&rig.results.at(job).outcome);
  cr_assert(refused != nullptr, "%s",
            schedule::Describe(rig.results.at(job).outcome).c_str());
  return refused->reason;
}

// Guards against an evacuation that is lost when another one begins or ends,
// and against an effect of a name that no domain has.
Test(evacuation, overlapping_and_unknown_domains_are_told_apart) {
  const std::vector<std::string> known{"a", "b"};
  cr_assert((CompareEvacuations(known, {}, {"a", "x"}) ==
             EvacuationChanges{.begun = {"a"}, .unknown = {"x"}}));
  cr_assert((CompareEvacuations(known, {"a", "x"}, {"a", "b", "x"}) ==
             EvacuationChanges{.begun = {"b"}}));
  cr_assert((CompareEvacuations(known, {"a", "b", "x"}, {"b"}) ==
             EvacuationChanges{.ended = {"a"}}));
  cr_assert((CompareEvacuations(known, {"b"}, {"b"}) == EvacuationChanges{}));
}

// Guards against a key of another meaning that empties a domain.
Test(evacuation, only_its_own_keys_request_it) {
  cr_assert(adapter::EvacuatedZone(kGhentKey) == "ghent");
  cr_assert(!adapter::EvacuatedZone("op/evacuate/"));
  cr_assert(!adapter::EvacuatedZone("op/evacuate"));
  cr_assert(!adapter::EvacuatedZone("op/config"));
}

// Guards against a job that is sent to an evacuated domain because it has room.
Test(evacuation, evacuated_domain_is_not_chosen) {
  std::vector<control::DomainCandidate> domains{{.failure_domain = "a",
                                                 .is_own_domain = true,
                                                 .is_reachable = true,
                                                 .is_evacuated = true,
                                                 .cores = 100},
                                                {.failure_domain = "b",
                                                 .is_reachable = true,
                                                 .wait = milliseconds(500),
                                                 .cores = 1}};
  cr_assert_eq(*control::ChooseDomain({}, domains, {}), 1);
  domains[1].is_evacuated = true;
  cr_assert(!control::ChooseDomain({}, domains, {}));
}

// A full queue when the evacuation begins: guards against jobs that wait for
// upstreams that will not take them, and against starts of jobs that have not
// begun.
Test(evacuation, waiting_jobs_are_refused_and_running_ones_end) {
  SchedulerRig rig;
  rig.AddUpstream("u1", 16000);
  for (int i = 0; i < 6; ++i) {
    rig.Submit("j" + std::to_string(i), Kind(), 2, 8000, milliseconds(100));
  }
  const std::size_t begun = rig.starts.size();
  cr_assert_eq(begun, 2);
  Evacuate(rig, true);
  cr_assert_eq(rig.scheduler().waiting_tasks(), 0);
  cr_assert(ReasonOf(rig, "j1") == RefusalReason::kEvacuated);
  rig.Submit("late", Kind(), 1, 8000, milliseconds(100));
  cr_assert(ReasonOf(rig, "late") == RefusalReason::kEvacuated);
  rig.RunFor(milliseconds(300));
  cr_assert_eq(rig.starts.size(), begun);
  cr_assert_eq(rig.CountCompleted("j0"), 1);
  cr_assert(rig.violations.empty());
}

// A wide job that has begun: guards against its failure for want of a moment.
Test(evacuation, job_that_has_begun_ends_within_the_grace) {
  SchedulerRig rig;
  rig.AddUpstream("u1", 16000);
  rig.Submit("wide", Kind(), 6, 8000, milliseconds(100));
  Evacuate(rig, true);
  rig.RunFor(milliseconds(400));
  cr_assert_eq(rig.CountCompleted("wide"), 1);
}

// A job too long for the grace: guards against starts after it, against a
// caller that waits for its deadline, and against a straggler that is stopped
// although it cannot be retried.
Test(evacuation, nothing_starts_after_the_grace) {
  SchedulerRig rig({.evacuation = {.grace = milliseconds(200)}});
  rig.AddUpstream("u1", 16000);
  rig.AddUpstream("u2", 8000);
  rig.plan = [](const schedule::RunId& run, std::uint32_t) {
    return RunPlan{.takes = milliseconds(run.job == "slow" ? 900 : 150)};
  };
  for (int i = 0; i < 20; ++i) {
    rig.Submit("learn" + std::to_string(i), Kind(), 1, 8000, milliseconds(150));
    rig.RunFor(milliseconds(160));
  }
  rig.Submit("slow", Kind(), 1, 8000, milliseconds(150));
  rig.Submit("wide", Kind(), 12, 8000, milliseconds(150));
  Evacuate(rig, true);
  rig.RunFor(milliseconds(205));
  const std::size_t starts = rig.starts.size();
  cr_assert(
      std::holds_alternative<schedule::Failed>(rig.results.at("wide").outcome));
  rig.RunFor(milliseconds(1000));
  cr_assert_eq(rig.starts.size(), starts);
  cr_assert_eq(rig.CountCompleted("slow"), 1);
}

// Guards against an evacuated domain that reports room, and against one that
// stays closed after it was taken back or that the same key closes twice.
Test(evacuation, room_is_reported_only_outside_of_an_evacuation) {
  SchedulerRig rig;
  rig.AddUpstream("u1", 16000);
  Evacuate(rig, true);
  Evacuate(rig, true);
  cr_assert_eq(rig.scheduler().Load(rig.now()).cores, 0);
  Evacuate(rig, false);
  cr_assert_gt(rig.scheduler().Load(rig.now()).cores, 0);
  rig.Submit("after", Kind(), 1, 8000, milliseconds(100));
  rig.RunFor(milliseconds(200));
  cr_assert_eq(rig.CountCompleted("after"), 1);
}

// A full load on a domain that was just taken back: guards against upstreams
// that are cold and get all of it at once.
Test(evacuation, cold_upstreams_get_a_slow_start) {
  schedule::Fleet fleet;
  const TimePoint now(std::chrono::seconds(100));
  const schedule::Resources needs{.milli_cpus = 1000};
  schedule::Upstream upstream{.id = "u1",
                              .service = "fitting",
                              .capacity = {.milli_cpus = 16000},
                              .slots = 8};
  const std::uint32_t number = fleet.Update(upstream);
  fleet.SetReady(number, true, now);
  upstream.is_cold = true;
  fleet.Update(upstream);
  // Upstreams that become cold by themselves are used as before.
  cr_assert_eq(fleet.SlotsOf(number, needs, now), 8);
  fleet.EnableSlowStart();
  cr_assert_eq(fleet.SlotsOf(number, needs, now), 1);
  const schedule::PlacementQuery query{.service = "fitting", .needs = needs};
  fleet.Occupy(number, needs, now);
  cr_assert(!fleet.Choose(query, now));
  fleet.RecordRunTime(number, milliseconds(100), milliseconds(110));
  cr_assert(fleet.Choose(query, now).has_value());
  cr_assert_eq(*fleet.slow_start_limit(number), 2);
  fleet.RecordRunTime(number, milliseconds(100), milliseconds(400));
  cr_assert_eq(*fleet.slow_start_limit(number), 1);
  for (int i = 0; i < 3; ++i) {
    fleet.RecordRunTime(number, milliseconds(100), milliseconds(100));
  }
  cr_assert(!fleet.slow_start_limit(number));
}

// Two domains with one node each. Counts the starts in "ghent".
struct DomainsRig {
  DomainsRig() {
    rig.AddUpstream("u4", "antwerp");
    rig.AddUpstream("u5", "antwerp");
  }

  bool WaitForLeaders() {
    return rig.WaitUntilReady() && rig.loop.RunUntil([&] {
      const int leader = rig.LeaderOf("antwerp");
      return leader >= 0 && rig.node(static_cast<std::size_t>(leader))
                                    .leadership_manager()
                                    .Find("antwerp")
                                    ->ready_upstreams() == 2;
    });
  }

  bool IsGhentIdle() const {
    return std::ranges::all_of(rig.upstreams, [](const auto& upstream) {
      return upstream->id() > "u3" || upstream->running() == 0;
    });
  }

  // Submits jobs to the node one after another, and returns whether any task
  // ran in "ghent" meanwhile.
  bool IsGhentUsed(std::size_t node, int jobs) {
    bool is_used = false;
    for (int i = 0; i < jobs; ++i) {
      ids.push_back(Id(next_id++));
      rig.Submit(node, ids.back(), 2, "60");
      for (int step = 0; step < 10; ++step) {
        rig.loop.RunFor(10);
        is_used = is_used || !IsGhentIdle();
      }
    }
    return is_used;
  }

  void AssertAllServed() {
    cr_assert(rig.WaitForResponses());
    for (const std::string& id : ids) {
      cr_assert_eq(rig.StatusOf(id), 200, "%s: %s", id.c_str(),
                   rig.BodyOf(id).c_str());
    }
    cr_assert(rig.run_monitor.violations.empty());
  }

  PlatformRig rig;
  std::vector<std::string> ids;
  int next_id = 0;
};

// Guards against starts in an evacuated domain, against refusals while another
// one has room, and against one that is not used again.
Test(evacuation, callers_of_an_evacuated_domain_are_served_elsewhere) {
  DomainsRig domains;
  const std::size_t node = domains.rig.AddNode();
  domains.rig.AddNode("antwerp");
  cr_assert(domains.WaitForLeaders());
  cr_assert(domains.IsGhentUsed(node, 2));
  domains.rig.store.Put(kGhentKey, "{}");
  cr_assert(domains.rig.loop.RunUntil([&] {
    return domains.rig.node(node)
        .leadership_manager()
        .Find("ghent")
        ->scheduler()
        .is_evacuated();
  }));
  cr_assert(domains.rig.loop.RunUntil([&] { return domains.IsGhentIdle(); }));
  cr_assert(!domains.IsGhentUsed(node, 10));
  domains.rig.store.Put(kGhentKey, "again");
  cr_assert(!domains.IsGhentUsed(node, 3));
  domains.rig.store.Remove(kGhentKey);
  cr_assert(
      domains.rig.loop.RunUntil([&] { return domains.IsGhentUsed(node, 1); }));
  domains.AssertAllServed();
}

// Guards against refusals at the deadline, or starts, when nothing is left.
Test(evacuation, all_domains_evacuated_refuses_at_once) {
  DomainsRig domains;
  const std::size_t node = domains.rig.AddNode();
  cr_assert(domains.WaitForLeaders());
  domains.rig.store.Put(kGhentKey, "{}");
  domains.rig.store.Put("op/evacuate/antwerp", "{}");
  domains.rig.loop.RunFor(300);
  const std::size_t started = domains.rig.run_monitor.started;
  domains.rig.Submit(node, Id(0), 2, "60");
  cr_assert(domains.rig.WaitForResponses());
  cr_assert_eq(domains.rig.StatusOf(Id(0)), 503);
  cr_assert(domains.rig.BodyOf(Id(0)).find("evacuated") != std::string::npos);
  cr_assert_eq(domains.rig.run_monitor.started, started);
}

// Guards against a successor that does not know of the evacuation: the leader
// is killed right after the store has accepted the request.
Test(evacuation, successor_of_a_killed_leader_starts_nothing) {
  DomainsRig domains;
  const std::size_t first = domains.rig.AddNode();
  cr_assert(domains.WaitForLeaders());
  const std::size_t second = domains.rig.AddNode();
  domains.rig.AddNode("antwerp");
  domains.rig.loop.RunFor(500);
  domains.rig.store.Put(kGhentKey, "{}");
  domains.rig.KillNode(first);
  cr_assert(domains.rig.loop.RunUntil([&] {
    return domains.rig.LeaderOf("ghent") > 0 &&
           domains.rig.LeaderOf("antwerp") > 0;
  }));
  cr_assert(!domains.IsGhentUsed(second, 20));
}

// Guards against a leader that cannot reach the store and does not learn of the
// evacuation from its peers, nor that the domain was taken back.
Test(evacuation, leader_without_the_store_follows_its_peers) {
  DomainsRig domains;
  standin::Relay relay(domains.rig.loop.base(),
                       {.target_port = domains.rig.store.address().port});
  const std::size_t cut = domains.rig.AddNodeBehind(relay.port());
  const std::size_t other = domains.rig.AddNode("antwerp");
  cr_assert(domains.WaitForLeaders());
  cr_assert(domains.rig.loop.RunUntil([&] {
    return domains.rig.LeaderOf("ghent") == static_cast<int>(cut) &&
           domains.rig.LeaderOf("antwerp") == static_cast<int>(other);
  }));
  domains.rig.loop.RunFor(1000);
  relay.Control("/fault", {{"cut", true}});
  domains.rig.loop.RunFor(300);
  domains.rig.store.Put(kGhentKey, "{}");
  domains.rig.loop.RunFor(kEvacuationMs);
  cr_assert(!domains.IsGhentUsed(cut, 5));
  domains.rig.store.Remove(kGhentKey);
  cr_assert(
      domains.rig.loop.RunUntil([&] { return domains.IsGhentUsed(cut, 1); }));
}

// Guards against an evacuation that is missed because the history of the store
// is gone, or because the watch hears nothing.
Test(evacuation, lost_watches_delay_it_within_the_bound) {
  DomainsRig domains;
  const std::size_t node = domains.rig.AddNode();
  cr_assert(domains.WaitForLeaders());
  domains.rig.store.StallWatches(true);
  domains.rig.store.Put(kGhentKey, "{}");
  domains.rig.store.Compact();
  domains.rig.loop.RunFor(kEvacuationMs);
  cr_assert(!domains.IsGhentUsed(node, 5));
}

// Guards against a copy of the operators' keys that revives an evacuation that
// was taken back, and against one that lacks an evacuation in force.
Test(evacuation, older_copies_of_peers_change_nothing) {
  EventLoop loop;
  node::Runtime runtime(loop.base());
  standin::PlatformStore store(runtime);
  store.SetDown(true);
  adapter::StoreClient client(loop.base(), {.address = store.address()});
  adapter::PlatformCodec codec;
  int changes = 0;
  node::StoreView view(runtime, client, codec,
                       {.on_upstreams_changed = [] {},
                        .on_leaders_changed = [] {},
                        .on_evacuations_changed = [&] { ++changes; }});
  const auto copy = [](std::int64_t revision, bool is_evacuated) {
    node::MirrorChanges mirror{.prefix = "op/", .revision = revision};
    if (is_evacuated) {
      mirror.items.emplace(kGhentKey, KeyValue{.key = kGhentKey,
                                               .value = "{}",
                                               .create_revision = 5,
                                               .mod_revision = 5});
    }
    return std::vector<node::MirrorChanges>{std::move(mirror)};
  };
  cr_assert(!view.has_read_operator_keys());
  view.Import(copy(7, true), runtime.Now());
  cr_assert(view.evacuated_domains() == std::set<std::string>{"ghent"});
  view.Import(copy(4, false), runtime.Now());
  cr_assert_eq(view.evacuated_domains().size(), 1);
  view.Import(copy(9, false), runtime.Now());
  cr_assert(view.evacuated_domains().empty());
  view.Import(copy(7, true), runtime.Now());
  cr_assert(view.evacuated_domains().empty());
  cr_assert_eq(changes, 2);
}

}  // namespace
}  // namespace jaypick::testing
