#include "node/domain_leader.h"

#include <algorithm>
#include <utility>

#include "daemon/log.h"

namespace jaypick::node {
namespace {

using control::SessionOutputs;
using daemon::LogEvent;
using daemon::LogLevel;

// Time in which upstreams that are taken over become ready: a look, a stop of
// what runs there, and some of a predecessor's jobs.
constexpr Duration kTakeOverTime = std::chrono::milliseconds(400);
// Short against the runs whose ends change the load.
constexpr Duration kLoadAge = std::chrono::milliseconds(5);

}  // namespace

DomainLeader::DomainLeader(Runtime& runtime,
                           UpstreamClient& upstream_client,
                           DomainLeaderOptions options)
    : runtime_(runtime),
      upstream_client_(upstream_client),
      options_(std::move(options)),
      scheduler_(options_.scheduler),
      timer_(runtime.base(), [this] { Settle(runtime_.Now()); }),
      is_alive_(std::make_shared<bool>(true)) {}

DomainLeader::~DomainLeader() {
  *is_alive_ = false;
}

void DomainLeader::SetUpstreams(
    const std::map<std::string, schedule::Upstream>& listed,
    const std::set<std::string>& withheld) {
  if (is_lost_) {
    return;
  }
  const TimePoint now = runtime_.Now();
  if (!withheld.empty() || sessions_.empty()) {
    std::vector<schedule::Upstream> coming;
    for (const auto& [key, upstream] : listed) {
      if (upstream.failure_domain == options_.failure_domain &&
          withheld.contains(upstream.id) && !upstream.is_draining) {
        coming.push_back(upstream);
      }
    }
    scheduler_.ExpectUpstreams(now + kTakeOverTime, std::move(coming));
  }
  std::set<std::uint32_t> present;
  for (const auto& [key, upstream] : listed) {
    const bool is_ours = upstream.failure_domain == options_.failure_domain &&
                         !withheld.contains(upstream.id) &&
                         !released_.contains(upstream.id);
    const auto known = scheduler_.fleet().Find(upstream.id);
    const bool is_held = known && sessions_.contains(*known);
    if (!is_ours || (is_draining_ && !is_held)) {
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
    outputs_.emplace_back(number, std::move(outputs));
  }
  std::vector<std::uint32_t> gone;
  for (const auto& [number, session] : sessions_) {
    if (!present.contains(number)) {
      gone.push_back(number);
    }
  }
  for (const std::uint32_t number : gone) {
    // Runs there may go on until their lease ends, so the session stays until
    // they are resolved.
    scheduler_.fleet().Remove(number);
    if (sessions_.at(number).runs() == 0) {
      sessions_.erase(number);
    }
  }
  Settle(now);
}

std::uint64_t DomainLeader::Submit(schedule::JobSpec spec,
                                   TimePoint arrival,
                                   TimePoint deadline,
                                   JobCallback callback) {
  const TimePoint now = runtime_.Now();
  const std::uint64_t number = ++last_waiter_;
  waiters_[spec.id].push_back(
      {.number = number, .callback = std::move(callback)});
  schedule::Actions actions;
  scheduler_.Submit(now, std::move(spec), arrival, deadline, actions);
  Perform(now, std::move(actions));
  Settle(now);
  return number;
}

void DomainLeader::RemoveWaiter(const std::string& job, std::uint64_t waiter) {
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
  Perform(now, std::move(actions));
  Settle(now);
}

void DomainLeader::EndAllJobs() {
  LoseCommand(runtime_.Now());
}

void DomainLeader::Drain() {
  is_draining_ = true;
  ReleaseIdle();
}

void DomainLeader::ReleaseIdle() {
  std::vector<std::uint32_t> idle;
  for (const auto& [number, session] : sessions_) {
    if (session.runs() == 0 && scheduler_.runs_on(number) == 0) {
      idle.push_back(number);
    }
  }
  // The last upstreams stay while tasks wait for a place.
  if (scheduler_.waiting_tasks() > 0 && idle.size() == sessions_.size()) {
    return;
  }
  for (const std::uint32_t number : idle) {
    Release(number);
  }
}

void DomainLeader::Release(std::uint32_t upstream) {
  released_.insert(scheduler_.fleet().upstream(upstream).id);
  scheduler_.fleet().Remove(upstream);
  sessions_.erase(upstream);
}

std::vector<std::string> DomainLeader::HeldUpstreams() const {
  std::vector<std::string> held;
  for (const auto& [number, session] : sessions_) {
    held.push_back(scheduler_.fleet().upstream(number).id);
  }
  return held;
}

const schedule::LoadReport& DomainLeader::Load() {
  const TimePoint now = runtime_.Now();
  if (load_read_ == TimePoint() || now - load_read_ >= kLoadAge) {
    load_ = scheduler_.Load(now);
    load_read_ = now;
  }
  return load_;
}

std::size_t DomainLeader::ready_upstreams() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      sessions_, [](const auto& entry) { return entry.second.is_ready(); }));
}

