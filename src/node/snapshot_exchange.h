// Exchange of store snapshots between nodes while the store is unreachable.
#ifndef JAYPICK_NODE_SNAPSHOT_EXCHANGE_H_
#define JAYPICK_NODE_SNAPSHOT_EXCHANGE_H_

#include <map>
#include <memory>
#include <set>
#include <string>

#include "node/leadership_manager.h"
#include "node/peer_messages.h"
#include "node/peers.h"
#include "node/runtime.h"
#include "node/settings.h"
#include "node/store_view.h"

namespace jaypick::node {

// A node that cannot reach the store reads the snapshot of a leader. A node
// that has just started knows no leader, so leaders also push their snapshot to
// nodes that pinged them earlier and then became silent, because such a node
// may be restarting.
class SnapshotExchange {
 public:
  SnapshotExchange(Runtime& runtime,
                   const NodeSettings& settings,
                   StoreView& view,
                   Peers& peers,
                   LeadershipManager& leadership_manager);
  ~SnapshotExchange();
  SnapshotExchange(const SnapshotExchange&) = delete;
  SnapshotExchange& operator=(const SnapshotExchange&) = delete;

  // Called about every 100 ms.
  void Tick();

  StoreSnapshot Export() const;
  // Merges the parts that are newer than this node's own view. Ignored while
  // this node is connected to the store.
  void Import(StoreSnapshot snapshot);

 private:
  void ReadFromLeader();
  void SendToSilentPeers();

  Runtime& runtime_;
  const NodeSettings& settings_;
  StoreView& view_;
  Peers& peers_;
  LeadershipManager& leadership_manager_;
  bool is_reading_ = false;
  // Instances to which the snapshot is being sent, and for those that have
  // received it, when they had last pinged this node.
  std::set<std::string> sending_;
  std::map<std::string, TimePoint> delivered_;
  TimePoint last_send_;
  // Outlives pending requests.
  std::shared_ptr<bool> is_alive_;
};

}  // namespace jaypick::node

#endif  // JAYPICK_NODE_SNAPSHOT_EXCHANGE_H_
