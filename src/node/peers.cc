#include "node/peers.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace jaypick::node {
namespace {

using control::LeaderState;

constexpr int kOk = 200;
// Maximum number of jobs in flight to one peer; each uses its own connection.
constexpr std::size_t kRequestConnections = 400;
constexpr std::size_t kPingConnections = 2;
// After this many consecutive refused connections, the peer's process is
// considered gone.
constexpr std::uint32_t kRefusalsUntilGone = 2;

}  // namespace

Peers::Peers(
    Runtime& runtime,
    PeerOptions options,
    std::function<Ping()> ping,
    std::function<void(const Address&, const PingResponse&)> on_response)
    : runtime_(runtime),
      options_(options),
      ping_(std::move(ping)),
      on_response_(std::move(on_response)),
      ping_client_(runtime.base(),
                   {.timeout = options.ping_timeout,
                    .connections_per_address = kPingConnections}),
      request_client_(runtime.base(),
                      {.connections_per_address = kRequestConnections,
                       .resets_on_timeout = true,
                       // A forwarded job may be late on a sound connection.
                       .closes_idle_on_timeout = false}),
      timer_(runtime.base(), [this] { PingDue(); }) {
  timer_.After(options_.ping_interval);
}

Peers::~Peers() = default;

void Peers::MonitorLeader(const std::string& failure_domain,
                          const LeaderRecord& record,
                          std::uint64_t token) {
  // Tokens strictly increase along a chain of delegations, so the loop ends.
  LeaderRecord leader = record;
  for (auto next = delegations_.find({failure_domain, leader.incarnation});
       next != delegations_.end() && next->second.token > token;
       next = delegations_.find({failure_domain, leader.incarnation})) {
    leader = next->second.to;
    token = next->second.token;
  }
  const auto it = monitored_.find(failure_domain);
  if (it != monitored_.end() && it->second.record == leader) {
    it->second.token = std::max(it->second.token, token);
    return;
  }
  const TimePoint now = runtime_.Now();
  monitored_[failure_domain] = {.record = std::move(leader),
                                .token = token,
                                .state = LeaderState::kSilent,
                                .state_since = now,
                                .monitored_since = now};
  PingAll();
}

void Peers::OnDelegation(const Delegation& delegation) {
  const std::string& domain = delegation.failure_domain;
  Delegation& known = delegations_[{domain, delegation.from.incarnation}];
  if (known.token < delegation.token) {
    known = delegation;
  }
  const auto monitored = monitored_.find(domain);
  if (monitored != monitored_.end()) {
    const MonitoredLeader current = monitored->second;
    MonitorLeader(domain, current.record, current.token);
  }
}

std::vector<Delegation> Peers::delegations() const {
  std::vector<Delegation> all;
  for (const auto& [key, delegation] : delegations_) {
    all.push_back(delegation);
  }
  return all;
}

const LeaderRecord* Peers::LeaderOf(const std::string& failure_domain) const {
  const auto it = monitored_.find(failure_domain);
  return it == monitored_.end() ? nullptr : &it->second.record;
}

const LeadershipStatus* Peers::StatusAt(
    const Address& address,
    const std::string& failure_domain) const {
  const auto peer = peers_.find(address);
  if (peer == peers_.end()) {
    return nullptr;
  }
  const auto& statuses = peer->second.statuses;
  const auto it = std::ranges::find(statuses, failure_domain,
                                    &LeadershipStatus::failure_domain);
  return it == statuses.end() ? nullptr : &*it;
}

LeaderState Peers::ComputeState(const std::string& failure_domain,
                                const MonitoredLeader& monitored,
                                TimePoint now) const {
  const auto it = peers_.find(monitored.record.address);
  if (it == peers_.end()) {
    return LeaderState::kSilent;
  }
  const Peer& peer = it->second;
  if (peer.consecutive_refusals >= kRefusalsUntilGone) {
    return LeaderState::kGone;
  }
  // Responses received before the record was known say nothing about this
  // leadership.
  const TimePoint last_heard = std::max(peer.last_response, peer.last_relayed);
  const bool is_current = last_heard > monitored.monitored_since &&
                          now - last_heard < options_.silent_after;
  if (!is_current) {
    return LeaderState::kSilent;
  }
  if (peer.incarnation != monitored.record.incarnation) {
    return LeaderState::kGone;
  }
  const LeadershipStatus* const status =
      StatusAt(monitored.record.address, failure_domain);
  if (status == nullptr) {
    return LeaderState::kGone;
  }
  return status->is_draining ? LeaderState::kLeaving : LeaderState::kAlive;
}

