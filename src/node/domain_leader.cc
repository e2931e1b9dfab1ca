#include "node/domain_leader.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "daemon/log.h"
#include "schedule/job_memory.h"

namespace jaypick::node {
namespace {

using control::SessionOutputs;
using control::UpstreamSession;
using daemon::LogEvent;
using daemon::LogLevel;

// Expected time until upstreams are ready after a hand-over: one poll, the stop
// of the runs that are still active there, and part of the predecessor's jobs.
constexpr Duration kTakeOverTime = std::chrono::milliseconds(400);
// Short compared to the duration of runs, whose ends change the load.
constexpr Duration kMaxLoadAge = std::chrono::milliseconds(5);

}  // namespace

DomainLeader::DomainLeader(Runtime& runtime,
                           UpstreamClient& upstream_client,
                           DomainLeaderOptions options)
    : runtime_(runtime),
      upstream_client_(upstream_client),
      options_(std::move(options)),
      scheduler_(WithAttendance()),
      registry_(options_.failure_domain),
      timer_(runtime.base(), [this] { ProcessPending(runtime_.Now()); }),
      is_alive_(std::make_shared<bool>(true)) {
  options_.session.attended_at = options_.scheduler.attended_at;
}

DomainLeader::~DomainLeader() {
  *is_alive_ = false;
}

schedule::SchedulerOptions DomainLeader::WithAttendance() {
  options_.scheduler.attended_at = [this](const std::string& job) {
    return AttendedAt(job);
  };
  options_.scheduler.longest_unattended_start =
      control::kLongestUnattendedStart;
  return options_.scheduler;
}

TimePoint DomainLeader::AttendedAt(const std::string& job) const {
  TimePoint last;
  const auto it = waiters_.find(job);
  if (it == waiters_.end()) {
    return last;
  }
  for (const Waiter& waiter : it->second) {
    const TimePoint attended =
        waiter.attended_at ? waiter.attended_at() : runtime_.Now();
    last = std::max(last, std::min(attended, waiter.deadline));
  }
  return last;
}

void DomainLeader::OnAttended() {
  if (!is_lost_ && scheduler_.has_unattended_jobs()) {
    ProcessPending(runtime_.Now());
  }
}

void DomainLeader::SetUpstreams(
    const std::map<std::string, schedule::Upstream>& listed,
    const std::set<std::string>& predecessor_upstreams,
    TimePoint start_limit) {
  if (is_lost_) {
    return;
  }
  const TimePoint now = runtime_.Now();
  if (!predecessor_upstreams.empty() || sessions_.empty()) {
    std::vector<schedule::Upstream> expected;
    for (const auto& [key, upstream] : listed) {
      if (upstream.failure_domain == options_.failure_domain &&
          predecessor_upstreams.contains(upstream.id) &&
          !upstream.is_draining) {
        expected.push_back(upstream);
      }
    }
    scheduler_.ExpectUpstreams(now + kTakeOverTime, std::move(expected));
  }
  std::set<std::uint32_t> present;
  for (const auto& [key, upstream] : listed) {
    const bool is_usable = upstream.failure_domain == options_.failure_domain &&
                           !predecessor_upstreams.contains(upstream.id) &&
                           !released_.contains(upstream.id);
    const auto known = scheduler_.fleet().Find(upstream.id);
    const bool has_session = known && sessions_.contains(*known);
    if (!is_usable || (is_draining_ && !has_session)) {
      continue;
    }
    const std::uint32_t number = scheduler_.fleet().Update(upstream);
    present.insert(number);
    const auto [it, is_new] =
        sessions_.try_emplace(number, options_.session, options_.token);
    SessionOutputs outputs;
    if (is_new) {
      it->second.Begin(now, outputs);
    } else {
      it->second.OnUpstreamRestarted(now, upstream.started_unix_ms, outputs);
    }
    pending_outputs_.emplace_back(number, std::move(outputs));
  }
  std::vector<std::uint32_t> removed;
  for (const auto& [number, session] : sessions_) {
    if (!present.contains(number)) {
      removed.push_back(number);
    }
  }
  for (const std::uint32_t number : removed) {
    // Runs on the upstream may continue until their leases expire, so the
    // session is kept until all of them have ended.
    scheduler_.fleet().Remove(number);
    if (sessions_.at(number).runs() == 0) {
      has_left_upstream_ =
          has_left_upstream_ || !sessions_.at(number).has_taken_over();
      sessions_.erase(number);
    }
  }
  scheduler_.SetStartLimit(start_limit);
  LogStartLimit(now);
  ProcessPending(now);
}

void DomainLeader::SetEvacuated(bool is_evacuated) {
  if (is_lost_ || is_evacuated == scheduler_.is_evacuated()) {
    return;
  }
  const TimePoint now = runtime_.Now();
  LogEvent(LogLevel::kInfo,
           is_evacuated ? "domain_evacuated" : "domain_taken_back",
           {{"domain", options_.failure_domain},
            {"jobs", std::to_string(scheduler_.jobs())},
            {"waiting_tasks", std::to_string(scheduler_.waiting_tasks())},
            {"running_tasks", std::to_string(scheduler_.running_tasks())}});
  has_logged_emptied_ = false;
  load_updated_ = TimePoint();
  schedule::Actions actions;
  scheduler_.SetEvacuated(now, is_evacuated, actions);
  Execute(now, std::move(actions));
  ProcessPending(now);
}

void DomainLeader::LogEmptied() {
  if (has_logged_emptied_ || !scheduler_.is_evacuated() ||
      scheduler_.running_tasks() > 0) {
    return;
  }
  has_logged_emptied_ = true;
  LogEvent(LogLevel::kInfo, "domain_emptied",
           {{"domain", options_.failure_domain}});
}

void DomainLeader::SetStartLimit(TimePoint limit) {
  const TimePoint now = runtime_.Now();
  const bool was_held = now >= scheduler_.start_limit();
  scheduler_.SetStartLimit(limit);
  LogStartLimit(now);
  if (was_held && now < limit) {
    ProcessPending(now);
  }
}

void DomainLeader::LogStartLimit(TimePoint now) {
  const TimePoint limit = scheduler_.start_limit();
  const bool is_held = now >= limit;
  if (std::exchange(are_starts_held_, is_held) == is_held) {
    return;
  }
  LogEvent(
      is_held ? LogLevel::kWarning : LogLevel::kInfo,
      is_held ? "starts_held" : "starts_resumed",
      {{"domain", options_.failure_domain},
       {"limit_ms", limit == TimePoint::max()
                        ? "none"
                        : std::to_string(ToMilliseconds(limit - now))},
       {"waiting_tasks", std::to_string(scheduler_.waiting_tasks())},
       {"draining_upstreams", std::to_string(scheduler_.fleet().draining())}});
}

std::uint64_t DomainLeader::Submit(Submission submission,
                                   JobCallback callback) {
  const std::uint64_t number = ++last_waiter_;
  Waiter waiter{.number = number,
                .callback = std::move(callback),
                .deadline = submission.deadline,
                .attended_at = std::move(submission.attended_at)};
  if (is_draining_ && !HasJob(submission.spec.id)) {
    Refuse({.submission = std::move(submission), .waiter = std::move(waiter)},
           schedule::RefusalReason::kCommandLost);
    return number;
  }
  if (is_holding_jobs_ && !scheduler_.HasJob(submission.spec.id)) {
    Hold({.submission = std::move(submission), .waiter = std::move(waiter)});
    return number;
  }
  Accept(std::move(submission), std::move(waiter));
  return number;
}

void DomainLeader::Hold(HeldSubmission held) {
  auto memory = scheduler_.job_memory().Reserve(
      schedule::SpecBytes(held.submission.spec));
  if (!memory) {
    Refuse(held, schedule::RefusalReason::kNoMemory);
    return;
  }
  held.memory = *std::move(memory);
  held_submissions_.push_back(std::move(held));
}

void DomainLeader::Accept(Submission submission, Waiter waiter) {
  const TimePoint now = runtime_.Now();
  const std::string id = submission.spec.id;
  registry_.Withdraw(id, submission.entry_incarnation, submission.inactive_at);
  const auto active =
      scheduler_.HasJob(id) ? std::nullopt : registry_.Locate(now, id);
  LogEvent(
      LogLevel::kDebug, "job_submitted",
      {{"id", id},
       {"domain", options_.failure_domain},
       {"instance", submission.instance},
       {"after_ms", std::to_string(ToMilliseconds(now - submission.arrival))},
       {"known", scheduler_.HasJob(id) ? "yes" : "no"},
       {"active_in", active ? active->leadership.failure_domain : ""}});
  if (active) {
    waiter.callback(*active);
    return;
  }
  waiters_[id].push_back(std::move(waiter));
  schedule::Actions actions;
  scheduler_.Submit(now, std::move(submission.spec), submission.arrival,
                    submission.deadline, actions);
  Execute(now, std::move(actions));
  ProcessPending(now);
}

bool DomainLeader::HasJob(const std::string& job) const {
  return scheduler_.HasJob(job) ||
         std::ranges::any_of(held_submissions_, [&](const auto& held) {
           return held.submission.spec.id == job;
         });
}

std::optional<control::RegisteredJob> DomainLeader::Register(
    const control::RegisteredJob& job,
    const std::string& inactive_at) {
  const TimePoint now = runtime_.Now();
  registry_.Withdraw(job.job, job.owner, inactive_at);
  std::optional<control::RegisteredJob> active;
  if (scheduler_.HasJob(job.job)) {
    active = OwnRegistration(now, *scheduler_.FindActive(job.job));
  } else {
    active = registry_.Register(now, job);
  }
  LogEvent(LogLevel::kDebug, "job_registered",
           {{"id", job.job},
            {"domain", options_.failure_domain},
            {"owner", job.owner},
            {"destination", job.leadership.failure_domain},
            {"active_in", active ? active->leadership.failure_domain : ""}});
  return active;
}

control::RegisteredJob DomainLeader::OwnRegistration(
    TimePoint now,
    const schedule::ActiveJob& job) const {
  return {.job = job.job,
          .leadership = {.failure_domain = options_.failure_domain,
                         .incarnation = options_.incarnation,
                         .address = options_.address},
          .until = std::max(now, job.latest_start.value_or(now)) +
                   options_.longest_stop};
}

void DomainLeader::ImportJobs(const std::vector<control::RegisteredJob>& jobs) {
  const TimePoint now = runtime_.Now();
  for (const control::RegisteredJob& job : jobs) {
    // What an earlier leader has of this process is what this leader has.
    if (job.leadership.incarnation != options_.incarnation ||
        job.leadership.failure_domain != options_.failure_domain) {
      registry_.Import(now, job);
    }
  }
}

void DomainLeader::ResumeJobs() {
  is_holding_jobs_ = false;
  LogEvent(LogLevel::kInfo, "submissions_resumed",
           {{"domain", options_.failure_domain},
            {"held", std::to_string(held_submissions_.size())},
            {"registered", std::to_string(registry_.size())}});
  for (HeldSubmission& held : std::exchange(held_submissions_, {})) {
    // Starting one of them may show that the leadership is lost.
    if (is_lost_) {
      Refuse(held, schedule::RefusalReason::kCommandLost);
    } else {
      Accept(std::move(held.submission), std::move(held.waiter));
    }
  }
}

std::vector<control::RegisteredJob> DomainLeader::Jobs() const {
  const TimePoint now = runtime_.Now();
  std::vector<control::RegisteredJob> jobs = registry_.Jobs(now);
  for (const schedule::ActiveJob& job : scheduler_.ActiveJobs()) {
    jobs.push_back(OwnRegistration(now, job));
  }
  return jobs;
}

std::vector<control::RegisteredJob> DomainLeader::JobsOf(
    const std::string& entry_domain) const {
  const TimePoint now = runtime_.Now();
  std::vector<control::RegisteredJob> jobs;
  for (const schedule::ActiveJob& job : scheduler_.ActiveJobs()) {
    if (job.entry_domain == entry_domain) {
      jobs.push_back(OwnRegistration(now, job));
    }
  }
  return jobs;
}

void DomainLeader::Refuse(const HeldSubmission& held,
                          schedule::RefusalReason reason) {
  held.waiter.callback(schedule::JobEnded{
      .job = held.submission.spec.id,
      .outcome = schedule::Refused{.reason = reason},
      .response_time = runtime_.Now() - held.submission.arrival});
}

void DomainLeader::RefuseHeldSubmissions() {
  for (const HeldSubmission& held : std::exchange(held_submissions_, {})) {
    Refuse(held, schedule::RefusalReason::kCommandLost);
  }
}

void DomainLeader::RefuseOverdueSubmissions() {
  const TimePoint now = runtime_.Now();
  const auto overdue = std::stable_partition(
      held_submissions_.begin(), held_submissions_.end(),
      [now](const auto& held) { return now < held.submission.deadline; });
  const std::vector<HeldSubmission> refused(
      std::make_move_iterator(overdue),
      std::make_move_iterator(held_submissions_.end()));
  held_submissions_.erase(overdue, held_submissions_.end());
  for (const HeldSubmission& held : refused) {
    Refuse(held, schedule::RefusalReason::kDeadline);
  }
}

bool DomainLeader::HasTakenOverAllUpstreams() const {
  return !has_left_upstream_ &&
         std::ranges::all_of(sessions_, [](const auto& entry) {
           return entry.second.has_taken_over();
         });
}

void DomainLeader::RemoveWaiter(const std::string& job, std::uint64_t waiter) {
  std::erase_if(held_submissions_, [&](const HeldSubmission& held) {
    return held.waiter.number == waiter && held.submission.spec.id == job;
  });
  LogEvent(LogLevel::kDebug, "job_withdrawn",
           {{"id", job},
            {"domain", options_.failure_domain},
            {"known", scheduler_.HasJob(job) ? "yes" : "no"}});
  const auto it = waiters_.find(job);
  if (it == waiters_.end()) {
    return;
  }
  std::erase_if(it->second,
                [&](const Waiter& each) { return each.number == waiter; });
  if (!it->second.empty()) {
    return;
  }
  waiters_.erase(it);
  const TimePoint now = runtime_.Now();
  schedule::Actions actions;
  scheduler_.Abandon(now, job, actions);
  Execute(now, std::move(actions));
  ProcessPending(now);
}

void DomainLeader::EndAllJobs() {
  LoseLeadership(runtime_.Now());
}

void DomainLeader::Drain() {
  is_draining_ = true;
  RefuseHeldSubmissions();
  ReleaseIdleUpstreams();
}

void DomainLeader::ReleaseIdleUpstreams() {
  std::vector<std::uint32_t> idle;
  for (const auto& [number, session] : sessions_) {
    if (session.runs() == 0 && scheduler_.runs_on(number) == 0) {
      idle.push_back(number);
    }
  }
  // Keeps the last upstreams while tasks are queued.
  if (scheduler_.waiting_tasks() > 0 && idle.size() == sessions_.size()) {
    return;
  }
  for (const std::uint32_t number : idle) {
    ReleaseUpstream(number);
  }
}

void DomainLeader::ReleaseUpstream(std::uint32_t upstream) {
  released_.insert(scheduler_.fleet().upstream(upstream).id);
  scheduler_.fleet().Remove(upstream);
  sessions_.erase(upstream);
}

std::vector<std::string> DomainLeader::HeldUpstreams() const {
  std::vector<std::string> upstreams;
  for (const auto& [number, session] : sessions_) {
    upstreams.push_back(scheduler_.fleet().upstream(number).id);
  }
  return upstreams;
}

const schedule::LoadReport& DomainLeader::Load() {
  const TimePoint now = runtime_.Now();
  if (load_updated_ == TimePoint() || now - load_updated_ >= kMaxLoadAge) {
    load_ = scheduler_.Load(now);
    load_updated_ = now;
  }
  return load_;
}

std::size_t DomainLeader::ready_upstreams() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      sessions_, [](const auto& entry) { return entry.second.is_ready(); }));
}

