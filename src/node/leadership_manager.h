// Leadership of failure domains: elections, lease renewal and hand-over.
#ifndef JAYPICK_NODE_LEADERSHIP_MANAGER_H_
#define JAYPICK_NODE_LEADERSHIP_MANAGER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
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
#include "schedule/crash_history.h"
#include "schedule/memory_budget.h"

namespace jaypick::node {

// Acquires the leadership of failure domains through a leader record in the
// store, keeps its lease alive, and resigns.
//
// The record only decides which node tries to lead. Exclusiveness comes from
// the fencing token, which is derived from the store revision of the record:
// upstreams reject requests with a lower token than they have seen.
class LeadershipManager {
 public:
  // A node that has pinged this one.
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

  // The leader of `failure_domain` if it is led by this node, or null.
  DomainLeader* Find(const std::string& failure_domain);

  // Called when the upstreams or the leader records of the store view change.
  void OnUpstreamsChanged();
  void OnLeadersChanged();
  // Called when the operators evacuate failure domains or take them back.
  void OnEvacuationsChanged();
  // Called after the process was paused, e.g. because the machine was
  // suspended.
  void OnPause();
  // Called after each ping response. It may show that a predecessor has
  // released upstreams, and which upstreams the sender has lost.
  void OnPingResponse(const PingResponse& response);
  // Called for each ping that arrives. The sender may be the successor of a
  // domain or a candidate for it.
  void OnPing(const Ping& ping);
  // The jobs that the sender of a ping asks for.
  std::vector<DomainJobs> JobsFor(const Ping& ping);
  // True if a later leader of `failure_domain` has asked for its jobs than the
  // one with this first fencing token, which it does not know of.
  bool IsOutdatedRegistrar(const std::string& failure_domain,
                           std::uint64_t token) const;
  // Domains that this node leads without knowing yet where their jobs are.
  std::vector<TakenOverDomain> TakenOverDomains() const;
  // Handles the offer of another leader to delegate a domain to this node.
  // `respond` runs at most once.
  void OnDelegation(const DelegationOffer& offer,
                    std::function<void(bool is_accepted)> respond);

  // Starts to hand over the leadership of a domain. Jobs are accepted until a
  // successor takes over or the wait for one times out. `successor` is the
  // instance that has asked for the domain, or empty.
  void Resign(const std::string& failure_domain,
              std::string_view cause,
              const std::string& successor);
  void ResignAll();

  // Returns the failure domain of this node if another node leads it and this
  // node is the better choice, else an empty list.
  std::vector<std::string> RequestedDomains();
  std::vector<LeadershipStatus> Statuses();
  // Runs in each domain that this node leads.
  std::map<std::string, std::size_t> RunningTasks() const;
  bool leads_any_domain() const { return !held_domains_.empty(); }
  const std::vector<Delegation>& delegations() const { return delegations_; }
  // Upstreams that this node and its peers have lost.
  const schedule::CrashHistory& crash_history() const {
    return *crash_history_;
  }
  // Another process waits for the jobs that it has forwarded here.
  void OnAttended();
  // Memory for all jobs of the instance, and for the runs of its leaderships.
  schedule::MemoryBudget& job_memory() const { return *job_memory_; }
  const schedule::MemoryBudget& run_memory() const { return *run_memory_; }
  // By instance name. Every node pings the leaders of its domains, so a leader
  // learns of all nodes that use them.
  const std::map<std::string, Peer>& known_peers() const {
    return known_peers_;
  }
  // The leader record that this node writes.
  LeaderRecord OwnRecord() const;

 private:
  // What a new leader knows of the jobs that may be active under others.
  struct TakeOver {
    TimePoint since;
    // The process of the predecessor, or empty if none is known.
    std::string predecessor;
    bool has_predecessor_reported = false;
    // Since when the predecessor is known to have ended without a report.
    std::optional<TimePoint> predecessor_ended;
    // The processes that have reported theirs.
    std::set<std::string> reporters;
  };

  struct HeldDomain {
    std::unique_ptr<DomainLeader> domain_leader;
    // Store revision of the leader record that the fencing tokens are derived
    // from. After a delegation that is the record of the first leader in the
    // chain.
    std::int64_t revision = 0;
    std::int64_t lease = 0;
    // The store reported that the lease of the leader record has expired.
    bool has_lease_expired = false;
    bool is_renewing = false;
    TimePoint last_renewal;
    bool has_resigned = false;
    TimePoint resigned_at;
    // The instance that has asked for the domain, or empty.
    std::string successor;
    // Upstreams that the predecessor has not released yet.
    std::set<std::string> predecessor_upstreams;
    // When the store accepted the claim; absent after a delegation.
    std::optional<TimePoint> claimed_at;
    // The highest fencing token offered to a successor so far, and the
    // incarnations that were offered one.
    std::uint64_t offered_token = 0;
    // Only while the domain's leader holds submissions back.
    TakeOver take_over;
    std::set<std::string> offered_to;
    bool is_offering = false;
    bool is_delegated = false;
    // Since when the leader has released all upstreams and has no job.
    std::optional<TimePoint> idle_since;
    // A successor knows the jobs of this leader.
    bool has_reported_jobs = false;
  };

  struct HandedOverJobs {
    std::vector<control::RegisteredJob> jobs;
    std::set<std::string> offered_to;
  };

  struct Predecessor {
    LeaderRecord record;
    // Upstreams that it has not released, as stated in its delegation; empty if
    // the leadership was not delegated.
    std::vector<std::string> held_upstreams;
  };

  // Since when upstreams of a domain have been reachable from this node while
  // the domain's leader is silent.
  struct DomainReachability {
    TimePoint reachable_since;
    TimePoint last_response;
    TimePoint last_probe;
  };

