#include "node/caller_server.h"

#include <algorithm>
#include <utility>

#include "control/leader_wait.h"
#include "control/run_bounds.h"
#include "daemon/log.h"
#include "schedule/job_memory.h"

namespace jaypick::node {
namespace {

using daemon::LogEvent;
using daemon::LogLevel;
using schedule::RefusalReason;

constexpr int kNotFound = 404;
constexpr int kTooLarge = 413;
constexpr int kUnavailable = 503;
constexpr int kOk = 200;
// A request has a few kilobytes. What a caller sends ahead stays in the kernel
// up to this size, on each connection.
constexpr int kReceiveBufferBytes = 32 * 1024;
constexpr std::size_t kBodyLimitBytes = std::size_t{4} * 1024 * 1024;
constexpr Duration kIdleTimeout = std::chrono::seconds(300);
// Maximum number of domains that a job is submitted to.
constexpr std::size_t kMaxDomainsPerJob = 2;
// A leader responds by the job's deadline; its response needs additional time
// to travel back.
constexpr Duration kResponseMargin = std::chrono::milliseconds(60);
// `Retry-After` of refusals after a pause, during a shutdown and without a
// leader. By then, the node is responsive again or a new leader is in place.
constexpr Duration kRetryAfter = std::chrono::milliseconds(200);
// Interval at which jobs that wait for a leader are tried again.
constexpr Duration kParkedInterval = std::chrono::milliseconds(20);
// A registration without a response within this time is tried again.
constexpr Duration kRegistrationTimeout = std::chrono::milliseconds(150);
// Maximum number of times that a job follows the answer that it may be active
// elsewhere.
constexpr int kMaxRelocations = 4;
// Assumed queueing delay of a domain whose load has not been reported yet.
// Prevents it from attracting all jobs until its first load report.
constexpr Duration kAssumedWait = std::chrono::milliseconds(20);

http::Response Error(int status, std::string message) {
  return {.status = status,
          .headers = {},
          .body = R"({"error":")" + std::move(message) + R"("})"};
}

control::ActiveJobs::Entry EntryOf(const JobLocation& location, TimePoint now) {
  return {.leadership = location.leadership, .until = now + location.time_left};
}

// A refusal says that the job has not run. Returns a failure in its place.
schedule::JobOutcome WithoutRefusal(const schedule::JobOutcome& outcome) {
  const auto* const refused = std::get_if<schedule::Refused>(&outcome);
  return refused == nullptr ? outcome
                            : schedule::Failed{.reason = refused->reason};
}

}  // namespace

CallerServer::CallerServer(Runtime& runtime,
                           const NodeSettings& settings,
                           const MessageCodec& codec,
                           StoreView& view,
                           Peers& peers,
                           LeadershipManager& leadership_manager,
                           NodeMetrics& metrics)
    : runtime_(runtime),
      settings_(settings),
      codec_(codec),
      view_(view),
      peers_(peers),
      leadership_manager_(leadership_manager),
      metrics_(metrics),
      active_jobs_(control::kLongestUnattendedRun),
      parked_timer_(runtime.base(), [this] { DispatchParkedJobs(); }),
      server_(runtime.base(),
              {.address = settings.callers,
               .body_limit_bytes = kBodyLimitBytes,
               .idle_timeout = kIdleTimeout,
               .limits = ShareLimits(settings.machine).callers,
               .receive_buffer_bytes = kReceiveBufferBytes}) {
  for (const http::Method method :
       {http::Method::kGet, http::Method::kPost, http::Method::kDelete}) {
    server_.Handle(
        method, "/",
        [this](const http::Request& request, http::Responder responder) {
          OnRequest(request, std::move(responder));
        });
  }
}

CallerServer::~CallerServer() {
  // Peers outlive this object and end their requests when they are destroyed.
  for (const auto& [id, job] : jobs_) {
    peers_.Cancel(job.peer_request);
  }
}

void CallerServer::BeginShutdown(TimePoint refuse_from, TimePoint answer_by) {
  server_.CloseAfterAnswers();
  refuse_from_ = refuse_from;
  answer_by_ = answer_by;
}

void CallerServer::OnRequest(const http::Request& request,
                             http::Responder responder) {
  const RoutingTable* const routing = view_.routing();
  if (routing == nullptr) {
    responder.Send(Error(kUnavailable, "no configuration yet"));
    return;
  }
  const auto host = http::FindHeader(request.headers, "Host");
  const Route* const route = routing->Find(host.value_or(""), request.path);
  if (route == nullptr) {
    responder.Send(Error(kNotFound, "no such route"));
    return;
  }
  if (request.body.size() > routing->body_limit_bytes) {
    responder.Send(Error(kTooLarge, "the body is too large"));
    return;
  }
  CallerRequest decoded = codec_.DecodeCallerRequest(request, *route);
  if (auto* const submission = std::get_if<JobSubmission>(&decoded)) {
    OnSubmission(std::move(*submission), std::move(responder));
  } else if (auto* const rejected = std::get_if<RejectedRequest>(&decoded)) {
    LogEvent(LogLevel::kInfo, "call_rejected",
             {{"path", request.path}, {"answer", rejected->response.body}});
    responder.Send(std::move(rejected->response));
  } else if (std::holds_alternative<PendingCountQuery>(decoded)) {
    // Jobs are not stored: each exists only while its caller's request is open,
    // so no job is pending without a caller that waits for it.
    responder.Send(codec_.EncodePending(0));
  } else {
    responder.Send(codec_.EncodeUnknownJob());
  }
}

void CallerServer::OnSubmission(JobSubmission submission,
                                http::Responder responder) {
  const std::string id = submission.spec.id;
  const TimePoint now = runtime_.Now();
  // After a pause, the request may have waited in the socket for longer than
  // its caller's timeout.
  const bool has_just_resumed = runtime_.HasJustResumed();
  if (has_just_resumed || (refuse_from_ && now >= *refuse_from_)) {
    RefuseOnArrival(submission.spec,
                    has_just_resumed ? RefusalReason::kOverloaded
                                     : RefusalReason::kNoUpstream,
                    std::move(responder));
    return;
  }
  const auto known = jobs_.find(id);
  LogEvent(LogLevel::kDebug, "job_received",
           {{"id", id},
            {"known", known == jobs_.end() ? "no" : "yes"},
            {"timeout_ms", std::to_string(ToMilliseconds(submission.timeout))},
            {"lag_ms", std::to_string(ToMilliseconds(runtime_.lag()))}});
  if (known != jobs_.end()) {
    AddWaiter(known->second, id, std::move(responder));
    return;
  }
  schedule::MemoryBudget& budget = leadership_manager_.job_memory();
  if (!budget.CanEverReserve(schedule::JobBytes(submission.spec))) {
    RefuseOnArrival(submission.spec, RefusalReason::kTooLarge,
                    std::move(responder));
    return;
  }
  auto memory = budget.Reserve(schedule::SpecBytes(submission.spec));
  if (!memory) {
    RefuseOnArrival(submission.spec, RefusalReason::kNoMemory,
                    std::move(responder));
    return;
  }
  Job& job = jobs_[id];
  job.spec = std::move(submission.spec);
  job.memory = *std::move(memory);
  job.spec.entry_domain = settings_.failure_domain;
  job.arrival = now;
  job.deadline = std::min(now + submission.timeout, answer_by_);
  job.active = active_jobs_.Take(now, id);
  job.may_have_run = job.active.has_value();
  AddWaiter(job, id, std::move(responder));
  Dispatch(id);
}

void CallerServer::RefuseOnArrival(const schedule::JobSpec& spec,
                                   RefusalReason reason,
                                   http::Responder responder) {
  const schedule::JobOutcome refusal =
      schedule::Refused{.reason = reason, .retry_after = kRetryAfter};
  const bool may_have_run =
      jobs_.contains(spec.id) || active_jobs_.Contains(runtime_.Now(), spec.id);
  const schedule::JobOutcome outcome =
      may_have_run ? WithoutRefusal(refusal) : refusal;
  LogEvent(LogLevel::kInfo, "job_refused_on_arrival",
           {{"id", spec.id},
            {"outcome", schedule::Describe(outcome)},
            {"job_bytes", std::to_string(schedule::JobBytes(spec))},
            {"reserved_bytes",
             std::to_string(leadership_manager_.job_memory().used())}});
  metrics_.OnJob(spec.kind.name, outcome, Duration(0));
  responder.Send(codec_.EncodeOutcome(outcome));
}

void CallerServer::AddWaiter(Job& job,
                             const std::string& id,
                             http::Responder responder) {
  const std::uint64_t number = ++last_waiter_;
  job.waiters.push_back(
      {.number = number,
       .responder = std::make_unique<http::Responder>(std::move(responder))});
  job.waiters.back().responder->OnClosed(
      [this, id, number] { OnClosed(id, number); });
}

void CallerServer::OnClosed(const std::string& id, std::uint64_t waiter) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) {
    return;
  }
  Job& job = it->second;
  std::erase_if(job.waiters,
                [&](const Waiter& each) { return each.number == waiter; });
  if (!job.waiters.empty()) {
    return;
  }
  LogEvent(LogLevel::kInfo, "caller_left",
           {{"id", id},
            {"after_ms",
             std::to_string(ToMilliseconds(runtime_.Now() - job.arrival))},
            {"domain", job.failure_domain}});
  const Job left = std::move(job);
  jobs_.erase(it);
  RememberActive(id, left);
  if (left.peer_request != 0) {
    peers_.Cancel(left.peer_request);
  } else if (DomainLeader* const domain_leader =
                 leadership_manager_.Find(left.failure_domain)) {
    domain_leader->RemoveWaiter(id, left.local_waiter);
  }
}

