// The routes, upstreams and leader records that a node knows from the store.
#ifndef JAYPICK_NODE_STORE_VIEW_H_
#define JAYPICK_NODE_STORE_VIEW_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "jaypick/watchable_store.h"
#include "node/message_codec.h"
#include "node/peer_messages.h"
#include "node/prefix_mirror.h"
#include "node/routing.h"
#include "node/runtime.h"
#include "schedule/fleet.h"

namespace jaypick::node {

// A leader record with its revision in the store.
struct StoredLeaderRecord {
  LeaderRecord record;
  std::int64_t revision = 0;

  friend bool operator==(const StoredLeaderRecord&,
                         const StoredLeaderRecord&) = default;
};

// Mirrors and decodes the relevant parts of the store and notifies a listener
// of changes.
class StoreView {
 public:
  struct Listener {
    std::function<void()> on_upstreams_changed;
    std::function<void()> on_leaders_changed;
  };

  StoreView(Runtime& runtime,
            WatchableStore& store,
            const MessageCodec& codec,
            Listener listener);

  void Start();

  // Set while this node leads a domain. Otherwise the list of upstreams may be
  // several seconds old.
  void SetUpstreamsWatched(bool is_watched) {
    upstream_mirror_.SetActive(is_watched);
  }

  // The routes in force, or null before the first configuration was read.
  // Versions never decrease.
  const RoutingTable* routing() const;
  const std::map<std::string, schedule::Upstream>& upstreams() const {
    return upstreams_;
  }
  // By failure domain.
  const std::map<std::string, StoredLeaderRecord>& leaders() const {
    return leaders_;
  }
  // The last leader of each domain, also if its leader record has expired. By
  // failure domain.
  const std::map<std::string, StoredLeaderRecord>& last_leaders() const {
    return last_leaders_;
  }
  // Reads the leader records again. Called when there is evidence that
  // `leaders()` is out of date.
  void RefreshLeaders() { leader_mirror_.Refresh(); }
  // True once the leader records have been read. Only then does a missing
  // record mean that there is no leader.
  bool has_read_leaders() const { return leader_mirror_.revision() > 0; }
  // False while the store does not respond to this node.
  bool is_connected() const;

  // Snapshots for peers that cannot reach the store.
  std::vector<MirrorSnapshot> Export() const;
  void Import(std::vector<MirrorSnapshot> snapshots);

  static std::string LeaderKey(const std::string& failure_domain);
  static std::string LastLeaderKey(const std::string& failure_domain);

 private:
  void OnConfiguration();
  void OnUpstreams();
  void OnLeaderRecords();
  void DropMissingUpstreams();

  Runtime& runtime_;
  const MessageCodec& codec_;
  Listener listener_;
  std::optional<RoutingTable> routing_;
  std::map<std::string, schedule::Upstream> upstreams_;
  // Revision from which each entry of `upstreams_` was decoded, and since when
  // an entry has been missing from the store. By key.
  std::map<std::string, std::int64_t> decoded_revisions_;
  std::map<std::string, TimePoint> missing_since_;
  std::map<std::string, StoredLeaderRecord> leaders_;
  std::map<std::string, StoredLeaderRecord> last_leaders_;
  PrefixMirror configuration_mirror_;
  PrefixMirror upstream_mirror_;
  PrefixMirror leader_mirror_;
  Timer missing_timer_;
};

}  // namespace jaypick::node

#endif  // JAYPICK_NODE_STORE_VIEW_H_