void Peers::MonitorPredecessor(const std::string& failure_domain,
                               const LeaderRecord& record,
                               std::vector<std::string> held_upstreams) {
  const TimePoint now = runtime_.Now();
  // Without a list of upstreams, responses that were received earlier are used.
  predecessors_[failure_domain] = {
      .record = record,
      .state = LeaderState::kSilent,
      .state_since = now,
      .monitored_since = held_upstreams.empty() ? TimePoint() : now,
      .held_upstreams = std::move(held_upstreams)};
}

void Peers::ForgetPredecessor(const std::string& failure_domain) {
  predecessors_.erase(failure_domain);
}

LeaderState Peers::PredecessorState(const std::string& failure_domain) const {
  const auto it = predecessors_.find(failure_domain);
  return it == predecessors_.end()
             ? LeaderState::kNone
             : ComputeState(failure_domain, it->second, runtime_.Now());
}

std::vector<std::string> Peers::HeldByPredecessor(
    const std::string& failure_domain) const {
  const auto it = predecessors_.find(failure_domain);
  if (it == predecessors_.end()) {
    return {};
  }
  const TimePoint now = runtime_.Now();
  const MonitoredLeader& monitored = it->second;
  const LeaderState state = ComputeState(failure_domain, monitored, now);
  const LeadershipStatus* const status =
      StatusAt(monitored.record.address, failure_domain);
  if (state == LeaderState::kLeaving) {
    return status->held_upstreams;
  }
  const auto peer = peers_.find(monitored.record.address);
  const bool is_slow =
      state == LeaderState::kSilent && status != nullptr &&
      status->is_draining &&
      peer->second.incarnation == monitored.record.incarnation &&
      now - peer->second.last_response < options_.predecessor_silent_after;
  if (is_slow) {
    return status->held_upstreams;
  }
  // An older response, sent before the predecessor resigned, says nothing about
  // the hand-over; the list from the delegation is used until a newer one
  // arrives.
  const bool is_awaiting_response =
      (state == LeaderState::kAlive || state == LeaderState::kSilent) &&
      now - monitored.monitored_since < options_.silent_after;
  return is_awaiting_response ? monitored.held_upstreams
                              : std::vector<std::string>();
}

LeaderState Peers::LeaderStateOf(const std::string& failure_domain) {
  const auto it = monitored_.find(failure_domain);
  if (it == monitored_.end()) {
    return LeaderState::kNone;
  }
  const TimePoint now = runtime_.Now();
  MonitoredLeader& monitored = it->second;
  const LeaderState state = ComputeState(failure_domain, monitored, now);
  if (state != monitored.state) {
    monitored.state = state;
    monitored.state_since = now;
  }
  return state;
}

Duration Peers::LeaderStateAge(const std::string& failure_domain) {
  const auto it = monitored_.find(failure_domain);
  return it == monitored_.end() ? Duration(0)
                                : runtime_.Now() - it->second.state_since;
}

bool Peers::HasMissedPing(const std::string& failure_domain,
                          TimePoint since) const {
  const LeaderRecord* const leader = LeaderOf(failure_domain);
  const auto peer =
      leader == nullptr ? peers_.end() : peers_.find(leader->address);
  return peer != peers_.end() && peer->second.missed_ping >= since;
}

const LeadershipStatus* Peers::Status(const std::string& failure_domain) const {
  const auto it = monitored_.find(failure_domain);
  return it == monitored_.end()
             ? nullptr
             : StatusAt(it->second.record.address, failure_domain);
}

const StoreStatus* Peers::LeaderStoreStatus(const std::string& failure_domain) {
  const LeaderState state = LeaderStateOf(failure_domain);
  return state == LeaderState::kAlive || state == LeaderState::kLeaving
             ? &peers_.at(monitored_.at(failure_domain).record.address).store
             : nullptr;
}

bool Peers::IsStoreConnectedToLeaderOtherThan(const std::string& instance) {
  return std::ranges::any_of(monitored_, [&](const auto& entry) {
    const StoreStatus* const store = LeaderStoreStatus(entry.first);
    return entry.second.record.instance != instance && store != nullptr &&
           store->is_connected;
  });
}

std::optional<std::int64_t> Peers::ToClockOf(const Address& peer,
                                             const std::string& incarnation,
                                             TimePoint time) const {
  const auto it = peers_.find(peer);
  if (it == peers_.end() || it->second.last_response == TimePoint() ||
      it->second.incarnation != incarnation) {
    return std::nullopt;
  }
  return it->second.clock_us + (time - it->second.last_response).count();
}

std::uint64_t Peers::Send(const Address& peer,
                          http::Request request,
                          Duration timeout,
                          http::ClientCallback callback) {
  return SendTo({.address = peer}, std::move(request), timeout,
                std::move(callback));
}

std::uint64_t Peers::Forward(const Address& peer,
                             ForwardedJob message,
                             Duration timeout,
                             http::ClientCallback callback) {
  message.number = ++last_forward_;
  ++jobs_in_flight_[peer];
  return SendTo({.address = peer, .forward = message.number},
                {.method = http::Method::kPost,
                 .path = kForwardedJobPath,
                 .body = Encode(message)},
                timeout, std::move(callback));
}