std::vector<control::DomainCandidate> CallerServer::DomainCandidates() {
  std::vector<control::DomainCandidate> domains;
  for (const std::string& domain : settings_.failure_domains) {
    control::DomainCandidate candidate{
        .failure_domain = domain,
        .is_own_domain = domain == settings_.failure_domain,
        .is_evacuated = view_.evacuated_domains().contains(domain)};
    if (DomainLeader* const domain_leader = leadership_manager_.Find(domain);
        domain_leader != nullptr && !domain_leader->is_draining()) {
      const schedule::LoadReport load = domain_leader->Load();
      candidate.is_reachable = true;
      candidate.wait = load.wait;
      candidate.cores = load.cores;
    } else if (const control::LeaderState state = peers_.LeaderStateOf(domain);
               state == control::LeaderState::kAlive ||
               state == control::LeaderState::kLeaving) {
      const LeadershipStatus* const status = peers_.Status(domain);
      candidate.is_reachable = true;
      candidate.wait = status == nullptr ? kAssumedWait : status->load.wait;
      candidate.cores = status == nullptr ? 1 : status->load.cores;
    }
    domains.push_back(std::move(candidate));
  }
  return domains;
}

void CallerServer::RememberActive(const std::string& id, const Job& job) {
  if (!job.leadership.incarnation.empty()) {
    active_jobs_.Add(runtime_.Now(), id, job.leadership);
  } else if (job.active) {
    active_jobs_.Restore(id, *job.active);
  }
}

