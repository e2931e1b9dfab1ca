// Cost of the decision code over several sizes.
#include <malloc.h>

#include <chrono>
#include <ctime>
#include <memory>
#include <string>
#include <utility>

#include "bench/study.h"

namespace jaypick::bench {
namespace {

constexpr std::uint32_t kStarts = 40'000;
constexpr std::uint32_t kTasksPerJob = 64;

std::size_t HeapBytes() {
  const auto info = mallinfo2();
  // Large blocks are mapped on their own and counted apart.
  return info.uordblks + info.hblkhd;
}

// Processor time of this process; the wall clock would count other processes.
double ProcessorMicroseconds() {
  return static_cast<double>(std::clock()) * 1e6 / CLOCKS_PER_SEC;
}

// One dispatcher that is driven by hand: every start ends at once.
class Rig {
 public:
  Rig(std::uint32_t upstreams, std::uint32_t owners, std::uint64_t seed) {
    set_up_.entries = 1;
    set_up_.upstreams = upstreams;
    set_up_.queue_limit = 1'000'000;
    set_up_.shares.assign(owners, 1);
    set_up_.timeout = std::chrono::seconds(60);
    DispatcherOptions options{.entry = "entry-0", .failure_domain = "ghent"};
    options.incarnation = {1};
    options.seed = seed;
    options.admission.tasks_limit = 1'000'000;
    options.admission.bytes_per_owner_limit = std::size_t{1} << 30U;
    options.answer_retention = std::chrono::microseconds(1);
    options.placement.connections_per_upstream = 1000;
    dispatcher_ = std::make_unique<Dispatcher>(std::move(options));
    Send(ConfigurationOffered{SimulationConfiguration(set_up_)});
    Send(InstancesOffered{SimulationInstances(set_up_)});
  }

  // Submits one job of `tasks` tasks; its starts go to `starts()`.
  void Submit(std::uint32_t owner, std::uint32_t tasks) {
    Send(ReserveIds{.call = {++call_}, .owner = OwnerName(owner)});
    JobRequest request{.identity = id_,
                       .owner = OwnerName(owner),
                       .service = "fitting",
                       .kind = "match"};
    request.tasks.assign(tasks, "{\"wig\":1}");
    Send(SubmitJob{.call = {++call_}, .request = std::move(request)});
  }

  // Ends the oldest running attempt.
  void EndOne() {
    StartAttempt start = std::move(starts_[next_start_++]);
    if (next_start_ > 4096) {
      starts_.erase(starts_.begin(),
                    starts_.begin() + static_cast<std::ptrdiff_t>(next_start_));
      next_start_ = 0;
    }
    now_ += std::chrono::microseconds(50);
    Send(AttemptEnded{.attempt = std::move(start.attempt),
                      .upstream = std::move(start.upstream),
                      .outcome = attempt::Succeeded{"1"},
                      .reported_load = 4});
  }

  std::size_t running() const { return starts_.size() - next_start_; }
  std::size_t waiting() const { return dispatcher_->queued_tasks(); }

 private:
  void Send(Event event) {
    Actions actions;
    dispatcher_->Handle(now_, std::move(event), actions);
    for (Action& action : actions) {
      if (auto* start = std::get_if<StartAttempt>(&action)) {
        starts_.push_back(std::move(*start));
      } else if (auto* answer = std::get_if<AnswerCall>(&action)) {
        if (auto* ids = std::get_if<ReservedIds>(&answer->answer)) {
          id_ = std::move(ids->ids.front());
        }
      }
    }
  }

