// The logic of a small key-value service with etcd's revision rules.
#ifndef STANDINS_STORE_H_
#define STANDINS_STORE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "jaypick/key_value_store.h"
#include "jaypick/time.h"

namespace jaypick::standin {

// A call that the store refused; it had no effect. `code` is gRPC's.
struct Rejection {
  int code = 0;
  std::string message;
};

inline constexpr int kInvalidArgument = 3;
inline constexpr int kNotFound = 5;
inline constexpr int kUnavailable = 14;

template <typename Value>
using StoreOutcome = std::variant<Value, Rejection>;

// Current values with their revisions, and leases; keeps no history.
//
// An empty store has revision 1. Each transaction that writes, and each lease
// that expires with keys, adds 1; all writes of one transaction share a
// revision. Copies are snapshots: assigning an older copy is what a restart
// from an old backup does.
class Store {
 public:
  // Largest request value and operations of one transaction, as the platform
  // and etcd limit them.
  static constexpr std::size_t kValueLimitBytes = std::size_t{1024} * 1024;
  static constexpr std::size_t kOperationLimit = 128;

  // Moves the clock to `now` and expires leases. Earlier times are ignored.
  void AdvanceTo(TimePoint now);

  StoreOutcome<RangeResult> Range(const RangeRequest& request) const;
  StoreOutcome<TxnResult> Txn(const TxnRequest& request);

  // Leases last whole seconds, at least one.
  StoreOutcome<LeaseResult> GrantLease(Duration time_to_live);

  std::int64_t revision() const { return revision_; }
  TimePoint now() const { return now_; }

 private:
  struct Lease {
    TimePoint expiry;
  };

  bool Holds(const Condition& condition) const;
  // Nothing, or why `operations` cannot run.
  std::vector<Rejection> Check(
      const std::vector<StoreOperation>& operations) const;
  RangeResult Read(const RangeRequest& request, std::int64_t revision) const;
  void Write(const PutRequest& request, std::int64_t revision);
  void Expire(std::int64_t lease);

  std::int64_t revision_ = 1;
  std::int64_t last_lease_ = 0;
  TimePoint now_;
  std::map<std::string, KeyValue> values_;
  std::map<std::int64_t, Lease> leases_;
};

}  // namespace jaypick::standin

#endif  // STANDINS_STORE_H_