void DomainLeader::ProcessPending(TimePoint now) {
  if (is_processing_) {
    return;
  }
  is_processing_ = true;
  for (auto& [number, session] : sessions_) {
    SessionOutputs outputs;
    session.Advance(now, outputs);
    if (!outputs.empty()) {
      pending_outputs_.emplace_back(number, std::move(outputs));
    }
  }
  bool has_work = true;
  while (has_work && !is_lost_) {
    while (!pending_outputs_.empty()) {
      auto batch = std::exchange(pending_outputs_, {});
      for (auto& entry : batch) {
        for (control::SessionOutput& output : entry.second) {
          if (!is_lost_) {
            std::visit([&](auto& typed) { Handle(now, entry.first, typed); },
                       output);
          }
        }
      }
    }
    schedule::Actions actions;
    scheduler_.Advance(now, actions);
    has_work = !actions.empty();
    Execute(now, std::move(actions));
  }
  if (is_draining_) {
    ReleaseIdleUpstreams();
  }
  is_processing_ = false;
  LogEmptied();
  ArmTimer(now);
}

void DomainLeader::Execute(TimePoint now, schedule::Actions actions) {
  for (schedule::Action& action : actions) {
    std::visit([&](auto& typed) { Handle(now, typed); }, action);
  }
}

