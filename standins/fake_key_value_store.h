// In-process fake of the key-value port, on a clock that it is given.
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

// Faults of the service, as its client sees them.
struct StoreFaults {
  // Connections are refused: nothing is sent.
  bool down = false;
  // Time until a call takes effect and is answered.
  Duration delay{0};
  // Number of calls to come that take effect and whose answer is lost.
  std::uint32_t lose_answers = 0;
  // Number of calls to come that are lost before they take effect.
  std::uint32_t lose_requests = 0;
  // Number of calls to come that are refused.
  std::uint32_t reject = 0;
};

// Answers calls when `AdvanceTo` reaches their time.
//
// A call that is slower than the timeout ends with `kOutcomeUnknown` at the
// timeout and still takes effect later, as with a real service.
class FakeKeyValueStore : public KeyValueStore {
 public:
  explicit FakeKeyValueStore(TimePoint now);

  void Range(RangeRequest request,
             StoreCallback<RangeResult> callback) override;
  void Txn(TxnRequest request, StoreCallback<TxnResult> callback) override;
  void GrantLease(Duration time_to_live,
                  StoreCallback<LeaseResult> callback) override;

  // Moves the clock and runs all effects and callbacks that are due.
  void AdvanceTo(TimePoint now);

  // Keeps the present content for `Rollback`.
  void TakeSnapshot();

  // Restarts with the content of the last snapshot.
  void Rollback();

  StoreFaults& faults() { return faults_; }
  Store& store() { return store_; }
  TimePoint now() const { return now_; }
  // Calls made so far.
  std::size_t calls() const { return calls_; }

 private:
  template <typename Value, typename Effect>
  void Run(Effect effect, StoreCallback<Value> callback);
  void At(TimePoint time, std::function<void()> action);

  TimePoint now_;
  Store store_;
  Store snapshot_;
  StoreFaults faults_;
  std::size_t calls_ = 0;
  std::uint64_t next_order_ = 0;
  // By time, then by order of arrival.
  std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> due_;
};

}  // namespace jaypick::standin

#endif  // STANDINS_FAKE_KEY_VALUE_STORE_H_
