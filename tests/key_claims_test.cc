// Claims of submission keys: one holder per key, whatever is lost on the way.
#include <criterion/criterion.h>

#include <chrono>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "platform_services/key_claims.h"
#include "standins/fake_key_value_store.h"

namespace jaypick::platform_services {
namespace {

using standin::FakeKeyValueStore;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(5)};
// Longer than all attempts of one claim together.
constexpr Duration kSettled = seconds(10);

JobId Id(std::uint64_t counter) {
  return {.entry = "e1", .incarnation = {7}, .counter = counter};
}

std::string Describe(const std::optional<KeyClaimResult>& result) {
  if (!result) {
    return "none";
  }
  if (const auto* held = std::get_if<KeyAlreadyClaimed>(&*result)) {
    return "held by " + std::to_string(held->holder.counter);
  }
  return std::holds_alternative<KeyClaimed>(*result) ? "claimed" : "failed";
}

struct Bench {
  explicit Bench(KeyClaimOptions options = {}) : claims(&store, options) {}

  // Claims key "k" for `counter` and returns how the claim was settled.
  std::string Claim(std::uint64_t counter, const char* key = "k") {
    std::optional<KeyClaimResult> result;
    const auto wait =
        claims.Claim(store.now(), "owner", {key}, Id(counter),
                     [&](KeyClaimResult settled) { result = settled; });
    if (wait) {
      return "come back";
    }
    store.AdvanceTo(store.now() + kSettled);
    return Describe(result);
  }

  bool IsKept(const char* key) {
    const auto range = std::get<RangeResult>(
        store.store().Range({.key = ClaimKeyName("owner", {key})}));
    return !range.values.empty();
  }