RunResponseCallback DomainLeader::LoggedRunResponse(
    std::string_view event,
    TimePoint sent,
    std::uint32_t upstream,
    const schedule::RunId& run,
    RunResponseCallback callback) {
  if (!daemon::IsLogged(LogLevel::kDebug)) {
    return callback;
  }
  return [this, event, sent, upstream, run, callback = std::move(callback),
          alive = is_alive_](const auto& response) {
    if (*alive) {
      const TimePoint now = runtime_.Now();
      LogRunResponse(event, run, response, now - sent,
                     RequestContext(now, upstream));
    }
    callback(response);
  };
}

void DomainLeader::Handle(TimePoint now, schedule::StartTask& action) {
  const auto it = sessions_.find(action.upstream);
  SessionOutputs outputs;
  if (it == sessions_.end() || !it->second.is_ready()) {
    outputs.push_back(
        control::RunEnded{.run = action.run,
                          .end = schedule::RunOutcome::kNotStarted,
                          .cause = "no_session"});
  } else {
    it->second.Start(now, action.run, std::move(action.payload), outputs);
  }
  pending_outputs_.emplace_back(action.upstream, std::move(outputs));
}

void DomainLeader::Handle(TimePoint now, schedule::StopTask& action) {
  const auto it = sessions_.find(action.upstream);
  if (it != sessions_.end()) {
    SessionOutputs outputs;
    it->second.Stop(now, action.run, outputs);
    pending_outputs_.emplace_back(action.upstream, std::move(outputs));
  }
}