  void Tick();
  // Time from which no run may start, see `control::StartLimit`.
  TimePoint StartLimit(const HeldDomain& held_domain);
  void CheckUpstreamListAge(TimePoint now);
  // Accepts jobs once no job of an earlier leader can be active unknown to this
  // node.
  void ConsiderResumingJobs(TimePoint now);
  bool KnowsActiveJobs(const std::string& failure_domain,
                       HeldDomain& held_domain,
                       TimePoint now);
  bool HaveOtherDomainsReported(const std::string& failure_domain,
                                const TakeOver& take_over);
  bool IsHoldingJobs() const;
  void ImportJobs(const PingResponse& response);
  // True once the leader has nothing left to do for its successor.
  bool IsHandedOver(HeldDomain& held_domain, TimePoint now) const;
  void ConsiderElection(const std::string& failure_domain, TimePoint now);
  // True while this node leads a domain or tries to.
  bool NeedsUpstreams(TimePoint now) const;
  bool HasUpstreams(const std::string& failure_domain) const;
  void UpdateHeldDomain(const std::string& failure_domain,
                        HeldDomain& held_domain,
                        TimePoint now);
  void ProbeReachability(const std::string& failure_domain, TimePoint now);
  Duration ReachableFor(const std::string& failure_domain, TimePoint now) const;
  // Polls a few upstreams of the domain. Calls `on_response` for each that
  // responds.
  void Probe(const std::string& failure_domain,
             const std::function<void()>& on_response);
  void ProbeAndClaim(const std::string& failure_domain,
                     std::int64_t expected_revision,
                     control::LeaderState state);
  void ConfirmAndClaim(const std::string& failure_domain,
                       std::int64_t expected_revision,
                       control::LeaderState state);
  void Claim(const std::string& failure_domain, std::int64_t expected_revision);
  void WriteRecord(const std::string& failure_domain,
                   std::int64_t lease,
                   std::int64_t expected_revision);
  // Starts to lead the domain. `token` is the first fencing token of this
  // leader.
  void BecomeLeader(const std::string& failure_domain,
                    std::int64_t lease,
                    std::int64_t revision,
                    std::uint64_t token);
  // True if the store view shows a leader record of another node that is newer
  // than this node's record.
  bool HasSuccessor(const std::string& failure_domain,
                    const HeldDomain& held_domain) const;
  // Offers the leadership to another instance directly, without the store.
  void OfferDelegation(const std::string& failure_domain,
                       HeldDomain& held_domain,
                       TimePoint now);
  void OnDelegationResponse(const Delegation& delegation, bool is_accepted);
  void Renew(const std::string& failure_domain,
             HeldDomain& held_domain,
             TimePoint now);
  void OnStaleView(const std::string& failure_domain);
  void OnLeadershipLost(const std::string& failure_domain,
                        std::string_view cause);
  void RetireLostLeaders();
  bool IsOwn(const LeaderRecord& record) const;
  Duration RankDelay(const std::string& failure_domain,
                     control::LeaderState state) const;

  Runtime& runtime_;
  const NodeSettings& settings_;
  std::string incarnation_;
  WatchableStore& store_;
  StoreView& view_;
  Peers& peers_;
  UpstreamClient& upstream_client_;
  std::map<std::string, HeldDomain> held_domains_;
  // Claims in progress, with the time of the last attempt; `TimePoint::max()`
  // while the record is being written.
  std::map<std::string, TimePoint> claims_;
  // Store revisions of the leader records, as last seen.
  std::map<std::string, std::int64_t> known_revisions_;
  // The leader at the time of the claim. It has to be saved because `Peers`
  // stops monitoring it once the store shows the new record.
  std::map<std::string, Predecessor> predecessors_;
  // Since when a domain has had no leader record.
  std::map<std::string, TimePoint> record_absent_since_;
  std::map<std::string, DomainReachability> reachability_;
  // Store revision of the record of the last leadership that this node lost or
  // handed over. The mirror may lag and still show this record.
  std::map<std::string, std::int64_t> former_revisions_;
  // When a response of the store last showed that the mirror lags behind.
  std::map<std::string, TimePoint> stale_view_times_;
  std::map<std::string, Peer> known_peers_;
  // What the operators asked for when it was last logged.
  std::set<std::string> logged_evacuations_;
  std::vector<Delegation> delegations_;
  // What leaderships that were handed over would report.
  std::map<std::string, HandedOverJobs> handed_over_jobs_;
  // First fencing tokens of the last leaders that have asked for their jobs.
  std::map<std::string, std::uint64_t> registrar_tokens_;
  // Jobs and registrations of leaderships that were lost.
  std::map<std::string, std::vector<control::RegisteredJob>> lost_jobs_;
  // Position in a domain's upstreams from which the next ones are probed.
  std::size_t next_probe_ = 0;
  // This node reads the list of upstreams until then, as it may claim a domain.
  TimePoint upstreams_wanted_until_;
  // When the list of upstreams was last read because it had become too old.
  TimePoint upstreams_refreshed_;
  // Former leaders, which are destroyed at the next tick because they may still
  // be on the call stack.
  std::vector<std::unique_ptr<DomainLeader>> retired_;
  bool is_draining_ = false;
  TimePoint started_;
  schedule::CrashHistoryPointer crash_history_;
  schedule::MemoryBudgetPointer job_memory_;
  schedule::MemoryBudgetPointer run_memory_;
  Timer timer_;
  // A domain leader detects its loss deep inside other calls, so the clean-up
  // is deferred to the event loop.
  Timer lost_timer_;
  std::shared_ptr<bool> is_alive_;
};

}  // namespace jaypick::node

#endif  // JAYPICK_NODE_LEADERSHIP_MANAGER_H_