void CallerServer::Park(const std::string& id) {
  if (parked_.empty()) {
    parked_timer_.After(kParkedInterval);
  }
  parked_.push_back(id);
  jobs_.at(id).is_parked = true;
}

void CallerServer::DispatchActive(const std::string& id) {
  Job& job = jobs_.at(id);
  if (job.is_waiting_for_runs && runtime_.Now() >= job.deadline) {
    Respond(id, schedule::Failed{.reason = RefusalReason::kRunsLost}, {});
    return;
  }
  if (job.is_waiting_for_runs) {
    Park(id);
    return;
  }
  const control::Leadership leadership = job.active->leadership;
  job.failure_domain = leadership.failure_domain;
  if (leadership.incarnation != leadership_manager_.OwnRecord().incarnation) {
    // By now, the domain may have another leader that does not know the runs.
    if (!ForwardTo(id, job, leadership)) {
      WaitForRuns(id);
    }
    return;
  }
  DomainLeader* const domain_leader =
      leadership_manager_.Find(leadership.failure_domain);
  if (domain_leader == nullptr ||
      (domain_leader->is_draining() && !domain_leader->HasJob(id))) {
    WaitForRuns(id);
    return;
  }
  job.active.reset();
  SubmitLocally(id, job, *domain_leader);
}

void CallerServer::WaitForRuns(const std::string& id) {
  Job& job = jobs_.at(id);
  job.leadership = {};
  job.peer_request = 0;
  if (job.is_forwarded_again || job.active->until >= job.deadline) {
    Respond(id, schedule::Failed{.reason = RefusalReason::kRunsLost}, {});
    return;
  }
  job.is_waiting_for_runs = true;
  Park(id);
}