void DomainLeader::Handle(TimePoint /*now*/, schedule::JobEnded& action) {
  const auto it = waiters_.find(action.job);
  if (it == waiters_.end()) {
    return;
  }
  const std::vector<Waiter> waiters = std::move(it->second);
  waiters_.erase(it);
  for (const Waiter& waiter : waiters) {
    waiter.callback(action);
  }
}

bool DomainLeader::HasRestarted(std::uint32_t upstream) const {
  const UpstreamSession& session = sessions_.at(upstream);
  return session.is_ready() && session.started_unix_ms() &&
         *session.started_unix_ms() != scheduler_.fleet().incarnation(upstream);
}

void DomainLeader::ReportResponse(std::uint32_t upstream) {
  const auto session = sessions_.find(upstream);
  if (session != sessions_.end() && session->second.started_unix_ms()) {
    scheduler_.OnUpstreamResponse(
        {.id = scheduler_.fleet().upstream(upstream).id,
         .started_unix_ms = *session->second.started_unix_ms()});
  }
}

template <typename Response>
std::function<void(const Response&)> DomainLeader::ResponseHandler(
    std::uint32_t upstream,
    control::RequestNumber request_number,
    void (control::UpstreamSession::*handler)(TimePoint,
                                              control::RequestNumber,
                                              const Response&,
                                              SessionOutputs&)) {
  return [this, upstream, request_number, handler,
          alive = is_alive_](const Response& response) {
    if (!*alive || !sessions_.contains(upstream)) {
      return;
    }
    const TimePoint now = runtime_.Now();
    SessionOutputs outputs;
    (sessions_.at(upstream).*handler)(now, request_number, response, outputs);
    if (HasRestarted(upstream)) {
      ReportResponse(upstream);
    }
    pending_outputs_.emplace_back(upstream, std::move(outputs));
    ProcessPending(now);
  };
}

