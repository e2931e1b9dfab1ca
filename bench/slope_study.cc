// Slope study: processor time and memory of the dispatcher as a function of the
// number of upstreams, owners and tasks.
#include <malloc.h>

#include <chrono>
#include <ctime>
#include <memory>
#include <string>
#include <utility>

#include "bench/study.h"

namespace jaypick::bench {
namespace {

constexpr std::uint32_t kMeasuredStarts = 40'000;
constexpr std::uint32_t kTasksPerJob = 64;

std::size_t HeapBytes() {
  const auto info = mallinfo2();
  // `uordblks` excludes large blocks, which are allocated by mmap and counted
  // in `hblkhd`.
  return info.uordblks + info.hblkhd;
}

// Processor time of this process. Wall-clock time would include the time in
// which other processes run.
double ProcessorMicroseconds() {
  return static_cast<double>(std::clock()) * 1e6 / CLOCKS_PER_SEC;
}

// Test harness for a single dispatcher. Started attempts are kept until
// `EndOne` reports them as succeeded.
class DispatcherHarness {
 public:
  DispatcherHarness(std::uint32_t upstreams,
                    std::uint32_t owners,
                    std::uint64_t seed) {
    simulation_options_.entries = 1;
    simulation_options_.upstreams = upstreams;
    simulation_options_.queue_limit = 1'000'000;
    simulation_options_.shares.assign(owners, 1);
    simulation_options_.timeout = std::chrono::seconds(60);
    DispatcherOptions options{.entry = "entry-0", .failure_domain = "ghent"};
    options.incarnation = {1};
    options.seed = seed;
    options.admission.tasks_limit = 1'000'000;
    options.admission.bytes_per_owner_limit = std::size_t{1} << 30U;
    options.answer_retention = std::chrono::microseconds(1);
    options.placement.connections_per_upstream = 1000;
    dispatcher_ = std::make_unique<Dispatcher>(std::move(options));
    HandleEvent(
        ConfigurationOffered{SimulationConfiguration(simulation_options_)});
    HandleEvent(InstancesOffered{SimulationInstances(simulation_options_)});
  }

  // Submits one job of `tasks` tasks and records the attempts that are started.
  void Submit(std::uint32_t owner, std::uint32_t tasks) {
    HandleEvent(ReserveIds{.call = {++call_}, .owner = OwnerName(owner)});
    JobRequest request{.identity = id_,
                       .owner = OwnerName(owner),
                       .service = "fitting",
                       .kind = "match"};
    request.tasks.assign(tasks, "{\"wig\":1}");
    HandleEvent(SubmitJob{.call = {++call_}, .request = std::move(request)});
  }

  // Ends the oldest running attempt successfully.
  void EndOne() {
    StartAttempt start = std::move(starts_[next_start_++]);
    if (next_start_ > 4096) {
      starts_.erase(starts_.begin(),
                    starts_.begin() + static_cast<std::ptrdiff_t>(next_start_));
      next_start_ = 0;
    }
    now_ += std::chrono::microseconds(50);
    HandleEvent(AttemptEnded{.attempt = std::move(start.attempt),
                             .upstream = std::move(start.upstream),
                             .outcome = attempt::Succeeded{"1"},
                             .reported_load = 4});
  }

  // Number of running attempts and of queued tasks.
  std::size_t running() const { return starts_.size() - next_start_; }
  std::size_t queued() const { return dispatcher_->queued_tasks(); }

