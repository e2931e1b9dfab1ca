#include "dispatch/core.h"

#include <algorithm>
#include <utility>

namespace jaypick {

Dispatcher::Core::Core(DispatcherOptions options)
    : options_(std::move(options)),
      observer_(options_.observer == nullptr ? null_observer_
                                             : *options_.observer),
      violation_handler_(
          [this](std::string_view invariant, std::string_view detail) {
            observer_.OnViolation(invariant, detail);
          }),
      ids_(options_.id_window),
      jobs_({.answer_retention = options_.answer_retention,
             .answer_bytes_limit = options_.answer_bytes_limit}),
      pool_(options_.placement, options_.seed, options_.entry),
      retry_budget_(options_.retry),
      retry_floor_(options_.retries_per_second_floor, 1),
      claim_bucket_(options_.key_claims_per_second,
                    options_.key_claims_per_second),
      task_cost_([this](internal::KindNumber kind) {
        return catalogue_.entry(kind).run_time.mean();
      }) {}

void Dispatcher::Core::Handle(TimePoint now, Event event, Actions& actions) {
  const internal::ViolationScope scope(violation_handler_);
  if (now < now_) {
    ReportViolation("time never decreases",
                    std::to_string(now.time_since_epoch().count()));
  }
  now_ = now;
  actions_ = &actions;
  // Timers run before the event, so that a process that was paused does not
  // start tasks of jobs whose deadline passed during the pause.
  RunTimers();
  std::visit([this](auto& message) { On(message); }, event);
  StartQueuedTasks();
  FinishDrain();
  actions_ = nullptr;
}

std::optional<TimePoint> Dispatcher::Core::next_wakeup() const {
  std::optional<TimePoint> earliest;
  const auto keep_earliest = [&earliest](std::optional<TimePoint> time) {
    if (time && (!earliest || *time < *earliest)) {
      earliest = time;
    }
  };
  keep_earliest(timers_.next());
  keep_earliest(jobs_.next_expiry());
  if (!budget_waits_.empty()) {
    keep_earliest(now_ + std::max(retry_floor_.TimeUntilToken(), Duration(1)));
  }
  if (queued_tasks() > 0) {
    keep_earliest(pool_.NextChange(now_));
  }
  // After the notice period the drain finishes when the last job or call ends,
  // so it needs no timer.
  if (drain_ && drain_->refuse_from > now_) {
    keep_earliest(drain_->refuse_from);
  }
  return earliest;
}

const Configuration* Dispatcher::Core::configuration() const {
  return configuration_ ? &*configuration_ : nullptr;
}

const InstanceList* Dispatcher::Core::instances() const {
  return instances_ ? &*instances_ : nullptr;
}

std::size_t Dispatcher::Core::queued_tasks() const {
  std::size_t queued = budget_waits_.size();
  for (const internal::FairQueue& queue : queues_) {
    queued += queue.size();
  }
  return queued;
}

std::vector<std::string> Dispatcher::Core::ejected_upstreams() const {
  std::vector<std::string> names;
  for (internal::UpstreamNumber number = 0; number < pool_.size(); ++number) {
    if (pool_.is_ejected(number)) {
      names.push_back(pool_.name(number));
    }
  }
  return names;
}

void Dispatcher::Core::ReportViolation(std::string_view invariant,
                                       const std::string& detail) const {
  observer_.OnViolation(invariant, detail);
}

void Dispatcher::Core::CheckInvariant(bool holds,
                                      std::string_view invariant,
                                      const Job& job) const {
  if (!holds) {
    ReportViolation(invariant, ToString(IdOf(job.counter)));
  }
}

}  // namespace jaypick