void DomainLeader::Settle(TimePoint now) {
  if (is_settling_) {
    return;
  }
  is_settling_ = true;
  for (auto& [number, session] : sessions_) {
    SessionOutputs outputs;
    session.Advance(now, outputs);
    if (!outputs.empty()) {
      outputs_.emplace_back(number, std::move(outputs));
    }
  }
  bool has_work = true;
  while (has_work && !is_lost_) {
    while (!outputs_.empty()) {
      auto batch = std::exchange(outputs_, {});
      for (auto& entry : batch) {
        for (control::SessionOutput& output : entry.second) {
          if (!is_lost_) {
            std::visit([&](auto& typed) { On(now, entry.first, typed); },
                       output);
          }
        }
      }
    }
    schedule::Actions actions;
    scheduler_.Advance(now, actions);
    has_work = !actions.empty();
    Perform(now, std::move(actions));
  }
  if (is_draining_) {
    ReleaseIdle();
  }
  is_settling_ = false;
  ArmTimer(now);
}

void DomainLeader::Perform(TimePoint now, schedule::Actions actions) {
  for (schedule::Action& action : actions) {
    std::visit([&](auto& typed) { On(now, typed); }, action);
  }
}

void DomainLeader::On(TimePoint now, schedule::StartTask& action) {
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
  outputs_.emplace_back(action.upstream, std::move(outputs));
}

void DomainLeader::On(TimePoint now, schedule::StopTask& action) {
  const auto it = sessions_.find(action.upstream);
  if (it != sessions_.end()) {
    SessionOutputs outputs;
    it->second.Stop(now, action.run, outputs);
    outputs_.emplace_back(action.upstream, std::move(outputs));
  }
}

void DomainLeader::On(TimePoint /*now*/, schedule::JobEnded& action) {
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

template <typename Answer>
std::function<void(const Answer&)> DomainLeader::AnswerTo(
    std::uint32_t upstream,
    control::RequestNumber request_number,
    void (control::UpstreamSession::*handler)(TimePoint,
                                              control::RequestNumber,
                                              const Answer&,
                                              SessionOutputs&)) {
  return [this, upstream, request_number, handler,
          alive = is_alive_](const Answer& answer) {
    if (!*alive || !sessions_.contains(upstream)) {
      return;
    }
    const TimePoint now = runtime_.Now();
    SessionOutputs outputs;
    (sessions_.at(upstream).*handler)(now, request_number, answer, outputs);
    outputs_.emplace_back(upstream, std::move(outputs));
    Settle(now);
  };
}

void DomainLeader::On(TimePoint /*now*/,
                      std::uint32_t upstream,
                      control::StartRequest& output) {
  upstream_client_.Start(scheduler_.fleet().upstream(upstream), output,
                         AnswerTo(upstream, output.request_number,
                                  &control::UpstreamSession::OnStartResponse));
}

void DomainLeader::On(TimePoint /*now*/,
                      std::uint32_t upstream,
                      control::StopRequest& output) {
  upstream_client_.Stop(scheduler_.fleet().upstream(upstream), output,
                        AnswerTo(upstream, output.request_number,
                                 &control::UpstreamSession::OnStopResponse));
}

void DomainLeader::On(TimePoint /*now*/,
                      std::uint32_t upstream,
                      control::PollRequest& output) {
  upstream_client_.Poll(scheduler_.fleet().upstream(upstream), output,
                        AnswerTo(upstream, output.request_number,
                                 &control::UpstreamSession::OnPollResponse));
}

void DomainLeader::On(TimePoint now,
                      std::uint32_t /*upstream*/,
                      control::RunEnded& output) {
  schedule::Actions actions;
  scheduler_.OnRunEnded(now, output.run, output.end, actions);
  Perform(now, std::move(actions));
}

void DomainLeader::On(TimePoint now,
                      std::uint32_t upstream,
                      control::ReadinessChanged& output) {
  scheduler_.fleet().SetReady(upstream, output.is_ready, now);
  LogEvent(output.is_ready ? LogLevel::kInfo : LogLevel::kWarning,
           output.is_ready ? "upstream_ready" : "upstream_in_doubt",
           {{"upstream", scheduler_.fleet().upstream(upstream).id},
            {"domain", options_.failure_domain},
            {"cause", std::string(output.cause)}});
}

void DomainLeader::On(TimePoint now,
                      std::uint32_t upstream,
                      control::SessionFenced& /*output*/) {
  if (is_handing_over_) {
    Release(upstream);
    return;
  }
  LoseCommand(now);
}

// Runs end with their leases, which nobody extends any more, or are stopped by
// the new commander.
void DomainLeader::LoseCommand(TimePoint now) {
  if (std::exchange(is_lost_, true)) {
    return;
  }
  sessions_.clear();
  schedule::Actions actions;
  scheduler_.EndAllJobs(now, schedule::RefusalReason::kCommandLost, actions);
  Perform(now, std::move(actions));
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
