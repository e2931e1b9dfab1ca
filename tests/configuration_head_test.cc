// Changes of the head configuration under races, lost answers and outages.
#include <criterion/criterion.h>

#include <memory>

#include "jaypick/audit.h"
#include "jaypick/configuration_codec.h"
#include "jaypick/configuration_head.h"
#include "standins/fake_key_value_store.h"

namespace jaypick {
namespace {

ConfigurationContent Content(std::uint32_t percent) {
  return {.services = {{"fitting"}},
          .kinds = {{.service = "fitting", .name = "match-wig"}},
          // In the order that the codec writes.
          .shares = {{"fitting", "antwerp-bank", 100 - percent},
                     {"fitting", "ghent-bank", percent}}};
}

ChangeRequest Request(std::uint64_t base, std::string id, std::uint32_t share) {
  return {.content = Content(share),
          .base_version = base,
          .author = "ann",
          .operation_id = std::move(id),
          .created_unix_ms = static_cast<std::int64_t>(1000 + base)};
}

struct Bench {
  standin::FakeKeyValueStore store{TimePoint{}};
  ConfigurationHead head{&store, {.audit_retention = 3}};
  std::optional<Configuration> in_force;

  void Advance(Duration duration) { store.AdvanceTo(store.now() + duration); }

  // Starts a change; the result appears when time has passed.
  std::shared_ptr<std::optional<ChangeResult>> Start(ChangeRequest request) {
    auto result = std::make_shared<std::optional<ChangeResult>>();
    head.Apply(std::move(request), in_force, [result](ChangeResult value) {
      cr_assert(!result->has_value(), "answered twice");
      *result = std::move(value);
    });
    return result;
  }

  ChangeResult Apply(ChangeRequest request) {
    const auto result = Start(std::move(request));
    Advance(std::chrono::seconds(10));
    cr_assert(result->has_value(), "not answered");
    return **result;
  }

  // Applies and returns the version, or 0 if the change was not accepted.
  std::uint64_t Version(ChangeRequest request) {
    const auto result = Apply(std::move(request));
    const auto* accepted = std::get_if<ChangeAccepted>(&result);
    return accepted == nullptr ? 0 : accepted->header.version;
  }

  Configuration Head() {
    std::optional<Configuration> found;
    store.Range({.key = std::string(kHeadKey)},
                [&](StoreResult<RangeResult> result) {
                  const auto& range = std::get<RangeResult>(result);
                  if (!range.values.empty()) {
                    found = std::get<Configuration>(
                        DecodeConfiguration(range.values[0].value));
                  }
                });
    Advance(std::chrono::seconds(1));
    return found.value_or(Configuration());
  }

