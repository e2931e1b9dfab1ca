// The state of other nodes as seen from this one: liveness, clock and load.
#ifndef JAYPICK_NODE_PEERS_H_
#define JAYPICK_NODE_PEERS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "control/election.h"
#include "control/withdrawals.h"
#include "http/client.h"
#include "jaypick/instance.h"
#include "node/peer_messages.h"
#include "node/runtime.h"

namespace jaypick::node {

struct PeerOptions {
  Duration ping_interval = std::chrono::milliseconds(200);
  // Used for the leaders of other domains while reports about them arrive from
  // another leader. Bounds the age of what is known of their clocks.
  Duration relayed_ping_interval = std::chrono::seconds(1);
  // Age of a report after which the leader is pinged directly: two ping
  // intervals, one to the relaying leader and one from there.
  Duration relay_max_age = std::chrono::milliseconds(450);
  // Used instead of `ping_interval` while a predecessor releases its upstreams.
  Duration hand_over_interval = std::chrono::milliseconds(40);
  Duration ping_timeout = std::chrono::milliseconds(300);
  // A peer counts as silent after this time without a response.
  Duration silent_after = std::chrono::milliseconds(700);
  // The same for a predecessor that hands its upstreams over. Fencing one that
  // is only slow ends its runs; waiting for one that has died leaves capacity
  // unused, until its leases have expired.
  Duration predecessor_silent_after = std::chrono::milliseconds(1500);
};

// Pings the leaders of all domains, and the nodes at which jobs of this node
// are, and keeps their last responses.
//
// With hundreds of nodes, most of the messages at a leader would be pings from
// other domains. Leaders therefore report on one another in their responses,
// and a node that leads nothing pings the other domains' leaders rarely while
// it gets these reports and has no job there.
class Peers {
 public:
  // `ping` creates the ping message of this node. `on_response` runs after each
  // response.
  Peers(Runtime& runtime,
        PeerOptions options,
        std::function<Ping()> ping,
        std::function<void(const Address&, const PingResponse&)> on_response);
  ~Peers();
  Peers(const Peers&) = delete;
  Peers& operator=(const Peers&) = delete;

  // Monitors the leader of `failure_domain` that is named in `record` and whose
  // first fencing token is `token`, or the node that the leadership was
  // delegated to since. It is monitored until another leader replaces it, also
  // after its record has expired.
  void MonitorLeader(const std::string& failure_domain,
                     const LeaderRecord& record,
                     std::uint64_t token);
  // Called when a leader has delegated its leadership.
  void OnDelegation(const Delegation& delegation);
  // All delegations known to this node.
  std::vector<Delegation> delegations() const;

  // Monitors the previous leader of a domain that this node now leads.
  // `held_upstreams` are the upstreams it has not released; empty if its
  // delegation did not list any.
  void MonitorPredecessor(const std::string& failure_domain,
                          const LeaderRecord& record,
                          std::vector<std::string> held_upstreams);
  void ForgetPredecessor(const std::string& failure_domain);
  // `kNone` if no predecessor is monitored.
  control::LeaderState PredecessorState(
      const std::string& failure_domain) const;

  // Upstreams that the predecessor has not released. Empty once it has released
  // all of them, has ended, or has not responded for
  // `predecessor_silent_after`.
  std::vector<std::string> HeldByPredecessor(
      const std::string& failure_domain) const;

  // If true, reports of other leaders replace most pings to other domains.
  // False at a leader, whose reports they are, and without the store, when
  // leaders have to know which instances could succeed them.
  void SetUsesRelays(bool uses_relays) { uses_relays_ = uses_relays; }
  // What this node has heard from the leaders of other domains than `led`.
  std::vector<RelayedStatus> RelayedStatuses(
      const std::vector<LeadershipStatus>& led);

  // Pings all leaders at once. Used when there is a sign that one of them has
  // changed.
  void PingAll();

  // Pings the leader of the domain now, and calls `callback` with its state
  // once the ping has ended.
  void Confirm(const std::string& failure_domain,
               std::function<void(control::LeaderState)> callback);

  // The leader that is monitored, or null.
  const LeaderRecord* LeaderOf(const std::string& failure_domain) const;

  control::LeaderState LeaderStateOf(const std::string& failure_domain);
  // Time since the current state was first seen.
  Duration LeaderStateAge(const std::string& failure_domain);

  // True if this node has pinged the domain's leader at `since` or later and
  // got no response in time. Until then, a leader that counts as silent may
  // only not have been asked.
  bool HasMissedPing(const std::string& failure_domain, TimePoint since) const;

  // The last status of the domain reported by its leader, or null.
  const LeadershipStatus* Status(const std::string& failure_domain) const;

  // What the domain's leader knows of the store, or null if it is not alive.
  const StoreStatus* LeaderStoreStatus(const std::string& failure_domain);
  // True if the store responds to some other leader that is alive.
  bool IsStoreConnectedToLeaderOtherThan(const std::string& instance);

