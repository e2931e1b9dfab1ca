// In-process fake of `KeyValueStore` with a manually driven clock.
#ifndef STANDINS_FAKE_KEY_VALUE_STORE_H_
#define STANDINS_FAKE_KEY_VALUE_STORE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "jaypick/key_value_store.h"
#include "standins/store.h"

namespace jaypick::standin {

// Faults of the service, as seen by its client.
struct StoreFaults {
  // Connections are refused, so that no request is sent.
  bool down = false;
  // Time until a call takes effect and its response arrives.
  Duration delay{0};
  // Number of next calls that take effect, but whose response is lost.
  std::uint32_t lose_answers = 0;
  // Number of next calls that are lost before they take effect.
  std::uint32_t lose_requests = 0;
  // Number of next calls that are rejected.
  std::uint32_t reject = 0;
};

// Completes calls when `AdvanceTo` reaches their time.
//
// A call that takes longer than the timeout fails with `kOutcomeUnknown` at the
// timeout and still takes effect later, as with a real service.
class FakeKeyValueStore : public KeyValueStore {
 public:
  explicit FakeKeyValueStore(TimePoint now);

  void Range(RangeRequest request,
             StoreCallback<RangeResult> callback) override;
  void Txn(TxnRequest request, StoreCallback<TxnResult> callback) override;
  void GrantLease(Duration time_to_live,
                  StoreCallback<LeaseResult> callback) override;

  // Advances the clock to `now` and runs all effects and callbacks that are
  // due.
  void AdvanceTo(TimePoint now);

  // Saves the present content for `Rollback`.
  void TakeSnapshot();

  // Restores the content of the last snapshot, like a restart from a backup.
  void Rollback();

  StoreFaults& faults() { return faults_; }
  Store& store() { return store_; }
  TimePoint now() const { return now_; }
  // Number of calls so far.
  std::size_t calls() const { return calls_; }

 private:
  template <typename Value, typename Effect>
  // Schedules `effect` and `callback` according to the faults.
  void Run(Effect effect, StoreCallback<Value> callback);
  void Schedule(TimePoint time, std::function<void()> action);

  TimePoint now_;
  Store store_;
  Store snapshot_;
  StoreFaults faults_;
  std::size_t calls_ = 0;
  std::uint64_t next_sequence_number_ = 0;
  // Actions by time, then in the order in which they were scheduled.
  std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>>
      scheduled_;
};

}  // namespace jaypick::standin

#endif  // STANDINS_FAKE_KEY_VALUE_STORE_H_
