// A copy of all keys of the store that begin with a prefix.
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
  // A watch waits at most so long; a connection that went silent is noticed
  // soon after.
  Duration watch_wait = std::chrono::milliseconds(1800);
  // Time between the answer of a watch and the next one: frequent changes come
  // in batches, since each call counts.
  Duration batch_interval{0};
  // Interval of reads while nobody needs every change; 0: always watched.
  Duration idle_interval{0};
  Duration first_retry = std::chrono::milliseconds(100);
  Duration longest_retry = std::chrono::milliseconds(500);
};

using MirroredItems = std::map<std::string, KeyValue>;

// Reads the prefix and follows its changes by watches. Keeps what it has while
// the store cannot be read, and takes newer state from peers.
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

  // Whether every change is needed soon. A mirror that becomes active reads
  // everything anew.
  void SetActive(bool is_active);

  // Reads everything now: something has shown that `items()` is behind. A watch
  // that is out is given up, as its connection may have gone silent.
  void Refresh() { Read(); }

  // Takes the state that a peer has read, if it is newer.
  void MergeIfNewer(std::int64_t revision, MirroredItems items);

  const std::string& prefix() const { return prefix_; }
  const MirroredItems& items() const { return items_; }
  // Revision of the store up to which `items()` holds; 0 before the first read.
  std::int64_t revision() const { return revision_; }
  // Time at which the store last answered.
  TimePoint last_response() const { return last_response_; }
  bool is_connected() const { return is_connected_; }

 private:
  bool IsIdle() const;
  void Continue();
  void Read();
  void Watch();
  void OnRead(StoreResult<RangeResult> result);
  void OnWatched(StoreResult<WatchResult> result);
  void OnHeard();
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
  bool must_read_ = true;
  bool is_active_ = false;
  // Number of the call whose answer continues the mirror; answers to earlier
  // calls are dropped.
  std::uint64_t call_ = 0;
  bool is_calling_ = false;
  Duration retry_{0};
  Timer timer_;
  // Outlives calls that are still out when the mirror goes.
  std::shared_ptr<bool> is_alive_;
};

}  // namespace jaypick::node

#endif  // JAYPICK_NODE_PREFIX_MIRROR_H_
