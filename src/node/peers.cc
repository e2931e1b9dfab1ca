#include "node/peers.h"

#include <algorithm>
#include <set>
#include <utility>

namespace jaypick::node {
namespace {

using control::LeaderState;

constexpr int kOk = 200;
// Jobs in flight to one peer; each has a connection of its own.
constexpr std::size_t kCallConnections = 400;
constexpr std::size_t kPingConnections = 2;
// Refused connections in a row that show that no process listens.
constexpr std::uint32_t kRefusalsOfTheDead = 2;

}  // namespace

Peers::Peers(Runtime& runtime,
             PeerOptions options,
             std::function<Ping()> ping,
             std::function<void(const Address&, const PingResponse&)> on_answer)
    : runtime_(runtime),
      options_(options),
      ping_(std::move(ping)),
      on_answer_(std::move(on_answer)),
      pings_(runtime.base(),
             {.timeout = options.ping_timeout,
              .connections_per_address = kPingConnections}),
      calls_(runtime.base(),
             {.connections_per_address = kCallConnections,
              .resets_on_timeout = true}),
      timer_(runtime.base(), [this] { PingAll(); }) {
  timer_.After(options_.ping_interval);
}

Peers::~Peers() = default;

void Peers::MonitorLeader(const std::string& failure_domain,
                          const LeaderRecord& record,
                          std::uint64_t token) {
  // Tokens rise along a chain of delegations, so it has an end.
  LeaderRecord holder = record;
  for (auto next = delegations_.find({failure_domain, holder.incarnation});
       next != delegations_.end() && next->second.token > token;
       next = delegations_.find({failure_domain, holder.incarnation})) {
    holder = next->second.to;
    token = next->second.token;
  }
  const auto it = followed_.find(failure_domain);
  if (it != followed_.end() && it->second.record == holder) {
    it->second.token = std::max(it->second.token, token);
    return;
  }
  const TimePoint now = runtime_.Now();
  followed_[failure_domain] = {.record = std::move(holder),
                               .token = token,
                               .state = LeaderState::kSilent,
                               .since = now,
                               .followed_since = now};
  PingAll();
}

void Peers::OnDelegation(const Delegation& delegation) {
  const std::string& domain = delegation.failure_domain;
  Delegation& known = delegations_[{domain, delegation.from.incarnation}];
  if (known.token < delegation.token) {
    known = delegation;
  }
  const auto followed = followed_.find(domain);
  if (followed != followed_.end()) {
    const Followed current = followed->second;
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
  const auto it = followed_.find(failure_domain);
  return it == followed_.end() ? nullptr : &it->second.record;
}

const LeadershipStatus* Peers::StatusAt(
    const Address& address,
    const std::string& failure_domain) const {
  const auto peer = peers_.find(address);
  if (peer == peers_.end()) {
    return nullptr;
  }
  const auto& commands = peer->second.commands;
  const auto it = std::ranges::find(commands, failure_domain,
                                    &LeadershipStatus::failure_domain);
  return it == commands.end() ? nullptr : &*it;
}

LeaderState Peers::ReadState(const std::string& failure_domain,
                             const Followed& followed,
                             TimePoint now) const {
  const auto it = peers_.find(followed.record.address);
  if (it == peers_.end()) {
    return LeaderState::kSilent;
  }
  const Peer& peer = it->second;
  if (peer.refusals >= kRefusalsOfTheDead) {
    return LeaderState::kGone;
  }
  // Answers from before the record was made say nothing about it.
  const bool is_fresh = peer.answered > followed.followed_since &&
                        now - peer.answered < options_.silent_after;
  if (!is_fresh) {
    return LeaderState::kSilent;
  }
  if (peer.incarnation != followed.record.incarnation) {
    return LeaderState::kGone;
  }
  const LeadershipStatus* const status =
      StatusAt(followed.record.address, failure_domain);
  if (status == nullptr) {
    return LeaderState::kGone;
  }
  return status->is_draining ? LeaderState::kLeaving : LeaderState::kAlive;
}

void Peers::MonitorPredecessor(const std::string& failure_domain,
                               const LeaderRecord& record,
                               std::vector<std::string> held) {
  const TimePoint now = runtime_.Now();
  // Without a list, what it answered before counts.
  predecessors_[failure_domain] = {
      .record = record,
      .state = LeaderState::kSilent,
      .since = now,
      .followed_since = held.empty() ? TimePoint() : now,
      .held = std::move(held)};
}

void Peers::ForgetPredecessor(const std::string& failure_domain) {
  predecessors_.erase(failure_domain);
}

std::vector<std::string> Peers::HeldByPredecessor(
    const std::string& failure_domain) const {
  const auto it = predecessors_.find(failure_domain);
  if (it == predecessors_.end()) {
    return {};
  }
  const TimePoint now = runtime_.Now();
  const Followed& followed = it->second;
  const LeaderState state = ReadState(failure_domain, followed, now);
  if (state == LeaderState::kLeaving) {
    return StatusAt(followed.record.address, failure_domain)->held_upstreams;
  }
  // An answer that was on its way when it gave the command up says nothing.
  const bool is_unheard =
      (state == LeaderState::kAlive || state == LeaderState::kSilent) &&
      now - followed.followed_since < options_.silent_after;
  return is_unheard ? followed.held : std::vector<std::string>();
}

LeaderState Peers::LeaderStateOf(const std::string& failure_domain) {
  const auto it = followed_.find(failure_domain);
  if (it == followed_.end()) {
    return LeaderState::kNone;
  }
  const TimePoint now = runtime_.Now();
  Followed& followed = it->second;
  const LeaderState state = ReadState(failure_domain, followed, now);
  if (state != followed.state) {
    followed.state = state;
    followed.since = now;
  }
  return state;
}

Duration Peers::LeaderStateAge(const std::string& failure_domain) {
  const auto it = followed_.find(failure_domain);
  return it == followed_.end() ? Duration(0)
                               : runtime_.Now() - it->second.since;
}

const LeadershipStatus* Peers::Status(const std::string& failure_domain) const {
  const auto it = followed_.find(failure_domain);
  return it == followed_.end()
             ? nullptr
             : StatusAt(it->second.record.address, failure_domain);
}

std::optional<std::int64_t> Peers::DeadlineAt(const Address& peer,
                                              TimePoint deadline) {
  const auto it = peers_.find(peer);
  if (it == peers_.end() || it->second.answered == TimePoint()) {
    return std::nullopt;
  }
  return it->second.clock_us + (deadline - it->second.answered).count();
}

std::uint64_t Peers::Send(const Address& peer,
                          http::Request request,
                          Duration timeout,
                          http::ClientCallback callback) {
  return calls_.Send(peer, std::move(request), timeout, std::move(callback));
}

void Peers::Cancel(std::uint64_t call) {
  calls_.Cancel(call);
}

void Peers::PingAll() {
  std::set<Address> addresses;
  for (const auto& [domain, followed] : followed_) {
    addresses.insert(followed.record.address);
  }
  for (const auto& [domain, followed] : predecessors_) {
    addresses.insert(followed.record.address);
  }
  const std::string body = Encode(ping_());
  for (const Address& address : addresses) {
    Peer& peer = peers_[address];
    if (peer.pending >= kPingConnections) {
      continue;
    }
    ++peer.pending;
    pings_.Send(
        address,
        {.method = http::Method::kPost, .path = kPingPath, .body = body},
        [this, address](const http::ClientResult& result) {
          OnPingResult(address, result);
        });
  }
  timer_.After(predecessors_.empty() ? options_.ping_interval
                                     : options_.hand_over_interval);
}

void Peers::OnPingResult(const Address& address,
                         const http::ClientResult& result) {
  Peer& peer = peers_[address];
  --peer.pending;
  if (const auto* const error = std::get_if<http::ClientError>(&result)) {
    // A refused connection shows a machine without the process; a timeout may
    // be the path's fault.
    const bool is_refused = error->not_sent && error->message != "timed out";
    peer.refusals = is_refused ? peer.refusals + 1 : 0;
    return;
  }
  const auto& response = std::get<http::Response>(result);
  auto answer =
      response.status == kOk ? DecodePingResponse(response.body) : std::nullopt;
  if (!answer) {
    return;
  }
  peer.refusals = 0;
  peer.answered = runtime_.Now();
  peer.clock_us = answer->clock_us;
  peer.incarnation = answer->incarnation;
  peer.commands = answer->commands;
  for (const Delegation& delegation : answer->delegations) {
    OnDelegation(delegation);
  }
  on_answer_(address, *answer);
}

}  // namespace jaypick::node