  SimulationOptions set_up_;
  std::unique_ptr<Dispatcher> dispatcher_;
  TimePoint now_{std::chrono::seconds(1)};
  std::uint64_t call_ = 0;
  JobId id_;
  std::vector<StartAttempt> starts_;
  std::size_t next_start_ = 0;
};

nlohmann::json Line(const char* slope, std::uint32_t size, std::uint64_t seed) {
  return {
      {"study", "slopes"}, {"slope", slope}, {"size", size}, {"seed", seed}};
}

// Processor time of a task's whole way through the dispatcher, with the queue
// kept short and all slots but a few in use.
double MicrosecondsPerStart(std::uint32_t upstreams,
                            std::uint32_t owners,
                            std::uint64_t seed) {
  Rig rig(upstreams, owners, seed);
  const double before = ProcessorMicroseconds();
  std::uint32_t owner = 0;
  std::uint32_t ended = 0;
  while (ended < kStarts) {
    if (rig.waiting() < kTasksPerJob) {
      rig.Submit(owner++ % owners, kTasksPerJob);
    }
    rig.EndOne();
    ++ended;
  }
  return (ProcessorMicroseconds() - before) / kStarts;
}

void MeasureTime(std::uint64_t seed) {
  for (const std::uint32_t upstreams : {17U, 50U, 125U, 250U, 500U}) {
    nlohmann::json line = Line("upstreams", upstreams, seed);
    line["us_per_start"] = MicrosecondsPerStart(upstreams, 2, seed);
    PrintLine(line);
  }
  for (const std::uint32_t owners : {1U, 4U, 16U, 33U, 66U}) {
    nlohmann::json line = Line("owners", owners, seed);
    line["us_per_start"] = MicrosecondsPerStart(50, owners, seed);
    PrintLine(line);
  }
}

void MeasureWaitingTasks(std::uint64_t seed) {
  for (const std::uint32_t tasks : {1'280U, 5'120U, 20'480U, 81'920U}) {
    Rig rig(1, 1, seed);
    // Fills the slots, so that all further tasks wait.
    rig.Submit(0, kTasksPerJob);
    const std::size_t before = HeapBytes();
    const double started = ProcessorMicroseconds();
    for (std::uint32_t i = 0; i < tasks / kTasksPerJob; ++i) {
      rig.Submit(0, kTasksPerJob);
    }
    const double spent = ProcessorMicroseconds() - started;
    nlohmann::json line = Line("waiting_tasks", tasks, seed);
    line["bytes_per_task"] = static_cast<double>(HeapBytes() - before) / tasks;
    line["us_per_submitted_task"] = spent / tasks;
    PrintLine(line);
  }
}

// Includes the `StartAttempt` that the rig keeps for each running task.
void MeasureRunningTasks(std::uint64_t seed) {
  for (const std::uint32_t upstreams : {50U, 200U, 800U, 3200U}) {
    const std::uint32_t tasks = upstreams * 8;
    Rig rig(upstreams, 1, seed);
    const std::size_t before = HeapBytes();
    while (rig.running() < tasks) {
      rig.Submit(0, kTasksPerJob);
    }
    nlohmann::json line = Line("running_tasks", tasks, seed);
    line["bytes_per_task"] = static_cast<double>(HeapBytes() - before) / tasks;
    PrintLine(line);
  }
}

void MeasureUpstreamsAndOwners(std::uint64_t seed) {
  for (const std::uint32_t size : {50U, 200U, 800U, 3200U}) {
    const std::size_t before = HeapBytes();
    const Rig upstreams(size, 1, seed);
    const std::size_t between = HeapBytes();
    const Rig owners(1, size, seed);
    nlohmann::json line = Line("memory", size, seed);
    line["bytes_per_upstream"] = static_cast<double>(between - before) / size;
    line["bytes_per_owner"] = static_cast<double>(HeapBytes() - between) / size;
    PrintLine(line);
  }
}

}  // namespace

void RunSlopeStudy(const StudyOptions& options) {
  for (const std::uint64_t seed : options.seeds) {
    MeasureTime(seed);
    MeasureWaitingTasks(seed);
    MeasureRunningTasks(seed);
    MeasureUpstreamsAndOwners(seed);
  }
}

}  // namespace jaypick::bench
