// Messages between nodes, as JSON.
#ifndef JAYPICK_NODE_PEER_MESSAGES_H_
#define JAYPICK_NODE_PEER_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jaypick/instance.h"
#include "jaypick/time.h"
#include "node/prefix_mirror.h"
#include "schedule/job_spec.h"
#include "schedule/messages.h"
#include "schedule/scheduler.h"

namespace jaypick::node {

inline constexpr char kForwardedJobPath[] = "/v1/peer/jobs";
inline constexpr char kPingPath[] = "/v1/peer/ping";
inline constexpr char kViewPath[] = "/v1/peer/view";
inline constexpr char kDelegationPath[] = "/v1/peer/command";

// A job on its way to the commander of a domain.
struct ForwardedJob {
  schedule::JobSpec spec;
  std::string failure_domain;
  // The instance that the caller talks to.
  std::string instance;
  // Time since the job's arrival there.
  Duration elapsed{0};
  // On the receiver's clock, as its sender estimates it, and never later than
  // meant. A message that was held up is refused by it.
  std::int64_t deadline_us = 0;

  friend bool operator==(const ForwardedJob&, const ForwardedJob&) = default;
};

struct ForwardedJobResponse {
  schedule::JobOutcome outcome;
  // The receiver does not command the domain; the job was not looked at.
  bool is_not_leader = false;
};

// State of a domain's command at its holder.
struct LeadershipStatus {
  std::string failure_domain;
  bool is_draining = false;
  // Upstreams that a draining holder has not given up yet.
  std::vector<std::string> held_upstreams;
  schedule::LoadReport load;

  friend bool operator==(const LeadershipStatus&,
                         const LeadershipStatus&) = default;
};

// The holder of a domain's command, as the store shows it; also an instance
// that may become one.
struct LeaderRecord {
  std::string instance;
  std::string failure_domain;
  std::string incarnation;
  Address address;
  // Part of a processor that the holder has.
  double processor_share = 0;

  friend bool operator==(const LeaderRecord&, const LeaderRecord&) = default;
};

// A command that its holder gives to another instance without the store.
struct Delegation {
  std::string failure_domain;
  LeaderRecord from;
  LeaderRecord to;
  // First fencing token of the new holder.
  std::uint64_t token = 0;
  // Upstreams that the old holder has not given up yet.
  std::vector<std::string> held_upstreams;

  friend bool operator==(const Delegation&, const Delegation&) = default;
};

struct DelegationResponse {
  bool is_accepted = false;

  friend bool operator==(const DelegationResponse&,
                         const DelegationResponse&) = default;
};

struct Ping {
  LeaderRecord sender;
  bool is_draining = false;
  // Domains whose command this instance asks for, being better placed.
  std::vector<std::string> requested_domains;

  friend bool operator==(const Ping&, const Ping&) = default;
};

struct PingResponse {
  // The sender's clock.
  std::int64_t clock_us = 0;
  // One life of the process.
  std::string incarnation;
  std::uint64_t configuration_version = 0;
  std::vector<LeadershipStatus> commands;
  // Commands that this life of the process has delegated.
  std::vector<Delegation> delegations;

  friend bool operator==(const PingResponse&, const PingResponse&) = default;
};

// What a node has mirrored of one prefix.
struct MirrorSnapshot {
  std::string prefix;
  std::int64_t revision = 0;
  MirroredItems items;
};

// What a node knows of the store.
struct StoreSnapshot {
  std::vector<MirrorSnapshot> mirrors;
  std::vector<Delegation> delegations;
};

std::string Encode(const ForwardedJob& message);
std::string Encode(const ForwardedJobResponse& message);
std::string Encode(const Ping& message);
std::string Encode(const PingResponse& message);
std::string Encode(const LeaderRecord& record);
std::string Encode(const Delegation& delegation);
std::string Encode(const DelegationResponse& answer);
std::string Encode(const StoreSnapshot& view);

// Return nothing for a text of another form.
std::optional<ForwardedJob> DecodeForwardedJob(std::string_view text);
std::optional<ForwardedJobResponse> DecodeForwardedJobResponse(
    std::string_view text);
std::optional<Ping> DecodePing(std::string_view text);
std::optional<PingResponse> DecodePingResponse(std::string_view text);
std::optional<LeaderRecord> DecodeLeaderRecord(std::string_view text);
std::optional<Delegation> DecodeDelegation(std::string_view text);
std::optional<DelegationResponse> DecodeDelegationResponse(
    std::string_view text);
std::optional<StoreSnapshot> DecodeStoreSnapshot(std::string_view text);

}  // namespace jaypick::node

#endif  // JAYPICK_NODE_PEER_MESSAGES_H_
