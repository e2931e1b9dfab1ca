#include "node/peer_server.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "daemon/log.h"

namespace jaypick::node {
namespace {

using daemon::LogEvent;
using daemon::LogLevel;

constexpr int kBadRequest = 400;
constexpr std::size_t kBodyLimitBytes = std::size_t{4} * 1024 * 1024;
// Maximum number of losses of upstreams in one ping response; the next
// responses hold the others.
constexpr std::size_t kMaxLossesPerResponse = 64;

http::Response OkResponse(std::string body) {
  return {.status = 200, .headers = {}, .body = std::move(body)};
}

http::Response MalformedMessage() {
  return {.status = kBadRequest,
          .headers = {},
          .body = R"({"error":"malformed message"})"};
}

JobLocation LocationOf(const control::RegisteredJob& job, TimePoint now) {
  return {.leadership = job.leadership, .time_left = job.until - now};
}

}  // namespace

PeerServer::PeerServer(Runtime& runtime,
                       const NodeSettings& settings,
                       std::string incarnation,
                       LeadershipManager& leadership_manager,
                       StoreView& view,
                       Peers& peers,
                       SnapshotExchange& snapshot_exchange)
    : runtime_(runtime),
      settings_(settings),
      incarnation_(std::move(incarnation)),
      leadership_manager_(leadership_manager),
      view_(view),
      peers_(peers),
      snapshot_exchange_(snapshot_exchange),
      timer_(runtime.base(), [this] { OnLeaseCheck(); }),
      server_(runtime.base(),
              {.address = settings.peer,
               .body_limit_bytes = kBodyLimitBytes,
               .limits = ShareLimits(settings.machine).peers}) {
  server_.Handle(
      http::Method::kPost, kForwardedJobPath,
      [this](const http::Request& request, http::Responder responder) {
        OnForwardedJob(request, std::move(responder));
      });
  server_.Handle(
      http::Method::kPost, kRegistrationPath,
      [this](const http::Request& request, http::Responder responder) {
        OnRegistration(request, std::move(responder));
      });
  server_.Handle(
      http::Method::kPost, kPingPath,
      [this](const http::Request& request, http::Responder responder) {
        OnPing(request, std::move(responder));
      });
  server_.Handle(
      http::Method::kPost, kDelegationPath,
      [this](const http::Request& request, http::Responder responder) {
        OnDelegation(request, std::move(responder));
      });
  server_.Handle(
      http::Method::kGet, kSnapshotPath,
      [this](const http::Request& request, http::Responder responder) {
        responder.Send(snapshot_exchange_.Respond(request));
      });
  server_.Handle(
      http::Method::kPost, kSnapshotPath,
      [this](const http::Request& request, http::Responder responder) {
        auto snapshot = DecodeStoreSnapshot(request.body);
        if (!snapshot) {
          responder.Send(MalformedMessage());
          return;
        }
        // When the message was sent is not known.
        snapshot_exchange_.Import(*std::move(snapshot), TimePoint());
        responder.Send(OkResponse("{}"));
      });
  timer_.After(control::kForwardingLeaseCheck);
}

PeerServer::~PeerServer() = default;

void PeerServer::OnForwardedJob(const http::Request& request,
                                http::Responder responder) {
  auto message = DecodeForwardedJob(request.body);
  if (!message || message->spec.steps.empty()) {
    responder.Send(MalformedMessage());
    return;
  }
  const TimePoint now = runtime_.Now();
  DomainLeader* const domain_leader =
      leadership_manager_.Find(message->failure_domain);
  const std::string& required = message->required_incarnation;
  const bool is_leader = domain_leader != nullptr &&
                         (required.empty() || required == incarnation_);
  const TimePoint sent_at =
      message->sent_at_us ? TimePoint(Duration(*message->sent_at_us)) : now;
  // The caller may have left while the request was held up.
  const bool is_late = now - sent_at >= control::kForwardingLease;
  if (!is_leader || is_late ||
      (domain_leader->is_draining() &&
       !domain_leader->HasJob(message->spec.id)) ||
      IsOutdated(*message)) {
    responder.Send(OkResponse(Encode(ForwardedJobResponse{
        .outcome =
            schedule::Refused{.reason = schedule::RefusalReason::kNoUpstream},
        .is_not_leader = true,
        .is_inactive = is_leader && !is_late && domain_leader->is_draining() &&
                       !domain_leader->has_been_fenced()})));
    return;
  }
  const TimePoint deadline{Duration(message->deadline_us)};
  // A request that was read after a pause may have waited in the socket since
  // its entry gave the job up.
  if (deadline <= now || runtime_.HasJustResumed()) {
    LogEvent(LogLevel::kWarning, "hand_over_late",
             {{"id", message->spec.id}, {"instance", message->instance}});
    responder.Send(OkResponse(Encode(ForwardedJobResponse{
        .outcome = domain_leader->HasJob(message->spec.id)
                       ? schedule::JobOutcome(schedule::Failed{
                             .reason = schedule::RefusalReason::kDeadline})
                       : schedule::Refused{
                             .reason = schedule::RefusalReason::kDeadline}})));
    return;
  }
  const std::vector<std::uint64_t> replaced =
      domain_leader->HasJob(message->spec.id) ? ForwardsOf(*message)
                                              : std::vector<std::uint64_t>();
  // The withdrawal of a request may arrive before the request.
  const bool is_superseded =
      leases_.IsWithdrawn(message->entry_incarnation, message->number) ||
      std::ranges::any_of(replaced, [&](std::uint64_t earlier) {
        return forwarded_jobs_.at(earlier).sent_us > message->sent_us;
      });
  if (is_superseded) {
    responder.Send(OkResponse(Encode(ForwardedJobResponse{
        .outcome =
            schedule::Failed{.reason = schedule::RefusalReason::kAbandoned}})));
    return;
  }
  const std::uint64_t number = ++last_number_;
  Job& job = forwarded_jobs_[number];
  job.instance = message->instance;
  job.entry_incarnation = message->entry_incarnation;
  job.number = message->number;
  job.sent_us = message->sent_us;
  job.sent_at = sent_at;
  job.failure_domain = message->failure_domain;
  job.id = message->spec.id;
  job.responder = std::make_unique<http::Responder>(std::move(responder));
  job.responder->OnClosed([this, number] { RemoveWaiter(number, "closed"); });
  const std::uint64_t waiter = domain_leader->Submit(
      {.spec = std::move(message->spec),
       .arrival = now - message->elapsed,
       .deadline = deadline,
       .instance = std::move(message->instance),
       .entry_incarnation = std::move(message->entry_incarnation),
       .inactive_at = std::move(message->inactive_at),
       .attended_at = [this, number] { return AttendedAt(number); }},
      [this, number](const JobResult& result) { OnJobResult(number, result); });
  // The entry no longer exists if the job was refused at once.
  const auto it = forwarded_jobs_.find(number);
  if (it != forwarded_jobs_.end()) {
    it->second.waiter = waiter;
  }
  // A process waits for one request for each job only.
  for (const std::uint64_t earlier : replaced) {
    RemoveWaiter(earlier, "forwarded_again");
  }
}

// A registration that the present leader of the entry's domain does not know of
// does not count.
bool PeerServer::IsOutdated(const ForwardedJob& message) const {
  return message.registrar_token != 0 &&
         leadership_manager_.IsOutdatedRegistrar(message.spec.entry_domain,
                                                 message.registrar_token);
}

std::vector<std::uint64_t> PeerServer::ForwardsOf(
    const ForwardedJob& message) const {
  std::vector<std::uint64_t> numbers;
  for (const auto& [number, job] : forwarded_jobs_) {
    if (job.id == message.spec.id &&
        job.entry_incarnation == message.entry_incarnation &&
        job.failure_domain == message.failure_domain) {
      numbers.push_back(number);
    }
  }
  return numbers;
}

void PeerServer::OnRegistration(const http::Request& request,
                                http::Responder responder) {
  const auto message = DecodeRegistrationRequest(request.body);
  if (!message) {
    responder.Send(MalformedMessage());
    return;
  }
  DomainLeader* const domain_leader =
      leadership_manager_.Find(message->failure_domain);
  // A leader that was paused may have been replaced meanwhile.
  if (domain_leader == nullptr || domain_leader->is_draining() ||
      domain_leader->is_holding_jobs() || runtime_.HasJustResumed()) {
    responder.Send(
        OkResponse(Encode(RegistrationResponse{.is_not_leader = true})));
    return;
  }
  const TimePoint now = runtime_.Now();
  const auto active =
      domain_leader->Register({.job = message->job,
                               .owner = message->owner,
                               .leadership = message->destination.leadership,
                               .until = now + message->destination.time_left},
                              message->inactive_at);
  responder.Send(OkResponse(Encode(RegistrationResponse{
      .active = active ? std::optional(LocationOf(*active, now)) : std::nullopt,
      .token = domain_leader->token()})));
}

void PeerServer::OnJobResult(std::uint64_t number, const JobResult& result) {
  const auto it = forwarded_jobs_.find(number);
  if (it == forwarded_jobs_.end()) {
    return;
  }
  const Job job = std::move(it->second);
  forwarded_jobs_.erase(it);
  const ForwardedJobResponse response = std::visit(
      [&](const auto& typed) { return ResponseFor(job, typed); }, result);
  job.responder->Send(OkResponse(Encode(response)));
}

ForwardedJobResponse PeerServer::ResponseFor(
    const Job& job,
    const schedule::JobEnded& ended) const {
  if (!std::holds_alternative<schedule::Completed>(ended.outcome)) {
    LogEvent(LogLevel::kInfo, "handed_over_job_not_completed",
             {{"id", job.id},
              {"instance", job.instance},
              {"domain", job.failure_domain},
              {"outcome", schedule::Describe(ended.outcome)},
              {"ms", std::to_string(ToMilliseconds(ended.response_time))},
              {"trace", schedule::Describe(ended.trace)}});
  }
  return {.outcome = ended.outcome};
}

ForwardedJobResponse PeerServer::ResponseFor(
    const Job& /*job*/,
    const control::RegisteredJob& active) const {
  return {.outcome =
              schedule::Refused{.reason = schedule::RefusalReason::kRunsLost},
          .active = LocationOf(active, runtime_.Now())};
}

void PeerServer::RemoveWaiter(std::uint64_t number, std::string_view cause) {
  const auto it = forwarded_jobs_.find(number);
  if (it == forwarded_jobs_.end()) {
    return;
  }
  const Job job = std::move(it->second);
  forwarded_jobs_.erase(it);
  LogEvent(LogLevel::kInfo, "handed_over_job_left",
           {{"id", job.id},
            {"instance", job.instance},
            {"cause", std::string(cause)}});
  if (DomainLeader* const domain_leader =
          leadership_manager_.Find(job.failure_domain)) {
    domain_leader->RemoveWaiter(job.id, job.waiter);
  }
}

void PeerServer::OnLeaseCheck() {
  DropJobsWithExpiredLeases();
  timer_.After(control::kForwardingLeaseCheck);
}

void PeerServer::DropJobsWithExpiredLeases() {
  const TimePoint now = runtime_.Now();
  std::vector<std::uint64_t> expired;
  for (const auto& [number, job] : forwarded_jobs_) {
    if (leases_.HasExpired(now, job.entry_incarnation, job.sent_at)) {
      expired.push_back(number);
    }
  }
  for (const std::uint64_t number : expired) {
    RemoveWaiter(number, "lease_expired");
  }
}

void PeerServer::ExtendLease(const Ping& ping) {
  // The time is that of another process.
  if (ping.sent && ping.sent->incarnation != incarnation_) {
    return;
  }
  const std::string& process = ping.sender.incarnation;
  const TimePoint now = runtime_.Now();
  // A lease that has expired is not extended.
  if (leases_.HasExpired(now, process, TimePoint())) {
    DropJobsWithExpiredLeases();
  }
  const TimePoint sent =
      ping.sent ? std::min(now, TimePoint(Duration(ping.sent->clock_us))) : now;
  leases_.Extend(now, process, sent);
  leadership_manager_.OnAttended();
}

TimePoint PeerServer::AttendedAt(std::uint64_t number) const {
  const auto it = forwarded_jobs_.find(number);
  return it == forwarded_jobs_.end()
             ? TimePoint()
             : leases_.AttendedAt(it->second.entry_incarnation,
                                  it->second.sent_at);
}

void PeerServer::DropWithdrawnJobs(const Ping& ping) {
  if (ping.withdrawn.empty()) {
    return;
  }
  const std::string& process = ping.sender.incarnation;
  leases_.Withdraw(runtime_.Now(), process, ping.withdrawn);
  std::vector<std::uint64_t> withdrawn;
  for (const auto& [number, job] : forwarded_jobs_) {
    if (job.entry_incarnation == process &&
        leases_.IsWithdrawn(process, job.number)) {
      withdrawn.push_back(number);
    }
  }
  for (const std::uint64_t number : withdrawn) {
    RemoveWaiter(number, "withdrawn");
  }
}

void PeerServer::OnPing(const http::Request& request,
                        http::Responder responder) {
  const auto ping = DecodePing(request.body);
  if (!ping) {
    responder.Send(MalformedMessage());
    return;
  }
  const TimePoint now = runtime_.Now();
  DropWithdrawnJobs(*ping);
  ExtendLease(*ping);
  leadership_manager_.OnPing(*ping);
  for (const std::string& domain : ping->requested_domains) {
    // The sender is in the domain or has a larger processor share, so it is the
    // better leader.
    leadership_manager_.Resign(domain, "wanted_by_better",
                               ping->sender.instance);
  }
  // May begin a hand-over, which the statuses then show.
  std::vector<DomainJobs> jobs = leadership_manager_.JobsFor(*ping);
  const RoutingTable* const routing = view_.routing();
  std::vector<LeadershipStatus> statuses = leadership_manager_.Statuses();
  std::vector<RelayedStatus> relayed = statuses.empty()
                                           ? std::vector<RelayedStatus>()
                                           : peers_.RelayedStatuses(statuses);
  std::pair<std::vector<schedule::UpstreamLoss>, std::uint64_t> losses;
  if (ping->losses_after) {
    losses = leadership_manager_.crash_history().Since(now, *ping->losses_after,
                                                       kMaxLossesPerResponse);
  }
  responder.Send(OkResponse(Encode(PingResponse{
      .clock_us = now.time_since_epoch().count(),
      .incarnation = incarnation_,
      .configuration_version = routing == nullptr ? 0 : routing->version,
      .statuses = std::move(statuses),
      .delegations = leadership_manager_.delegations(),
      .store = view_.status(),
      .relayed = std::move(relayed),
      .losses = std::move(losses.first),
      .losses_until = losses.second,
      .jobs = std::move(jobs),
      .withdrawn = ping->withdrawn})));
}

void PeerServer::OnDelegation(const http::Request& request,
                              http::Responder responder) {
  const auto offer = DecodeDelegationOffer(request.body);
  if (!offer) {
    responder.Send(MalformedMessage());
    return;
  }
  const auto shared_responder =
      std::make_shared<http::Responder>(std::move(responder));
  leadership_manager_.OnDelegation(
      *offer, [shared_responder](bool is_accepted) {
        shared_responder->Send(
            OkResponse(Encode(DelegationResponse{.is_accepted = is_accepted})));
      });
}

}  // namespace jaypick::node