  FakeKeyValueStore store{kStart};
  KeyClaims claims;
};

struct FaultCase {
  const char* name;
  standin::StoreFaults faults;
  const char* first;
  // What a second submission with the key sees once the fault is over.
  const char* second;
};

// Guards against two holders of one key, and against a claim that is reported
// as made although another submission could still take the key.
Test(key_claims, table_of_faults) {
  const std::vector<FaultCase> cases = {
      {"no fault", {}, "claimed", "held by 1"},
      {"down", {.down = true}, "failed", "claimed"},
      {"refused", {.reject = 1}, "failed", "claimed"},
      {"lost before the effect", {.lose_requests = 1}, "claimed", "held by 1"},
      {"answer lost", {.lose_answers = 1}, "claimed", "held by 1"},
      {"two answers lost", {.lose_answers = 2}, "claimed", "held by 1"},
      {"all answers lost", {.lose_answers = 3}, "failed", "held by 1"},
      {"slow",
       {.delay = std::chrono::milliseconds(700)},
       "claimed",
       "held by 1"},
      {"slower than the timeout",
       {.delay = std::chrono::milliseconds(900)},
       "failed",
       "held by 1"},
  };
  for (const FaultCase& c : cases) {
    Bench bench;
    // The lease exists already, so that the faults hit the claim itself.
    cr_assert(bench.Claim(99, "other") == "claimed");
    bench.store.faults() = c.faults;
    const std::string first = bench.Claim(1);
    cr_assert(first == c.first, "%s: %s", c.name, first.c_str());
    bench.store.faults() = {};
    const std::string second = bench.Claim(2);
    cr_assert(second == c.second, "%s: %s", c.name, second.c_str());
    cr_assert_eq(bench.claims.pending(), 0u, "%s", c.name);
  }
}

// Guards against a claim that waits forever for a lease.
Test(key_claims, fails_if_no_lease_is_granted) {
  Bench bench;
  bench.store.faults().lose_answers = 1;
  cr_assert(bench.Claim(1) == "failed");
  cr_assert_eq(bench.store.calls(), 1u);
  cr_assert(bench.Claim(2) == "claimed");
}

// Guards against one write of a lease per claim.
Test(key_claims, share_one_lease) {
  Bench bench;
  for (std::uint64_t i = 0; i < 10; ++i) {
    const std::string key = "k" + std::to_string(i);
    cr_assert(bench.Claim(i, key.c_str()) == "claimed");
  }
  cr_assert_eq(bench.store.calls(), 11u);
}

// Guards against a key that is dropped before its window because the lease was
// old when the key was claimed, and against keys that are kept forever.
Test(key_claims, keep_each_key_for_its_window) {
  Bench bench;
  cr_assert(bench.Claim(1, "first") == "claimed");
  bench.store.AdvanceTo(kStart + minutes(9));
  cr_assert(bench.Claim(2, "late") == "claimed");
  bench.store.AdvanceTo(kStart + minutes(11));
  cr_assert(bench.Claim(3, "next") == "claimed");
  cr_assert_eq(bench.store.calls(), 5u, "a second lease for the third claim");
  bench.store.AdvanceTo(kStart + minutes(69));
  cr_assert(bench.IsKept("late"));
  bench.store.AdvanceTo(kStart + minutes(71));
  cr_assert(!bench.IsKept("first"));
  cr_assert(bench.IsKept("next"));
  bench.store.AdvanceTo(kStart + minutes(82));
  cr_assert(!bench.IsKept("next"));
}

// Guards against an entry that can claim nothing for the rest of its lease
// after the platform restarted without it.
Test(key_claims, replace_a_lease_that_vanished) {
  Bench bench;
  bench.store.TakeSnapshot();
  cr_assert(bench.Claim(1) == "claimed");
  bench.store.Rollback();
  cr_assert(bench.Claim(2, "other") == "claimed");
  cr_assert(bench.IsKept("other"));
}

// Guards against a process that was paused past its lease and attaches a key
// to a lease that no longer exists.
Test(key_claims, replace_a_lease_that_expired_during_a_pause) {
  Bench bench({.key_window = seconds(60), .lease_sharing_period = seconds(10)});
  cr_assert(bench.Claim(1) == "claimed");
  const TimePoint paused_at = bench.store.now();
  bench.store.AdvanceTo(paused_at + minutes(10));
  std::optional<KeyClaimResult> result;
  // The process resumes with the time it had read before the pause.
  bench.claims.Claim(paused_at - seconds(5), "owner", {"k"}, Id(2),
                     [&](KeyClaimResult settled) { result = settled; });
  bench.store.AdvanceTo(bench.store.now() + kSettled);
  cr_assert(Describe(result) == "claimed");
  cr_assert(bench.IsKept("k"));
}

// Guards against a burst of keyed submissions that takes the platform's writes
// from everybody else.
Test(key_claims, limit_their_rate) {
  Bench bench({.claims_per_second = 2, .burst = 3});
  std::uint32_t settled = 0;
  const auto claim = [&](std::uint64_t counter) {
    return bench.claims.Claim(bench.store.now(), "owner",
                              {std::to_string(counter)}, Id(counter),
                              [&](const KeyClaimResult&) { ++settled; });
  };
  for (std::uint64_t i = 0; i < 3; ++i) {
    cr_assert(!claim(i));
  }
  const auto wait = claim(3);
  cr_assert(wait.has_value());
  cr_assert_eq(wait->count(), Duration(std::chrono::milliseconds(500)).count());
  bench.store.AdvanceTo(bench.store.now() + *wait);
  cr_assert(!claim(4));
  cr_assert(claim(5).has_value());
  bench.store.AdvanceTo(bench.store.now() + kSettled);
  cr_assert_eq(settled, 4u, "a refused claim must not be settled as well");
}

// Guards against two owners whose names and keys join to the same text.
Test(key_claims, keep_owners_apart) {
  cr_assert(ClaimKeyName("a", {"b/c"}) != ClaimKeyName("a/b", {"c"}));
  cr_assert(ClaimKeyName("a", {"c"}) != ClaimKeyName("b", {"c"}));
}

// Guards against callbacks into a plug-in that has been destroyed.
Test(key_claims, stay_silent_after_destruction) {
  FakeKeyValueStore store{kStart};
  std::optional<KeyClaims> claims;
  claims.emplace(&store, KeyClaimOptions{});
  bool called = false;
  claims->Claim(kStart, "owner", {"k"}, Id(1),
                [&](const KeyClaimResult&) { called = true; });
  claims.reset();
  store.AdvanceTo(kStart + kSettled);
  cr_assert(!called);
}

}  // namespace
}  // namespace jaypick::platform_services
