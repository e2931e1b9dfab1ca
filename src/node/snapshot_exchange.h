// What nodes tell each other while the store does not answer them.
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

// A node that the store turns away reads the view of a holder. A node that has
// just started knows no holder: holders send their view to nodes that they have
// heard of before and that have become silent.
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

  // Called every 100 ms or so.
  void Tick();

  StoreSnapshot Export() const;
  // Takes what is newer than this node's own view.
  void Import(StoreSnapshot view);

 private:
  void ReadFromHolder();
  void SendToSilentPeers();

  Runtime& runtime_;
  const NodeSettings& settings_;
  StoreView& view_;
  Peers& peers_;
  LeadershipManager& leadership_manager_;
  bool is_reading_ = false;
  // Nodes to which the view is being sent, and when those that have it were
  // last heard of.
  std::set<std::string> sending_;
  std::map<std::string, TimePoint> told_;
  TimePoint sent_;
  // Outlives calls that are still out.
  std::shared_ptr<bool> is_alive_;
};

}  // namespace jaypick::node

#endif  // JAYPICK_NODE_SNAPSHOT_EXCHANGE_H_