std::uint64_t Peers::SendTo(const Destination& destination,
                            http::Request request,
                            Duration timeout,
                            http::ClientCallback callback) {
  const auto number = std::make_shared<std::uint64_t>(0);
  *number = request_client_.Send(
      destination.address, std::move(request), timeout,
      [this, destination, number,
       callback = std::move(callback)](const http::ClientResult& result) {
        // The result of a request may be on its way here when it is cancelled.
        if (destinations_.erase(*number) > 0) {
          const auto* const error = std::get_if<http::ClientError>(&result);
          OnRequestEnded(destination, error != nullptr && !error->not_sent);
        }
        callback(result);
      });
  destinations_.emplace(*number, destination);
  return *number;
}

void Peers::Cancel(std::uint64_t request) {
  const auto it = destinations_.find(request);
  if (it == destinations_.end()) {
    return;
  }
  request_client_.Cancel(request);
  OnRequestEnded(it->second, true);
  destinations_.erase(it);
}

void Peers::OnRequestEnded(const Destination& destination, bool is_withdrawn) {
  if (destination.forward == 0) {
    return;
  }
  if (is_withdrawn) {
    withdrawals_.Add(runtime_.Now(), destination.address, destination.forward);
  }
  const auto it = jobs_in_flight_.find(destination.address);
  if (--it->second == 0) {
    jobs_in_flight_.erase(it);
  }
}

bool Peers::IsPingDue(const std::string& failure_domain,
                      const MonitoredLeader& monitored,
                      TimePoint now) const {
  const auto peer = peers_.find(monitored.record.address);
  if (!uses_relays_ || peer == peers_.end() ||
      failure_domain == ping_().sender.failure_domain) {
    return true;
  }
  return now - peer->second.last_relayed >= options_.relay_max_age ||
         now - peer->second.last_ping >= options_.relayed_ping_interval;
}

void Peers::PingDue() {
  const TimePoint now = runtime_.Now();
  std::set<Address> addresses;
  for (const auto& [domain, monitored] : monitored_) {
    if (IsPingDue(domain, monitored, now)) {
      addresses.insert(monitored.record.address);
    }
  }
  PingAddresses(addresses);
}

void Peers::PingAll() {
  std::set<Address> addresses;
  for (const auto& [domain, monitored] : monitored_) {
    addresses.insert(monitored.record.address);
  }
  PingAddresses(addresses);
}

void Peers::PingAddresses(const std::set<Address>& leaders) {
  std::set<Address> addresses = leaders;
  for (const auto& [domain, monitored] : predecessors_) {
    addresses.insert(monitored.record.address);
  }
  // Pings extend the leases of forwarded jobs, also at a node that has handed
  // its domain over, and withdraw those that nobody waits for.
  for (const auto& [address, jobs] : jobs_in_flight_) {
    addresses.insert(address);
  }
  const TimePoint now = runtime_.Now();
  for (const Address& address : withdrawals_.Peers(now)) {
    addresses.insert(address);
  }
  for (const Address& address : addresses) {
    if (peers_[address].pending_pings < kPingConnections) {
      SendPing(address, [] {});
    }
  }
  Duration interval = predecessors_.empty() ? options_.ping_interval
                                            : options_.hand_over_interval;
  // Pings sent now extend no forwarding lease beyond the pause.
  if (runtime_.HasJustResumed()) {
    interval = std::min(interval, Runtime::kResumeTime);
  }
  timer_.After(interval);
}

std::string Peers::EncodePingTo(const Address& address) {
  Ping ping = ping_();
  const Peer& peer = peers_[address];
  if (NeedsLossesOf(address, ping.sender.failure_domain)) {
    ping.losses_after = peer.losses_until;
  }
  const auto sent = ToClockOf(address, peer.incarnation, runtime_.ReadUntil());
  ping.sent =
      sent ? ProcessTime{.incarnation = peer.incarnation, .clock_us = *sent}
           : ProcessTime();
  ping.withdrawn = withdrawals_.Pending(runtime_.Now(), address);
  return Encode(ping);
}

bool Peers::NeedsLossesOf(const Address& address,
                          const std::string& own_domain) const {
  const auto own_leader = monitored_.find(own_domain);
  return !uses_relays_ || (own_leader != monitored_.end() &&
                           own_leader->second.record.address == address);
}

void Peers::Confirm(const std::string& failure_domain,
                    std::function<void(LeaderState)> callback) {
  const LeaderRecord* const leader = LeaderOf(failure_domain);
  if (leader == nullptr) {
    callback(LeaderState::kNone);
    return;
  }
  SendPing(leader->address,
           [this, failure_domain, callback = std::move(callback)] {
             callback(LeaderStateOf(failure_domain));
           });
}

