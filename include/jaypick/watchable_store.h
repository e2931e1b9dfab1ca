// Interface to a key-value service with watches and lease renewal.
#ifndef JAYPICK_WATCHABLE_STORE_H_
#define JAYPICK_WATCHABLE_STORE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "jaypick/key_value_store.h"
#include "jaypick/time.h"

namespace jaypick {

// A key that was removed.
struct KeyRemoved {
  std::string key;
  std::int64_t mod_revision = 0;

  friend bool operator==(const KeyRemoved&, const KeyRemoved&) = default;
};

using WatchEvent = std::variant<KeyValue, KeyRemoved>;

// Changes after the requested revision, oldest first.
struct WatchResult {
  std::vector<WatchEvent> events;
  // Revision for the next watch request.
  std::int64_t revision = 0;
  // True if the requested revision has been compacted; all keys must then be
  // read again.
  bool is_compacted = false;
};

struct WatchRequest {
  // Watches all keys with this prefix.
  std::string prefix;
  std::int64_t after_revision = 0;
  // Time after which a response without events is returned.
  Duration wait{0};
};

// Whether a lease still exists.
struct LeaseStatus {
  bool is_alive = false;
};

// A key-value store that can be watched for changes.
class WatchableStore : public KeyValueStore {
 public:
  virtual void Watch(WatchRequest request,
                     StoreCallback<WatchResult> callback) = 0;
  virtual void RenewLease(std::int64_t lease,
                          StoreCallback<LeaseStatus> callback) = 0;
  // Revokes the lease, which deletes its keys.
  virtual void RevokeLease(std::int64_t lease,
                           StoreCallback<LeaseStatus> callback) = 0;
};

}  // namespace jaypick

#endif  // JAYPICK_WATCHABLE_STORE_H_
