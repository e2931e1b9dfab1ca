// What a node knows of routes, upstreams and commands.
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

// A command record with its place in the store.
struct StoredLeaderRecord {
  LeaderRecord record;
  std::int64_t revision = 0;

  friend bool operator==(const StoredLeaderRecord&,
                         const StoredLeaderRecord&) = default;
};

// Decodes the mirrored parts of the store and says what has changed.
class StoreView {
 public:
  struct Listener {
    std::function<void()> on_upstreams;
    std::function<void()> on_commands;
  };

  StoreView(Runtime& runtime,
            WatchableStore& store,
            const MessageCodec& codec,
            Listener listener);

  void Start();

  // Whether upstreams are commanded here; if not, their list may be seconds
  // old.
  void SetUpstreamsWatched(bool is_needed) {
    upstream_mirror_.SetActive(is_needed);
  }

  // The routes in force, or null before the first configuration. Versions never
  // decrease.
  const RoutingTable* routing() const;
  const std::map<std::string, schedule::Upstream>& upstreams() const {
    return upstreams_;
  }
  // By failure domain.
  const std::map<std::string, StoredLeaderRecord>& leaders() const {
    return leaders_;
  }
  // Holders that took a command last, also when their records have lapsed.
  const std::map<std::string, StoredLeaderRecord>& last_leaders() const {
    return last_leaders_;
  }
  // Something has shown that `leaders()` is behind.
  void RefreshLeaders() { command_mirror_.Refresh(); }
  // True once commands were read, so that a missing one means that there is
  // none.
  bool has_read_leaders() const { return command_mirror_.revision() > 0; }
  // False while the store does not answer this node.
  bool is_connected() const;

  // For peers that the store does not answer.
  std::vector<MirrorSnapshot> Export() const;
  void Import(std::vector<MirrorSnapshot> view);

  static std::string LeaderKey(const std::string& failure_domain);
  static std::string LastLeaderKey(const std::string& failure_domain);

 private:
  void OnConfiguration();
  void OnUpstreams();
  void OnCommands();
  void DropMissing();

  Runtime& runtime_;
  const MessageCodec& codec_;
  Listener listener_;
  std::optional<RoutingTable> routing_;
  std::map<std::string, schedule::Upstream> upstreams_;
  // Revisions of the items behind `upstreams_`, and when one went missing.
  std::map<std::string, std::int64_t> decoded_;
  std::map<std::string, TimePoint> missing_;
  std::map<std::string, StoredLeaderRecord> leaders_;
  std::map<std::string, StoredLeaderRecord> last_leaders_;
  PrefixMirror configuration_mirror_;
  PrefixMirror upstream_mirror_;
  PrefixMirror command_mirror_;
  Timer missing_timer_;
};

}  // namespace jaypick::node

#endif  // JAYPICK_NODE_STORE_VIEW_H_
