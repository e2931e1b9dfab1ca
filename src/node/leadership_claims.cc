// Claiming the leadership of a domain: the election decision, the check that
// upstreams are reachable, and the conditional write of the leader record.
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

// A claim without a result is retried after this time.
constexpr Duration kClaimTimeout = std::chrono::milliseconds(1200);
// While the system starts, upstreams may register after this node has read the
// list, so a domain without upstreams is considered again at each change.
constexpr Duration kSystemStartTime = std::chrono::seconds(10);
// While a leader hands over to the instance that asked for it, other instances
// wait, so that a domain does not change hands several times.
constexpr Duration kSuccessorPrecedence = std::chrono::milliseconds(500);
// When a response of the store shows that the mirror lags, the mirror is read
// again; no claims are made for this time.
constexpr Duration kRefreshWait = std::chrono::milliseconds(300);
constexpr Duration kReachabilityProbeInterval = std::chrono::milliseconds(200);
// A domain without a response for this long counts as unreachable.
constexpr Duration kReachabilityTimeout = std::chrono::milliseconds(500);
// Number of upstreams that are polled to check whether the domain is reachable.
constexpr std::size_t kMaxProbes = 3;
constexpr std::size_t kRankSpreadMs = 40;
// When the whole system starts, instances come up within 300 ms in any order.
// Delays are multiplied by this factor so that instances with a larger
// processor share claim first.
constexpr int kFirstElectionFactor = 6;

}  // namespace

Duration LeadershipManager::RankDelay(const std::string& failure_domain,
                                      LeaderState state) const {
  const LeaderRecord* const leader = peers_.LeaderOf(failure_domain);
  const std::size_t spread =
      std::hash<std::string>()(settings_.instance) % kRankSpreadMs;
  const Duration delay =
      control::ProcessorShareDelay(
          {}, settings_.processor_share,
          leader == nullptr ? std::nullopt
                            : std::optional(leader->processor_share)) +
      std::chrono::milliseconds(spread);
  if (state == LeaderState::kNone) {
    return delay * kFirstElectionFactor;
  }
  const LeadershipStatus* const status = peers_.Status(failure_domain);
  const bool has_precedence = state != LeaderState::kLeaving ||
                              status == nullptr || status->successor.empty() ||
                              status->successor == settings_.instance;
  return has_precedence ? delay : delay + kSuccessorPrecedence;
}

bool LeadershipManager::NeedsUpstreams(TimePoint now) const {
  const bool is_writing_claim = std::ranges::any_of(
      claims_,
      [](const auto& claim) { return claim.second == TimePoint::max(); });
  return !held_domains_.empty() || is_writing_claim ||
         now < upstreams_wanted_until_;
}

bool LeadershipManager::HasUpstreams(const std::string& failure_domain) const {
  return std::ranges::any_of(view_.upstreams(), [&](const auto& entry) {
    return entry.second.failure_domain == failure_domain;
  });
}

void LeadershipManager::ConsiderElection(const std::string& failure_domain,
                                         TimePoint now) {
  const auto claim = claims_.find(failure_domain);
  if (claim != claims_.end() && now - claim->second < kClaimTimeout) {
    return;
  }
  const auto& leaders = view_.leaders();
  const auto record = leaders.find(failure_domain);
  const bool has_record = record != leaders.end();
  if (has_record) {
    record_absent_since_.erase(failure_domain);
    if (IsOwn(record->second.record)) {
      const auto former = former_revisions_.find(failure_domain);
      if (former != former_revisions_.end() &&
          record->second.revision <= former->second) {
        OnStaleView(failure_domain);
      } else if (!is_draining_) {
        // This node's claim was written, but the response was lost.
        BecomeLeader(failure_domain, 0, record->second.revision,
                     control::FirstFencingToken(record->second.revision));
      }
      return;
    }
  } else {
    record_absent_since_.emplace(failure_domain, now);
  }
  const auto stale = stale_view_times_.find(failure_domain);
  if (stale != stale_view_times_.end() && now - stale->second < kRefreshWait) {
    return;
  }
  const LeaderState state = peers_.LeaderStateOf(failure_domain);
  const control::ElectionInput election{
      .is_in_domain = failure_domain == settings_.failure_domain,
      .is_draining = is_draining_,
      .is_leader = false,
      .leads_other_domain = !held_domains_.empty(),
      .has_record = has_record,
      .leader_state = state,
      .state_age = peers_.LeaderStateAge(failure_domain),
      .record_absent_for = has_record
                               ? Duration(0)
                               : now - record_absent_since_.at(failure_domain),
      .reachable_for = ReachableFor(failure_domain, now),
      .rank_delay = RankDelay(failure_domain, state)};
  // The record may expire soon; by then, it should be known whether the domain
  // is reachable.
  if (state == LeaderState::kSilent && !is_draining_ &&
      election.state_age >= control::ElectionDelay({}, election)) {
    upstreams_wanted_until_ = now + kClaimTimeout;
    ProbeReachability(failure_domain, now);
  }
  if (control::ShouldTakeLeadership({}, election)) {
    upstreams_wanted_until_ = now + kClaimTimeout;
    view_.SetUpstreamsWatched(true);
    // The domain may be evacuated.
    if (!view_.has_read_upstreams() || !view_.has_read_operator_keys()) {
      return;
    }
    const bool has_upstreams = HasUpstreams(failure_domain);
    if (!has_upstreams && now - started_ < kSystemStartTime) {
      return;
    }
    claims_[failure_domain] = now;
    if (const LeaderRecord* const leader = peers_.LeaderOf(failure_domain);
        leader != nullptr && !IsOwn(*leader)) {
      predecessors_[failure_domain] = {.record = *leader};
    }
    const std::int64_t revision = has_record ? record->second.revision : 0;
    if (has_upstreams) {
      ProbeAndClaim(failure_domain, revision, state);
    } else {
      // The jobs of its callers run in other domains, through its leader.
      claims_[failure_domain] = TimePoint::max();
      ConfirmAndClaim(failure_domain, revision, state);
    }
  }
}

