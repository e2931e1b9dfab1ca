// HTTP interface of a node to other nodes: forwarded jobs, pings, delegations
// and snapshots of the store view.
#ifndef JAYPICK_NODE_PEER_SERVER_H_
#define JAYPICK_NODE_PEER_SERVER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "control/forwarding_lease.h"
#include "http/server.h"
#include "node/leadership_manager.h"
#include "node/peer_messages.h"
#include "node/peers.h"
#include "node/runtime.h"
#include "node/settings.h"
#include "node/snapshot_exchange.h"
#include "node/store_view.h"

namespace jaypick::node {

class PeerServer {
 public:
  PeerServer(Runtime& runtime,
             const NodeSettings& settings,
             std::string incarnation,
             LeadershipManager& leadership_manager,
             StoreView& view,
             Peers& peers,
             SnapshotExchange& snapshot_exchange);
  ~PeerServer();
  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

  std::size_t open_calls() const { return forwarded_jobs_.size(); }
  std::uint16_t port() const { return server_.port(); }
  const http::ServerCounters& counters() const { return server_.counters(); }

 private:
  struct Job {
    control::ForwardNumber number = 0;
    // Time of sending on the clocks of the entry and of this node.
    std::int64_t sent_us = 0;
    TimePoint sent_at;
    std::string instance;
    // The process that forwarded the job.
    std::string entry_incarnation;
    std::string failure_domain;
    std::string id;
    std::uint64_t waiter = 0;
    std::unique_ptr<http::Responder> responder;
  };

  void OnForwardedJob(const http::Request& request, http::Responder responder);
  void OnRegistration(const http::Request& request, http::Responder responder);
  void OnPing(const http::Request& request, http::Responder responder);
  // When the sender of the request was last known to wait for its outcome.
  TimePoint AttendedAt(std::uint64_t number) const;
  // Extends the lease of the jobs that the sender has forwarded.
  void ExtendLease(const Ping& ping);
  void DropWithdrawnJobs(const Ping& ping);
  void OnDelegation(const http::Request& request, http::Responder responder);
  void OnJobResult(std::uint64_t number, const JobResult& result);
  ForwardedJobResponse ResponseFor(const Job& job,
                                   const schedule::JobEnded& ended) const;
  ForwardedJobResponse ResponseFor(const Job& job,
                                   const control::RegisteredJob& active) const;
  bool IsOutdated(const ForwardedJob& message) const;
  // Requests of the same process for the same job that have not ended.
  std::vector<std::uint64_t> ForwardsOf(const ForwardedJob& message) const;
  void RemoveWaiter(std::uint64_t number, std::string_view cause);
  void OnLeaseCheck();
  void DropJobsWithExpiredLeases();

  Runtime& runtime_;
  const NodeSettings& settings_;
  std::string incarnation_;
  LeadershipManager& leadership_manager_;
  StoreView& view_;
  Peers& peers_;
  SnapshotExchange& snapshot_exchange_;
  std::map<std::uint64_t, Job> forwarded_jobs_;
  control::ForwardingLeases leases_;
  std::uint64_t last_number_ = 0;
  Timer timer_;
  http::Server server_;
};

}  // namespace jaypick::node

#endif  // JAYPICK_NODE_PEER_SERVER_H_
