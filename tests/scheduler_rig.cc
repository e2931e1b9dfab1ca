#include "tests/support/scheduler_rig.h"

#include <algorithm>
#include <utility>

namespace jaypick::schedule {
namespace {

constexpr Duration kStep = std::chrono::milliseconds(5);
constexpr Duration kStopDelay = std::chrono::milliseconds(10);

}  // namespace

SchedulerRig::SchedulerRig(SchedulerOptions options)
    : plan([](const RunId&, std::uint32_t) {
        return RunPlan{.takes = std::chrono::milliseconds(100)};
      }),
      scheduler_([&] {
        options.on_violation = [this](std::string_view invariant,
                                      const std::string& detail) {
          violations.push_back(std::string(invariant) + ": " + detail);
        };
        return options;
      }()) {}

std::uint32_t SchedulerRig::AddUpstream(const std::string& id,
                                        std::uint32_t milli_cpus,
                                        const std::string& rack) {
  const std::uint32_t number = scheduler_.fleet().Update(
      {.id = id,
       .address = {.host = "127.0.0.1", .port = 1},
       .failure_domain = "ghent",
       .service = "fitting",
       .started_unix_ms = 1,
       .capacity = {.milli_cpus = milli_cpus, .memory_mb = 65536},
       .slots = 8,
       .labels = {"a", rack}});
  scheduler_.fleet().SetReady(number, true, now_);
  return number;
}

void SchedulerRig::Submit(const std::string& id,
                          const KindPolicy& kind,
                          std::uint32_t tasks,
                          std::uint32_t milli_cpus,
                          Duration declared,
                          Duration timeout) {
  Submit({.id = id,
          .kind = kind,
          .payload = "p",
          .steps = {{.tasks = tasks,
                     .needs = {.milli_cpus = milli_cpus, .memory_mb = 64},
                     .declared_run_time = declared}}},
         timeout);
}

void SchedulerRig::Submit(JobSpec spec, Duration timeout) {
  Actions actions;
  scheduler_.Submit(now_, std::move(spec), now_, now_ + timeout, actions);
  Perform(std::move(actions));
}

void SchedulerRig::Abandon(const std::string& id) {
  Actions actions;
  scheduler_.Abandon(now_, id, actions);
  Perform(std::move(actions));
}

void SchedulerRig::Perform(Actions actions) {
  for (Action& action : actions) {
    if (auto* const start = std::get_if<StartTask>(&action)) {
      const RunPlan run = plan(start->run, start->upstream);
      starts.emplace_back(start->run, start->upstream);
      running_[start->run] = {.upstream = start->upstream, .end = run.end};
      due_.emplace(now_ + run.takes, start->run);
      const auto runs = static_cast<std::size_t>(
          std::ranges::count_if(running_, [&](const auto& entry) {
            return entry.first.job == start->run.job &&
                   entry.first.step == start->run.step &&
                   entry.first.index == start->run.index;
          }));
      most_runs_of_a_task = std::max(most_runs_of_a_task, runs);
    } else if (auto* const stop = std::get_if<StopTask>(&action)) {
      stops.push_back(stop->run);
      const auto it = running_.find(stop->run);
      if (it != running_.end()) {
        it->second.end = RunOutcome::kStopped;
        due_.emplace(now_ + kStopDelay, stop->run);
      }
    } else if (auto* const ended = std::get_if<JobEnded>(&action)) {
      results[ended->job] = std::move(*ended);
    }
  }
}

void SchedulerRig::EndDue() {
  while (!due_.empty() && due_.begin()->first <= now_) {
    const RunId run = due_.begin()->second;
    due_.erase(due_.begin());
    const auto it = running_.find(run);
    if (it == running_.end()) {
      continue;
    }
    const RunOutcome end = it->second.end;
    running_.erase(it);
    Actions actions;
    scheduler_.OnRunEnded(now_, run, end, actions);
    scheduler_.Advance(now_, actions);
    Perform(std::move(actions));
  }
}

void SchedulerRig::RunFor(Duration duration) {
  const TimePoint end = now_ + duration;
  while (now_ < end) {
    now_ += kStep;
    EndDue();
    Actions actions;
    scheduler_.Advance(now_, actions);
    Perform(std::move(actions));
  }
}

std::vector<std::uint32_t> SchedulerRig::running_upstreams() const {
  std::vector<std::uint32_t> upstreams;
  for (const auto& [id, run] : running_) {
    upstreams.push_back(run.upstream);
  }
  return upstreams;
}

std::size_t SchedulerRig::Count(const std::string& prefix) const {
  return static_cast<std::size_t>(std::ranges::count_if(
      results,
      [&](const auto& result) { return result.first.starts_with(prefix); }));
}

std::size_t SchedulerRig::CountCompleted(const std::string& prefix) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(results, [&](const auto& result) {
        return result.first.starts_with(prefix) &&
               std::holds_alternative<Completed>(result.second.outcome);
      }));
}

std::size_t SchedulerRig::CountRefused(const std::string& prefix) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(results, [&](const auto& result) {
        return result.first.starts_with(prefix) &&
               std::holds_alternative<Refused>(result.second.outcome);
      }));
}

}  // namespace jaypick::schedule
