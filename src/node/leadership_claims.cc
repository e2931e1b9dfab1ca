// Taking the command of a domain: whether, when, and by which write.
#include <algorithm>
#include <functional>
#include <utility>

#include "control/fencing_token.h"
#include "daemon/log.h"
#include "node/leadership_manager.h"

namespace jaypick::node {
namespace {

using control::LeaderState;
using daemon::LogEvent;
using daemon::LogLevel;

// A claim without a result is tried again after this time.
constexpr Duration kClaimTimeout = std::chrono::milliseconds(1200);
// After the store has contradicted the mirror, a read settles it in this time.
constexpr Duration kRefreshTime = std::chrono::milliseconds(300);
constexpr Duration kPathProbeInterval = std::chrono::milliseconds(200);
// Without an answer for so long, a path counts as broken.
constexpr Duration kPathBreak = std::chrono::milliseconds(500);
// Upstreams that are asked whether they can be reached before a claim.
constexpr std::size_t kProbes = 3;
constexpr std::size_t kRankSpreadMs = 40;
// At the first start of all, instances come up within 300 ms in any order, and
// there is time to let the larger ones go first.
constexpr int kFirstStartFactor = 6;

}  // namespace

Duration LeadershipManager::Rank(const std::string& failure_domain) const {
  const LeaderRecord* const holder = peers_.LeaderOf(failure_domain);
  const std::size_t spread =
      std::hash<std::string>()(settings_.instance) % kRankSpreadMs;
  return control::ProcessorShareDelay(
             {}, settings_.processor_share,
             holder == nullptr ? std::nullopt
                               : std::optional(holder->processor_share)) +
         std::chrono::milliseconds(spread);
}

void LeadershipManager::ConsiderElection(const std::string& failure_domain,
                                         TimePoint now) {
  const auto claim = claiming_.find(failure_domain);
  if (claim != claiming_.end() && now - claim->second < kClaimTimeout) {
    return;
  }
  const auto& commands = view_.leaders();
  const auto record = commands.find(failure_domain);
  const bool has_record = record != commands.end();
  if (has_record) {
    absent_.erase(failure_domain);
    if (IsOwn(record->second.record)) {
      const auto given_up = given_up_revisions_.find(failure_domain);
      if (given_up != given_up_revisions_.end() &&
          record->second.revision <= given_up->second) {
        OnStaleView(failure_domain);
      } else if (!is_draining_) {
        // The answer to the claim was lost.
        Hold(failure_domain, 0, record->second.revision,
             control::FirstFencingToken(record->second.revision));
      }
      return;
    }
  } else {
    absent_.emplace(failure_domain, now);
  }
  const auto stale = stale_.find(failure_domain);
  if (stale != stale_.end() && now - stale->second < kRefreshTime) {
    return;
  }
  const LeaderState state = peers_.LeaderStateOf(failure_domain);
  if (state == LeaderState::kSilent && !has_record && !is_draining_) {
    ProbeReachability(failure_domain, now);
  }
  Duration since = peers_.LeaderStateAge(failure_domain);
  if (!has_record) {
    const Duration absent = now - absent_.at(failure_domain);
    since = state == LeaderState::kNone ? absent : std::min(since, absent);
  }
  const control::ElectionInput election{
      .is_in_domain = failure_domain == settings_.failure_domain,
      .is_draining = is_draining_,
      .is_leader = false,
      .has_record = has_record,
      .leader_state = state,
      .state_age = since,
      .reachable_for = ReachableFor(failure_domain, now),
      .rank_delay = state == LeaderState::kNone
                        ? Rank(failure_domain) * kFirstStartFactor
                        : Rank(failure_domain)};
  if (control::ShouldTakeLeadership({}, election)) {
    claiming_[failure_domain] = now;
    if (const LeaderRecord* const holder = peers_.LeaderOf(failure_domain);
        holder != nullptr && !IsOwn(*holder)) {
      predecessors_[failure_domain] = {.record = *holder};
    }
    ProbeAndClaim(failure_domain, has_record ? record->second.revision : 0);
  }
}

void LeadershipManager::ProbeReachability(const std::string& failure_domain,
                                          TimePoint now) {
  DomainReachability& path = paths_[failure_domain];
  if (now - path.last_probe < kPathProbeInterval) {
    return;
  }
  path.last_probe = now;
  Probe(failure_domain, [this, failure_domain] {
    DomainReachability& answered = paths_[failure_domain];
    const TimePoint answered_at = runtime_.Now();
    if (answered_at - answered.last_answer >= kPathBreak) {
      answered.answering_since = answered_at;
    }
    answered.last_answer = answered_at;
  });
}

Duration LeadershipManager::ReachableFor(const std::string& failure_domain,
                                         TimePoint now) const {
  const auto it = paths_.find(failure_domain);
  return it == paths_.end() || now - it->second.last_answer >= kPathBreak
             ? Duration(0)
             : now - it->second.answering_since;
}

// A domain whose upstreams are cut off from here is left alone.
void LeadershipManager::ProbeAndClaim(const std::string& failure_domain,
                                      std::int64_t expected_revision) {
  Probe(failure_domain, [this, failure_domain, expected_revision] {
    // The first answer starts the claim.
    const auto claim = claiming_.find(failure_domain);
    if (claim != claiming_.end() && claim->second != TimePoint::max()) {
      claim->second = TimePoint::max();
      Claim(failure_domain, expected_revision);
    }
  });
}

// Looks with the lowest token: an upstream that answers in any way can be
// reached.
void LeadershipManager::Probe(const std::string& failure_domain,
                              const std::function<void()>& on_answer) {
  std::size_t probes = 0;
  for (const auto& [key, upstream] : view_.upstreams()) {
    if (upstream.failure_domain != failure_domain || probes == kProbes) {
      continue;
    }
    ++probes;
    upstream_client_.Poll(
        upstream, control::PollRequest{.is_recovery = true},
        [on_answer, alive = is_alive_](const auto& answer) {
          if (*alive && !std::holds_alternative<control::NoResponse>(answer)) {
            on_answer();
          }
        });
  }
}

// Fails if another record was written since the decision to claim.
void LeadershipManager::Claim(const std::string& failure_domain,
                              std::int64_t expected_revision) {
  LogEvent(
      LogLevel::kInfo, "command_claim",
      {{"domain", failure_domain},
       {"holder_state",
        std::string(control::ToString(peers_.LeaderStateOf(failure_domain)))}});
  store_.GrantLease(
      settings_.command_lease,
      [this, failure_domain, expected_revision,
       alive = is_alive_](const StoreResult<LeaseResult>& result) {
        if (!*alive) {
          return;
        }
        const auto* const granted = std::get_if<LeaseResult>(&result);
        if (granted == nullptr || is_draining_) {
          claiming_[failure_domain] = runtime_.Now();
          return;
        }
        WriteRecord(failure_domain, granted->lease, expected_revision);
      });
}

void LeadershipManager::WriteRecord(const std::string& failure_domain,
                                    std::int64_t lease,
                                    std::int64_t expected_revision) {
  const std::string key = StoreView::LeaderKey(failure_domain);
  store_.Txn(
      {.conditions = {ModRevisionIs{.key = key, .revision = expected_revision}},
       .success = {PutRequest{.key = key,
                              .value = Encode(OwnRecord()),
                              .lease = lease},
                   PutRequest{.key = StoreView::LastLeaderKey(failure_domain),
                              .value = Encode(OwnRecord())}},
       .failure = {}},
      [this, failure_domain, lease,
       alive = is_alive_](const StoreResult<TxnResult>& result) {
        if (!*alive) {
          return;
        }
        const auto* const txn = std::get_if<TxnResult>(&result);
        if (txn == nullptr) {
          // The mirror shows whether the write took effect.
          claiming_[failure_domain] = runtime_.Now();
          return;
        }
        claiming_.erase(failure_domain);
        if (txn->succeeded) {
          Hold(failure_domain, lease, txn->revision,
               control::FirstFencingToken(txn->revision));
        } else {
          OnStaleView(failure_domain);
        }
      });
}

// Another node may have taken the command, and the watch that would say so may
// be on a connection that has gone silent.
void LeadershipManager::OnStaleView(const std::string& failure_domain) {
  const TimePoint now = runtime_.Now();
  const auto [it, is_new] = stale_.emplace(failure_domain, now);
  if (!is_new && now - it->second < kRefreshTime) {
    return;
  }
  it->second = now;
  LogEvent(LogLevel::kInfo, "command_view_behind",
           {{"domain", failure_domain}});
  view_.RefreshLeaders();
}

}  // namespace jaypick::node
