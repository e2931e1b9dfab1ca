// Slots, reported load and health of upstreams.
#include <utility>

// clang-format off
// Boost.Intrusive uses the name `Test`, which Criterion defines as a macro.
#include <boost/intrusive/list.hpp>
#include <criterion/criterion.h>
// clang-format on

#include "jaypick/internal/invariant.h"
#include "jaypick/internal/upstream_pool.h"

namespace jaypick::internal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kRunTime = milliseconds(400);

Instance Upstream(const std::string& name) {
  return {.name = name,
          .generation = 1,
          .failure_domain = "ghent",
          .service = "fitting",
          .slots = 8,
          .offers = {.cpus = 4}};
}

struct Fixture {
  explicit Fixture(int upstreams,
                   std::uint32_t entries = 2,
                   PlacementOptions options = {})
      : pool(options, 1), entry_count(entries) {
    for (int i = 0; i < upstreams; ++i) {
      list.instances.push_back(Upstream("u" + std::to_string(i)));
    }
    Apply();
  }
  void Apply() { pool.ApplyList(list, "ghent", entry_count, now); }
  std::optional<UpstreamNumber> Choose(bool is_idempotent = true,
                                       ResourceSpec needs = {}) {
    return pool.Choose({.service = 0,
                        .needs = needs,
                        .run_time = kRunTime,
                        .waiting = waiting,
                        .is_idempotent = is_idempotent},
                       now);
  }
  int ChooseAll() {
    int count = 0;
    while (Choose()) {
      ++count;
    }
    return count;
  }
  void End(UpstreamNumber upstream,
           HealthSignal end,
           std::optional<std::uint32_t> reported = {}) {
    pool.OnAttemptEnded(upstream, end, reported, now, now);
  }
  // Fails attempts until an upstream is ejected. Returns the number of
  // attempts, or 0 if none was ejected after `limit` attempts.
  int FailUntilEjected(int limit) {
    for (int i = 1; i <= limit; ++i) {
      const auto upstream = Choose();
      now += kRunTime;
      pool.OnAttemptEnded(*upstream, HealthSignal::kFailed, {}, now - kRunTime,
                          now);
      if (pool.is_ejected(*upstream)) {
        return i;
      }
    }
    return 0;
  }

  UpstreamPool pool;
  InstanceList list;
  std::uint32_t entry_count;
  std::size_t waiting = 100;
  TimePoint now{seconds(100)};
};

// Guards against exceeding the limits on tasks and connections of an upstream.
Test(upstream_pool, limits_in_flight) {
  struct Case {
    PlacementPolicy policy;
    std::uint32_t entries;
    int expected;
  };
  for (const Case& c :
       {Case{ReportedLoadPlacement{}, 2, 9},
        Case{ReportedLoadPlacement{.overcommit = 4}, 2, 12},
        Case{ReportedLoadPlacement{}, 25, 2},
        Case{ReportedLoadPlacement{}, 61, 0}, Case{RandomPlacement{}, 2, 8},
        Case{RoundRobinPlacement{}, 2, 8},
        Case{LeastOutstandingPlacement{}, 2, 8},
        Case{TwoChoicesPlacement{}, 2, 8}}) {
    Fixture f(3, c.entries, {.policy = c.policy});
    cr_assert(f.ChooseAll() == 3 * c.expected, "%s", ToString(c.policy).data());
    cr_assert(ParsePlacementPolicy(ToString(c.policy))->index() ==
              c.policy.index());
  }
}

// Guards against sending tasks to an upstream that is filled by other entries,
// and against a load report that never expires.
Test(upstream_pool, reported_load_limits_tasks_and_decays) {
  Fixture f(2);
  const UpstreamNumber busy = *f.Choose();
  f.End(busy, HealthSignal::kSucceeded, 9);
  // The report also raises the estimate for the other upstream slightly, which
  // therefore gets 8 tasks instead of 9.
  cr_assert(f.ChooseAll() == 8 + 4);
  cr_assert(f.pool.in_flight(busy) == 4, "only this entry's own slots");
  const auto next = f.pool.NextChange(f.now);
  cr_assert(next && *next > f.now && *next < f.now + 20 * kRunTime);
  f.now = *next - milliseconds(2);
  cr_assert(!f.Choose());
  f.now = *next;
  cr_assert(f.Choose() == busy);
}

// Guards against decaying old reports to zero, which would make a loaded
// service look idle.
Test(upstream_pool, reports_decay_to_their_mean) {
  Fixture f(2);
  for (int i = 0; i < 300; ++i) {
    f.End(*f.Choose(), HealthSignal::kSucceeded, 4);
  }
  f.now += 1000 * kRunTime;
  cr_assert(f.ChooseAll() == 2 * (9 - 4));
}

