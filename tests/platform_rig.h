// Nodes on the stand-in of the platform, all on one event loop.
#ifndef JAYPICK_TESTS_PLATFORM_RIG_H_
#define JAYPICK_TESTS_PLATFORM_RIG_H_

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "http/client.h"
#include "node/node.h"
#include "platform/platform_codec.h"
#include "platform/store_client.h"
#include "standins/platform_service.h"
#include "tests/event_loop.h"

namespace jaypick::testing {

class PlatformRig {
 public:
  // Three upstreams in the only domain, one route and no node.
  PlatformRig();
  ~PlatformRig();

  // Starts a node; returns its number.
  std::size_t AddNode(const std::string& domain = "ghent");
  // Starts a node that was killed again, at the same address for its peers.
  void RestartNode(std::size_t node);
  // Ends a node as a kill does: its sockets close, and nothing is said.
  void KillNode(std::size_t node);
  node::Node& node(std::size_t number) { return *nodes_[number].node; }
  bool HasNode(std::size_t number) const {
    return nodes_[number].node != nullptr;
  }

  standin::PlatformUpstream& AddUpstream(const std::string& id,
                                         const std::string& zone = "ghent");
  void PutConfiguration(int version, const std::string& prefix);

  // Submits a job of `tasks` tasks at `node`; see `ParseScript` for `script`.
  void Submit(std::size_t node,
              const std::string& id,
              int tasks,
              const std::string& script,
              const std::string& prefix = "/fit/",
              int timeout_ms = 3000);
  // The status that a job's last call was answered with; 0 while it waits, -1
  // if its connection broke.
  int StatusOf(const std::string& id) const;
  std::string BodyOf(const std::string& id) const;

  // Somebody else takes `upstream` over with a higher fencing token.
  void Fence(const standin::PlatformUpstream& upstream, std::uint64_t token);

  // Waits until a node has the command and `upstreams` are ready.
  bool WaitUntilReady(std::size_t upstreams = 3);
  // The node that commands `domain`, or -1.
  int HolderOf(const std::string& domain = "ghent");
  bool WaitForAnswers();

  EventLoop loop;
  node::Runtime runtime{loop.base()};
  standin::PlatformStore store{runtime};
  standin::PlatformUpstream::RunMonitor run_monitor;
  std::deque<std::unique_ptr<standin::PlatformUpstream>> upstreams;

 private:
  struct RunningNode {
    node::NodeSettings settings;
    std::unique_ptr<adapter::StoreClient> store;
    std::unique_ptr<node::Node> node;
  };
  struct Answer {
    int status = 0;
    std::string body;
  };

  void Launch(RunningNode& running);

  adapter::PlatformCodec dialect_;
  std::vector<RunningNode> nodes_;
  std::map<std::string, Answer> answers_;
  http::Client callers_;
};

}  // namespace jaypick::testing

#endif  // JAYPICK_TESTS_PLATFORM_RIG_H_
