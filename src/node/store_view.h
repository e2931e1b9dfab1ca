// The routes, upstreams and leader records that a node knows from the store.
#ifndef JAYPICK_NODE_STORE_VIEW_H_
#define JAYPICK_NODE_STORE_VIEW_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
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
    std::function<void()> on_evacuations_changed;
  };

  // The parts of the store that are mirrored.
  enum class Part { kConfiguration, kUpstreams, kLeaders };
  static constexpr Part kParts[] = {Part::kConfiguration, Part::kUpstreams,
                                    Part::kLeaders};

  StoreView(Runtime& runtime,
            WatchableStore& store,
            const MessageCodec& codec,
            Listener listener);

  void Start();

  // Set while this node leads a domain or tries to. Otherwise the list of
  // upstreams, by far the largest part of the store, is not read: when all
  // nodes start at once, their first reads would compete with the claims.
  void SetUpstreamsWatched(bool is_watched) {
    upstream_mirror_.SetActive(is_watched);
  }
  bool has_read_upstreams() const { return upstream_mirror_.revision() > 0; }
  // Reads the list of upstreams now, as it has become too old. Does nothing if
  // it is being read.
  void RefreshUpstreams() {
    if (!upstream_mirror_.is_reading()) {
      upstream_mirror_.Refresh();
    }
  }
  // `upstreams()` includes all changes that the store made before this time.
  TimePoint upstreams_as_of() const { return upstream_mirror_.current_as_of(); }

  // The routes in force, or null before the first configuration was read.
  // Versions never decrease.
  const RoutingTable* routing() const;
  // Failure domains that the operators ask to evacuate, also unknown ones.
  const std::set<std::string>& evacuated_domains() const {
    return evacuated_domains_;
  }
  // True once what the operators ask for has been read here or by a peer. Only
  // then does a domain that is not named count as in use.
  bool has_read_operator_keys() const {
    return configuration_mirror_.revision() > 0;
  }
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

  bool is_connected(Part part) const { return MirrorOf(part).is_connected(); }
  bool is_responsive(Part part) const { return MirrorOf(part).is_responsive(); }
  std::int64_t revision(Part part) const { return MirrorOf(part).revision(); }

  StoreStatus status() const {
    return {.is_connected = is_connected(),
            .configuration_revision = configuration_mirror_.revision(),
            .upstream_revision = upstream_mirror_.revision(),
            .leader_revision = leader_mirror_.revision()};
  }

  // Changes for peers that cannot reach the store.
  MirrorChanges ChangesSince(Part part, std::int64_t revision) const {
    return MirrorOf(part).ChangesSince(revision);
  }
  // Merges changes that a peer sent at `sent` or later into the parts that are
  // not connected to the store.
  void Import(std::vector<MirrorChanges> changes, TimePoint sent);
  // The upstreams of a domain as listed in the store, for a node that takes the
  // leadership over without the store.
  MirroredItems UpstreamItems(const std::string& failure_domain) const;
  void ImportUpstreams(const MirroredItems& items) {
    upstream_mirror_.MergeItems(items);
  }

  static std::string LeaderKey(const std::string& failure_domain);
  static std::string LastLeaderKey(const std::string& failure_domain);

 private:
  const PrefixMirror& MirrorOf(Part part) const;
  void OnOperatorKeys();
  void OnConfiguration(const KeyValue& item);
  void OnUpstreams();
  void OnLeaderRecords();
  void DropMissingUpstreams();

  Runtime& runtime_;
  const MessageCodec& codec_;
  Listener listener_;
  std::optional<RoutingTable> routing_;
  // Store revision that `routing_` was decoded from.
  std::int64_t routing_revision_ = 0;
  std::set<std::string> evacuated_domains_;
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
