// In-memory key-value store with etcd's rules for revisions, transactions and
// leases.
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

// Error of a call that the store rejected without any effect. `code` is a gRPC
// status code.
struct Rejection {
  int code = 0;
  std::string message;
};

// gRPC status codes.
inline constexpr int kInvalidArgument = 3;
inline constexpr int kNotFound = 5;
inline constexpr int kUnavailable = 14;

template <typename Value>
using StoreOutcome = std::variant<Value, Rejection>;

// Holds the current values with their revisions, and the leases; keeps no
// history.
//
// An empty store has revision 1. The revision grows by 1 with each transaction
// that changes a key and with each lease that has keys when it expires; all
// writes of one transaction share a revision. Copies are snapshots: assigning
// an older copy simulates a restart from an old backup.
class Store {
 public:
  // Largest value of a put, and largest number of operations in a branch of a
  // transaction. The platform and etcd have the same limits.
  static constexpr std::size_t kValueLimitBytes = std::size_t{1024} * 1024;
  static constexpr std::size_t kOperationLimit = 128;

  // Sets the clock to `now` and expires leases. A time before the present one
  // is ignored.
  void AdvanceTo(TimePoint now);

  StoreOutcome<RangeResult> Range(const RangeRequest& request) const;
  StoreOutcome<TxnResult> Txn(const TxnRequest& request);

  // Rounds `time_to_live` up to whole seconds, and to at least one.
  StoreOutcome<LeaseResult> GrantLease(Duration time_to_live);

  std::int64_t revision() const { return revision_; }
  TimePoint now() const { return now_; }

 private:
  struct Lease {
    TimePoint expiry;
  };

  bool Holds(const Condition& condition) const;
  // Returns the reason why `operations` are invalid; empty if they are valid.
  std::vector<Rejection> Validate(
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
