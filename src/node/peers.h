// Other nodes as this one sees them: alive, their clocks and their loads.
#ifndef JAYPICK_NODE_PEERS_H_
#define JAYPICK_NODE_PEERS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "control/election.h"
#include "http/client.h"
#include "jaypick/instance.h"
#include "node/peer_messages.h"
#include "node/runtime.h"

namespace jaypick::node {

struct PeerOptions {
  Duration ping_interval = std::chrono::milliseconds(200);
  // While a predecessor gives up its upstreams.
  Duration hand_over_interval = std::chrono::milliseconds(40);
  Duration ping_timeout = std::chrono::milliseconds(300);
  // A peer without an answer for so long is silent.
  Duration silent_after = std::chrono::milliseconds(700);
};

// Holders of commands, and what they last answered.
class Peers {
 public:
  // `ping` makes the message of this node; `on_answer` runs after each answer.
  Peers(Runtime& runtime,
        PeerOptions options,
        std::function<Ping()> ping,
        std::function<void(const Address&, const PingResponse&)> on_answer);
  ~Peers();
  Peers(const Peers&) = delete;
  Peers& operator=(const Peers&) = delete;

  // Follows the holder of `failure_domain`'s command, whose first fencing token
  // is `token`, or whom it has delegated the command to. It is kept when the
  // record goes, until another one comes.
  void MonitorLeader(const std::string& failure_domain,
                     const LeaderRecord& record,
                     std::uint64_t token);
  // A holder has delegated a command.
  void OnDelegation(const Delegation& delegation);
  // All delegations that this node has heard of.
  std::vector<Delegation> delegations() const;

  // Follows a holder that hands its upstreams over to this node. `held` are
  // those that it has not given up, as far as it has said so itself.
  void MonitorPredecessor(const std::string& failure_domain,
                          const LeaderRecord& record,
                          std::vector<std::string> held);
  void ForgetPredecessor(const std::string& failure_domain);

  // Upstreams that the predecessor still holds; nothing once it has given up
  // all of them or is gone.
  std::vector<std::string> HeldByPredecessor(
      const std::string& failure_domain) const;

  // Asks all holders now, when something shows that one has changed.
  void PingAll();

  // The holder that is followed, if any.
  const LeaderRecord* LeaderOf(const std::string& failure_domain) const;

  control::LeaderState LeaderStateOf(const std::string& failure_domain);
  // Time since the state was first seen.
  Duration LeaderStateAge(const std::string& failure_domain);

  // What the holder last said of the domain, or null.
  const LeadershipStatus* Status(const std::string& failure_domain) const;

  // A deadline on the clock of the peer, never later than `deadline`; nothing
  // before the peer has answered.
  std::optional<std::int64_t> DeadlineAt(const Address& peer,
                                         TimePoint deadline);

  // Sends a request to a peer.
  //
  // Returns the number under which it can be cancelled.
  std::uint64_t Send(const Address& peer,
                     http::Request request,
                     Duration timeout,
                     http::ClientCallback callback);
  // Resets the request's connection; its callback does not run.
  void Cancel(std::uint64_t call);

 private:
  struct Peer {
    std::string incarnation;
    TimePoint answered;
    std::int64_t clock_us = 0;
    std::uint32_t refusals = 0;
    std::uint32_t pending = 0;
    std::vector<LeadershipStatus> commands;
  };
  struct Followed {
    LeaderRecord record;
    std::uint64_t token = 0;
    control::LeaderState state = control::LeaderState::kNone;
    TimePoint since;
    TimePoint followed_since;
    // Of a predecessor that has not answered since.
    std::vector<std::string> held;
  };

  using FollowedMap = std::map<std::string, Followed>;

  const LeadershipStatus* StatusAt(const Address& address,
                                   const std::string& failure_domain) const;
  void OnPingResult(const Address& address, const http::ClientResult& result);
  control::LeaderState ReadState(const std::string& failure_domain,
                                 const Followed& followed,
                                 TimePoint now) const;

  Runtime& runtime_;
  PeerOptions options_;
  std::function<Ping()> ping_;
  std::function<void(const Address&, const PingResponse&)> on_answer_;
  FollowedMap followed_;
  FollowedMap predecessors_;
  // By failure domain and the incarnation that delegated its command.
  std::map<std::pair<std::string, std::string>, Delegation> delegations_;
  std::map<Address, Peer> peers_;
  // Their destructors report calls that are out, so they go first.
  http::Client pings_;
  http::Client calls_;
  Timer timer_;
};

}  // namespace jaypick::node

#endif  // JAYPICK_NODE_PEERS_H_
