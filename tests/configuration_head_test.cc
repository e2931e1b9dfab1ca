// Tests of changes to the head configuration with races, lost responses and
// outages of the key-value service.
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
          // Sorted as the codec encodes them.
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

struct Fixture {
  standin::FakeKeyValueStore store{TimePoint{}};
  ConfigurationHead head{&store, {.audit_retention = 3}};
  std::optional<Configuration> in_force;

  void Advance(Duration duration) { store.AdvanceTo(store.now() + duration); }

  // Starts a change. The result is set once `Advance` has run the store.
  std::shared_ptr<std::optional<ChangeResult>> Start(ChangeRequest request) {
    auto result = std::make_shared<std::optional<ChangeResult>>();
    head.Apply(std::move(request), in_force, [result](ChangeResult value) {
      cr_assert(!result->has_value(), "callback ran twice");
      *result = std::move(value);
    });
    return result;
  }

  ChangeResult Apply(ChangeRequest request) {
    const auto result = Start(std::move(request));
    Advance(std::chrono::seconds(10));
    cr_assert(result->has_value(), "callback did not run");
    return **result;
  }

  // Applies and returns the version, or 0 if the change was not accepted.
  std::uint64_t ApplyForVersion(ChangeRequest request) {
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

  std::vector<AuditEntry> ReadAudit(std::size_t limit = 100) {
    std::optional<AuditTrail> trail;
    ListAudit(&store, limit, [&](StoreResult<AuditTrail> result) {
      trail = std::get<AuditTrail>(result);
    });
    Advance(std::chrono::seconds(1));
    cr_assert(trail && trail->findings.empty());
    return trail->entries;
  }
};

// Guards against a change without an audit entry, and against audit entries
// that are kept beyond the retention.
Test(configuration_head, accepted_changes_are_audited_and_old_entries_deleted) {
  Fixture fixture;
  for (std::uint64_t base = 0; base < 5; ++base) {
    const auto share = static_cast<std::uint32_t>(50 + base);
    cr_assert(fixture.ApplyForVersion(Request(
                  base, "op-" + std::to_string(base), share)) == base + 1);
  }
  cr_assert(fixture.Head().version() == 5);
  cr_assert(fixture.Head().content() == Content(54));
  const auto trail = fixture.ReadAudit();
  cr_assert(trail.size() == 3);
  cr_assert(trail[0].version == 5 && trail[0].operation_id == "op-4");
  cr_assert(trail[0].is_accepted && trail[0].base_version == 4);
  cr_assert(trail[0].digest == fixture.Head().header().digest);
  cr_assert(trail[0].summary.find("53 -> 54 (+1)") != std::string::npos);
  cr_assert(trail[2].version == 3);
  cr_assert(fixture.ReadAudit(2).size() == 2);
}

// Guards against accepting two concurrent changes with the same base version.
Test(configuration_head, one_of_two_racing_operators_is_refused) {
  Fixture fixture;
  cr_assert(fixture.ApplyForVersion(Request(0, "first", 50)) == 1);
  fixture.store.faults().delay = std::chrono::milliseconds(5);
  const auto ann = fixture.Start(Request(1, "ann", 60));
  const auto bob = fixture.Start(Request(1, "bob", 70));
  fixture.Advance(std::chrono::seconds(10));
  cr_assert(std::holds_alternative<ChangeAccepted>(**ann));
  const auto* stale = std::get_if<ChangeStale>(&**bob);
  cr_assert(stale != nullptr && stale->head_version == 2);
  cr_assert(stale->diff == Compare(Content(60), Content(70)));
  cr_assert(fixture.Head().content() == Content(60));
  const auto trail = fixture.ReadAudit();
  cr_assert(trail.size() == 3);
  const auto& refused = trail[trail[0].is_accepted ? 1 : 0];
  cr_assert(refused.operation_id == "bob" && refused.reason == "stale_base");
}

// Guards against a sheet that overwrites a change that its author has not seen.
Test(configuration_head, stale_base_is_refused) {
  Fixture fixture;
  cr_assert(fixture.ApplyForVersion(Request(0, "a", 50)) == 1);
  cr_assert(fixture.ApplyForVersion(Request(1, "b", 60)) == 2);
  for (const std::uint64_t base : {0, 1, 3}) {
    const auto result = fixture.Apply(Request(base, "c", 70));
    cr_assert(std::holds_alternative<ChangeStale>(result));
  }
  cr_assert(fixture.Head().content() == Content(60));
}

// Guards against a change that is reported as failed, or made twice, because
// the response to its transaction was lost.
Test(configuration_head, lost_responses_are_retried) {
  for (const bool takes_effect : {true, false}) {
    Fixture fixture;
    cr_assert(fixture.ApplyForVersion(Request(0, "a", 50)) == 1);
    const auto result = fixture.Start(Request(1, "b", 60));
    // The read is in flight, so the fault affects the transaction after it.
    auto& faults = fixture.store.faults();
    (takes_effect ? faults.lose_answers : faults.lose_requests) = 1;
    fixture.Advance(std::chrono::seconds(10));
    cr_assert(std::get<ChangeAccepted>(**result).header.version == 2);
    cr_assert(fixture.Head().version() == 2);
    cr_assert(fixture.ReadAudit().size() == 2);
  }
}

// Guards against a transaction that takes effect after its timeout and
// overwrites a change that was made later.
Test(configuration_head, late_transaction_is_accepted_once) {
  Fixture fixture;
  cr_assert(fixture.ApplyForVersion(Request(0, "a", 50)) == 1);
  const auto result = fixture.Start(Request(1, "b", 60));
  fixture.store.faults().delay = std::chrono::seconds(3);
  fixture.Advance(std::chrono::milliseconds(1000));
  fixture.store.faults().delay = Duration(0);
  fixture.Advance(std::chrono::seconds(10));
  cr_assert(std::get<ChangeAccepted>(**result).header.version == 2);
  cr_assert(fixture.Head().version() == 2);
}

// Guards against reporting success or failure while the outcome is unknown, and
// against making the change a second time when the request is retried.
Test(configuration_head, unknown_outcome_is_resolved_by_retrying) {
  Fixture fixture;
  cr_assert(fixture.ApplyForVersion(Request(0, "a", 50)) == 1);
  const auto result = fixture.Start(Request(1, "b", 60));
  fixture.store.faults().lose_answers = 3;
  fixture.Advance(std::chrono::seconds(10));
  cr_assert(std::holds_alternative<ChangeUnknown>(**result));
  cr_assert(fixture.ApplyForVersion(Request(1, "b", 60)) == 2);
  // The retry is recognized even after a later change replaced the head.
  cr_assert(fixture.ApplyForVersion(Request(2, "c", 70)) == 3);
  cr_assert(fixture.ApplyForVersion(Request(1, "b", 60)) == 2);
  cr_assert(fixture.Head().content() == Content(70));
  const auto reused = fixture.Apply(Request(3, "c", 80));
  cr_assert(std::get<OperationIdReused>(reused).version == 3);
}

// Guards against an outage that is reported as an unknown outcome although
// nothing was changed, or that blocks later changes.
Test(configuration_head, outage_changes_nothing) {
  Fixture fixture;
  cr_assert(fixture.ApplyForVersion(Request(0, "a", 50)) == 1);
  fixture.store.faults().down = true;
  const auto result = fixture.Apply(Request(1, "b", 60));
  cr_assert(std::holds_alternative<ChangeUnavailable>(result));
  // The outage begins between the read and the transaction.
  fixture.store.faults().down = false;
  const auto later = fixture.Start(Request(1, "b", 60));
  fixture.store.faults().down = true;
  fixture.Advance(std::chrono::seconds(10));
  cr_assert(std::holds_alternative<ChangeUnavailable>(**later));
  fixture.store.faults().down = false;
  cr_assert(fixture.Head().version() == 1);
  cr_assert(fixture.ApplyForVersion(Request(1, "b", 60)) == 2);
}

// Guards against one version number for two changes after the platform has
// restarted with an older head.
Test(configuration_head, older_head_does_not_reuse_versions) {
  Fixture fixture;
  cr_assert(fixture.ApplyForVersion(Request(0, "a", 50)) == 1);
  fixture.store.TakeSnapshot();
  cr_assert(fixture.ApplyForVersion(Request(1, "b", 60)) == 2);
  cr_assert(fixture.ApplyForVersion(Request(2, "c", 70)) == 3);
  fixture.in_force = fixture.Head();
  fixture.store.Rollback();
  cr_assert(fixture.Head().version() == 1);
  const auto stale = fixture.Apply(Request(1, "d", 80));
  cr_assert(std::get<ChangeStale>(stale).head_version == 3);
  cr_assert(std::get<ChangeStale>(stale).diff ==
            Compare(Content(70), Content(80)));
  // A retry of the change that is in force succeeds.
  cr_assert(fixture.ApplyForVersion(Request(2, "c", 70)) == 3);
  cr_assert(fixture.ApplyForVersion(Request(3, "d", 80)) == 4);
  cr_assert(fixture.Head().version() == 4);
}

// Guards against a preview that compares with another version without saying
// so.
Test(configuration_head, check_compares_with_the_current_version) {
  Fixture fixture;
  cr_assert(fixture.ApplyForVersion(Request(0, "a", 50)) == 1);
  for (const bool is_down : {false, true}) {
    fixture.store.faults().down = is_down;
    std::optional<ChangePreview> preview;
    fixture.head.Check(Content(60), fixture.in_force,
                       [&](ChangePreview value) { preview = value; });
    fixture.Advance(std::chrono::seconds(1));
    cr_assert(preview && preview->is_head_read == !is_down);
    cr_assert(preview->version == (is_down ? 0 : 1));
    cr_assert(
        preview->diff ==
        Compare(is_down ? ConfigurationContent() : Content(50), Content(60)));
  }
}

}  // namespace
}  // namespace jaypick
