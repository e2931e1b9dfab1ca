// JSON messages between nodes.
#ifndef JAYPICK_NODE_PEER_MESSAGES_H_
#define JAYPICK_NODE_PEER_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "control/job_registry.h"
#include "control/withdrawals.h"
#include "jaypick/instance.h"
#include "jaypick/time.h"
#include "node/prefix_mirror.h"
#include "schedule/crash_history.h"
#include "schedule/job_spec.h"
#include "schedule/messages.h"
#include "schedule/scheduler.h"

namespace jaypick::node {

inline constexpr char kForwardedJobPath[] = "/v1/peer/jobs";
inline constexpr char kRegistrationPath[] = "/v1/peer/registrations";
inline constexpr char kPingPath[] = "/v1/peer/ping";
inline constexpr char kSnapshotPath[] = "/v1/peer/view";
inline constexpr char kDelegationPath[] = "/v1/peer/command";

// A time on the clock of one process. Clocks of different processes cannot be
// compared, not even those of one instance.
struct ProcessTime {
  std::string incarnation;
  std::int64_t clock_us = 0;

  friend bool operator==(const ProcessTime&, const ProcessTime&) = default;
};

// Where runs of a job may be active, and for how long.
struct JobLocation {
  control::Leadership leadership;
  Duration time_left{0};

  friend bool operator==(const JobLocation&, const JobLocation&) = default;
};

// A job that is forwarded to the leader of a domain.
struct ForwardedJob {
  schedule::JobSpec spec;
  std::string failure_domain;
  // The instance that received the job from the caller.
  std::string instance;
  // Time since the job arrived at that instance.
  Duration elapsed{0};
  // Deadline on the receiver's clock. The sender estimates that clock such that
  // the deadline is never later than intended. The receiver refuses jobs that
  // arrive after it.
  std::int64_t deadline_us = 0;
  // Number of the request at the process that sends it.
  control::ForwardNumber number = 0;
  // Time of sending on the sender's clock. Orders the requests of a process for
  // one job, which may arrive on different connections in any order.
  std::int64_t sent_us = 0;
  // The same on the receiver's clock, like the deadline never too late. Absent
  // in messages of nodes of earlier versions.
  std::optional<std::int64_t> sent_at_us;
  // The only process that may accept the job. The times on the receiver's clock
  // are meant for it, and runs of an earlier submission may be active under its
  // leadership. Empty in messages of nodes of earlier versions.
  std::string required_incarnation;
  // The process of the instance that received the job.
  std::string entry_incarnation;
  // If not empty, this process has refused the job after it was registered
  // there, and has no run of it.
  std::string inactive_at;
  // First fencing token of the leader that registered the job for another
  // domain than that of its entry; 0 in the own domain.
  std::uint64_t registrar_token = 0;

  friend bool operator==(const ForwardedJob&, const ForwardedJob&) = default;
};

struct ForwardedJobResponse {
  schedule::JobOutcome outcome;
  // The receiver does not lead the domain and has not processed the job.
  bool is_not_leader = false;
  // The receiver is handing the domain over, has no run of the job and will not
  // start one.
  bool is_inactive = false;
  // The receiver has not processed the job, as runs of it may be active
  // elsewhere.
  std::optional<JobLocation> active;
};

// Asks the leader of an entry's own domain whether the entry may submit a job
// to another domain.
struct RegistrationRequest {
  std::string job;
  std::string failure_domain;
  // The process that asks.
  std::string owner;
  // Where it is going to submit the job.
  JobLocation destination;
  // As in `ForwardedJob`.
  std::string inactive_at;

  friend bool operator==(const RegistrationRequest&,
                         const RegistrationRequest&) = default;
};

struct RegistrationResponse {
  // The receiver does not lead the domain, or does not know yet where its jobs
  // are.
  bool is_not_leader = false;
  // Runs of the job may be active there, so it must not be submitted elsewhere.
  std::optional<JobLocation> active;
  // The receiver's first fencing token.
  std::uint64_t token = 0;
};

// One entry of a `control::JobRegistry`.
struct ReportedJob {
  std::string job;
  std::string owner;
  bool is_located = false;
  JobLocation location;

  friend bool operator==(const ReportedJob&, const ReportedJob&) = default;
};

// Jobs of the callers of one domain, and where their runs may be active.
struct DomainJobs {
  std::string failure_domain;
  // The sender has led the domain and accepts no more jobs for it. All of its
  // jobs and registrations are included.
  bool is_of_earlier_leader = false;
  // First fencing token of the leader that has asked for the jobs; 0 in
  // messages of nodes of earlier versions.
  std::uint64_t token = 0;
  std::vector<ReportedJob> jobs;

  friend bool operator==(const DomainJobs&, const DomainJobs&) = default;
};

// State of a domain as reported by its leader.
struct LeadershipStatus {
  std::string failure_domain;
  bool is_draining = false;
  // Upstreams that a draining leader has not released yet.
  std::vector<std::string> held_upstreams;
  // The instance to which a draining leader hands over; empty if any may
  // follow.
  std::string successor;
  schedule::LoadReport load;

  friend bool operator==(const LeadershipStatus&,
                         const LeadershipStatus&) = default;
};

// What the leader of one domain has heard from the leader of another.
struct RelayedStatus {
  LeadershipStatus status;
  // The process that leads the domain.
  std::string incarnation;
  // Time since it responded.
  Duration age{0};

  friend bool operator==(const RelayedStatus&, const RelayedStatus&) = default;
};

// The leader of a domain as recorded in the store. Also describes an instance
// that may become leader.
struct LeaderRecord {
  std::string instance;
  std::string failure_domain;
  std::string incarnation;
  Address address;
  // Share of a processor that the instance may use.
  double processor_share = 0;

