// A local copy of all keys in the store with a given prefix.
#ifndef JAYPICK_NODE_PREFIX_MIRROR_H_
#define JAYPICK_NODE_PREFIX_MIRROR_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
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
  // Interval of full reads while the mirror is inactive; 0: the mirror always
  // watches.
  Duration idle_interval{0};
  Duration initial_retry_delay = std::chrono::milliseconds(100);
  Duration max_retry_delay = std::chrono::milliseconds(500);
};

using MirroredItems = std::map<std::string, KeyValue>;

// Reads all keys with the prefix, then follows changes by long-polling watches.
// Keeps its items while the store is unreachable, and accepts newer snapshots
// from peers.
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

  // An active mirror watches, so that it sees every change soon. Activating a
  // mirror reads all items again.
  void SetActive(bool is_active);

  // Reads all items now, because there is evidence that `items()` is out of
  // date. The response to a pending watch is ignored, as its connection may be
  // dead.
  void Refresh() { Read(); }

  // Replaces the items with a snapshot from a peer if that is newer.
  void MergeIfNewer(std::int64_t revision, MirroredItems items);

  const std::string& prefix() const { return prefix_; }
  const MirroredItems& items() const { return items_; }
  // Store revision that `items()` reflects; 0 before the first read.
  std::int64_t revision() const { return revision_; }
  // Time of the last response of the store.
  TimePoint last_response() const { return last_response_; }
  bool is_connected() const { return is_connected_; }

 private:
  bool IsIdle() const;
  void ReadOrWatch();
  void Read();
  void Watch();
  void OnRead(StoreResult<RangeResult> result);
  void OnWatched(StoreResult<WatchResult> result);
  void OnStoreResponse();
  void RetryLater(const StoreError& error);

  Runtime& runtime_;
  WatchableStore& store_;
  std::string prefix_;
  Listener on_change_;
  MirrorOptions options_;
  MirroredItems items_;
  std::int64_t revision_ = 0;
  TimePoint last_response_;
  bool is_connected_ = false;
  bool needs_full_read_ = true;
  bool is_active_ = false;
  // Number of the current call; responses to earlier calls are ignored.
  std::uint64_t current_call_ = 0;
  bool is_call_in_flight_ = false;
  Duration retry_delay_{0};
  Timer timer_;
  // Outlives pending calls, whose callbacks check it after the mirror is
  // destroyed.
  std::shared_ptr<bool> is_alive_;
};

}  // namespace jaypick::node

#endif  // JAYPICK_NODE_PREFIX_MIRROR_H_