void CallerServer::Dispatch(const std::string& id) {
  Job& job = jobs_.at(id);
  if (job.active && runtime_.Now() < job.active->until) {
    DispatchActive(id);
    return;
  }
  job.active.reset();
  const auto domains = DomainCandidates();
  const bool has_leader = std::ranges::any_of(domains, [](const auto& domain) {
    return domain.is_own_domain && domain.is_reachable;
  });
  if (has_leader) {
    leaderless_since_.reset();
  }
  // Only the leader of this domain knows whether another instance has submitted
  // the job.
  if (!has_leader) {
    WaitForLeader(id);
    return;
  }
  while (true) {
    const auto choice = control::ChooseDomain({}, domains, job.tried_domains);
    if (!choice) {
      const bool are_all_evacuated =
          std::ranges::all_of(domains, &control::DomainCandidate::is_evacuated);
      Respond(id,
              schedule::Refused{.reason = are_all_evacuated
                                              ? RefusalReason::kEvacuated
                                              : RefusalReason::kNoUpstream,
                                .retry_after = kRetryAfter},
              {});
      return;
    }
    job.failure_domain = domains[*choice].failure_domain;
    const auto leadership = LeadershipOf(job.failure_domain);
    if (leadership && !domains[*choice].is_own_domain) {
      Register(id, job, *leadership);
      return;
    }
    if (leadership && SubmitTo(id, job, *leadership)) {
      return;
    }
    if (domains[*choice].is_own_domain) {
      WaitForLeader(id);
      return;
    }
    job.tried_domains.push_back(job.failure_domain);
  }
}

std::optional<control::Leadership> CallerServer::LeadershipOf(
    const std::string& failure_domain) {
  DomainLeader* const domain_leader = leadership_manager_.Find(failure_domain);
  const bool is_led_here =
      domain_leader != nullptr && !domain_leader->is_draining();
  const LeaderRecord* const leader = peers_.LeaderOf(failure_domain);
  if (!is_led_here && leader == nullptr) {
    return std::nullopt;
  }
  const LeaderRecord record =
      is_led_here ? leadership_manager_.OwnRecord() : *leader;
  return control::Leadership{.failure_domain = failure_domain,
                             .incarnation = record.incarnation,
                             .address = record.address};
}

bool CallerServer::SubmitTo(const std::string& id,
                            Job& job,
                            const control::Leadership& leadership) {
  if (leadership.incarnation != leadership_manager_.OwnRecord().incarnation) {
    return ForwardTo(id, job, leadership);
  }
  DomainLeader* const domain_leader =
      leadership_manager_.Find(leadership.failure_domain);
  const bool is_outdated =
      leadership.failure_domain != settings_.failure_domain &&
      leadership_manager_.IsOutdatedRegistrar(settings_.failure_domain,
                                              job.registrar_token);
  if (domain_leader == nullptr || is_outdated ||
      (domain_leader->is_draining() && !domain_leader->HasJob(id))) {
    return false;
  }
  SubmitLocally(id, job, *domain_leader);
  return true;
}

void CallerServer::Register(const std::string& id,
                            Job& job,
                            const control::Leadership& destination) {
  const TimePoint now = runtime_.Now();
  const Duration time_left =
      job.deadline - now + control::LongestStop(settings_.run_lease);
  job.leadership = {};
  const std::string& own_domain = settings_.failure_domain;
  const std::string owner = leadership_manager_.OwnRecord().incarnation;
  DomainLeader* const domain_leader = leadership_manager_.Find(own_domain);
  if (domain_leader != nullptr && !domain_leader->is_draining()) {
    if (domain_leader->is_holding_jobs()) {
      WaitForLeader(id);
      return;
    }
    const auto active = domain_leader->Register({.job = id,
                                                 .owner = owner,
                                                 .leadership = destination,
                                                 .until = now + time_left},
                                                job.inactive_at);
    OnRegistered(
        id, destination, domain_leader->token(),
        active ? std::optional(control::ActiveJobs::Entry{
                     .leadership = active->leadership, .until = active->until})
               : std::nullopt);
    return;
  }
  const LeaderRecord* const leader = peers_.LeaderOf(own_domain);
  if (leader == nullptr) {
    WaitForLeader(id);
    return;
  }
  const RegistrationRequest message{
      .job = id,
      .failure_domain = own_domain,
      .owner = owner,
      .destination = {.leadership = destination, .time_left = time_left},
      .inactive_at = job.inactive_at};
  job.forward = ++last_forward_;
  job.peer_request =
      peers_.Send(leader->address,
                  {.method = http::Method::kPost,
                   .path = kRegistrationPath,
                   .body = Encode(message)},
                  kRegistrationTimeout,
                  [this, id, destination,
                   forward = job.forward](const http::ClientResult& result) {
                    const auto it = jobs_.find(id);
                    if (it != jobs_.end() && it->second.forward == forward) {
                      it->second.peer_request = 0;
                      OnRegistrationResult(id, destination, result);
                    }
                  });
}

