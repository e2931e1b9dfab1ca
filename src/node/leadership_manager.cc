#include "node/leadership_manager.h"

#include <algorithm>
#include <functional>
#include <set>
#include <utility>

#include "control/fencing_token.h"
#include "daemon/log.h"

namespace jaypick::node {
namespace {

using daemon::LogEvent;
using daemon::LogLevel;

constexpr Duration kTick = std::chrono::milliseconds(50);
// Leases are renewed at this part of their length.
constexpr int kRenewalsPerLease = 3;
// A command without a record is taken over by the next node that starts, so the
// record is written soon after the store is back.
constexpr Duration kRecordInterval = std::chrono::milliseconds(100);
// A command that nobody takes over is given up after this time.
constexpr Duration kSuccessorWait = std::chrono::milliseconds(2000);
// A successor that the store lets take over shows within this time.
constexpr Duration kStoreSuccessorWait = std::chrono::milliseconds(600);
// While the store is away nobody can take over: then the command goes on until
// so long before the end, which lets the jobs under way finish.
constexpr Duration kLastJobs = std::chrono::milliseconds(1800);
// Time that a node has run before it asks for its home command.
constexpr Duration kSettledAfter = std::chrono::milliseconds(1500);
// An instance takes a command over from one with this part of its processors.
constexpr double kBetterShare = 1.8;

}  // namespace

LeadershipManager::LeadershipManager(Runtime& runtime,
                                     const NodeSettings& settings,
                                     std::string incarnation,
                                     WatchableStore& store,
                                     StoreView& view,
                                     Peers& peers,
                                     UpstreamClient& upstream_client)
    : runtime_(runtime),
      settings_(settings),
      incarnation_(std::move(incarnation)),
      store_(store),
      view_(view),
      peers_(peers),
      upstream_client_(upstream_client),
      started_(runtime.Now()),
      timer_(runtime.base(), [this] { Tick(); }),
      lost_timer_(runtime.base(), [this] { RetireLost(); }),
      is_alive_(std::make_shared<bool>(true)) {}

LeadershipManager::~LeadershipManager() {
  *is_alive_ = false;
}

void LeadershipManager::Start() {
  Tick();
}

DomainLeader* LeadershipManager::Find(const std::string& failure_domain) {
  const auto it = held_.find(failure_domain);
  const bool is_usable =
      it != held_.end() && !it->second.domain_leader->is_lost();
  return is_usable ? it->second.domain_leader.get() : nullptr;
}

void LeadershipManager::Tick() {
  retired_.clear();
  const TimePoint now = runtime_.Now();
  for (const std::string& domain : settings_.failure_domains) {
    const auto it = held_.find(domain);
    if (it != held_.end()) {
      CheckHeld(domain, it->second, now);
    } else if (view_.has_read_leaders()) {
      ConsiderElection(domain, now);
    }
  }
  view_.SetUpstreamsWatched(!held_.empty());
  timer_.After(kTick);
}

void LeadershipManager::Hold(const std::string& failure_domain,
                             std::int64_t lease,
                             std::int64_t revision,
                             std::uint64_t token) {
  claiming_.erase(failure_domain);
  const TimePoint now = runtime_.Now();
  const auto known = held_.find(failure_domain);
  if (known != held_.end()) {
    // The record of a command that is held was lost and written anew.
    known->second.revision = revision;
    known->second.lease = lease;
    known->second.renewed = now;
    known->second.has_record_gone = false;
    // The tokens of the new record are this node's, too.
    known->second.offered_token = control::FirstFencingToken(revision);
    return;
  }
  const auto predecessor = predecessors_.find(failure_domain);
  if (predecessor != predecessors_.end()) {
    peers_.MonitorPredecessor(failure_domain, predecessor->second.record,
                              std::move(predecessor->second.held));
    predecessors_.erase(predecessor);
  }
  LogEvent(LogLevel::kInfo, "command_won",
           {{"domain", failure_domain},
            {"token", std::to_string(token)},
            {"revision", std::to_string(revision)}});
  DomainLeaderOptions options{.failure_domain = failure_domain, .token = token};
  options.session.longest_lease = settings_.run_lease;
  options.scheduler.on_violation = [](std::string_view invariant,
                                      const std::string& detail) {
    LogEvent(LogLevel::kError, "invariant_violated",
             {{"invariant", std::string(invariant)}, {"job", detail}});
  };
  options.on_lost = [this] { lost_timer_.After(Duration(0)); };
  HeldDomain& held = held_[failure_domain];
  held.domain_leader = std::make_unique<DomainLeader>(
      runtime_, upstream_client_, std::move(options));
  held.revision = revision;
  held.lease = lease;
  held.renewed = now;
  held.offered_token = token;
  const std::vector<std::string> kept =
      peers_.HeldByPredecessor(failure_domain);
  held.withheld = std::set<std::string>(kept.begin(), kept.end());
  peers_.MonitorLeader(failure_domain, OwnRecord(), token);
  held.domain_leader->SetUpstreams(view_.upstreams(), held.withheld);
}

void LeadershipManager::CheckHeld(const std::string& failure_domain,
                                  HeldDomain& held,
                                  TimePoint now) {
  if (held.is_yielded) {
    const bool has_successor =
        held.is_delegated || HasSuccessor(failure_domain, held);
    const Duration wait = view_.is_connected()
                              ? kSuccessorWait
                              : settings_.shutdown_limit - kLastJobs;
    if (!held.domain_leader->is_draining() &&
        (has_successor || now - held.yielded >= wait)) {
      held.domain_leader->Drain();
    }
    const bool is_store_late =
        !view_.is_connected() || now - held.yielded >= kStoreSuccessorWait;
    if (!held.domain_leader->is_draining() && !held.is_offering &&
        is_store_late) {
      Offer(failure_domain, held, now);
    }
    const bool is_over = held.domain_leader->HeldUpstreams().empty() &&
                         held.domain_leader->scheduler().jobs() == 0;
    if (is_over) {
      LogEvent(LogLevel::kInfo, "command_handed_over",
               {{"domain", failure_domain}});
      given_up_revisions_[failure_domain] = held.revision;
      retired_.push_back(std::move(held.domain_leader));
      held_.erase(failure_domain);
    }
    return;
  }
  const Duration interval = held.lease == 0
                                ? kRecordInterval
                                : settings_.command_lease / kRenewalsPerLease;
  if (now - held.renewed >= interval && !held.is_renewing) {
    Renew(failure_domain, held, now);
  }
}

void LeadershipManager::Renew(const std::string& failure_domain,
                              HeldDomain& held,
                              TimePoint now) {
  held.is_renewing = true;
  held.renewed = now;
  const auto done = [this, failure_domain, alive = is_alive_](bool is_lost) {
    if (!*alive) {
      return;
    }
    const auto it = held_.find(failure_domain);
    if (it == held_.end()) {
      return;
    }
    it->second.is_renewing = false;
    if (is_lost && !it->second.is_yielded) {
      it->second.lease = 0;
      it->second.has_record_gone = true;
      // Written again at the next tick.
      it->second.renewed = TimePoint();
    }
  };
  if (held.lease == 0) {
    // The record went while the command goes on; it is written again unless
    // somebody else has taken it.
    const auto& commands = view_.leaders();
    const auto record = commands.find(failure_domain);
    // The mirror may still show a record that has gone with its lease.
    const bool is_absent =
        record == commands.end() ||
        (held.has_record_gone && IsOwn(record->second.record));
    const std::int64_t expected = is_absent ? 0 : record->second.revision;
    store_.GrantLease(
        settings_.command_lease,
        [this, failure_domain, expected, done,
         alive = is_alive_](const StoreResult<LeaseResult>& result) {
          done(false);
          const auto* const granted = std::get_if<LeaseResult>(&result);
          if (*alive && granted != nullptr && held_.contains(failure_domain) &&
              !held_.at(failure_domain).is_yielded) {
            WriteRecord(failure_domain, granted->lease, expected);
          }
        });
    return;
  }
  store_.RenewLease(held.lease, [done](const StoreResult<LeaseStatus>& result) {
    const auto* const kept = std::get_if<LeaseStatus>(&result);
    done(kept != nullptr && !kept->is_alive);
  });
}

void LeadershipManager::OnUpstreamsChanged() {
  for (auto& [domain, held] : held_) {
    held.domain_leader->SetUpstreams(view_.upstreams(), held.withheld);
  }
}

void LeadershipManager::OnPause() {
  for (auto& [domain, held] : held_) {
    held.domain_leader->OnPause();
  }
}

void LeadershipManager::OnPeerAnswer() {
  for (auto& [domain, held] : held_) {
    const std::vector<std::string> kept = peers_.HeldByPredecessor(domain);
    if (kept.empty()) {
      peers_.ForgetPredecessor(domain);
    }
    std::set<std::string> withheld(kept.begin(), kept.end());
    if (withheld != held.withheld) {
      held.withheld = std::move(withheld);
      held.domain_leader->SetUpstreams(view_.upstreams(), held.withheld);
    }
  }
}

void LeadershipManager::OnPing(const Ping& ping) {
  if (!IsOwn(ping.sender)) {
    known_peers_[ping.sender.instance] = {.record = ping.sender,
                                          .is_draining = ping.is_draining,
                                          .last_heard = runtime_.Now()};
  }
  for (auto& [domain, held] : held_) {
    if (held.is_yielded && !held.domain_leader->is_draining() &&
        HasSuccessor(domain, held) &&
        view_.leaders().at(domain).record.instance == ping.sender.instance) {
      held.domain_leader->Drain();
    }
  }
}

void LeadershipManager::OnLeadersChanged() {
  const TimePoint now = runtime_.Now();
  for (const auto& [domain, stored] : view_.leaders()) {
    const auto it = held_.find(domain);
    if (it != held_.end() && !it->second.is_yielded &&
        HasSuccessor(domain, it->second)) {
      Lose(domain, "taken_over");
    }
    // While this node hands the domain over, it answers for it itself.
    peers_.MonitorLeader(domain, stored.record,
                         control::FirstFencingToken(stored.revision));
  }
  for (const auto& [domain, stored] : view_.last_leaders()) {
    if (!view_.leaders().contains(domain) && !IsOwn(stored.record)) {
      peers_.MonitorLeader(domain, stored.record,
                           control::FirstFencingToken(stored.revision));
    }
  }
  stale_.clear();
  bool has_gone = false;
  for (const std::string& domain : settings_.failure_domains) {
    if (!view_.leaders().contains(domain)) {
      has_gone = absent_.emplace(domain, now).second || has_gone;
    }
  }
  if (has_gone) {
    peers_.PingAll();
  }
}

void LeadershipManager::RetireLost() {
  std::vector<std::string> lost;
  for (const auto& [domain, held] : held_) {
    if (held.domain_leader->is_lost()) {
      lost.push_back(domain);
    }
  }
  for (const std::string& domain : lost) {
    Lose(domain, "fenced");
    OnStaleView(domain);
  }
}

void LeadershipManager::Lose(const std::string& failure_domain,
                             std::string_view cause) {
  const auto it = held_.find(failure_domain);
  if (it == held_.end()) {
    return;
  }
  LogEvent(LogLevel::kWarning, "command_lost",
           {{"domain", failure_domain}, {"cause", std::string(cause)}});
  std::unique_ptr<DomainLeader> domain_leader =
      std::move(it->second.domain_leader);
  const std::int64_t lease = it->second.lease;
  given_up_revisions_[failure_domain] = it->second.revision;
  held_.erase(it);
  domain_leader->EndAllJobs();
  retired_.push_back(std::move(domain_leader));
  if (lease != 0) {
    store_.RevokeLease(lease, [](const StoreResult<LeaseStatus>&) {
      // The lease runs out by itself if this call fails.
    });
  }
}

void LeadershipManager::Resign(const std::string& failure_domain,
                               std::string_view cause) {
  const auto it = held_.find(failure_domain);
  if (it == held_.end() || it->second.is_yielded) {
    return;
  }
  LogEvent(LogLevel::kInfo, "command_yielded",
           {{"domain", failure_domain}, {"cause", std::string(cause)}});
  HeldDomain& held = it->second;
  held.is_yielded = true;
  held.yielded = runtime_.Now();
  held.domain_leader->BeginHandOver();
  if (held.lease != 0) {
    store_.RevokeLease(held.lease, [](const StoreResult<LeaseStatus>&) {
      // The lease runs out by itself if this call fails.
    });
  }
}

void LeadershipManager::ResignAll() {
  is_draining_ = true;
  std::vector<std::string> domains;
  for (const auto& [domain, held] : held_) {
    domains.push_back(domain);
  }
  for (const std::string& domain : domains) {
    Resign(domain, "shutdown");
  }
}

std::vector<std::string> LeadershipManager::RequestedDomains() {
  const std::string& home = settings_.failure_domain;
  const auto it = view_.leaders().find(home);
  if (is_draining_ || runtime_.Now() - started_ < kSettledAfter ||
      it == view_.leaders().end() || held_.contains(home)) {
    return {};
  }
  const LeaderRecord& holder = it->second.record;
  const bool is_better =
      holder.failure_domain != home ||
      holder.processor_share * kBetterShare <= settings_.processor_share;
  return is_better && !IsOwn(holder) ? std::vector<std::string>{home}
                                     : std::vector<std::string>{};
}

std::vector<LeadershipStatus> LeadershipManager::Statuses() {
  std::vector<LeadershipStatus> statuses;
  for (auto& [domain, held] : held_) {
    std::vector<std::string> kept;
    if (held.is_yielded) {
      // What an earlier holder still has will be this node's successor's.
      kept = held.domain_leader->HeldUpstreams();
      kept.insert(kept.end(), held.withheld.begin(), held.withheld.end());
    }
    statuses.push_back({.failure_domain = domain,
                        .is_draining = held.is_yielded,
                        .held_upstreams = std::move(kept),
                        .load = held.domain_leader->Load()});
  }
  return statuses;
}

LeaderRecord LeadershipManager::OwnRecord() const {
  return {.instance = settings_.instance,
          .failure_domain = settings_.failure_domain,
          .incarnation = incarnation_,
          .address = settings_.advertised_peer.port == 0
                         ? settings_.peer
                         : settings_.advertised_peer,
          .processor_share = settings_.processor_share};
}

// The mirror may be behind and show a predecessor.
bool LeadershipManager::HasSuccessor(const std::string& failure_domain,
                                     const HeldDomain& held) const {
  const auto record = view_.leaders().find(failure_domain);
  return record != view_.leaders().end() && !IsOwn(record->second.record) &&
         record->second.revision > held.revision;
}

bool LeadershipManager::IsOwn(const LeaderRecord& record) const {
  return record.instance == settings_.instance &&
         record.incarnation == incarnation_;
}

}  // namespace jaypick::node
