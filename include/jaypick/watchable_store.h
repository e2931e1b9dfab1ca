// Port to a key-value service that can be watched and whose leases are renewed.
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

// Changes after the revision that was asked for, oldest first.
struct WatchResult {
  std::vector<WatchEvent> events;
  // Continue from here.
  std::int64_t revision = 0;
  // The history is no longer there: read everything again.
  bool is_compacted = false;
};

struct WatchRequest {
  // All keys that begin with it.
  std::string prefix;
  std::int64_t after_revision = 0;
  // The answer comes without events after this time.
  Duration wait{0};
};

// Whether a lease still exists.
struct LeaseStatus {
  bool is_alive = false;
};

class WatchableStore : public KeyValueStore {
 public:
  virtual void Watch(WatchRequest request,
                     StoreCallback<WatchResult> callback) = 0;
  virtual void RenewLease(std::int64_t lease,
                          StoreCallback<LeaseStatus> callback) = 0;
  // Ends the lease; its keys are removed.
  virtual void RevokeLease(std::int64_t lease,
                           StoreCallback<LeaseStatus> callback) = 0;
};

}  // namespace jaypick

#endif  // JAYPICK_WATCHABLE_STORE_H_
