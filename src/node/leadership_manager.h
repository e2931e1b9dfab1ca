// Commands that this node holds, and those that it takes over.
#ifndef JAYPICK_NODE_LEADERSHIP_MANAGER_H_
#define JAYPICK_NODE_LEADERSHIP_MANAGER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "control/election.h"
#include "jaypick/watchable_store.h"
#include "node/domain_leader.h"
#include "node/peers.h"
#include "node/runtime.h"
#include "node/settings.h"
#include "node/store_view.h"
#include "node/upstream_client.h"

namespace jaypick::node {

// Takes the command of a domain by a record in the store and gives it up again.
//
// The record only decides who tries. What makes a command exclusive is the
// fencing token, which rises with the store's revision.
class LeadershipManager {
 public:
  // A node that pings this one.
  struct Peer {
    LeaderRecord record;
    bool is_draining = false;
    TimePoint last_heard;
  };

  LeadershipManager(Runtime& runtime,
                    const NodeSettings& settings,
                    std::string incarnation,
                    WatchableStore& store,
                    StoreView& view,
                    Peers& peers,
                    UpstreamClient& upstream_client);
  ~LeadershipManager();
  LeadershipManager(const LeadershipManager&) = delete;
  LeadershipManager& operator=(const LeadershipManager&) = delete;

  void Start();

  // The commander of `failure_domain` here, or null.
  DomainLeader* Find(const std::string& failure_domain);

  // The view's upstreams or command records have changed.
  void OnUpstreamsChanged();
  void OnLeadersChanged();
  // The process did not run for a while.
  void OnPause();
  // A peer has answered; a predecessor may have given up upstreams.
  void OnPeerAnswer();
  // A peer asks; it may be the successor, or become it.
  void OnPing(const Ping& ping);
  // The holder of a command offers it to this node. `answer` runs at most once.
  void OnDelegation(const Delegation& delegation,
                    std::function<void(bool is_accepted)> answer);

  // Hands the command of a domain to whoever takes it next; until then jobs are
  // taken as before.
  void Resign(const std::string& failure_domain, std::string_view cause);
  void ResignAll();

  // The domain of this node, if another node holds its command.
  std::vector<std::string> RequestedDomains();
  std::vector<LeadershipStatus> Statuses();
  bool leads_any_domain() const { return !held_.empty(); }
  const std::vector<Delegation>& delegations() const { return delegations_; }
  // By instance; holders hear of all nodes that use their domains.
  const std::map<std::string, Peer>& known_peers() const {
    return known_peers_;
  }
  // What a record says of this node.
  LeaderRecord OwnRecord() const;

 private:
  struct HeldDomain {
    std::unique_ptr<DomainLeader> domain_leader;
    // Of the record that won the command, also if it was delegated.
    std::int64_t revision = 0;
    std::int64_t lease = 0;
    // The store said that the lease of the record has ended.
    bool has_record_gone = false;
    bool is_renewing = false;
    TimePoint renewed;
    bool is_yielded = false;
    TimePoint yielded;
    // Upstreams that the predecessor has not given up yet.
    std::set<std::string> withheld;
    // Last token that was offered to a successor, and to whom.
    std::uint64_t offered_token = 0;
    std::set<std::string> offered_to;
    bool is_offering = false;
    bool is_delegated = false;
  };

  struct Predecessor {
    LeaderRecord record;
    // Upstreams that it has not given up, if it has told.
    std::vector<std::string> held;
  };

  // How long the upstreams of a domain have answered, while its holder is
  // silent.
  struct DomainReachability {
    TimePoint answering_since;
    TimePoint last_answer;
    TimePoint last_probe;
  };

  void Tick();
  void ConsiderElection(const std::string& failure_domain, TimePoint now);
  void CheckHeld(const std::string& failure_domain,
                 HeldDomain& held,
                 TimePoint now);
  void ProbeReachability(const std::string& failure_domain, TimePoint now);
  Duration ReachableFor(const std::string& failure_domain, TimePoint now) const;
  // Calls `on_answer` for each upstream of a few that answers.
  void Probe(const std::string& failure_domain,
             const std::function<void()>& on_answer);
  void ProbeAndClaim(const std::string& failure_domain,
                     std::int64_t expected_revision);
  void Claim(const std::string& failure_domain, std::int64_t expected_revision);
  void WriteRecord(const std::string& failure_domain,
                   std::int64_t lease,
                   std::int64_t expected_revision);
  // `token` is the first one of this holder.
  void Hold(const std::string& failure_domain,
            std::int64_t lease,
            std::int64_t revision,
            std::uint64_t token);
  // Another node's record has replaced the one that won the command.
  bool HasSuccessor(const std::string& failure_domain,
                    const HeldDomain& held) const;
  // Offers a command to another instance, without the store.
  void Offer(const std::string& failure_domain,
             HeldDomain& held,
             TimePoint now);
  void OnOfferAnswer(const Delegation& delegation, bool is_accepted);
  void Renew(const std::string& failure_domain,
             HeldDomain& held,
             TimePoint now);
  void OnStaleView(const std::string& failure_domain);
  void Lose(const std::string& failure_domain, std::string_view cause);
  void RetireLost();
  bool IsOwn(const LeaderRecord& record) const;
  Duration Rank(const std::string& failure_domain) const;

  Runtime& runtime_;
  const NodeSettings& settings_;
  std::string incarnation_;
  WatchableStore& store_;
  StoreView& view_;
  Peers& peers_;
  UpstreamClient& upstream_client_;
  std::map<std::string, HeldDomain> held_;
  // Claims under way.
  std::map<std::string, TimePoint> claiming_;
  // The holder at the time of the claim; once the claim shows in the store, it
  // is followed no more.
  std::map<std::string, Predecessor> predecessors_;
  // Since when a domain has had no record.
  std::map<std::string, TimePoint> absent_;
  std::map<std::string, DomainReachability> paths_;
  // Revision of the last command that was lost or handed over here. The mirror
  // may go on showing its record for a while.
  std::map<std::string, std::int64_t> given_up_revisions_;
  // When the store last contradicted the mirror.
  std::map<std::string, TimePoint> stale_;
  std::map<std::string, Peer> known_peers_;
  std::vector<Delegation> delegations_;
  // Commanders that end once their callers have returned.
  std::vector<std::unique_ptr<DomainLeader>> retired_;
  bool is_draining_ = false;
  TimePoint started_;
  Timer timer_;
  // Commands are found lost deep inside other calls; they are dropped later.
  Timer lost_timer_;
  std::shared_ptr<bool> is_alive_;
};

}  // namespace jaypick::node

#endif  // JAYPICK_NODE_LEADERSHIP_MANAGER_H_
