#include "bench/oracle.h"

#include <deque>
#include <map>

#include "bench/event_heap.h"
#include "jaypick/internal/fair_queue.h"

namespace jaypick::bench {
namespace {

using internal::FairQueue;
using internal::KindNumber;
using internal::QueuedTask;

// Messages in each direction between caller and upstream: one between caller
// and entry, and one between entry and upstream.
constexpr int kMessagesPerDirection = 2;

struct OracleTask : QueuedTask {
  std::uint32_t job = 0;
  Duration run_time{0};
};

struct OracleEvent {
  enum class Type { kArrive, kFinish } type = Type::kArrive;
  std::uint32_t job = 0;
  bool is_slow_slot = false;
};

class Oracle {
 public:
  Oracle(const OracleOptions& options, const std::vector<JobPlan>& jobs)
      : options_(options),
        jobs_(jobs),
        free_fast_slots_(options.slots - options.slow_slots),
        free_slow_slots_(options.slow_slots),
        unfinished_tasks_(jobs.size()) {
    std::map<internal::OwnerNumber, std::uint32_t> weights;
    for (std::uint32_t i = 0; i < options.shares.size(); ++i) {
      weights[i] = options.shares[i];
    }
    queue_.AssignWeights(weights);
    outcome_.jobs.resize(jobs.size());
  }

  Outcome Run() {
    const Duration one_way_delay =
        options_.message_delay * kMessagesPerDirection;
    for (std::uint32_t i = 0; i < jobs_.size(); ++i) {
      events_.Add(TimePoint(jobs_[i].sent + one_way_delay), {.job = i});
    }
    while (!events_.is_empty()) {
      Handle(events_.Pop(now_));
      StartQueuedTasks();
    }
    return std::move(outcome_);
  }

 private:
  void Handle(const OracleEvent& event) {
    if (event.type == OracleEvent::Type::kArrive) {
      EnqueueTasks(event.job);
      return;
    }
    ++(event.is_slow_slot ? free_slow_slots_ : free_fast_slots_);
    if (--unfinished_tasks_[event.job] == 0) {
      JobResult& result = outcome_.jobs[event.job];
      result.end = JobEnd::kComplete;
      result.response_time =
          Age(event.job) + options_.message_delay * kMessagesPerDirection;
    }
  }

  void EnqueueTasks(std::uint32_t job) {
    unfinished_tasks_[job] = jobs_[job].run_times.size();
    for (const Duration run_time : jobs_[job].run_times) {
      OracleTask& task = tasks_.emplace_back();
      task.owner = jobs_[job].owner;
      task.job = job;
      task.run_time = run_time;
      queue_.Push(task, next_sequence_++);
    }
  }

  void StartQueuedTasks() {
    const auto is_startable = [](KindNumber) { return true; };
    const auto task_cost = [](KindNumber) { return Duration(1000); };
    while (free_fast_slots_ + free_slow_slots_ > 0) {
      auto* task =
          static_cast<OracleTask*>(queue_.Pop(is_startable, task_cost));
      if (task == nullptr) {
        return;
      }
      const bool is_late = Age(task->job) > options_.timeout;
      const bool is_cancelled = jobs_[task->job].cancel_after &&
                                Age(task->job) > *jobs_[task->job].cancel_after;
      if (is_late || is_cancelled) {
        continue;
      }
      const bool is_slow = free_fast_slots_ == 0;
      --(is_slow ? free_slow_slots_ : free_fast_slots_);
      const double factor = is_slow ? options_.slow_factor : 1;
      const Duration scaled_run_time(static_cast<std::int64_t>(
          static_cast<double>(task->run_time.count()) * factor));
      ++outcome_.first_starts;
      events_.Add(now_ + scaled_run_time, {.type = OracleEvent::Type::kFinish,
                                           .job = task->job,
                                           .is_slow_slot = is_slow});
    }
  }

  Duration Age(std::uint32_t job) const {
    return now_.time_since_epoch() - jobs_[job].sent;
  }

  const OracleOptions& options_;
  const std::vector<JobPlan>& jobs_;
  FairQueue queue_;
  std::deque<OracleTask> tasks_;
  std::uint32_t free_fast_slots_;
  std::uint32_t free_slow_slots_;
  std::vector<std::size_t> unfinished_tasks_;
  EventHeap<OracleEvent> events_;
  Outcome outcome_;
  TimePoint now_;
  std::uint64_t next_sequence_ = 0;
};

}  // namespace

Outcome RunOracle(const OracleOptions& options,
                  const std::vector<JobPlan>& jobs) {
  return Oracle(options, jobs).Run();
}

}  // namespace jaypick::bench