void Peers::SendPing(const Address& address, std::function<void()> on_end) {
  Peer& peer = peers_[address];
  const TimePoint now = runtime_.Now();
  ++peer.pending_pings;
  peer.last_ping = now;
  ping_client_.Send(address,
                    {.method = http::Method::kPost,
                     .path = kPingPath,
                     .body = EncodePingTo(address)},
                    [this, address, sent = now, on_end = std::move(on_end)](
                        const http::ClientResult& result) {
                      OnPingResult(address, sent, result);
                      on_end();
                    });
}

std::vector<RelayedStatus> Peers::RelayedStatuses(
    const std::vector<LeadershipStatus>& led) {
  std::vector<RelayedStatus> relayed;
  const TimePoint now = runtime_.Now();
  for (const auto& [domain, monitored] : monitored_) {
    const LeaderState state = LeaderStateOf(domain);
    const bool is_led_here =
        std::ranges::find(led, domain, &LeadershipStatus::failure_domain) !=
        led.end();
    if (is_led_here ||
        (state != LeaderState::kAlive && state != LeaderState::kLeaving)) {
      continue;
    }
    const Peer& peer = peers_.at(monitored.record.address);
    LeadershipStatus status = *StatusAt(monitored.record.address, domain);
    // Only a successor needs them, which pings the leader itself.
    status.held_upstreams.clear();
    relayed.push_back({.status = std::move(status),
                       .incarnation = peer.incarnation,
                       .age = now - peer.last_response});
  }
  return relayed;
}

void Peers::OnRelayedStatus(const RelayedStatus& relayed, TimePoint now) {
  const auto monitored = monitored_.find(relayed.status.failure_domain);
  if (monitored == monitored_.end() || relayed.age < Duration(0) ||
      relayed.incarnation != monitored->second.record.incarnation) {
    return;
  }
  Peer& peer = peers_[monitored->second.record.address];
  const TimePoint responded = now - relayed.age;
  // The clock of a process is known only once it has responded directly.
  if (peer.incarnation != relayed.incarnation ||
      responded <= peer.last_relayed) {
    return;
  }
  peer.last_relayed = responded;
  if (responded <= peer.last_response) {
    return;
  }
  const auto status =
      std::ranges::find(peer.statuses, relayed.status.failure_domain,
                        &LeadershipStatus::failure_domain);
  if (status == peer.statuses.end()) {
    peer.statuses.push_back(relayed.status);
  } else {
    status->is_draining = relayed.status.is_draining;
    status->successor = relayed.status.successor;
    status->load = relayed.status.load;
  }
}

bool Peers::IsMonitored(const Address& address) const {
  const auto is_at_address = [&](const auto& entry) {
    return entry.second.record.address == address;
  };
  return std::ranges::any_of(monitored_, is_at_address) ||
         std::ranges::any_of(predecessors_, is_at_address);
}

// A node that is pinged for its jobs alone may stop listening while it finishes
// them. That says nothing about a process that leads a domain from the same
// address later, so refusals are not counted.
void Peers::OnPingResult(const Address& address,
                         TimePoint sent,
                         const http::ClientResult& result) {
  Peer& peer = peers_[address];
  --peer.pending_pings;
  if (const auto* const error = std::get_if<http::ClientError>(&result)) {
    // A refused connection means that the machine is up but the process is not.
    // A timeout may also be caused by the network.
    const bool is_refused = error->not_sent && !error->timed_out;
    if (error->timed_out) {
      peer.missed_ping = std::max(peer.missed_ping, sent);
      request_client_.CloseIdle(address);
    }
    if (!is_refused) {
      peer.consecutive_refusals = 0;
    } else if (IsMonitored(address)) {
      ++peer.consecutive_refusals;
    }
    return;
  }
  const auto& response = std::get<http::Response>(result);
  auto decoded =
      response.status == kOk ? DecodePingResponse(response.body) : std::nullopt;
  if (!decoded) {
    return;
  }
  peer.consecutive_refusals = 0;
  peer.last_response = runtime_.Now();
  peer.clock_us = decoded->clock_us;
  // A new process counts its losses anew.
  peer.losses_until = peer.incarnation == decoded->incarnation
                          ? std::max(peer.losses_until, decoded->losses_until)
                          : 0;
  peer.incarnation = decoded->incarnation;
  peer.statuses = decoded->statuses;
  peer.store = decoded->store;
  for (const Delegation& delegation : decoded->delegations) {
    OnDelegation(delegation);
  }
  for (const RelayedStatus& relayed : decoded->relayed) {
    OnRelayedStatus(relayed, peer.last_response);
  }
  withdrawals_.Acknowledge(address, decoded->withdrawn);
  on_response_(address, *decoded);
}

}  // namespace jaypick::node