 private:
  void HandleEvent(Event event) {
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

  SimulationOptions simulation_options_;
  std::unique_ptr<Dispatcher> dispatcher_;
  TimePoint now_{std::chrono::seconds(1)};
  std::uint64_t call_ = 0;
  JobId id_;
  std::vector<StartAttempt> starts_;
  std::size_t next_start_ = 0;
};

nlohmann::json ResultLine(const char* slope,
                          std::uint32_t size,
                          std::uint64_t seed) {
  return {
      {"study", "slopes"}, {"slope", slope}, {"size", size}, {"seed", seed}};
}

// Processor time per task from its submission to its end in the dispatcher. The
// queue is kept short and almost all slots are in use.
double MicrosecondsPerStart(std::uint32_t upstreams,
                            std::uint32_t owners,
                            std::uint64_t seed) {
  DispatcherHarness harness(upstreams, owners, seed);
  const double before = ProcessorMicroseconds();
  std::uint32_t owner = 0;
  std::uint32_t ended = 0;
  while (ended < kMeasuredStarts) {
    if (harness.queued() < kTasksPerJob) {
      harness.Submit(owner++ % owners, kTasksPerJob);
    }
    harness.EndOne();
    ++ended;
  }
  return (ProcessorMicroseconds() - before) / kMeasuredStarts;
}

void MeasureStartCost(std::uint64_t seed) {
  for (const std::uint32_t upstreams : {17U, 50U, 125U, 250U, 500U}) {
    nlohmann::json line = ResultLine("upstreams", upstreams, seed);
    line["us_per_start"] = MicrosecondsPerStart(upstreams, 2, seed);
    PrintLine(line);
  }
  for (const std::uint32_t owners : {1U, 4U, 16U, 33U, 66U}) {
    nlohmann::json line = ResultLine("owners", owners, seed);
    line["us_per_start"] = MicrosecondsPerStart(50, owners, seed);
    PrintLine(line);
  }
}

void MeasureWaitingTasks(std::uint64_t seed) {
  for (const std::uint32_t tasks : {1'280U, 5'120U, 20'480U, 81'920U}) {
    DispatcherHarness harness(1, 1, seed);
    // Fills all slots, so that further tasks are queued.
    harness.Submit(0, kTasksPerJob);
    const std::size_t before = HeapBytes();
    const double started = ProcessorMicroseconds();
    for (std::uint32_t i = 0; i < tasks / kTasksPerJob; ++i) {
      harness.Submit(0, kTasksPerJob);
    }
    const double spent = ProcessorMicroseconds() - started;
    nlohmann::json line = ResultLine("waiting_tasks", tasks, seed);
    line["bytes_per_task"] = static_cast<double>(HeapBytes() - before) / tasks;
    line["us_per_submitted_task"] = spent / tasks;
    PrintLine(line);
  }
}

// Memory per running task, including the `StartAttempt` that the harness keeps
// for each.
void MeasureRunningTasks(std::uint64_t seed) {
  for (const std::uint32_t upstreams : {50U, 200U, 800U, 3200U}) {
    const std::uint32_t tasks = upstreams * 8;
    DispatcherHarness harness(upstreams, 1, seed);
    const std::size_t before = HeapBytes();
    while (harness.running() < tasks) {
      harness.Submit(0, kTasksPerJob);
    }
    nlohmann::json line = ResultLine("running_tasks", tasks, seed);
    line["bytes_per_task"] = static_cast<double>(HeapBytes() - before) / tasks;
    PrintLine(line);
  }
}

void MeasureUpstreamsAndOwners(std::uint64_t seed) {
  for (const std::uint32_t size : {50U, 200U, 800U, 3200U}) {
    const std::size_t before = HeapBytes();
    const DispatcherHarness upstreams(size, 1, seed);
    const std::size_t between = HeapBytes();
    const DispatcherHarness owners(1, size, seed);
    nlohmann::json line = ResultLine("memory", size, seed);
    line["bytes_per_upstream"] = static_cast<double>(between - before) / size;
    line["bytes_per_owner"] = static_cast<double>(HeapBytes() - between) / size;
    PrintLine(line);
  }
}

}  // namespace

void RunSlopeStudy(const StudyOptions& options) {
  for (const std::uint64_t seed : options.seeds) {
    MeasureStartCost(seed);
    MeasureWaitingTasks(seed);
    MeasureRunningTasks(seed);
    MeasureUpstreamsAndOwners(seed);
  }
}

}  // namespace jaypick::bench