// A registration whose response was lost is repeated, which changes nothing.
void CallerServer::OnRegistrationResult(const std::string& id,
                                        const control::Leadership& destination,
                                        const http::ClientResult& result) {
  const auto* const response = std::get_if<http::Response>(&result);
  const auto decoded = response != nullptr && response->status == kOk
                           ? DecodeRegistrationResponse(response->body)
                           : std::nullopt;
  if (!decoded || decoded->is_not_leader) {
    LogEvent(LogLevel::kInfo, "job_not_registered",
             {{"id", id},
              {"destination", destination.failure_domain},
              {"not_leader", decoded ? "yes" : "no"}});
    WaitForLeader(id);
    return;
  }
  OnRegistered(id, destination, decoded->token,
               decoded->active
                   ? std::optional(EntryOf(*decoded->active, runtime_.Now()))
                   : std::nullopt);
}

void CallerServer::OnRegistered(
    const std::string& id,
    const control::Leadership& destination,
    std::uint64_t registrar_token,
    const std::optional<control::ActiveJobs::Entry>& active) {
  if (active) {
    OnActiveElsewhere(id, *active);
    return;
  }
  Job& job = jobs_.at(id);
  job.failure_domain = destination.failure_domain;
  job.registrar_token = registrar_token;
  if (!SubmitTo(id, job, destination)) {
    job.inactive_at = destination.incarnation;
    job.tried_domains.push_back(destination.failure_domain);
    Dispatch(id);
  }
}

void CallerServer::OnActiveElsewhere(const std::string& id,
                                     control::ActiveJobs::Entry active) {
  Job& job = jobs_.at(id);
  LogEvent(LogLevel::kDebug, "job_active_elsewhere",
           {{"id", id},
            {"asked", job.failure_domain},
            {"domain", active.leadership.failure_domain},
            {"incarnation", active.leadership.incarnation},
            {"left_ms",
             std::to_string(ToMilliseconds(active.until - runtime_.Now()))}});
  job.leadership = {};
  job.local_waiter = 0;
  job.may_have_run = true;
  job.is_waiting_for_runs = false;
  job.active = std::move(active);
  if (++job.relocations > kMaxRelocations) {
    Respond(id, schedule::Failed{.reason = RefusalReason::kRunsLost}, {});
    return;
  }
  Dispatch(id);
}

void CallerServer::WaitForLeader(const std::string& id) {
  Job& job = jobs_.at(id);
  job.leadership = {};
  job.local_waiter = 0;
  job.peer_request = 0;
  const TimePoint now = runtime_.Now();
  leaderless_since_ = leaderless_since_.value_or(now);
  if (control::ShouldWaitForLeader({}, {.absence = now - *leaderless_since_,
                                        .waited = now - job.arrival,
                                        .time_left = job.deadline - now})) {
    Park(id);
    return;
  }
  Respond(id,
          schedule::Refused{.reason = RefusalReason::kNoUpstream,
                            .retry_after = kRetryAfter},
          {});
}

void CallerServer::DispatchParkedJobs() {
  for (const std::string& id : std::exchange(parked_, {})) {
    // A job that has left the list may have been submitted again since.
    const auto it = jobs_.find(id);
    if (it != jobs_.end() && std::exchange(it->second.is_parked, false)) {
      Dispatch(id);
    }
  }
}

void CallerServer::SubmitLocally(const std::string& id,
                                 Job& job,
                                 DomainLeader& domain_leader) {
  const std::string domain = job.failure_domain;
  job.leadership = {.failure_domain = domain,
                    .incarnation = leadership_manager_.OwnRecord().incarnation};
  job.peer_request = 0;
  job.forward = 0;
  const std::uint64_t waiter = domain_leader.Submit(
      {.spec = job.spec,
       .arrival = job.arrival,
       .deadline = job.deadline,
       .instance = settings_.instance,
       .entry_incarnation = leadership_manager_.OwnRecord().incarnation,
       .inactive_at = job.inactive_at,
       .attended_at = [this] { return runtime_.ReadUntil(); }},
      [this, id](const JobResult& result) {
        std::visit([&](const auto& typed) { OnLocalResult(id, typed); },
                   result);
      });
  // If the job was refused at once, it may already have ended or have been
  // submitted to another domain.
  const auto it = jobs_.find(id);
  if (it != jobs_.end() && it->second.failure_domain == domain) {
    it->second.local_waiter = waiter;
  }
}

