// A local copy of all keys in the store with a given prefix.
#ifndef JAYPICK_NODE_PREFIX_MIRROR_H_
#define JAYPICK_NODE_PREFIX_MIRROR_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "jaypick/watchable_store.h"
#include "node/runtime.h"

namespace jaypick::node {

struct MirrorOptions {
  // Longest time that the store may delay the response to a watch. Bounds the
  // time until a dead connection is noticed.
  Duration watch_wait = std::chrono::milliseconds(1800);
  // Pause between the response to a watch and the next watch. Batches frequent
  // changes to keep the number of store calls low.
  Duration batch_interval{0};
  // The mirror reads nothing until it is made active.
  bool is_initially_active = true;
  // Removals that are remembered for `ChangesSince`.
  std::size_t max_removals = 4096;
  Duration initial_retry_delay = std::chrono::milliseconds(100);
  Duration max_retry_delay = std::chrono::milliseconds(500);
};

using MirroredItems = std::map<std::string, KeyValue>;

// Changes that lead from one revision of a mirror to a later one.
struct MirrorChanges {
  std::string prefix;
  // The revision before the changes; 0 if `items` is complete and replaces all
  // earlier items.
  std::int64_t since = 0;
  // The revision after the changes.
  std::int64_t revision = 0;
  // Time since the sender's mirror was known to be up to date; nullopt if
  // unknown.
  std::optional<Duration> age;
  MirroredItems items;
  // Removed keys with the revisions of their removal.
  std::map<std::string, std::int64_t> removed;

  friend bool operator==(const MirrorChanges&, const MirrorChanges&) = default;
};

// Reads all keys with the prefix, then follows changes by long-polling watches.
// Keeps its items while the store is unreachable, and accepts newer changes
// from the mirrors of peers.
class PrefixMirror {
 public:
  // Called after `items()` has changed.
  using Listener = std::function<void()>;

  PrefixMirror(Runtime& runtime,
               WatchableStore& store,
               std::string prefix,
               Listener on_change,
               MirrorOptions options = {});
  ~PrefixMirror();
  PrefixMirror(const PrefixMirror&) = delete;
  PrefixMirror& operator=(const PrefixMirror&) = delete;

  void Start();

  // An active mirror watches, so that it sees every change soon. An inactive
  // one keeps its items as they are. Activating a mirror reads all items again.
  void SetActive(bool is_active);
  bool is_active() const { return is_active_; }

  // Reads all items, because there is evidence that `items()` is out of date.
  // The response to a pending watch is ignored, as its connection may be dead.
  // A read in progress is completed first: if each refresh abandoned it, a read
  // that takes long would never end.
  void Refresh();
  bool is_reading() const { return is_reading_; }

  // Returns the changes after `revision`, or all items if removals since then
  // are no longer remembered.
  MirrorChanges ChangesSince(std::int64_t revision) const;

  // Applies changes that a peer sent at `sent` or later. Changes that are not
  // newer than this mirror or do not follow on its revision are ignored.
  void Merge(MirrorChanges changes, TimePoint sent);

  // Adds items from a peer that are newer than this mirror. The mirror's
  // revision stays, as other items may have changed as well.
  void MergeItems(const MirroredItems& items);

  const std::string& prefix() const { return prefix_; }
  const MirroredItems& items() const { return items_; }
  // Store revision that `items()` reflects; 0 before the first read.
  std::int64_t revision() const { return revision_; }
  // The items include all changes that the store made before this time.
  TimePoint current_as_of() const { return current_as_of_; }
  bool is_connected() const { return is_connected_; }
  // Like `is_connected`, but stays true until several calls in a row have got
  // no response while this process was on time. A single late response, or
  // those of a process that is behind, are no sign of an outage.
  bool is_responsive() const { return is_responsive_; }

 private:
  void ReadOrWatch();
  void Read();
  void Watch();
  void OnRead(StoreResult<RangeResult> result);
  void OnWatched(StoreResult<WatchResult> result);
  void OnStoreResponse();
  // Replaces all items by those of the store at `revision`. Returns true if
  // they differ. Items of another prefix are left out, here and by `Put`.
  bool Replace(std::int64_t revision, MirroredItems items);
  // Applies a single change. Return true if it was new.
  bool Put(KeyValue item);
  bool Remove(const std::string& key, std::int64_t revision);
  void RetryLater(const StoreError& error);

  Runtime& runtime_;
  WatchableStore& store_;
  std::string prefix_;
  Listener on_change_;
  MirrorOptions options_;
  MirroredItems items_;
  std::int64_t revision_ = 0;
  // Revisions of removals after `removals_since_`, by key.
  std::map<std::string, std::int64_t> removals_;
  std::int64_t removals_since_ = 0;
  TimePoint current_as_of_;
  TimePoint call_sent_;
  bool is_connected_ = false;
  bool is_responsive_ = false;
  // Calls without a response in a row.
  std::uint32_t unanswered_calls_ = 0;
  bool needs_full_read_ = true;
  bool is_active_;
  // Number of the current call; responses to earlier calls are ignored.
  std::uint64_t current_call_ = 0;
  bool is_call_in_flight_ = false;
  bool is_reading_ = false;
  Duration retry_delay_{0};
  Timer timer_;
  // Outlives pending calls, whose callbacks check it after the mirror is
  // destroyed.
  std::shared_ptr<bool> is_alive_;
};

}  // namespace jaypick::node

#endif  // JAYPICK_NODE_PREFIX_MIRROR_H_
