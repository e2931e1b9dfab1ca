// Tests that a submission key has only one holder, whatever messages are lost.
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
constexpr Duration kSettleTime = seconds(10);

JobId Id(std::uint64_t counter) {
  return {.entry = "e1", .incarnation = {7}, .counter = counter};
}

std::string Describe(const std::optional<KeyClaimResult>& result) {
  if (!result) {
    return "none";
  }
  if (const auto* already_claimed = std::get_if<KeyAlreadyClaimed>(&*result)) {
    return "held by " + std::to_string(already_claimed->holder.counter);
  }
  return std::holds_alternative<KeyClaimed>(*result) ? "claimed" : "failed";
}

struct Rig {
  explicit Rig(KeyClaimOptions options = {}) : claims(&store, options) {}

  // Claims key "k" for `counter` and returns how the claim was settled.
  std::string Claim(std::uint64_t counter, const char* key = "k") {
    std::optional<KeyClaimResult> result;
    const auto wait =
        claims.Claim(store.now(), "owner", {key}, Id(counter),
                     [&](KeyClaimResult settled) { result = settled; });
    if (wait) {
      return "rate limited";
    }
    store.AdvanceTo(store.now() + kSettleTime);
    return Describe(result);
  }

  bool Exists(const char* key) {
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
  // Result for a second submission with the key after the fault.
  const char* second;
};

// Guards against two holders of one key, and against a claim that is reported
// as successful although another submission can still claim the key.
Test(key_claims, one_holder_under_store_faults) {
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
    Rig rig;
    // Creates the lease first, so that the faults affect the claim itself.
    cr_assert(rig.Claim(99, "other") == "claimed");
    rig.store.faults() = c.faults;
    const std::string first = rig.Claim(1);
    cr_assert(first == c.first, "%s: %s", c.name, first.c_str());
    rig.store.faults() = {};
    const std::string second = rig.Claim(2);
    cr_assert(second == c.second, "%s: %s", c.name, second.c_str());
    cr_assert_eq(rig.claims.pending(), 0u, "%s", c.name);
  }
}

// Guards against a claim that waits forever for a lease.
Test(key_claims, fails_if_no_lease_is_granted) {
  Rig rig;
  rig.store.faults().lose_answers = 1;
  cr_assert(rig.Claim(1) == "failed");
  cr_assert_eq(rig.store.calls(), 1u);
  cr_assert(rig.Claim(2) == "claimed");
}

// Guards against a separate lease for each claim.
Test(key_claims, share_one_lease) {
  Rig rig;
  for (std::uint64_t i = 0; i < 10; ++i) {
    const std::string key = "k" + std::to_string(i);
    cr_assert(rig.Claim(i, key.c_str()) == "claimed");
  }
  cr_assert_eq(rig.store.calls(), 11u);
}

// Guards against a key that expires before the end of its window because it was
// claimed late in the life of the lease, and against keys that never expire.
Test(key_claims, keep_each_key_for_its_window) {
  Rig rig;
  cr_assert(rig.Claim(1, "first") == "claimed");
  rig.store.AdvanceTo(kStart + minutes(9));
  cr_assert(rig.Claim(2, "late") == "claimed");
  rig.store.AdvanceTo(kStart + minutes(11));
  cr_assert(rig.Claim(3, "next") == "claimed");
  cr_assert_eq(rig.store.calls(), 5u, "a second lease for the third claim");
  rig.store.AdvanceTo(kStart + minutes(69));
  cr_assert(rig.Exists("late"));
  rig.store.AdvanceTo(kStart + minutes(71));
  cr_assert(!rig.Exists("first"));
  cr_assert(rig.Exists("next"));
  rig.store.AdvanceTo(kStart + minutes(82));
  cr_assert(!rig.Exists("next"));
}

// Guards against an entry that cannot claim keys until its lease expires, after
// the key-value service was restored to a state without the lease.
Test(key_claims, replace_a_lease_that_does_not_exist) {
  Rig rig;
  rig.store.TakeSnapshot();
  cr_assert(rig.Claim(1) == "claimed");
  rig.store.Rollback();
  cr_assert(rig.Claim(2, "other") == "claimed");
  cr_assert(rig.Exists("other"));
}

// Guards against a process that uses an expired lease for a claim after a pause
// that was longer than the lease.
Test(key_claims, replace_a_lease_that_expired_during_a_pause) {
  Rig rig({.key_window = seconds(60), .lease_sharing_period = seconds(10)});
  cr_assert(rig.Claim(1) == "claimed");
  const TimePoint paused_at = rig.store.now();
  rig.store.AdvanceTo(paused_at + minutes(10));
  std::optional<KeyClaimResult> result;
  // The process continues with the time that it had read before the pause.
  rig.claims.Claim(paused_at - seconds(5), "owner", {"k"}, Id(2),
                   [&](KeyClaimResult settled) { result = settled; });
  rig.store.AdvanceTo(rig.store.now() + kSettleTime);
  cr_assert(Describe(result) == "claimed");
  cr_assert(rig.Exists("k"));
}

// Guards against a burst of submissions with keys that uses up the write
// capacity of the key-value service.
Test(key_claims, limit_their_rate) {
  Rig rig({.claims_per_second = 2, .burst = 3});
  std::uint32_t settled = 0;
  const auto claim = [&](std::uint64_t counter) {
    return rig.claims.Claim(rig.store.now(), "owner", {std::to_string(counter)},
                            Id(counter),
                            [&](const KeyClaimResult&) { ++settled; });
  };
  for (std::uint64_t i = 0; i < 3; ++i) {
    cr_assert(!claim(i));
  }
  const auto wait = claim(3);
  cr_assert(wait.has_value());
  cr_assert_eq(wait->count(), Duration(std::chrono::milliseconds(500)).count());
  rig.store.AdvanceTo(rig.store.now() + *wait);
  cr_assert(!claim(4));
  cr_assert(claim(5).has_value());
  rig.store.AdvanceTo(rig.store.now() + kSettleTime);
  cr_assert_eq(settled, 4u, "a refused claim must not be settled as well");
}

// Guards against collisions of two owners whose names and keys have the same
// concatenation.
Test(key_claims, keep_owners_apart) {
  cr_assert(ClaimKeyName("a", {"b/c"}) != ClaimKeyName("a/b", {"c"}));
  cr_assert(ClaimKeyName("a", {"c"}) != ClaimKeyName("b", {"c"}));
}

// Guards against callbacks into a plug-in that has been destroyed.
Test(key_claims, no_callback_after_destruction) {
  FakeKeyValueStore store{kStart};
  std::optional<KeyClaims> claims;
  claims.emplace(&store, KeyClaimOptions{});
  bool called = false;
  claims->Claim(kStart, "owner", {"k"}, Id(1),
                [&](const KeyClaimResult&) { called = true; });
  claims.reset();
  store.AdvanceTo(kStart + kSettleTime);
  cr_assert(!called);
}

}  // namespace
}  // namespace jaypick::platform_services