bool CallerServer::ForwardTo(const std::string& id,
                             Job& job,
                             const control::Leadership& leadership) {
  const auto deadline = peers_.ToClockOf(leadership.address,
                                         leadership.incarnation, job.deadline);
  if (!deadline) {
    return false;
  }
  const TimePoint now = runtime_.Now();
  LogEvent(LogLevel::kDebug, "job_forwarded",
           {{"id", id},
            {"domain", job.failure_domain},
            {"peer", leadership.address.host + ":" +
                         std::to_string(leadership.address.port)}});
  const ForwardedJob message{
      .spec = job.spec,
      .failure_domain = job.failure_domain,
      .instance = settings_.instance,
      .elapsed = now - job.arrival,
      .deadline_us = *deadline,
      .sent_us = now.time_since_epoch().count(),
      .sent_at_us = peers_.ToClockOf(leadership.address, leadership.incarnation,
                                     runtime_.ReadUntil()),
      .required_incarnation = leadership.incarnation,
      .entry_incarnation = leadership_manager_.OwnRecord().incarnation,
      .inactive_at = job.inactive_at,
      .registrar_token =
          job.active || leadership.failure_domain == settings_.failure_domain
              ? 0
              : job.registrar_token};
  job.leadership = leadership;
  job.forward = ++last_forward_;
  job.peer_request = peers_.Forward(
      leadership.address, message, job.deadline - now + kResponseMargin,
      [this, id, forward = job.forward](const http::ClientResult& result) {
        OnForwardResult(id, forward, result);
      });
  return true;
}

// The result of a request may be on its way here when the job is withdrawn, and
// the job may have been submitted again since.
void CallerServer::OnForwardResult(const std::string& id,
                                   std::uint64_t forward,
                                   const http::ClientResult& result) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end() || it->second.forward != forward) {
    return;
  }
  if (const auto* const error = std::get_if<http::ClientError>(&result)) {
    OnForwardError(id, *error);
    return;
  }
  const auto& response = std::get<http::Response>(result);
  const auto decoded = response.status == kOk
                           ? DecodeForwardedJobResponse(response.body)
                           : std::nullopt;
  if (!decoded) {
    Respond(id, schedule::Failed{.reason = RefusalReason::kRunsLost}, {});
    return;
  }
  Job& job = it->second;
  LogEvent(
      LogLevel::kDebug, "job_forward_answered",
      {{"id", id},
       {"domain", job.failure_domain},
       {"outcome", schedule::Describe(decoded->outcome)},
       {"not_leader", decoded->is_not_leader ? "yes" : "no"},
       {"active", decoded->active ? "yes" : "no"},
       {"ms", std::to_string(ToMilliseconds(runtime_.Now() - job.arrival))}});
  job.peer_request = 0;
  if (decoded->active) {
    OnActiveElsewhere(id, EntryOf(*decoded->active, runtime_.Now()));
    return;
  }
  if (decoded->is_not_leader && job.active && !decoded->is_inactive) {
    WaitForRuns(id);
    return;
  }
  if (decoded->is_not_leader && job.active) {
    job.inactive_at = job.active->leadership.incarnation;
    job.active.reset();
    job.leadership = {};
    Dispatch(id);
    return;
  }
  job.active.reset();
  if (decoded->is_not_leader &&
      job.failure_domain == settings_.failure_domain) {
    WaitForLeader(id);
    return;
  }
  OnOutcome(id, decoded->outcome, {});
}

