// Contract tests of the key-value store: the properties that jaypick relies on.
// Each case runs against the in-process fake and, through the etcd client,
// against the stand-in service.
#include <criterion/criterion.h>

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "http/client.h"
#include "platform_services/etcd_client.h"
#include "standins/fake_key_value_store.h"
#include "standins/kv_service.h"
#include "tests/event_loop.h"

namespace jaypick {
namespace {

using standin::Json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(5)};
constexpr const char* kLoopback = "127.0.0.1";

class Harness {
 public:
  virtual ~Harness() = default;

  virtual KeyValueStore& store() = 0;
  virtual bool RunUntil(const std::function<bool()>& condition) = 0;
  // Advances the clock by which leases expire.
  virtual void Advance(Duration duration) = 0;
  // Sets the faults to `faults`, named as on the stand-in's control port, and
  // clears all others.
  virtual void SetFaults(const Json& faults) = 0;
  virtual void Snapshot() = 0;
  virtual void Rollback() = 0;

  StoreResult<TxnResult> TryTxn(TxnRequest request) {
    std::optional<StoreResult<TxnResult>> result;
    store().Txn(std::move(request), [&](auto r) { result = std::move(r); });
    cr_assert(!result, "no callback from within the call");
    cr_assert(RunUntil([&] { return result.has_value(); }));
    return *result;
  }

  TxnResult Txn(TxnRequest request) {
    auto result = TryTxn(std::move(request));
    cr_assert(std::holds_alternative<TxnResult>(result));
    return std::get<TxnResult>(result);
  }

  StoreResult<RangeResult> TryRange(RangeRequest request) {
    std::optional<StoreResult<RangeResult>> result;
    store().Range(std::move(request), [&](auto r) { result = std::move(r); });
    cr_assert(!result, "no callback from within the call");
    cr_assert(RunUntil([&] { return result.has_value(); }));
    return *result;
  }

  RangeResult Range(RangeRequest request) {
    auto result = TryRange(std::move(request));
    cr_assert(std::holds_alternative<RangeResult>(result));
    return std::get<RangeResult>(result);
  }

  LeaseResult Grant(Duration time_to_live) {
    std::optional<StoreResult<LeaseResult>> result;
    store().GrantLease(time_to_live, [&](auto r) { result = std::move(r); });
    cr_assert(RunUntil([&] { return result.has_value(); }));
    cr_assert(std::holds_alternative<LeaseResult>(*result));
    return std::get<LeaseResult>(*result);
  }

  TxnResult Put(const std::string& key,
                const std::string& value,
                std::int64_t lease = 0) {
    return Txn({.conditions = {},
                .success = {PutRequest{key, value, lease}},
                .failure = {}});
  }

  std::vector<std::string> Keys(RangeRequest request) {
    std::vector<std::string> keys;
    for (const KeyValue& value : Range(std::move(request)).values) {
      keys.push_back(value.key);
    }
    return keys;
  }
};

class FakeHarness : public Harness {
 public:
  KeyValueStore& store() override { return fake_; }

  bool RunUntil(const std::function<bool()>& condition) override {
    for (int i = 0; i < 100'000 && !condition(); ++i) {
      fake_.AdvanceTo(fake_.now() + milliseconds(1));
    }
    return condition();
  }

  void Advance(Duration duration) override {
    fake_.AdvanceTo(fake_.now() + duration);
  }

  void SetFaults(const Json& faults) override {
    fake_.faults() = {.down = faults.value("down", false),
                      .delay = milliseconds(faults.value("delay_ms", 0)),
                      .lose_answers = faults.value("lose_answers", 0u),
                      .lose_requests = faults.value("lose_requests", 0u),
                      .reject = faults.value("reject", 0u)};
  }

  void Snapshot() override { fake_.TakeSnapshot(); }
  void Rollback() override { fake_.Rollback(); }

 private:
  standin::FakeKeyValueStore fake_{kStart};
};

class StandinHarness : public Harness {
 public:
  KeyValueStore& store() override { return etcd_; }

  bool RunUntil(const std::function<bool()>& condition) override {
    return loop_.RunUntil(condition);
  }

  void Advance(Duration duration) override { now_ += duration; }