// Guards against assigning a slot to two entries or to none.
Test(upstream_pool, entries_divide_the_slots) {
  constexpr int kEntries = 3;
  InstanceList list;
  for (int i = 0; i < kEntries; ++i) {
    list.instances.push_back({.name = "e" + std::to_string(i),
                              .role = InstanceRole::kEntry,
                              .failure_domain = "ghent"});
    list.instances.push_back(Upstream("u" + std::to_string(i)));
  }
  for (int i = 0; i < kEntries; ++i) {
    UpstreamPool pool({.policy = ReportedLoadPlacement{.spill_margin = 99}}, 1,
                      "e" + std::to_string(i));
    pool.ApplyList(list, "ghent", kEntries, TimePoint());
    int own = 0;
    while (pool.Choose({.run_time = kRunTime}, TimePoint(seconds(9)))) {
      ++own;
    }
    // An upstream without a recent report may get one task regardless of its
    // load; here all upstreams have own slots.
    cr_assert(own == 8, "entry %d has %d", i, own);
  }
}

// Guards against repeated refusals by an upstream that does not queue tasks.
Test(upstream_pool, busy_threshold_is_learned_from_refusals) {
  Fixture f(1);
  f.End(*f.Choose(), HealthSignal::kBusy, 8);
  f.now += kRunTime;
  f.End(*f.Choose(), HealthSignal::kSucceeded, 0);
  cr_assert(f.ChooseAll() < 8);
}

// Guards against a single waiting task using a slot that another entry may have
// taken, when an own slot will soon become free.
Test(upstream_pool, short_queue_waits_for_own_slots) {
  Fixture f(1);
  f.End(*f.Choose(), HealthSignal::kSucceeded, 3);
  f.waiting = 1;
  cr_assert(f.ChooseAll() == 4);
  f.waiting = 3;
  cr_assert(f.ChooseAll() == 2);
}

// Guards against a constant rate of refused starts at an upstream without
// capacity.
Test(upstream_pool, back_off_grows_with_each_refusal_as_busy) {
  Fixture f(1);
  Duration previous{0};
  for (int i = 0; i < 4; ++i) {
    const TimePoint refused = f.now;
    f.End(*f.Choose(), HealthSignal::kBusy);
    cr_assert(!f.Choose());
    f.now = *f.pool.NextChange(f.now);
    cr_assert(f.now - refused > previous);
    previous = f.now - refused;
  }
}

// Guards against using an upstream on which all tasks fail, never trying it
// again, and probing it with non-idempotent tasks.
Test(upstream_pool, ejects_probes_and_readmits_slowly) {
  Fixture f(2);
  cr_assert(f.FailUntilEjected(10) > 0);
  const UpstreamNumber bad = f.pool.is_ejected(0) ? 0 : 1;
  for (const int back_off_s : {1, 2, 4, 8, 16, 30, 30}) {
    f.now += seconds(back_off_s) - Duration(1);
    const UpstreamNumber good = *f.Choose();
    cr_assert(good != bad);
    f.End(good, HealthSignal::kSucceeded);
    f.now += Duration(1);
    cr_assert(*f.Choose(false) != bad);
    f.End(good, HealthSignal::kSucceeded);
    cr_assert(*f.Choose() == bad);
    cr_assert(*f.Choose() != bad, "one probe at a time");
    f.End(1 - bad, HealthSignal::kSucceeded);
    f.End(bad, HealthSignal::kFailed);
  }
  f.now += seconds(30);
  f.End(*f.Choose(), HealthSignal::kSucceeded);
  cr_assert(!f.pool.is_ejected(bad));
  cr_assert(f.ChooseAll() == 9 + 1);
  f.now += milliseconds(2500);
  cr_assert(f.ChooseAll() == 4);
  f.now += milliseconds(2500);
  cr_assert(f.ChooseAll() == 4);
}

// Guards against an ejected upstream that is never probed because its service
// has no idempotent kind.
Test(upstream_pool, non_idempotent_tasks_probe_if_there_are_no_others) {
  Fixture f(2);
  f.FailUntilEjected(10);
  f.now += seconds(2);
  f.Choose(false);
  f.Choose(false);
  cr_assert(f.pool.in_flight(0) == 1 && f.pool.in_flight(1) == 1);
}