  std::vector<AuditEntry> Trail(std::size_t limit = 100) {
    std::optional<AuditTrail> trail;
    ListAudit(&store, limit, [&](StoreResult<AuditTrail> result) {
      trail = std::get<AuditTrail>(result);
    });
    Advance(std::chrono::seconds(1));
    cr_assert(trail && trail->findings.empty());
    return trail->entries;
  }
};

// Guards against a change without its audit entry, and against entries kept
// beyond the retention.
Test(configuration_head, accepted_changes_are_audited_and_retired) {
  Bench bench;
  for (std::uint64_t base = 0; base < 5; ++base) {
    const auto share = static_cast<std::uint32_t>(50 + base);
    cr_assert(bench.Version(Request(base, "op-" + std::to_string(base),
                                    share)) == base + 1);
  }
  cr_assert(bench.Head().version() == 5);
  cr_assert(bench.Head().content() == Content(54));
  const auto trail = bench.Trail();
  cr_assert(trail.size() == 3);
  cr_assert(trail[0].version == 5 && trail[0].operation_id == "op-4");
  cr_assert(trail[0].is_accepted && trail[0].base_version == 4);
  cr_assert(trail[0].digest == bench.Head().header().digest);
  cr_assert(trail[0].summary.find("53 -> 54 (+1)") != std::string::npos);
  cr_assert(trail[2].version == 3);
  cr_assert(bench.Trail(2).size() == 2);
}

// Guards against two operators who both believe that their sheet is in force.
Test(configuration_head, one_of_two_racing_operators_is_refused) {
  Bench bench;
  cr_assert(bench.Version(Request(0, "first", 50)) == 1);
  bench.store.faults().delay = std::chrono::milliseconds(5);
  const auto ann = bench.Start(Request(1, "ann", 60));
  const auto bob = bench.Start(Request(1, "bob", 70));
  bench.Advance(std::chrono::seconds(10));
  cr_assert(std::holds_alternative<ChangeAccepted>(**ann));
  const auto* stale = std::get_if<ChangeStale>(&**bob);
  cr_assert(stale != nullptr && stale->head_version == 2);
  cr_assert(stale->diff == Compare(Content(60), Content(70)));
  cr_assert(bench.Head().content() == Content(60));
  const auto trail = bench.Trail();
  cr_assert(trail.size() == 3);
  const auto& refused = trail[trail[0].is_accepted ? 1 : 0];
  cr_assert(refused.operation_id == "bob" && refused.reason == "stale_base");
}

// Guards against a sheet that overwrites a change its author has not seen.
Test(configuration_head, stale_base_is_refused) {
  Bench bench;
  cr_assert(bench.Version(Request(0, "a", 50)) == 1);
  cr_assert(bench.Version(Request(1, "b", 60)) == 2);
  for (const std::uint64_t base : {0, 1, 3}) {
    const auto result = bench.Apply(Request(base, "c", 70));
    cr_assert(std::holds_alternative<ChangeStale>(result));
  }
  cr_assert(bench.Head().content() == Content(60));
}

// Guards against a change that is reported as failed or made twice when the
// answer to its transaction is lost.
Test(configuration_head, lost_answers_are_settled) {
  for (const bool takes_effect : {true, false}) {
    Bench bench;
    cr_assert(bench.Version(Request(0, "a", 50)) == 1);
    const auto result = bench.Start(Request(1, "b", 60));
    // The read is under way; the transaction follows it.
    auto& faults = bench.store.faults();
    (takes_effect ? faults.lose_answers : faults.lose_requests) = 1;
    bench.Advance(std::chrono::seconds(10));
    cr_assert(std::get<ChangeAccepted>(**result).header.version == 2);
    cr_assert(bench.Head().version() == 2);
    cr_assert(bench.Trail().size() == 2);
  }
}

// Guards against a late transaction that undoes a change made after it.
Test(configuration_head, late_effect_is_settled) {
  Bench bench;
  cr_assert(bench.Version(Request(0, "a", 50)) == 1);
  const auto result = bench.Start(Request(1, "b", 60));
  bench.store.faults().delay = std::chrono::seconds(3);
  bench.Advance(std::chrono::milliseconds(1000));
  bench.store.faults().delay = Duration(0);
  bench.Advance(std::chrono::seconds(10));
  cr_assert(std::get<ChangeAccepted>(**result).header.version == 2);
  cr_assert(bench.Head().version() == 2);
}

// Guards against a definite answer where there is none, and against a repeated
// request that makes the change a second time.
Test(configuration_head, unknown_outcome_is_settled_by_repeating) {
  Bench bench;
  cr_assert(bench.Version(Request(0, "a", 50)) == 1);
  const auto result = bench.Start(Request(1, "b", 60));
  bench.store.faults().lose_answers = 3;
  bench.Advance(std::chrono::seconds(10));
  cr_assert(std::holds_alternative<ChangeUnknown>(**result));
  cr_assert(bench.Version(Request(1, "b", 60)) == 2);
  // Also after the head has moved on.
  cr_assert(bench.Version(Request(2, "c", 70)) == 3);
  cr_assert(bench.Version(Request(1, "b", 60)) == 2);
  cr_assert(bench.Head().content() == Content(70));
  const auto reused = bench.Apply(Request(3, "c", 80));
  cr_assert(std::get<OperationIdReused>(reused).version == 3);
}

// Guards against a claim that an outage changed something, or blocks later
// changes.
Test(configuration_head, outage_changes_nothing) {
  Bench bench;
  cr_assert(bench.Version(Request(0, "a", 50)) == 1);
  bench.store.faults().down = true;
  const auto result = bench.Apply(Request(1, "b", 60));
  cr_assert(std::holds_alternative<ChangeUnavailable>(result));
  // The outage begins between the read and the transaction.
  bench.store.faults().down = false;
  const auto later = bench.Start(Request(1, "b", 60));
  bench.store.faults().down = true;
  bench.Advance(std::chrono::seconds(10));
  cr_assert(std::holds_alternative<ChangeUnavailable>(**later));
  bench.store.faults().down = false;
  cr_assert(bench.Head().version() == 1);
  cr_assert(bench.Version(Request(1, "b", 60)) == 2);
}

// Guards against a version that names two changes after the platform restarted
// with an older head.
Test(configuration_head, older_head_does_not_reuse_versions) {
  Bench bench;
  cr_assert(bench.Version(Request(0, "a", 50)) == 1);
  bench.store.TakeSnapshot();
  cr_assert(bench.Version(Request(1, "b", 60)) == 2);
  cr_assert(bench.Version(Request(2, "c", 70)) == 3);
  bench.in_force = bench.Head();
  bench.store.Rollback();
  cr_assert(bench.Head().version() == 1);
  const auto stale = bench.Apply(Request(1, "d", 80));
  cr_assert(std::get<ChangeStale>(stale).head_version == 3);
  cr_assert(std::get<ChangeStale>(stale).diff ==
            Compare(Content(70), Content(80)));
  // The operator repeats a change that is in force.
  cr_assert(bench.Version(Request(2, "c", 70)) == 3);
  cr_assert(bench.Version(Request(3, "d", 80)) == 4);
  cr_assert(bench.Head().version() == 4);
}

// Guards against a preview that is silently against another version.
Test(configuration_head, check_compares_with_the_present_version) {
  Bench bench;
  cr_assert(bench.Version(Request(0, "a", 50)) == 1);
  for (const bool is_down : {false, true}) {
    bench.store.faults().down = is_down;
    std::optional<ChangePreview> preview;
    bench.head.Check(Content(60), bench.in_force,
                     [&](ChangePreview value) { preview = value; });
    bench.Advance(std::chrono::seconds(1));
    cr_assert(preview && preview->is_head_read == !is_down);
    cr_assert(preview->version == (is_down ? 0 : 1));
    cr_assert(
        preview->diff ==
        Compare(is_down ? ConfigurationContent() : Content(50), Content(60)));
  }
}

}  // namespace
}  // namespace jaypick