void LeadershipManager::ProbeReachability(const std::string& failure_domain,
                                          TimePoint now) {
  DomainReachability& reachability = reachability_[failure_domain];
  if (now - reachability.last_probe < kReachabilityProbeInterval) {
    return;
  }
  reachability.last_probe = now;
  Probe(failure_domain, [this, failure_domain] {
    DomainReachability& updated = reachability_[failure_domain];
    const TimePoint responded_at = runtime_.Now();
    if (responded_at - updated.last_response >= kReachabilityTimeout) {
      updated.reachable_since = responded_at;
    }
    updated.last_response = responded_at;
  });
}

Duration LeadershipManager::ReachableFor(const std::string& failure_domain,
                                         TimePoint now) const {
  const auto it = reachability_.find(failure_domain);
  return it == reachability_.end() ||
                 now - it->second.last_response >= kReachabilityTimeout
             ? Duration(0)
             : now - it->second.reachable_since;
}

// A node that cannot reach any upstream of the domain does not claim it.
void LeadershipManager::ProbeAndClaim(const std::string& failure_domain,
                                      std::int64_t expected_revision,
                                      LeaderState state) {
  Probe(failure_domain, [this, failure_domain, expected_revision, state] {
    // The first response starts the claim; later ones are ignored.
    const auto claim = claims_.find(failure_domain);
    if (claim != claims_.end() && claim->second != TimePoint::max()) {
      claim->second = TimePoint::max();
      ConfirmAndClaim(failure_domain, expected_revision, state);
    }
  });
}

// While a domain is cut off, connections to it may be refused like those to a
// process that has ended. Its upstreams respond as soon as the cut has healed,
// and its leader, which has gone on, responds as well; replacing it would end
// all of its runs.
void LeadershipManager::ConfirmAndClaim(const std::string& failure_domain,
                                        std::int64_t expected_revision,
                                        LeaderState state) {
  if (state != LeaderState::kGone) {
    Claim(failure_domain, expected_revision);
    return;
  }
  peers_.Confirm(failure_domain, [this, failure_domain, expected_revision,
                                  alive = is_alive_](LeaderState confirmed) {
    if (!*alive) {
      return;
    }
    if (confirmed == LeaderState::kAlive || confirmed == LeaderState::kSilent) {
      LogEvent(LogLevel::kInfo, "command_claim_dropped",
               {{"domain", failure_domain},
                {"holder_state", std::string(control::ToString(confirmed))}});
      claims_.erase(failure_domain);
      return;
    }
    Claim(failure_domain, expected_revision);
  });
}

// Polls with the lowest token, which fences nobody. Any response, also a
// rejection, proves that the upstream is reachable.
void LeadershipManager::Probe(const std::string& failure_domain,
                              const std::function<void()>& on_response) {
  std::vector<const schedule::Upstream*> upstreams;
  for (const auto& [key, upstream] : view_.upstreams()) {
    if (upstream.failure_domain == failure_domain) {
      upstreams.push_back(&upstream);
    }
  }
  const std::size_t probes = std::min(kMaxProbes, upstreams.size());
  for (std::size_t probe = 0; probe < probes; ++probe) {
    // Another few each time, as these may have gone since the list was read.
    const schedule::Upstream& upstream =
        *upstreams[next_probe_++ % upstreams.size()];
    upstream_client_.Poll(
        upstream, control::PollRequest{.is_recovery = true},
        [on_response, alive = is_alive_](const auto& response) {
          if (*alive &&
              !std::holds_alternative<control::NoResponse>(response)) {
            on_response();
          }
        });
  }
}

// The write is conditional on `expected_revision`: it fails if another node has
// written the record since the decision to claim.
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
          claims_[failure_domain] = runtime_.Now();
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
          // The outcome is unknown. The mirror will show whether the write took
          // effect.
          claims_[failure_domain] = runtime_.Now();
          return;
        }
        claims_.erase(failure_domain);
        if (txn->succeeded) {
          BecomeLeader(failure_domain, lease, txn->revision,
                       control::FirstFencingToken(txn->revision));
        } else {
          OnStaleView(failure_domain);
        }
      });
}

// Another node may have become leader, and the watch that should report this
// may be stuck on a dead connection. Reads the records again.
void LeadershipManager::OnStaleView(const std::string& failure_domain) {
  const TimePoint now = runtime_.Now();
  const auto [it, is_new] = stale_view_times_.emplace(failure_domain, now);
  if (!is_new && now - it->second < kRefreshWait) {
    return;
  }
  it->second = now;
  LogEvent(LogLevel::kInfo, "command_view_behind",
           {{"domain", failure_domain}});
  view_.RefreshLeaders();
}

}  // namespace jaypick::node