void CallerServer::OnForwardError(const std::string& id,
                                  const http::ClientError& error) {
  Job& job = jobs_.at(id);
  LogEvent(LogLevel::kWarning, "hand_over_failed",
           {{"id", id},
            {"domain", job.failure_domain},
            {"message", error.message},
            {"sent", error.not_sent ? "no" : "yes"}});
  if (error.not_sent && job.active) {
    WaitForRuns(id);
    return;
  }
  if (error.not_sent && job.failure_domain == settings_.failure_domain) {
    WaitForLeader(id);
    return;
  }
  if (error.not_sent) {
    job.inactive_at = job.leadership.incarnation;
    job.leadership = {};
    OnOutcome(id, schedule::Refused{.reason = RefusalReason::kNoUpstream}, {});
    return;
  }
  // The leader may be at work on the job without knowing that the connection
  // broke. It lets a job that it has already got wait for the same outcome.
  const TimePoint now = runtime_.Now();
  if (!error.timed_out && !job.is_forwarded_again && now < job.deadline) {
    job.is_forwarded_again = true;
    job.may_have_run = true;
    RememberActive(id, job);
    job.active = active_jobs_.Take(now, id);
    Dispatch(id);
    return;
  }
  Respond(id, schedule::Failed{.reason = RefusalReason::kRunsLost}, {});
}

void CallerServer::OnLocalResult(const std::string& id,
                                 const schedule::JobEnded& ended) {
  OnOutcome(id, ended.outcome, ended.trace);
}

void CallerServer::OnLocalResult(const std::string& id,
                                 const control::RegisteredJob& active) {
  if (jobs_.contains(id)) {
    OnActiveElsewhere(id,
                      {.leadership = active.leadership, .until = active.until});
  }
}

// A domain that refuses a job runs nothing of it, so the job may be submitted
// to another one.
void CallerServer::OnOutcome(const std::string& id,
                             const schedule::JobOutcome& outcome,
                             const std::vector<schedule::TraceEntry>& trace) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) {
    return;
  }
  Job& job = it->second;
  const auto* const refused = std::get_if<schedule::Refused>(&outcome);
  job.may_have_run =
      job.may_have_run || (refused != nullptr && refused->may_have_run);
  const bool may_retry = refused != nullptr &&
                         refused->reason != RefusalReason::kTooLong &&
                         refused->reason != RefusalReason::kTooLarge &&
                         (refused->reason == RefusalReason::kEvacuated ||
                          job.tried_domains.size() + 1 < kMaxDomainsPerJob) &&
                         runtime_.Now() < job.deadline;
  if (!may_retry) {
    Respond(id, outcome, trace);
    return;
  }
  job.tried_domains.push_back(job.failure_domain);
  // The own domain's leader may have accepted another copy of the job since.
  if (job.failure_domain != settings_.failure_domain &&
      !job.leadership.incarnation.empty()) {
    job.inactive_at = job.leadership.incarnation;
  }
  if (!control::ChooseDomain({}, DomainCandidates(), job.tried_domains)) {
    Respond(id, outcome, trace);
    return;
  }
  LogEvent(
      LogLevel::kDebug, "job_redirected",
      {{"id", id},
       {"from", job.failure_domain},
       {"reason", std::string(schedule::ToString(refused->reason))},
       {"may_have_run", job.may_have_run ? "yes" : "no"},
       {"ms", std::to_string(ToMilliseconds(runtime_.Now() - job.arrival))}});
  Dispatch(id);
}

void CallerServer::Respond(const std::string& id,
                           const schedule::JobOutcome& reported,
                           const std::vector<schedule::TraceEntry>& trace) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) {
    return;
  }
  const Job job = std::move(it->second);
  jobs_.erase(it);
  const schedule::JobOutcome outcome =
      job.may_have_run ? WithoutRefusal(reported) : reported;
  const bool is_completed =
      std::holds_alternative<schedule::Completed>(outcome);
  if (std::holds_alternative<schedule::Failed>(outcome)) {
    RememberActive(id, job);
  }
  LogEvent(
      is_completed ? LogLevel::kDebug : LogLevel::kInfo,
      is_completed ? "job_completed" : "job_not_completed",
      {{"id", id},
       {"kind", job.spec.kind.name},
       {"outcome", schedule::Describe(outcome)},
       {"domain", job.failure_domain},
       {"domains_tried", std::to_string(job.tried_domains.size() + 1)},
       {"ms", std::to_string(ToMilliseconds(runtime_.Now() - job.arrival))},
       {"trace", schedule::Describe(trace)}});
  metrics_.OnJob(job.spec.kind.name, outcome, runtime_.Now() - job.arrival);
  const http::Response response = codec_.EncodeOutcome(outcome);
  for (const Waiter& waiter : job.waiters) {
    waiter.responder->Send(response);
  }
}

}  // namespace jaypick::node
