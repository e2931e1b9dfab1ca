// Interface to the platform's key-value service.
#ifndef JAYPICK_KEY_VALUE_STORE_H_
#define JAYPICK_KEY_VALUE_STORE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "jaypick/time.h"

namespace jaypick {

// A stored value with its revisions, named as in etcd v3.
struct KeyValue {
  std::string key;
  std::string value;
  std::int64_t create_revision = 0;
  std::int64_t mod_revision = 0;
  std::int64_t lease = 0;

  friend bool operator==(const KeyValue&, const KeyValue&) = default;
};

// Reads one key, or all keys in [key, range_end).
struct RangeRequest {
  std::string key;
  // Exclusive end of the range; empty to read only `key`.
  std::string range_end;
  // Maximum number of keys; 0 for no limit.
  std::int64_t limit = 0;
  bool keys_only = false;
  // If true, keys are returned in descending order.
  bool descending = false;
};

struct PutRequest {
  std::string key;
  std::string value;
  // 0 for none.
  std::int64_t lease = 0;
};

struct DeleteRequest {
  std::string key;
};

// Conditions of a transaction. The revision of a missing key is 0.
struct ModRevisionIs {
  std::string key;
  std::int64_t revision = 0;
};

struct CreateRevisionIs {
  std::string key;
  std::int64_t revision = 0;
};

using Condition = std::variant<ModRevisionIs, CreateRevisionIs>;
using StoreOperation = std::variant<RangeRequest, PutRequest, DeleteRequest>;

// Runs `success` if all conditions hold, otherwise `failure`, atomically.
struct TxnRequest {
  std::vector<Condition> conditions;
  std::vector<StoreOperation> success;
  std::vector<StoreOperation> failure;
};

struct RangeResult {
  std::int64_t revision = 0;
  std::vector<KeyValue> values;
  // True if the result was truncated to the limit.
  bool more = false;
};

struct PutResult {};

struct DeleteResult {
  std::int64_t deleted = 0;
};

using OperationResult = std::variant<RangeResult, PutResult, DeleteResult>;

struct TxnResult {
  bool succeeded = false;
  std::int64_t revision = 0;
  std::vector<OperationResult> results;
};

struct LeaseResult {
  std::int64_t lease = 0;
  Duration time_to_live{0};
};

// Why a request has no result.
enum class StoreErrorCode {
  // The request was not sent, so it had no effect.
  kNotSent,
  // The service rejected the request, so it had no effect.
  kRejected,
  // The request was sent, but no valid response was received. A write may have
  // taken effect.
  kOutcomeUnknown,
};

struct StoreError {
  StoreErrorCode kind = StoreErrorCode::kOutcomeUnknown;
  std::string message;
};

template <typename Value>
using StoreResult = std::variant<Value, StoreError>;

template <typename Value>
using StoreCallback = std::function<void(StoreResult<Value>)>;

// Client interface to the key-value service. Each callback runs exactly once,
// never before the function that takes it has returned.
class KeyValueStore {
 public:
  virtual ~KeyValueStore() = default;

  virtual void Range(RangeRequest request,
                     StoreCallback<RangeResult> callback) = 0;
  virtual void Txn(TxnRequest request, StoreCallback<TxnResult> callback) = 0;
  virtual void GrantLease(Duration time_to_live,
                          StoreCallback<LeaseResult> callback) = 0;
};

}  // namespace jaypick

#endif  // JAYPICK_KEY_VALUE_STORE_H_