  friend bool operator==(const LeaderRecord&, const LeaderRecord&) = default;
};

// Hand-over of a domain from its leader to another instance without the store.
struct Delegation {
  std::string failure_domain;
  LeaderRecord from;
  LeaderRecord to;
  // First fencing token of the new leader.
  std::uint64_t token = 0;
  // Upstreams that the old leader has not released yet.
  std::vector<std::string> held_upstreams;

  friend bool operator==(const Delegation&, const Delegation&) = default;
};

// A delegation with what the new leader needs to know and cannot read from the
// store.
struct DelegationOffer {
  Delegation delegation;
  // The upstreams of the domain as listed in the store.
  MirroredItems upstreams;

  friend bool operator==(const DelegationOffer&,
                         const DelegationOffer&) = default;
};

struct DelegationResponse {
  bool is_accepted = false;

  friend bool operator==(const DelegationResponse&,
                         const DelegationResponse&) = default;
};

// A domain that a leader has taken over, and its first fencing token there.
struct TakenOverDomain {
  std::string failure_domain;
  std::uint64_t token = 0;

  friend bool operator==(const TakenOverDomain&,
                         const TakenOverDomain&) = default;
};

struct Ping {
  LeaderRecord sender;
  bool is_draining = false;
  // Domains whose leadership this instance requests because it is the better
  // choice.
  std::vector<std::string> requested_domains;
  // Requests the losses of upstreams that the receiver has seen after this
  // sequence number. Absent if the sender does not need them.
  std::optional<std::uint64_t> losses_after;
  // Domains whose jobs the sender asks for, see `PingResponse::jobs`.
  std::vector<TakenOverDomain> taken_over;
  // When the sender last knew which of its callers waited, on the receiver's
  // clock and never too late. Without an incarnation before the receiver's
  // first response; absent in messages of nodes of earlier versions.
  std::optional<ProcessTime> sent;
  // Requests that forwarded a job to the receiver and ended without a response
  // before then. The sender does not wait for these jobs.
  std::vector<control::ForwardNumber> withdrawn;

  friend bool operator==(const Ping&, const Ping&) = default;
};

// What an instance knows of the store.
struct StoreStatus {
  // The store responds to the instance.
  bool is_connected = false;
  // Revisions of the mirrored parts of the store.
  std::int64_t configuration_revision = 0;
  std::int64_t upstream_revision = 0;
  std::int64_t leader_revision = 0;

  friend bool operator==(const StoreStatus&, const StoreStatus&) = default;
};

struct PingResponse {
  // The sender's clock, in microseconds.
  std::int64_t clock_us = 0;
  // Identifies one run of the process.
  std::string incarnation;
  std::uint64_t configuration_version = 0;
  std::vector<LeadershipStatus> statuses;
  // Delegations made by the sender since its process started.
  std::vector<Delegation> delegations;
  StoreStatus store;
  // Other domains, if the sender leads one. They spare most nodes the pings to
  // the leaders of other domains.
  std::vector<RelayedStatus> relayed;
  // Losses of upstreams, if the ping requested them, and the sequence number up
  // to which they are complete.
  std::vector<schedule::UpstreamLoss> losses;
  std::uint64_t losses_until = 0;
  // Jobs of the callers of the domains that the sender of the ping has taken
  // over, as far as they are active under the receiver's leaderships. Absent
  // while the receiver, as an earlier leader of the domain, does not know all
  // of them.
  std::vector<DomainJobs> jobs;
  // The withdrawals in the ping, whose jobs the sender of this response has
  // dropped.
  std::vector<control::ForwardNumber> withdrawn;

  friend bool operator==(const PingResponse&, const PingResponse&) = default;
};

// A node's knowledge of the store, or what has changed in it, and of
// delegations that are not in it.
struct StoreSnapshot {
  std::vector<MirrorChanges> mirrors;
  std::vector<Delegation> delegations;
};

std::string Encode(const ForwardedJob& message);
std::string Encode(const ForwardedJobResponse& message);
std::string Encode(const RegistrationRequest& message);
std::string Encode(const RegistrationResponse& message);
std::string Encode(const Ping& message);
std::string Encode(const PingResponse& message);
std::string Encode(const LeaderRecord& record);
std::string Encode(const Delegation& delegation);
std::string Encode(const DelegationOffer& offer);
std::string Encode(const DelegationResponse& response);
std::string Encode(const StoreSnapshot& snapshot);

// Return nullopt if the text is malformed.
std::optional<ForwardedJob> DecodeForwardedJob(std::string_view text);
std::optional<ForwardedJobResponse> DecodeForwardedJobResponse(
    std::string_view text);
std::optional<RegistrationRequest> DecodeRegistrationRequest(
    std::string_view text);
std::optional<RegistrationResponse> DecodeRegistrationResponse(
    std::string_view text);
std::optional<Ping> DecodePing(std::string_view text);
std::optional<PingResponse> DecodePingResponse(std::string_view text);
std::optional<LeaderRecord> DecodeLeaderRecord(std::string_view text);
std::optional<Delegation> DecodeDelegation(std::string_view text);
std::optional<DelegationOffer> DecodeDelegationOffer(std::string_view text);
std::optional<DelegationResponse> DecodeDelegationResponse(
    std::string_view text);
std::optional<StoreSnapshot> DecodeStoreSnapshot(std::string_view text);

}  // namespace jaypick::node

#endif  // JAYPICK_NODE_PEER_MESSAGES_H_
