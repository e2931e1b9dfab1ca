#include "standins/fake_key_value_store.h"

#include <algorithm>
#include <chrono>

namespace jaypick::standin {
namespace {

// Same as the timeout of the client of the real service.
constexpr Duration kCallTimeout = std::chrono::milliseconds(800);

// Decrements `count` if it is positive; returns whether it was.
bool Consume(std::uint32_t& count) {
  if (count == 0) {
    return false;
  }
  --count;
  return true;
}

template <typename Value>
StoreResult<Value> ToResult(StoreOutcome<Value> outcome) {
  if (auto* rejection = std::get_if<Rejection>(&outcome)) {
    return StoreError{StoreErrorCode::kRejected, rejection->message};
  }
  return std::get<Value>(std::move(outcome));
}

}  // namespace

FakeKeyValueStore::FakeKeyValueStore(TimePoint now) : now_(now) {
  store_.AdvanceTo(now);
  snapshot_ = store_;
}

void FakeKeyValueStore::Schedule(TimePoint time, std::function<void()> action) {
  scheduled_.emplace(std::pair(time, next_sequence_number_++),
                     std::move(action));
}

template <typename Value, typename Effect>
void FakeKeyValueStore::Run(Effect effect, StoreCallback<Value> callback) {
  ++calls_;
  const auto fail_after = [&](Duration delay, StoreErrorCode kind,
                              const char* message) {
    Schedule(now_ + delay, [callback, error = StoreError{kind, message}] {
      callback(error);
    });
  };
  if (faults_.down) {
    return fail_after({}, StoreErrorCode::kNotSent, "connection refused");
  }
  if (Consume(faults_.reject)) {
    return fail_after(faults_.delay, StoreErrorCode::kRejected, "refused");
  }
  if (Consume(faults_.lose_requests)) {
    return fail_after(kCallTimeout, StoreErrorCode::kOutcomeUnknown, "timeout");
  }
  const bool lost = Consume(faults_.lose_answers);
  const bool late = faults_.delay >= kCallTimeout;
  const bool answered = !lost && !late;
  Schedule(now_ + faults_.delay, [effect, callback, answered] {
    StoreResult<Value> result = ToResult<Value>(effect());
    if (answered) {
      callback(std::move(result));
    }
  });
  if (!answered) {
    fail_after(kCallTimeout, StoreErrorCode::kOutcomeUnknown, "timeout");
  }
}

void FakeKeyValueStore::Range(RangeRequest request,
                              StoreCallback<RangeResult> callback) {
  Run<RangeResult>(
      [this, request = std::move(request)] { return store_.Range(request); },
      std::move(callback));
}

void FakeKeyValueStore::Txn(TxnRequest request,
                            StoreCallback<TxnResult> callback) {
  Run<TxnResult>(
      [this, request = std::move(request)] { return store_.Txn(request); },
      std::move(callback));
}

void FakeKeyValueStore::GrantLease(Duration time_to_live,
                                   StoreCallback<LeaseResult> callback) {
  Run<LeaseResult>(
      [this, time_to_live] { return store_.GrantLease(time_to_live); },
      std::move(callback));
}

void FakeKeyValueStore::AdvanceTo(TimePoint now) {
  while (!scheduled_.empty() && scheduled_.begin()->first.first <= now) {
    auto node = scheduled_.extract(scheduled_.begin());
    now_ = std::max(now_, node.key().first);
    store_.AdvanceTo(now_);
    node.mapped()();
  }
  now_ = std::max(now_, now);
  store_.AdvanceTo(now_);
}

void FakeKeyValueStore::TakeSnapshot() {
  snapshot_ = store_;
}

void FakeKeyValueStore::Rollback() {
  store_ = snapshot_;
  store_.AdvanceTo(now_);
}

}  // namespace jaypick::standin