RunRequestContext DomainLeader::RequestContext(TimePoint now,
                                               std::uint32_t upstream) const {
  const TimePoint limit = scheduler_.start_limit();
  return {.failure_domain = options_.failure_domain,
          .upstream = scheduler_.fleet().upstream(upstream).id,
          .list_time_left =
              limit == TimePoint::max() ? Duration::max() : limit - now,
          .lag = runtime_.lag()};
}

void DomainLeader::Handle(TimePoint now,
                          std::uint32_t upstream,
                          control::StartRequest& output) {
  LogStartSent(output, RequestContext(now, upstream));
  upstream_client_.Start(
      scheduler_.fleet().upstream(upstream), output,
      LoggedRunResponse("start_answered", now, upstream, output.run,
                        ResponseHandler(upstream, output.request_number,
                                        &UpstreamSession::OnStartResponse)));
}

void DomainLeader::Handle(TimePoint now,
                          std::uint32_t upstream,
                          control::StopRequest& output) {
  LogStopSent(output, RequestContext(now, upstream));
  upstream_client_.Stop(
      scheduler_.fleet().upstream(upstream), output,
      LoggedRunResponse("stop_answered", now, upstream, output.run,
                        ResponseHandler(upstream, output.request_number,
                                        &UpstreamSession::OnStopResponse)));
}