// Guards against not ejecting an upstream with a high failure rate, and against
// ejecting so many upstreams that the others are overloaded.
Test(upstream_pool, ejects_on_rate_and_at_most_half) {
  Fixture rate(2);
  const UpstreamNumber target = *rate.Choose();
  rate.End(target, HealthSignal::kSucceeded);
  for (int i = 0; !rate.pool.is_ejected(target) && i < 200; ++i) {
    const UpstreamNumber chosen = *rate.Choose();
    const bool fails = chosen == target && i % 4 != 0;
    rate.End(chosen, fails ? HealthSignal::kFailed : HealthSignal::kSucceeded);
    rate.now += kRunTime;
  }
  cr_assert(rate.pool.is_ejected(target));

  Fixture all(5);
  for (int i = 0; i < 4; ++i) {
    all.FailUntilEjected(40);
  }
  int ejected = 0;
  for (UpstreamNumber number = 0; number < all.pool.size(); ++number) {
    ejected += all.pool.is_ejected(number) ? 1 : 0;
  }
  cr_assert(ejected == 2);
  cr_assert(all.pool.UsableSlots(0) == 3 * 8 / 2.0);
  all.list.instances.resize(1);
  all.Apply();
  cr_assert(!all.pool.is_ejected(0), "half of one upstream is none");
}

// Guards against fast failures that look like free slots and attract more
// tasks.
Test(upstream_pool, fast_failure_counts_as_in_flight) {
  Fixture f(1);
  f.End(*f.Choose(), HealthSignal::kFailed);
  f.End(*f.Choose(), HealthSignal::kNotSent);
  cr_assert(f.ChooseAll() == 7);
  f.now = *f.pool.NextChange(f.now);
  cr_assert(f.ChooseAll() == 2);
}

// Guards against starting tasks on a leaving upstream before it is listed with
// a greater generation.
Test(upstream_pool, leaving_is_sticky_by_generation) {
  for (const bool by_answer : {false, true}) {
    Fixture f(1);
    const UpstreamNumber first = *f.Choose();
    if (by_answer) {
      f.End(first, HealthSignal::kLeaving);
    } else {
      f.list.instances[0].state = InstanceState::kLeaving;
      f.Apply();
    }
    cr_assert(f.pool.is_leaving(first) && !f.Choose());
    f.list.instances[0].state = InstanceState::kLive;
    f.Apply();
    cr_assert(!f.Choose());
    const auto instances = std::exchange(f.list.instances, {});
    f.Apply();
    f.list.instances = instances;
    f.Apply();
    cr_assert(!f.Choose() && !f.pool.IsOffered(0, {}));
    f.list.instances[0].generation = 2;
    f.Apply();
    cr_assert(f.Choose());
  }
}

// Guards against a leaving upstream that is used again because more recent ones
// have left since: of very many names, the oldest is forgotten, not the first
// in the alphabet.
Test(upstream_pool, recently_leaving_upstream_is_remembered_among_many) {
  Fixture f(1);
  const Instance template_instance = f.list.instances[0];
  constexpr int kMany = 10'050;
  for (int number = 0; number < kMany; ++number) {
    Instance instance = template_instance;
    // The last names are the first in the alphabet.
    instance.name = std::to_string(100'000 - number);
    instance.state = InstanceState::kLeaving;
    f.list.instances = {instance};
    f.Apply();
  }
  f.list.instances[0].state = InstanceState::kLive;
  f.Apply();
  f.list.instances.clear();
  f.Apply();
  Instance last = template_instance;
  last.name = std::to_string(100'000 - (kMany - 1));
  f.list.instances = {last};
  f.Apply();
  cr_assert(!f.Choose(), "the upstream has left in this generation");
}

// Guards against recording the end of an attempt for another upstream that has
// got the same number.
Test(upstream_pool, number_stays_while_attempts_are_in_flight) {
  Fixture f(1);
  const UpstreamNumber old = *f.Choose();
  f.list.instances = {Upstream("v")};
  f.Apply();
  const UpstreamNumber fresh = *f.Choose();
  cr_assert(fresh != old && f.pool.name(old) == "u0");
  f.End(old, HealthSignal::kSucceeded);
  f.list.instances.push_back(Upstream("w"));
  f.Apply();
  cr_assert(f.pool.name(old) == "w" && f.pool.size() == 2);
}

// Guards against placing tasks on upstreams without the resources they need.
Test(upstream_pool, needs_must_be_offered) {
  Fixture f(1);
  cr_assert(f.pool.IsOffered(0, {.cpus = 4}));
  cr_assert(!f.pool.IsOffered(0, {.accelerators = 1}));
  cr_assert(!f.Choose(true, {.cpus = 5}));
  cr_assert(f.Choose(true, {.cpus = 4}));
}

// Guards against an invariant check that never fails.
Test(upstream_pool, attempt_that_ends_twice_is_reported) {
  Fixture f(1);
  const UpstreamNumber upstream = *f.Choose();
  f.End(upstream, HealthSignal::kSucceeded);
  std::string reported;
  const ViolationHandler handler = [&](std::string_view invariant,
                                       std::string_view) {
    reported = invariant;
  };
  const ViolationScope scope(handler);
  f.End(upstream, HealthSignal::kSucceeded);
  cr_assert(reported == "attempt_ends_once");
}

}  // namespace
}  // namespace jaypick::internal