  // Converts `time` to the clock of the process `incarnation` at `peer`. The
  // result is never later than `time`; nullopt unless that process has sent the
  // peer's last response.
  std::optional<std::int64_t> ToClockOf(const Address& peer,
                                        const std::string& incarnation,
                                        TimePoint time) const;

  // Forwards a job to a peer; sets the number of the message. Until the request
  // ends, pings tell the peer that this process waits for the job; if it ends
  // without a response, they tell it that the process does not.
  //
  // Returns a number for `Cancel`.
  std::uint64_t Forward(const Address& peer,
                        ForwardedJob message,
                        Duration timeout,
                        http::ClientCallback callback);
  // Sends any other request to a peer.
  //
  // Returns a number for `Cancel`.
  std::uint64_t Send(const Address& peer,
                     http::Request request,
                     Duration timeout,
                     http::ClientCallback callback);
  // Resets the connection of the request; its callback does not run.
  void Cancel(std::uint64_t request);
  // Number of jobs forwarded to `peer` whose requests have not ended.
  std::size_t jobs_in_flight(const Address& peer) const {
    const auto it = jobs_in_flight_.find(peer);
    return it == jobs_in_flight_.end() ? 0 : it->second;
  }

 private:
  struct Peer {
    std::string incarnation;
    TimePoint last_response;
    TimePoint last_ping;
    // When the last ping that timed out was sent.
    TimePoint missed_ping;
    // When it last responded to a leader that reported on it.
    TimePoint last_relayed;
    std::int64_t clock_us = 0;
    std::uint32_t consecutive_refusals = 0;
    std::uint32_t pending_pings = 0;
    std::vector<LeadershipStatus> statuses;
    StoreStatus store;
    // Sequence number up to which its losses of upstreams are known.
    std::uint64_t losses_until = 0;
  };
  struct MonitoredLeader {
    LeaderRecord record;
    std::uint64_t token = 0;
    control::LeaderState state = control::LeaderState::kNone;
    TimePoint state_since;
    TimePoint monitored_since;
    // Only for a predecessor: the upstreams that it holds, until its first
    // response.
    std::vector<std::string> held_upstreams;
  };

  struct Destination {
    Address address;
    // 0 unless the request forwards a job.
    control::ForwardNumber forward = 0;
  };

  using MonitoredLeaders = std::map<std::string, MonitoredLeader>;

  const LeadershipStatus* StatusAt(const Address& address,
                                   const std::string& failure_domain) const;
  void PingDue();
  // Pings `leaders`, all predecessors and the nodes at which jobs of this node
  // are.
  void PingAddresses(const std::set<Address>& leaders);
  bool IsPingDue(const std::string& failure_domain,
                 const MonitoredLeader& monitored,
                 TimePoint now) const;
  std::string EncodePingTo(const Address& address);
  // True if this node may come to lead upstreams that the leader at `address`
  // leads now, or to get jobs from there.
  bool NeedsLossesOf(const Address& address,
                     const std::string& own_domain) const;
  std::uint64_t SendTo(const Destination& destination,
                       http::Request request,
                       Duration timeout,
                       http::ClientCallback callback);
  // Sends a ping, and calls `on_end` after its result has been processed.
  void SendPing(const Address& address, std::function<void()> on_end);
  void OnPingResult(const Address& address,
                    TimePoint sent,
                    const http::ClientResult& result);
  void OnRelayedStatus(const RelayedStatus& relayed, TimePoint now);
  // `is_withdrawn` if the peer may go on with the forwarded job.
  void OnRequestEnded(const Destination& destination, bool is_withdrawn);
  // True if the address is that of a leader or predecessor that is monitored.
  bool IsMonitored(const Address& address) const;
  control::LeaderState ComputeState(const std::string& failure_domain,
                                    const MonitoredLeader& monitored,
                                    TimePoint now) const;

  Runtime& runtime_;
  PeerOptions options_;
  std::function<Ping()> ping_;
  std::function<void(const Address&, const PingResponse&)> on_response_;
  MonitoredLeaders monitored_;
  MonitoredLeaders predecessors_;
  // By failure domain and the incarnation of the leader that delegated it.
  std::map<std::pair<std::string, std::string>, Delegation> delegations_;
  std::map<Address, Peer> peers_;
  bool uses_relays_ = false;
  std::map<Address, std::size_t> jobs_in_flight_;
  control::ForwardNumber last_forward_ = 0;
  control::Withdrawals withdrawals_;
  // Destinations of the requests that have not ended, by number.
  std::map<std::uint64_t, Destination> destinations_;
  // Declared after the members that the callbacks of pending requests use,
  // because the destructors run these callbacks.
  http::Client ping_client_;
  http::Client request_client_;
  Timer timer_;
};

}  // namespace jaypick::node

#endif  // JAYPICK_NODE_PEERS_H_
