// Exchange of store snapshots between nodes while the store is unreachable.
#ifndef JAYPICK_NODE_SNAPSHOT_EXCHANGE_H_
#define JAYPICK_NODE_SNAPSHOT_EXCHANGE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "http/http.h"
#include "node/leadership_manager.h"
#include "node/peer_messages.h"
#include "node/peers.h"
#include "node/runtime.h"
#include "node/settings.h"
#include "node/store_view.h"

namespace jaypick::node {

// A node that cannot reach the store reads what has changed from a leader that
// knows more, preferably the leader of its own domain. Only nodes that lead a
// domain read upstreams, the bulk of the data: many nodes may lose the store at
// once, and a leader whose link is full of snapshots looks dead to its peers.
//
// A node that has just started knows no leader. Leaders therefore push routes
// and leader records to nodes that pinged them earlier and then became silent,
// because such a node may be restarting.
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

  // Answers a request for changes. The query names the parts of the snapshot
  // with the revisions that the peer knows; without a query, all is sent.
  http::Response Respond(const http::Request& request);
  // Merges the parts that are newer than this node's own view and that this
  // node does not follow in the store itself.
  void Import(StoreSnapshot snapshot, TimePoint sent);

  // Bytes of the snapshots that were sent or are being sent to peers.
  std::uint64_t bytes_sent() const { return bytes_sent_; }
  std::uint64_t requests() const { return requests_; }

 private:
  using KnownRevisions = std::map<StoreView::Part, std::int64_t>;

  StoreSnapshot Export(const KnownRevisions& known) const;
  // The parts that this node needs from a peer, with its own revisions.
  KnownRevisions MissingParts() const;
  void ReadFromLeader(TimePoint now);
  // The leader to read `missing` from, or null if none knows more.
  const LeaderRecord* ChooseSource(const KnownRevisions& missing,
                                   TimePoint now);
  void SendToSilentPeers(TimePoint now);
  bool IsResponsibleFor(const LeaderRecord& peer);

  Runtime& runtime_;
  const NodeSettings& settings_;
  StoreView& view_;
  Peers& peers_;
  LeadershipManager& leadership_manager_;
  bool is_reading_ = false;
  TimePoint next_read_;
  // Instances to which the snapshot is being sent, and for those that have
  // received it, when they had last pinged this node.
  std::set<std::string> sending_;
  std::map<std::string, TimePoint> delivered_;
  TimePoint last_send_;
  std::uint64_t bytes_sent_ = 0;
  std::uint64_t requests_ = 0;
  // Outlives pending requests.
  std::shared_ptr<bool> is_alive_;
};

}  // namespace jaypick::node

#endif  // JAYPICK_NODE_SNAPSHOT_EXCHANGE_H_
