#include "node/caller_server.h"

#include <algorithm>
#include <utility>

#include "daemon/log.h"

namespace jaypick::node {
namespace {

using daemon::LogEvent;
using daemon::LogLevel;
using schedule::RefusalReason;

constexpr int kNotFound = 404;
constexpr int kTooLarge = 413;
constexpr int kUnavailable = 503;
constexpr int kOk = 200;
constexpr std::size_t kConnectionLimit = 3000;
constexpr std::size_t kBodyLimitBytes = std::size_t{4} * 1024 * 1024;
constexpr Duration kIdleTimeout = std::chrono::seconds(300);
// Domains that one job tries.
constexpr std::size_t kTries = 2;
// A commander answers by the deadline; its answer takes a message more.
constexpr Duration kAnswerMargin = std::chrono::milliseconds(60);
// Time after which a caller finds the node awake, or a command taken over.
constexpr Duration kSoon = std::chrono::milliseconds(200);
// Stops a domain from drawing all jobs between two reports of its load.
constexpr Duration kUnknownWait = std::chrono::milliseconds(20);

http::Response Error(int status, std::string message) {
  return {.status = status,
          .headers = {},
          .body = R"({"error":")" + std::move(message) + R"("})"};
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
      server_(runtime.base(),
              {.address = settings.callers,
               .body_limit_bytes = kBodyLimitBytes,
               .idle_timeout = kIdleTimeout,
               .connection_limit = kConnectionLimit}) {
  for (const http::Method method :
       {http::Method::kGet, http::Method::kPost, http::Method::kDelete}) {
    server_.Handle(
        method, "/",
        [this](const http::Request& request, http::Responder responder) {
          OnCall(request, std::move(responder));
        });
  }
}

CallerServer::~CallerServer() = default;

void CallerServer::BeginShutdown(TimePoint refuse_from, TimePoint answer_by) {
  server_.CloseAfterAnswers();
  refuse_from_ = refuse_from;
  answer_by_ = answer_by;
}

void CallerServer::OnCall(const http::Request& request,
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
  CallerRequest call = codec_.DecodeCall(request, *route);
  if (auto* const submission = std::get_if<JobSubmission>(&call)) {
    OnSubmission(std::move(*submission), std::move(responder));
  } else if (auto* const bad = std::get_if<RejectedRequest>(&call)) {
    LogEvent(LogLevel::kInfo, "call_rejected",
             {{"path", request.path}, {"answer", bad->response.body}});
    responder.Send(std::move(bad->response));
  } else if (std::holds_alternative<PendingCountQuery>(call)) {
    // Jobs that are not stored never wait unseen.
    responder.Send(codec_.EncodePending(0));
  } else {
    responder.Send(codec_.EncodeUnknownJob());
  }
}

void CallerServer::OnSubmission(JobSubmission submission,
                                http::Responder responder) {
  if (runtime_.HasJustResumed()) {
    // The request may have waited in the socket for longer than its caller.
    responder.Send(codec_.EncodeOutcome(schedule::Refused{
        .reason = RefusalReason::kOverloaded, .retry_after = kSoon}));
    return;
  }
  const TimePoint now = runtime_.Now();
  if (refuse_from_ && now >= *refuse_from_) {
    responder.Send(codec_.EncodeOutcome(schedule::Refused{
        .reason = RefusalReason::kNoUpstream, .retry_after = kSoon}));
    return;
  }
  const std::string id = submission.spec.id;
  const auto known = jobs_.find(id);
  if (known != jobs_.end()) {
    AddWaiter(known->second, id, std::move(responder));
    return;
  }
  Job& job = jobs_[id];
  job.spec = std::move(submission.spec);
  job.arrival = now;
  job.deadline = std::min(now + submission.timeout, answer_by_);
  AddWaiter(job, id, std::move(responder));
  Launch(id);
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
  if (left.call != 0) {
    peers_.Cancel(left.call);
  } else if (DomainLeader* const domain_leader =
                 leadership_manager_.Find(left.failure_domain)) {
    domain_leader->RemoveWaiter(id, left.local_waiter);
  }
}

std::vector<control::DomainCandidate> CallerServer::Domains() {
  std::vector<control::DomainCandidate> domains;
  for (const std::string& domain : settings_.failure_domains) {
    control::DomainCandidate view{
        .failure_domain = domain,
        .is_own_domain = domain == settings_.failure_domain};
    if (DomainLeader* const domain_leader = leadership_manager_.Find(domain);
        domain_leader != nullptr && !domain_leader->is_draining()) {
      const schedule::LoadReport load = domain_leader->Load();
      view.is_reachable = true;
      view.wait = load.wait;
      view.cores = load.cores;
    } else if (const control::LeaderState state = peers_.LeaderStateOf(domain);
               state == control::LeaderState::kAlive ||
               state == control::LeaderState::kLeaving) {
      const LeadershipStatus* const status = peers_.Status(domain);
      view.is_reachable = true;
      view.wait = status == nullptr ? kUnknownWait : status->load.wait;
      view.cores = status == nullptr ? 1 : status->load.cores;
    }
    domains.push_back(std::move(view));
  }
  return domains;
}

void CallerServer::Launch(const std::string& id) {
  Job& job = jobs_.at(id);
  const auto domains = Domains();
  while (true) {
    const auto choice = control::ChooseDomain({}, domains, job.tried);
    if (!choice) {
      Finish(id,
             schedule::Refused{.reason = RefusalReason::kNoUpstream,
                               .retry_after = kSoon},
             {});
      return;
    }
    job.failure_domain = domains[*choice].failure_domain;
    DomainLeader* const domain_leader =
        leadership_manager_.Find(job.failure_domain);
    if (domain_leader != nullptr && !domain_leader->is_draining()) {
      LaunchHere(id, job, *domain_leader);
      return;
    }
    const LeaderRecord* const holder = peers_.LeaderOf(job.failure_domain);
    if (holder != nullptr && LaunchAt(id, job, *holder)) {
      return;
    }
    job.tried.push_back(job.failure_domain);
  }
}

void CallerServer::LaunchHere(const std::string& id,
                              Job& job,
                              DomainLeader& domain_leader) {
  const std::string domain = job.failure_domain;
  job.call = 0;
  const std::uint64_t waiter =
      domain_leader.Submit(job.spec, job.arrival, job.deadline,
                           [this, id](const schedule::JobEnded& ended) {
                             OnOutcome(id, ended.outcome, ended.trace);
                           });
  // A refusal may have ended the job or brought it elsewhere.
  const auto it = jobs_.find(id);
  if (it != jobs_.end() && it->second.failure_domain == domain) {
    it->second.local_waiter = waiter;
  }
}

bool CallerServer::LaunchAt(const std::string& id,
                            Job& job,
                            const LeaderRecord& holder) {
  const auto deadline = peers_.DeadlineAt(holder.address, job.deadline);
  if (!deadline) {
    return false;
  }
  const TimePoint now = runtime_.Now();
  const ForwardedJob message{.spec = job.spec,
                             .failure_domain = job.failure_domain,
                             .instance = settings_.instance,
                             .elapsed = now - job.arrival,
                             .deadline_us = *deadline};
  job.call = peers_.Send(holder.address,
                         {.method = http::Method::kPost,
                          .path = kForwardedJobPath,
                          .body = Encode(message)},
                         job.deadline - now + kAnswerMargin,
                         [this, id](const http::ClientResult& result) {
                           OnCallResult(id, result);
                         });
  return true;
}

void CallerServer::OnCallResult(const std::string& id,
                                const http::ClientResult& result) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) {
    return;
  }
  if (const auto* const error = std::get_if<http::ClientError>(&result)) {
    LogEvent(LogLevel::kWarning, "hand_over_failed",
             {{"id", id},
              {"domain", it->second.failure_domain},
              {"message", error->message},
              {"sent", error->not_sent ? "no" : "yes"}});
    if (error->not_sent) {
      OnOutcome(id, schedule::Refused{.reason = RefusalReason::kNoUpstream},
                {});
    } else {
      Finish(id, schedule::Failed{.reason = RefusalReason::kRunsLost}, {});
    }
    return;
  }
  const auto& response = std::get<http::Response>(result);
  const auto answer = response.status == kOk
                          ? DecodeForwardedJobResponse(response.body)
                          : std::nullopt;
  if (!answer) {
    Finish(id, schedule::Failed{.reason = RefusalReason::kRunsLost}, {});
    return;
  }
  OnOutcome(id, answer->outcome, {});
}

// A job that was refused has not run, so it may be tried in another domain.
void CallerServer::OnOutcome(const std::string& id,
                             const schedule::JobOutcome& outcome,
                             const std::vector<schedule::TraceEntry>& trace) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) {
    return;
  }
  Job& job = it->second;
  const auto* const refused = std::get_if<schedule::Refused>(&outcome);
  const bool may_try_again =
      refused != nullptr && refused->reason != RefusalReason::kTooLong &&
      job.tried.size() + 1 < kTries && runtime_.Now() < job.deadline;
  if (!may_try_again) {
    Finish(id, outcome, trace);
    return;
  }
  job.tried.push_back(job.failure_domain);
  if (!control::ChooseDomain({}, Domains(), job.tried)) {
    Finish(id, outcome, trace);
    return;
  }
  Launch(id);
}

void CallerServer::Finish(const std::string& id,
                          const schedule::JobOutcome& outcome,
                          const std::vector<schedule::TraceEntry>& trace) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) {
    return;
  }
  const Job job = std::move(it->second);
  jobs_.erase(it);
  const bool is_completed =
      std::holds_alternative<schedule::Completed>(outcome);
  LogEvent(
      is_completed ? LogLevel::kDebug : LogLevel::kInfo,
      is_completed ? "job_completed" : "job_not_completed",
      {{"id", id},
       {"kind", job.spec.kind.name},
       {"outcome", schedule::Describe(outcome)},
       {"domain", job.failure_domain},
       {"domains_tried", std::to_string(job.tried.size() + 1)},
       {"ms", std::to_string(ToMilliseconds(runtime_.Now() - job.arrival))},
       {"trace", schedule::Describe(trace)}});
  metrics_.OnJob(job.spec.kind.name, outcome, runtime_.Now() - job.arrival);
  const http::Response response = codec_.EncodeOutcome(outcome);
  for (const Waiter& waiter : job.waiters) {
    waiter.responder->Send(response);
  }
}

}  // namespace jaypick::node
