// A node: its components and their life cycle from start to shutdown.
#ifndef JAYPICK_NODE_NODE_H_
#define JAYPICK_NODE_NODE_H_

#include <memory>
#include <string>

#include "http/server.h"
#include "jaypick/watchable_store.h"
#include "node/caller_server.h"
#include "node/leadership_manager.h"
#include "node/message_codec.h"
#include "node/metrics.h"
#include "node/peer_server.h"
#include "node/peers.h"
#include "node/runtime.h"
#include "node/settings.h"
#include "node/snapshot_exchange.h"
#include "node/store_view.h"
#include "node/upstream_client.h"

struct event;
struct event_base;

namespace jaypick::node {

class Node {
 public:
  Node(event_base* base,
       NodeSettings settings,
       WatchableStore& store,
       const MessageCodec& codec);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  // Starts the components; the caller runs the event loop.
  void Start();

  // Starts the node and runs the event loop until the shutdown after a SIGTERM
  // or SIGINT has finished. SIGHUP calls `on_reload`.
  void Run(std::function<void()> on_reload);

  // Starts a graceful shutdown, as SIGTERM does.
  void RequestShutdown();

  // True once a shutdown has finished.
  bool has_ended() const { return has_ended_; }
  bool has_configuration() const { return view_.routing() != nullptr; }
  std::uint16_t caller_port() const { return caller_server_.port(); }
  std::uint16_t peer_port() const { return peer_server_.port(); }
  LeadershipManager& leadership_manager() { return leadership_manager_; }
  const StoreView& store_view() const { return view_; }
  const SnapshotExchange& snapshot_exchange() const {
    return snapshot_exchange_;
  }

 private:
  static void OnSignal(int signal, short what, void* self);
  void OnTick();
  void CheckShutdownFinished();
  bool IsReady();

  NodeSettings settings_;
  std::string incarnation_;
  Runtime runtime_;
  UpstreamClient upstream_client_;
  StoreView view_;
  Peers peers_;
  LeadershipManager leadership_manager_;
  SnapshotExchange snapshot_exchange_;
  PeerServer peer_server_;
  NodeMetrics metrics_;
  CallerServer caller_server_;
  http::Server readiness_;
  http::Server metrics_server_;
  std::function<void()> on_reload_;
  event* sigterm_event_ = nullptr;
  event* sigint_event_ = nullptr;
  event* sighup_event_ = nullptr;
  bool is_shutting_down_ = false;
  bool has_ended_ = false;
  TimePoint shutdown_began_;
  TimePoint last_busy_;
  Timer tick_;
};

}  // namespace jaypick::node

#endif  // JAYPICK_NODE_NODE_H_