void DomainLeader::Handle(TimePoint /*now*/,
                          std::uint32_t upstream,
                          control::PollRequest& output) {
  upstream_client_.Poll(
      scheduler_.fleet().upstream(upstream), output,
      ResponseHandler(upstream, output.request_number,
                      &control::UpstreamSession::OnPollResponse));
}

void DomainLeader::Handle(TimePoint now,
                          std::uint32_t upstream,
                          control::RunEnded& output) {
  if (output.end == schedule::RunOutcome::kLeaseExpired ||
      schedule::IsUpstreamLoss(output.end)) {
    LogEvent(
        LogLevel::kWarning, "run_lost",
        {{"id", output.run.job},
         {"task", RunName(output.run)},
         {"upstream", scheduler_.fleet().upstream(upstream).id},
         {"domain", options_.failure_domain},
         {"cause", std::string(output.cause)},
         {"outcome", std::string(schedule::ToString(output.end))},
         {"unattended_ms",
          std::to_string(ToMilliseconds(now - AttendedAt(output.run.job)))},
         {"runs_there", std::to_string(scheduler_.runs_on(upstream))}});
  }
  schedule::Actions actions;
  scheduler_.OnRunEnded(now, output.run, output.end, actions);
  Execute(now, std::move(actions));
}

void DomainLeader::Handle(TimePoint now,
                          std::uint32_t upstream,
                          control::ReadinessChanged& output) {
  scheduler_.fleet().SetReady(upstream, output.is_ready, now);
  if (output.is_ready) {
    ReportResponse(upstream);
  }
  LogEvent(output.is_ready ? LogLevel::kInfo : LogLevel::kWarning,
           output.is_ready ? "upstream_ready" : "upstream_in_doubt",
           {{"upstream", scheduler_.fleet().upstream(upstream).id},
            {"domain", options_.failure_domain},
            {"cause", std::string(output.cause)}});
}

void DomainLeader::Handle(TimePoint now,
                          std::uint32_t upstream,
                          control::SessionFenced& /*output*/) {
  has_been_fenced_ = true;
  if (is_handing_over_) {
    ReleaseUpstream(upstream);
    return;
  }
  LoseLeadership(now);
}

// Runs on the upstreams end when their leases expire, since nobody renews them,
// or are stopped by the new leader.
void DomainLeader::LoseLeadership(TimePoint now) {
  if (std::exchange(is_lost_, true)) {
    return;
  }
  sessions_.clear();
  schedule::Actions actions;
  RefuseHeldSubmissions();
  scheduler_.EndAllJobs(now, schedule::RefusalReason::kCommandLost, actions);
  Execute(now, std::move(actions));
  if (options_.on_lost) {
    options_.on_lost();
  }
}

void DomainLeader::ArmTimer(TimePoint now) {
  std::optional<TimePoint> next = scheduler_.next_wakeup(now);
  for (const auto& [number, session] : sessions_) {
    const auto wakeup = session.next_wakeup();
    if (wakeup && (!next || *wakeup < *next)) {
      next = wakeup;
    }
  }
  if (next) {
    timer_.After(std::max(*next - now, Duration(1000)));
  } else {
    timer_.Cancel();
  }
}

}  // namespace jaypick::node