  void SetFaults(const Json& faults) override {
    const Json none = {
        {"down", false},     {"silent", false},    {"delay_ms", 0},
        {"lose_answers", 0}, {"lose_requests", 0}, {"reject", 0},
        {"unavailable", 0},  {"garbage", 0},       {"half", 0}};
    service_.Control("/fault", none);
    service_.Control("/fault", faults);
  }

  void Snapshot() override { service_.Control("/snapshot", {}); }
  void Rollback() override { service_.Control("/rollback", {}); }

 private:
  testing::EventLoop loop_;
  TimePoint now_ = kStart;
  standin::KvService service_{loop_.base(), {.clock = [this] { return now_; }}};
  http::Client client_{loop_.base(), {}};
  platform_services::EtcdClient etcd_{
      &client_,
      {.endpoints = {{kLoopback, service_.port()}}}};
};

// Defines a test case and runs it against both stores.
#define CONTRACT_TEST(name)                        \
  void name##_case(Harness& store);                \
  Test(key_value_store_contract, name##_fake) {    \
    FakeHarness harness;                           \
    name##_case(harness);                          \
  }                                                \
  Test(key_value_store_contract, name##_standin) { \
    StandinHarness harness;                        \
    name##_case(harness);                          \
  }                                                \
  void name##_case(Harness& store)

// Guards against writes that do not increase the revision, since conditional
// writes detect a concurrent change by it.
CONTRACT_TEST(revisions_grow_with_each_write) {
  const std::int64_t empty = store.Range({.key = "a"}).revision;
  cr_assert_eq(store.Put("a", "1").revision, empty + 1);
  cr_assert_eq(store.Put("a", "2").revision, empty + 2);
  const RangeResult read = store.Range({.key = "a"});
  const KeyValue expected{.key = "a",
                          .value = "2",
                          .create_revision = empty + 1,
                          .mod_revision = empty + 2,
                          .lease = 0};
  cr_assert_eq(read.values.size(), 1u);
  cr_assert(read.values.front() == expected);
  cr_assert_eq(read.revision, empty + 2, "a read changes nothing");
}

// Guards against keys and values that are corrupted by JSON or base64 encoding.
CONTRACT_TEST(keys_and_values_are_binary) {
  const std::string key("k\0\xff\n/", 5);
  std::string value;
  for (int byte = 0; byte < 256; ++byte) {
    value += static_cast<char>(byte);
  }
  store.Put(key, value);
  const RangeResult read = store.Range({.key = key});
  cr_assert_eq(read.values.size(), 1u);
  cr_assert(read.values.front().key == key);
  cr_assert(read.values.front().value == value);
}

// Guards against two concurrent writers that both succeed in changing the head.
CONTRACT_TEST(transaction_compares_mod_revision) {
  const std::int64_t first = store.Put("head", "1").revision;
  const TxnRequest change{
      .conditions = {ModRevisionIs{"head", first}},
      .success = {PutRequest{"head", "2"}, PutRequest{"audit", "2"}},
      .failure = {RangeRequest{.key = "head"}}};
  const TxnResult won = store.Txn(change);
  cr_assert(won.succeeded);
  cr_assert_eq(won.results.size(), 2u);
  const TxnResult lost = store.Txn(change);
  cr_assert(!lost.succeeded);
  cr_assert_eq(lost.revision, won.revision,
               "a failed transaction writes nothing");
  const auto& seen = std::get<RangeResult>(lost.results.at(0));
  cr_assert(seen.values.at(0).value == "2");
  cr_assert_eq(seen.values.at(0).mod_revision, won.revision);
  const auto audit = store.Range({.key = "audit"}).values.at(0);
  cr_assert_eq(audit.mod_revision, won.revision,
               "both keys share one revision");
}

// Guards against two clients that both succeed in creating the same key.
CONTRACT_TEST(transaction_creates_key_only_once) {
  const TxnRequest create{.conditions = {CreateRevisionIs{"key", 0}},
                          .success = {PutRequest{"key", "first"}},
                          .failure = {RangeRequest{.key = "key"}}};
  cr_assert(store.Txn(create).succeeded);
  cr_assert(!store.Txn(create).succeeded);
  const TxnRequest absent{
      .conditions = {ModRevisionIs{"other", 0}}, .success = {}, .failure = {}};
  cr_assert(store.Txn(absent).succeeded, "an absent key has revision 0");
}

// Guards against a key that keeps its old create revision after it was deleted
// and written again.
CONTRACT_TEST(recreated_key_has_new_create_revision) {
  store.Put("a", "1");
  const TxnRequest remove{.conditions = {},
                          .success = {DeleteRequest{"a"}, DeleteRequest{"b"}},
                          .failure = {}};
  const TxnResult removed = store.Txn(remove);
  cr_assert_eq(std::get<DeleteResult>(removed.results.at(0)).deleted, 1);
  cr_assert_eq(std::get<DeleteResult>(removed.results.at(1)).deleted, 0);
  cr_assert(store.Range({.key = "a"}).values.empty());
  cr_assert_eq(store.Txn(remove).revision, removed.revision,
               "deleting nothing is no write");
  const std::int64_t again = store.Put("a", "2").revision;
  cr_assert_eq(store.Range({.key = "a"}).values.at(0).create_revision, again);
}

// Guards against range reads with wrong or missing entries, which would show in
// the audit listing.
CONTRACT_TEST(range_reads_an_interval) {
  for (const char* key : {"p/1", "p/2", "p/3", "q/1"}) {
    store.Put(key, "x");
  }
  const std::vector<std::string> all = {"p/1", "p/2", "p/3"};
  const std::vector<std::string> newest = {"p/3", "p/2"};
  cr_assert(store.Keys({.key = "p/", .range_end = "p0"}) == all);
  const RangeRequest request{.key = "p/",
                             .range_end = "p0",
                             .limit = 2,
                             .keys_only = true,
                             .descending = true};
  cr_assert(store.Keys(request) == newest);
  const RangeResult cut = store.Range(request);
  cr_assert(cut.more);
  cr_assert(cut.values.at(0).value.empty());
  cr_assert(store.Range({.key = "none"}).values.empty());
}

// Guards against keys that outlive their lease, and against a lease expiry that
// deletes keys without that lease.
CONTRACT_TEST(lease_expiry_deletes_its_keys) {
  const LeaseResult lease = store.Grant(milliseconds(1500));
  cr_assert_eq(lease.time_to_live.count(), Duration(seconds(2)).count());
  store.Put("leased", "x", lease.lease);
  store.Put("kept", "x");
  cr_assert_eq(store.Range({.key = "leased"}).values.at(0).lease, lease.lease);
  store.Advance(milliseconds(1900));
  cr_assert_eq(store.Range({.key = "leased"}).values.size(), 1u);
  store.Advance(milliseconds(200));
  cr_assert(store.Range({.key = "leased"}).values.empty());
  cr_assert_eq(store.Range({.key = "kept"}).values.size(), 1u);
}

// Guards against a put with an expired lease that leaves a key which never
// expires.
CONTRACT_TEST(put_on_unknown_lease_is_rejected) {
  const LeaseResult lease = store.Grant(seconds(1));
  store.Advance(seconds(2));
  const auto result =
      store.TryTxn({.conditions = {},
                    .success = {PutRequest{"a", "x", lease.lease}},
                    .failure = {}});
  const auto& error = std::get<StoreError>(result);
  cr_assert(error.kind == StoreErrorCode::kRejected);
  cr_assert(error.message.find("lease not found") != std::string::npos);
  cr_assert(store.Range({.key = "a"}).values.empty());
}

// Guards against rejected transactions that take effect in part.
CONTRACT_TEST(invalid_transactions_are_rejected) {
  const std::string large(standin::Store::kValueLimitBytes + 1, 'x');
  const std::vector<std::vector<StoreOperation>> cases = {
      {PutRequest{"a", "1"}, PutRequest{"a", "2"}},
      {PutRequest{"a", "1"}, PutRequest{"", "2"}},
      {PutRequest{"a", large}},
      std::vector<StoreOperation>(129, RangeRequest{.key = "a"}),
  };
  for (const auto& operations : cases) {
    const auto result =
        store.TryTxn({.conditions = {}, .success = operations, .failure = {}});
    cr_assert(std::holds_alternative<StoreError>(result));
    cr_assert(std::get<StoreError>(result).kind == StoreErrorCode::kRejected);
  }
  cr_assert(store.Range({.key = "a"}).values.empty());
}

// Guards against the assumption that values and revisions never go back: a
// store that was restored from an old backup returns older ones.
CONTRACT_TEST(rollback_returns_to_older_values) {
  const std::int64_t first = store.Put("head", "1").revision;
  store.Snapshot();
  store.Put("head", "2");
  store.Rollback();
  const RangeResult read = store.Range({.key = "head"});
  cr_assert(read.values.at(0).value == "1");
  cr_assert_eq(read.revision, first);
}

struct FaultCase {
  const char* name;
  Json faults;
  StoreErrorCode kind;
  bool takes_effect;
};

// Runs a transaction under each fault, checks the error code, and then checks
// whether the transaction took effect.
void CheckFaults(Harness& store, const std::vector<FaultCase>& cases) {
  for (const FaultCase& c : cases) {
    store.SetFaults(c.faults);
    const auto result = store.TryTxn({.conditions = {},
                                      .success = {PutRequest{c.name, "x"}},
                                      .failure = {}});
    cr_assert(std::holds_alternative<StoreError>(result), "%s", c.name);
    const auto& error = std::get<StoreError>(result);
    cr_assert(error.kind == c.kind, "%s: %s", c.name, error.message.c_str());
    store.SetFaults(Json::object());
    const auto read = [&] {
      return !store.Range({.key = c.name}).values.empty();
    };
    // The effect may be late, so wait for it if it is expected.
    cr_assert(!c.takes_effect || store.RunUntil(read), "%s", c.name);
    cr_assert_eq(read(), c.takes_effect, "%s", c.name);
  }
}

// Guards against an error code that claims more than the client knows: a write
// that may have taken effect must never be reported as one that has not.
CONTRACT_TEST(faults_have_exact_error_codes) {
  CheckFaults(
      store,
      {{"down", {{"down", true}}, StoreErrorCode::kNotSent, false},
       {"refused", {{"reject", 1}}, StoreErrorCode::kRejected, false},
       {"request lost",
        {{"lose_requests", 1}},
        StoreErrorCode::kOutcomeUnknown,
        false},
       {"answer lost",
        {{"lose_answers", 1}},
        StoreErrorCode::kOutcomeUnknown,
        true},
       {"slow", {{"delay_ms", 1200}}, StoreErrorCode::kOutcomeUnknown, true}});
}

// As above, for faults that only the stand-in service can inject.
Test(key_value_store_contract, wire_faults_have_exact_error_codes) {
  StandinHarness store;
  CheckFaults(
      store,
      {{"silent", {{"silent", true}}, StoreErrorCode::kOutcomeUnknown, false},
       {"unavailable",
        {{"unavailable", 1}},
        StoreErrorCode::kOutcomeUnknown,
        true},
       {"garbage", {{"garbage", 1}}, StoreErrorCode::kOutcomeUnknown, true},
       {"half an answer",
        {{"half", 1}},
        StoreErrorCode::kOutcomeUnknown,
        true}});
}

// Guards against a client that fails although another endpoint works, and
// against one that retries a write of unknown outcome at another endpoint.
Test(key_value_store_contract, client_tries_other_endpoints) {
  testing::EventLoop loop;
  standin::KvService service(loop.base(), {});
  http::Client client(loop.base(), {});
  platform_services::EtcdClient etcd(
      &client, {.endpoints = {{kLoopback, testing::UnusedPort()},
                              {kLoopback, service.port()}}});
  const auto put = [&] {
    std::optional<StoreResult<TxnResult>> result;
    etcd.Txn(
        {.conditions = {}, .success = {PutRequest{"a", "x"}}, .failure = {}},
        [&](auto r) { result = std::move(r); });
    cr_assert(loop.RunUntil([&] { return result.has_value(); }));
    return *result;
  };
  cr_assert(std::holds_alternative<TxnResult>(put()));
  service.Control("/fault", {{"lose_answers", 1}});
  const auto lost = put();
  cr_assert(std::get<StoreError>(lost).kind == StoreErrorCode::kOutcomeUnknown);
  cr_assert_eq(service.Control("/stats", {})->at("calls"), 2);
  cr_assert(std::holds_alternative<TxnResult>(put()));
}

}  // namespace
}  // namespace jaypick
