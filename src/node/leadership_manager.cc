#include "node/leadership_manager.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <set>
#include <utility>

#include "control/evacuation.h"
#include "control/fencing_token.h"
#include "control/run_bounds.h"
#include "control/start_limit.h"
#include "daemon/log.h"

namespace jaypick::node {
namespace {

using daemon::LogEvent;
using daemon::LogLevel;

constexpr Duration kTick = std::chrono::milliseconds(50);
// Number of renewals during one lease period.
constexpr int kRenewalsPerLease = 3;
// A leadership without a record is open to the next node that starts, so the
// record is rewritten soon after the store is reachable again.
constexpr Duration kRecordRewriteInterval = std::chrono::milliseconds(100);
// Time after which a leader that resigned stops accepting jobs although no
// successor has shown up.
constexpr Duration kSuccessorWait = std::chrono::milliseconds(2000);
// Time in which a successor shows up if the store is reachable; after that, the
// leadership is offered to a peer directly.
constexpr Duration kStoreSuccessorWait = std::chrono::milliseconds(600);
// While the store is unreachable nobody can claim the domain, so a resigning
// leader accepts jobs for longer. It stops this long before the shutdown limit,
// to let running jobs finish.
constexpr Duration kDrainTime = std::chrono::milliseconds(1800);
// Uptime after which a node asks for the leadership of its own domain.
constexpr Duration kMinUptime = std::chrono::milliseconds(1500);
// Interval of reads of a list of upstreams that has become too old.
constexpr Duration kListRefreshInterval = std::chrono::milliseconds(500);
// Interval of checks while a new leader holds submissions back.
constexpr Duration kHoldTick = std::chrono::milliseconds(10);
// Time in which a predecessor reports its jobs.
constexpr Duration kReportTimeout = std::chrono::milliseconds(300);
// Time in which the leaders of other domains report the jobs of this one: two
// timeouts of pings, of one that did not ask yet and of one that did.
constexpr Duration kOtherReportsTimeout = std::chrono::milliseconds(600);

// An instance asks for the leadership of its domain if it has at least this
// many times the processor share of the current leader.
constexpr double kMinShareRatio = 1.8;

// An offer without a response may have made another node the leader before
// `successor`, whose jobs are not known to the node that made the offers.
bool IsOnlyOfferTo(const LeaderRecord& successor,
                   const std::set<std::string>& offered_to) {
  return std::ranges::all_of(offered_to, [&](const std::string& incarnation) {
    return incarnation == successor.incarnation;
  });
}

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
      crash_history_(new schedule::CrashHistory),
      job_memory_(new schedule::MemoryBudget(
          {.bytes = ShareJobMemory(settings.machine).job_bytes})),
      run_memory_(new schedule::MemoryBudget(
          {.bytes = ShareJobMemory(settings.machine).run_bytes})),
      timer_(runtime.base(), [this] { Tick(); }),
      lost_timer_(runtime.base(), [this] { RetireLostLeaders(); }),
      is_alive_(std::make_shared<bool>(true)) {}

LeadershipManager::~LeadershipManager() {
  *is_alive_ = false;
}

void LeadershipManager::Start() {
  Tick();
}

DomainLeader* LeadershipManager::Find(const std::string& failure_domain) {
  const auto it = held_domains_.find(failure_domain);
  const bool is_usable =
      it != held_domains_.end() && !it->second.domain_leader->is_lost();
  return is_usable ? it->second.domain_leader.get() : nullptr;
}

void LeadershipManager::OnAttended() {
  for (const auto& [domain, held_domain] : held_domains_) {
    held_domain.domain_leader->OnAttended();
  }
}

void LeadershipManager::Tick() {
  retired_.clear();
  const TimePoint now = runtime_.Now();
  for (const std::string& domain : settings_.failure_domains) {
    const auto it = held_domains_.find(domain);
    if (it != held_domains_.end()) {
      UpdateHeldDomain(domain, it->second, now);
    } else if (view_.has_read_leaders()) {
      ConsiderElection(domain, now);
    }
  }
  view_.SetUpstreamsWatched(NeedsUpstreams(now));
  CheckUpstreamListAge(now);
  ConsiderResumingJobs(now);
  timer_.After(IsHoldingJobs() ? kHoldTick : kTick);
}

bool LeadershipManager::IsHoldingJobs() const {
  return std::ranges::any_of(held_domains_, [](const auto& entry) {
    return entry.second.domain_leader->is_holding_jobs();
  });
}

void LeadershipManager::ConsiderResumingJobs(TimePoint now) {
  for (auto& [domain, held_domain] : held_domains_) {
    DomainLeader& domain_leader = *held_domain.domain_leader;
    if (!domain_leader.is_holding_jobs() || domain_leader.is_lost() ||
        domain_leader.is_draining()) {
      continue;
    }
    if (KnowsActiveJobs(domain, held_domain, now)) {
      domain_leader.ResumeJobs();
    } else {
      domain_leader.RefuseOverdueSubmissions();
    }
  }
}

bool LeadershipManager::KnowsActiveJobs(const std::string& failure_domain,
                                        HeldDomain& held_domain,
                                        TimePoint now) {
  TakeOver& take_over = held_domain.take_over;
  if (take_over.has_predecessor_reported) {
    return true;
  }
  const control::LeaderState predecessor =
      peers_.PredecessorState(failure_domain);
  // The first response of a predecessor may still be on its way.
  const bool may_report = predecessor == control::LeaderState::kAlive ||
                          predecessor == control::LeaderState::kLeaving ||
                          (predecessor == control::LeaderState::kSilent &&
                           now - take_over.since < kReportTimeout);
  if (may_report && !take_over.reporters.contains(take_over.predecessor)) {
    take_over.predecessor_ended.reset();
    return false;
  }
  if (!take_over.predecessor_ended) {
    take_over.predecessor_ended = now;
  }
  // The tokens of this leader fence its predecessor at each upstream. At one
  // that does not respond, runs end with their leases.
  const Duration ended_for = now - *take_over.predecessor_ended;
  const bool have_runs_ended =
      (held_domain.predecessor_upstreams.empty() &&
       held_domain.domain_leader->HasTakenOverAllUpstreams()) ||
      ended_for >= control::LongestLease(settings_.run_lease);
  return have_runs_ended &&
         (ended_for >= kOtherReportsTimeout ||
          HaveOtherDomainsReported(failure_domain, take_over));
}

bool LeadershipManager::HaveOtherDomainsReported(
    const std::string& failure_domain,
    const TakeOver& take_over) {
  return std::ranges::all_of(
      settings_.failure_domains, [&](const std::string& domain) {
        const control::LeaderState state = peers_.LeaderStateOf(domain);
        // What this node knows of the leader may come from the predecessor's
        // reports, which have ended.
        const bool is_silent = state == control::LeaderState::kSilent &&
                               peers_.HasMissedPing(domain, take_over.since);
        return domain == failure_domain || held_domains_.contains(domain) ||
               state == control::LeaderState::kNone ||
               state == control::LeaderState::kGone || is_silent ||
               take_over.reporters.contains(
                   peers_.LeaderOf(domain)->incarnation);
      });
}

std::vector<TakenOverDomain> LeadershipManager::TakenOverDomains() const {
  std::vector<TakenOverDomain> domains;
  for (const auto& [domain, held_domain] : held_domains_) {
    if (held_domain.domain_leader->is_holding_jobs()) {
      domains.push_back({.failure_domain = domain,
                         .token = held_domain.domain_leader->token()});
    }
  }
  return domains;
}

bool LeadershipManager::IsOutdatedRegistrar(const std::string& failure_domain,
                                            std::uint64_t token) const {
  const auto latest = registrar_tokens_.find(failure_domain);
  return latest != registrar_tokens_.end() && token < latest->second;
}

std::vector<DomainJobs> LeadershipManager::JobsFor(const Ping& ping) {
  std::vector<DomainJobs> reports;
  const TimePoint now = runtime_.Now();
  for (const TakenOverDomain& taken_over : ping.taken_over) {
    const std::string& domain = taken_over.failure_domain;
    std::uint64_t& registrar_token = registrar_tokens_[domain];
    registrar_token = std::max(registrar_token, taken_over.token);
    DomainJobs report{.failure_domain = domain, .token = taken_over.token};
    std::vector<control::RegisteredJob> jobs;
    const auto own = held_domains_.find(domain);
    const auto handed_over = handed_over_jobs_.find(domain);
    if (own != held_domains_.end()) {
      DomainLeader& domain_leader = *own->second.domain_leader;
      if (IsOwn(ping.sender) || taken_over.token <= domain_leader.token()) {
        continue;
      }
      // The store may not have shown the new leader to this node yet.
      Resign(domain, "superseded", ping.sender.instance);
      if (!domain_leader.is_draining()) {
        domain_leader.Drain();
      }
      if (domain_leader.is_holding_jobs() || domain_leader.is_lost()) {
        continue;
      }
      jobs = domain_leader.Jobs();
      own->second.has_reported_jobs = true;
      report.is_of_earlier_leader =
          IsOnlyOfferTo(ping.sender, own->second.offered_to);
    } else if (handed_over != handed_over_jobs_.end()) {
      jobs = handed_over->second.jobs;
      report.is_of_earlier_leader =
          IsOnlyOfferTo(ping.sender, handed_over->second.offered_to);
    }
    if (const auto lost = lost_jobs_.find(domain); lost != lost_jobs_.end()) {
      std::ranges::copy(lost->second, std::back_inserter(jobs));
    }
    for (const auto& [other, held_domain] : held_domains_) {
      if (other != domain) {
        std::ranges::copy(held_domain.domain_leader->JobsOf(domain),
                          std::back_inserter(jobs));
      }
    }
    for (control::RegisteredJob& job : jobs) {
      report.jobs.push_back(
          {.job = std::move(job.job),
           .owner = std::move(job.owner),
           .is_located = job.is_located,
           .location = {.leadership = std::move(job.leadership),
                        .time_left = job.until - now}});
    }
    reports.push_back(std::move(report));
  }
  return reports;
}

TimePoint LeadershipManager::StartLimit(const HeldDomain& held_domain) {
  const bool can_be_updated =
      view_.is_responsive(StoreView::Part::kUpstreams) ||
      peers_.IsStoreConnectedToLeaderOtherThan(settings_.instance);
  return control::StartLimit({.upstream_notice = settings_.upstream_notice},
                             {.as_of = view_.upstreams_as_of(),
                              .can_be_updated = can_be_updated,
                              .claimed_at = held_domain.claimed_at},
                             runtime_.Now());
}

void LeadershipManager::CheckUpstreamListAge(TimePoint now) {
  if (held_domains_.empty()) {
    return;
  }
  TimePoint limit = TimePoint::max();
  for (auto& [domain, held_domain] : held_domains_) {
    const TimePoint domain_limit = StartLimit(held_domain);
    held_domain.domain_leader->SetStartLimit(domain_limit);
    limit = std::min(limit, domain_limit);
  }
  if (now < limit || now - upstreams_refreshed_ < kListRefreshInterval) {
    return;
  }
  upstreams_refreshed_ = now;
  LogEvent(LogLevel::kWarning, "upstream_list_old",
           {{"age_ms",
             std::to_string(ToMilliseconds(now - view_.upstreams_as_of()))}});
  if (view_.is_connected(StoreView::Part::kUpstreams)) {
    view_.RefreshUpstreams();
  }
}

void LeadershipManager::BecomeLeader(const std::string& failure_domain,
                                     std::int64_t lease,
                                     std::int64_t revision,
                                     std::uint64_t token) {
  claims_.erase(failure_domain);
  const TimePoint now = runtime_.Now();
  const auto known = held_domains_.find(failure_domain);
  if (known != held_domains_.end()) {
    // This node still leads the domain; its record had expired and was
    // rewritten.
    known->second.revision = revision;
    known->second.lease = lease;
    known->second.last_renewal = now;
    known->second.has_lease_expired = false;
    // Tokens derived from the new record belong to this node, too.
    known->second.offered_token = control::FirstFencingToken(revision);
    return;
  }
  TakeOver take_over{.since = now};
  const auto predecessor = predecessors_.find(failure_domain);
  if (predecessor != predecessors_.end()) {
    take_over.predecessor = predecessor->second.record.incarnation;
    peers_.MonitorPredecessor(failure_domain, predecessor->second.record,
                              std::move(predecessor->second.held_upstreams));
    predecessors_.erase(predecessor);
  }
  LogEvent(LogLevel::kInfo, "command_won",
           {{"domain", failure_domain},
            {"token", std::to_string(token)},
            {"revision", std::to_string(revision)}});
  const LeaderRecord record = OwnRecord();
  DomainLeaderOptions options{
      .failure_domain = failure_domain,
      .incarnation = record.incarnation,
      .address = record.address,
      .longest_stop = control::LongestStop(settings_.run_lease),
      .token = token};
  options.session.longest_lease = control::RunLease(settings_.run_lease);
  options.scheduler.on_violation = [](std::string_view invariant,
                                      const std::string& detail) {
    LogEvent(LogLevel::kError, "invariant_violated",
             {{"invariant", std::string(invariant)}, {"job", detail}});
  };
  options.scheduler.crash_history = crash_history_;
  options.scheduler.job_memory = job_memory_;
  options.scheduler.run_memory = run_memory_;
  options.on_lost = [this] { lost_timer_.After(Duration(0)); };
  HeldDomain& held_domain = held_domains_[failure_domain];
  held_domain.domain_leader = std::make_unique<DomainLeader>(
      runtime_, upstream_client_, std::move(options));
  held_domain.revision = revision;
  held_domain.lease = lease;
  held_domain.last_renewal = now;
  held_domain.offered_token = token;
  held_domain.take_over = std::move(take_over);
  held_domain.domain_leader->HoldJobs();
  for (const auto& [other, other_domain] : held_domains_) {
    if (other != failure_domain) {
      held_domain.domain_leader->ImportJobs(
          other_domain.domain_leader->JobsOf(failure_domain));
    }
  }
  if (lease != 0) {
    held_domain.claimed_at = now;
  }
  const std::vector<std::string> unreleased =
      peers_.HeldByPredecessor(failure_domain);
  held_domain.predecessor_upstreams =
      std::set<std::string>(unreleased.begin(), unreleased.end());
  if (const auto own_jobs = handed_over_jobs_.find(failure_domain);
      own_jobs != handed_over_jobs_.end()) {
    held_domain.domain_leader->ImportJobs(own_jobs->second.jobs);
    handed_over_jobs_.erase(own_jobs);
  }
  held_domain.domain_leader->ImportJobs(lost_jobs_[failure_domain]);
  registrar_tokens_[failure_domain] = token;
  peers_.MonitorLeader(failure_domain, OwnRecord(), token);
  // Asks all leaders for the jobs of this domain.
  peers_.PingAll();
  held_domain.domain_leader->SetEvacuated(
      view_.evacuated_domains().contains(failure_domain));
  held_domain.domain_leader->SetUpstreams(view_.upstreams(),
                                          held_domain.predecessor_upstreams,
                                          StartLimit(held_domain));
  timer_.After(kHoldTick);
}

void LeadershipManager::UpdateHeldDomain(const std::string& failure_domain,
                                         HeldDomain& held_domain,
                                         TimePoint now) {
  if (held_domain.has_resigned) {
    const bool has_successor =
        held_domain.is_delegated || HasSuccessor(failure_domain, held_domain);
    const Duration wait = view_.is_connected()
                              ? kSuccessorWait
                              : settings_.shutdown_limit - kDrainTime;
    if (!held_domain.domain_leader->is_draining() &&
        (has_successor || now - held_domain.resigned_at >= wait)) {
      held_domain.domain_leader->Drain();
    }
    const bool may_delegate =
        !view_.is_connected() ||
        now - held_domain.resigned_at >= kStoreSuccessorWait;
    if (!held_domain.domain_leader->is_draining() && !held_domain.is_offering &&
        may_delegate) {
      OfferDelegation(failure_domain, held_domain, now);
    }
    if (IsHandedOver(held_domain, now)) {
      LogEvent(LogLevel::kInfo, "command_handed_over",
               {{"domain", failure_domain}});
      // A leader that has not learned the jobs of its predecessor cannot report
      // them.
      if (held_domain.domain_leader->is_holding_jobs()) {
        handed_over_jobs_.erase(failure_domain);
      } else {
        handed_over_jobs_[failure_domain] = {
            .jobs = held_domain.domain_leader->Jobs(),
            .offered_to = held_domain.offered_to};
      }
      held_domain.domain_leader->Drain();
      former_revisions_[failure_domain] = held_domain.revision;
      retired_.push_back(std::move(held_domain.domain_leader));
      held_domains_.erase(failure_domain);
    }
    return;
  }
  const Duration interval = held_domain.lease == 0
                                ? kRecordRewriteInterval
                                : settings_.command_lease / kRenewalsPerLease;
  if (now - held_domain.last_renewal >= interval && !held_domain.is_renewing) {
    Renew(failure_domain, held_domain, now);
  }
}

bool LeadershipManager::IsHandedOver(HeldDomain& held_domain,
                                     TimePoint now) const {
  const DomainLeader& domain_leader = *held_domain.domain_leader;
  // The successor learns here which upstreams the predecessor still holds.
  if (!domain_leader.HeldUpstreams().empty() ||
      !held_domain.predecessor_upstreams.empty() ||
      domain_leader.scheduler().jobs() > 0) {
    held_domain.idle_since.reset();
    return false;
  }
  held_domain.idle_since = held_domain.idle_since.value_or(now);
  return held_domain.has_reported_jobs || domain_leader.Jobs().empty() ||
         now - *held_domain.idle_since >= kReportTimeout;
}

void LeadershipManager::Renew(const std::string& failure_domain,
                              HeldDomain& held_domain,
                              TimePoint now) {
  held_domain.is_renewing = true;
  held_domain.last_renewal = now;
  const auto done = [this, failure_domain, alive = is_alive_](bool is_lost) {
    if (!*alive) {
      return;
    }
    const auto it = held_domains_.find(failure_domain);
    if (it == held_domains_.end()) {
      return;
    }
    it->second.is_renewing = false;
    if (is_lost && !it->second.has_resigned) {
      it->second.lease = 0;
      it->second.has_lease_expired = true;
      // Makes the next tick write the record again.
      it->second.last_renewal = TimePoint();
    }
  };
  if (held_domain.lease == 0) {
    // The record is missing although this node still leads the domain. It is
    // written again unless another node has claimed the domain.
    const auto& leaders = view_.leaders();
    const auto record = leaders.find(failure_domain);
    // The mirror may lag and still show the record whose lease has expired.
    const bool is_absent =
        record == leaders.end() ||
        (held_domain.has_lease_expired && IsOwn(record->second.record));
    const std::int64_t expected = is_absent ? 0 : record->second.revision;
    store_.GrantLease(settings_.command_lease,
                      [this, failure_domain, expected, done, alive = is_alive_](
                          const StoreResult<LeaseResult>& result) {
                        done(false);
                        const auto* const granted =
                            std::get_if<LeaseResult>(&result);
                        if (*alive && granted != nullptr &&
                            held_domains_.contains(failure_domain) &&
                            !held_domains_.at(failure_domain).has_resigned) {
                          WriteRecord(failure_domain, granted->lease, expected);
                        }
                      });
    return;
  }
  store_.RenewLease(
      held_domain.lease, [done](const StoreResult<LeaseStatus>& result) {
        const auto* const status = std::get_if<LeaseStatus>(&result);
        done(status != nullptr && !status->is_alive);
      });
}

void LeadershipManager::OnUpstreamsChanged() {
  for (auto& [domain, held_domain] : held_domains_) {
    held_domain.domain_leader->SetUpstreams(view_.upstreams(),
                                            held_domain.predecessor_upstreams,
                                            StartLimit(held_domain));
  }
  if (held_domains_.empty()) {
    // A claim may have waited for the list.
    timer_.After(Duration(0));
  }
}

void LeadershipManager::OnEvacuationsChanged() {
  const std::set<std::string>& evacuated = view_.evacuated_domains();
  const control::EvacuationChanges changes = control::CompareEvacuations(
      settings_.failure_domains, logged_evacuations_, evacuated);
  for (const std::string& domain : changes.begun) {
    LogEvent(LogLevel::kInfo, "evacuation_requested", {{"domain", domain}});
  }
  for (const std::string& domain : changes.ended) {
    LogEvent(LogLevel::kInfo, "evacuation_ended", {{"domain", domain}});
  }
  for (const std::string& domain : changes.unknown) {
    LogEvent(LogLevel::kWarning, "evacuation_of_unknown_domain",
             {{"domain", domain}});
  }
  logged_evacuations_ = evacuated;
  for (auto& [domain, held_domain] : held_domains_) {
    held_domain.domain_leader->SetEvacuated(evacuated.contains(domain));
  }
}

std::map<std::string, std::size_t> LeadershipManager::RunningTasks() const {
  std::map<std::string, std::size_t> running;
  for (const auto& [domain, held_domain] : held_domains_) {
    running[domain] = held_domain.domain_leader->scheduler().running_tasks();
  }
  return running;
}

void LeadershipManager::OnPause() {
  for (auto& [domain, held_domain] : held_domains_) {
    held_domain.domain_leader->OnPause();
  }
}

void LeadershipManager::OnPingResponse(const PingResponse& response) {
  crash_history_->Merge(runtime_.Now(), response.losses);
  ImportJobs(response);
  for (auto& [domain, held_domain] : held_domains_) {
    const std::vector<std::string> unreleased =
        peers_.HeldByPredecessor(domain);
    if (unreleased.empty() && !held_domain.domain_leader->is_holding_jobs()) {
      peers_.ForgetPredecessor(domain);
    }
    std::set<std::string> predecessor_upstreams(unreleased.begin(),
                                                unreleased.end());
    if (predecessor_upstreams != held_domain.predecessor_upstreams) {
      held_domain.predecessor_upstreams = std::move(predecessor_upstreams);
      held_domain.domain_leader->SetUpstreams(view_.upstreams(),
                                              held_domain.predecessor_upstreams,
                                              StartLimit(held_domain));
    }
  }
}

void LeadershipManager::ImportJobs(const PingResponse& response) {
  const TimePoint now = runtime_.Now();
  for (const DomainJobs& report : response.jobs) {
    const auto it = held_domains_.find(report.failure_domain);
    if (it == held_domains_.end() ||
        !it->second.domain_leader->is_holding_jobs()) {
      continue;
    }
    // A response to an earlier leadership of this node says nothing of what its
    // sender has accepted since.
    if (report.token != 0 &&
        report.token != it->second.domain_leader->token()) {
      continue;
    }
    std::vector<control::RegisteredJob> jobs;
    for (const ReportedJob& job : report.jobs) {
      jobs.push_back({.job = job.job,
                      .owner = job.owner,
                      .leadership = job.location.leadership,
                      .until = now + job.location.time_left,
                      .is_located = job.is_located});
    }
    it->second.domain_leader->ImportJobs(jobs);
    TakeOver& take_over = it->second.take_over;
    take_over.reporters.insert(response.incarnation);
    take_over.has_predecessor_reported =
        take_over.has_predecessor_reported ||
        (report.is_of_earlier_leader &&
         response.incarnation == take_over.predecessor);
  }
  ConsiderResumingJobs(now);
}

void LeadershipManager::OnPing(const Ping& ping) {
  if (!IsOwn(ping.sender)) {
    known_peers_[ping.sender.instance] = {.record = ping.sender,
                                          .is_draining = ping.is_draining,
                                          .last_heard = runtime_.Now()};
  }
  for (auto& [domain, held_domain] : held_domains_) {
    if (held_domain.has_resigned && !held_domain.domain_leader->is_draining() &&
        HasSuccessor(domain, held_domain) &&
        view_.leaders().at(domain).record.instance == ping.sender.instance) {
      held_domain.domain_leader->Drain();
    }
  }
}

void LeadershipManager::OnLeadersChanged() {
  const TimePoint now = runtime_.Now();
  for (const auto& [domain, stored] : view_.leaders()) {
    std::int64_t& known_revision = known_revisions_[domain];
    const auto claim = claims_.find(domain);
    if (std::exchange(known_revision, stored.revision) != stored.revision &&
        claim != claims_.end() && claim->second != TimePoint::max()) {
      // A claim from the new leader need not wait for that from the old one.
      claims_.erase(claim);
    }
    const auto it = held_domains_.find(domain);
    if (it != held_domains_.end() && !it->second.has_resigned &&
        HasSuccessor(domain, it->second)) {
      OnLeadershipLost(domain, "taken_over");
    }
    // While this node hands the domain over, its own ping responses report the
    // state of the domain.
    peers_.MonitorLeader(domain, stored.record,
                         control::FirstFencingToken(stored.revision));
  }
  for (const auto& [domain, stored] : view_.last_leaders()) {
    if (!view_.leaders().contains(domain) && !IsOwn(stored.record)) {
      peers_.MonitorLeader(domain, stored.record,
                           control::FirstFencingToken(stored.revision));
    }
  }
  stale_view_times_.clear();
  bool has_record_vanished = false;
  for (const std::string& domain : settings_.failure_domains) {
    if (!view_.leaders().contains(domain)) {
      has_record_vanished = record_absent_since_.emplace(domain, now).second ||
                            has_record_vanished;
    }
  }
  if (has_record_vanished) {
    peers_.PingAll();
  }
}

void LeadershipManager::RetireLostLeaders() {
  std::vector<std::string> lost;
  for (const auto& [domain, held_domain] : held_domains_) {
    if (held_domain.domain_leader->is_lost()) {
      lost.push_back(domain);
    }
  }
  for (const std::string& domain : lost) {
    OnLeadershipLost(domain, "fenced");
    OnStaleView(domain);
  }
}

void LeadershipManager::OnLeadershipLost(const std::string& failure_domain,
                                         std::string_view cause) {
  const auto it = held_domains_.find(failure_domain);
  if (it == held_domains_.end()) {
    return;
  }
  LogEvent(LogLevel::kWarning, "command_lost",
           {{"domain", failure_domain}, {"cause", std::string(cause)}});
  std::unique_ptr<DomainLeader> domain_leader =
      std::move(it->second.domain_leader);
  const std::int64_t lease = it->second.lease;
  former_revisions_[failure_domain] = it->second.revision;
  held_domains_.erase(it);
  lost_jobs_[failure_domain] = domain_leader->Jobs();
  domain_leader->EndAllJobs();
  retired_.push_back(std::move(domain_leader));
  if (lease != 0) {
    store_.RevokeLease(lease, [](const StoreResult<LeaseStatus>&) {
      // If this call fails, the lease expires by itself.
    });
  }
}

void LeadershipManager::Resign(const std::string& failure_domain,
                               std::string_view cause,
                               const std::string& successor) {
  const auto it = held_domains_.find(failure_domain);
  if (it == held_domains_.end() || it->second.has_resigned) {
    return;
  }
  LogEvent(LogLevel::kInfo, "command_yielded",
           {{"domain", failure_domain}, {"cause", std::string(cause)}});
  HeldDomain& held_domain = it->second;
  held_domain.has_resigned = true;
  held_domain.resigned_at = runtime_.Now();
  held_domain.successor = successor;
  held_domain.domain_leader->BeginHandOver();
  if (held_domain.lease != 0) {
    store_.RevokeLease(held_domain.lease, [](const StoreResult<LeaseStatus>&) {
      // If this call fails, the lease expires by itself.
    });
  }
}

void LeadershipManager::ResignAll() {
  is_draining_ = true;
  std::vector<std::string> domains;
  for (const auto& [domain, held_domain] : held_domains_) {
    domains.push_back(domain);
  }
  for (const std::string& domain : domains) {
    Resign(domain, "shutdown", "");
  }
}

std::vector<std::string> LeadershipManager::RequestedDomains() {
  const std::string& own_domain = settings_.failure_domain;
  const auto it = view_.leaders().find(own_domain);
  if (is_draining_ || runtime_.Now() - started_ < kMinUptime ||
      it == view_.leaders().end() || held_domains_.contains(own_domain)) {
    return {};
  }
  const LeaderRecord& leader = it->second.record;
  const bool is_better =
      leader.failure_domain != own_domain ||
      leader.processor_share * kMinShareRatio <= settings_.processor_share;
  return is_better && !IsOwn(leader) ? std::vector<std::string>{own_domain}
                                     : std::vector<std::string>{};
}

std::vector<LeadershipStatus> LeadershipManager::Statuses() {
  std::vector<LeadershipStatus> statuses;
  for (auto& [domain, held_domain] : held_domains_) {
    std::vector<std::string> held_upstreams;
    if (held_domain.has_resigned) {
      // Upstreams that the predecessor still holds will be passed on to this
      // node's successor.
      held_upstreams = held_domain.domain_leader->HeldUpstreams();
      held_upstreams.insert(held_upstreams.end(),
                            held_domain.predecessor_upstreams.begin(),
                            held_domain.predecessor_upstreams.end());
    }
    statuses.push_back({.failure_domain = domain,
                        .is_draining = held_domain.has_resigned,
                        .held_upstreams = std::move(held_upstreams),
                        .successor = held_domain.successor,
                        .load = held_domain.domain_leader->Load()});
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

// Compares revisions because the mirror may lag and still show the record of a
// predecessor.
bool LeadershipManager::HasSuccessor(const std::string& failure_domain,
                                     const HeldDomain& held_domain) const {
  const auto record = view_.leaders().find(failure_domain);
  return record != view_.leaders().end() && !IsOwn(record->second.record) &&
         record->second.revision > held_domain.revision;
}

bool LeadershipManager::IsOwn(const LeaderRecord& record) const {
  return record.instance == settings_.instance &&
         record.incarnation == incarnation_;
}

}  // namespace jaypick::node
