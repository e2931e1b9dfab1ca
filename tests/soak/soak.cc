#include "tests/soak/soak.h"

#include <algorithm>

#include "tests/soak/world.h"

namespace jaypick::soak {
namespace {

using std::chrono::milliseconds;
using testing::Json;

// Interval after which a call without an answer is made again elsewhere.
constexpr Duration kResubmitAfter = milliseconds(1300);
constexpr int kSubmissions = 3;
// Between two looks at what is due.
constexpr Duration kTick = milliseconds(5);
// Calm before the last jobs: a command lapses and is taken again.
constexpr Duration kCalm = std::chrono::seconds(5);
constexpr int kLastJobs = 20;
constexpr int kOk = 200;
constexpr int kRefused = 503;

// What a caller has seen of one job.
struct Job {
  int timeout_ms = 0;
  int submissions = 0;
  std::size_t answers = 0;
  bool is_completed = false;
  // Every call so far was answered "not accepted".
  bool is_always_refused = true;
  bool is_over = false;
  Json body;
};

class Callers {
 public:
  Callers(World& world, SoakReport& report)
      : world_(world),
        report_(report),
        client_(world.loop.base(), {.connections_per_address = 100}) {}

  std::string Submit(int timeout_ms) {
    std::string id = std::to_string(++last_id_);
    id.insert(0, 16 - id.size(), '0');
    const int run_time_ms = 20 + world_.Pick(300);
    Job& job = jobs_[id];
    job.timeout_ms = timeout_ms;
    job.body = {
        {"spec", std::to_string(run_time_ms)},
        {"best_effort", true},
        {"steps",
         {{{"count", 1 + world_.Pick(3)},
           {"cpu", 6800},
           {"mem_mb", 64},
           {"estimate_ms", run_time_ms / 2 + world_.Pick(run_time_ms)}}}}};
    ++report_.jobs;
    Call(id);
    return id;
  }

  // Makes the calls that are due again.
  void Tick() {
    const TimePoint now = world_.runtime.Now();
    while (!due_.empty() && due_.begin()->first <= now) {
      const std::string id = due_.begin()->second;
      due_.erase(due_.begin());
      Call(id);
    }
  }

  bool IsOver(const std::string& id) const { return jobs_.at(id).is_over; }
  bool IsCompleted(const std::string& id) const {
    return jobs_.at(id).is_completed;
  }
  bool AreAllOver() const {
    return std::ranges::all_of(
        jobs_, [](const auto& entry) { return entry.second.is_over; });
  }

  // A job that was only ever refused has no start.
  void CheckRefusals() {
    for (const auto& [id, job] : jobs_) {
      if (job.is_over && job.answers > 0 && job.is_always_refused &&
          world_.run_monitor.started_jobs.contains(id)) {
        world_.Violate("job " + id + " was refused and has run");
      }
    }
  }

 private:
  void Call(const std::string& id) {
    Job& job = jobs_.at(id);
    ++job.submissions;
    const auto number = static_cast<std::size_t>(
        world_.Pick(static_cast<int>(world_.nodes.size())));
    client_.Send(
        {.host = "127.0.0.1", .port = world_.nodes[number].callers->port()},
        {.method = http::Method::kPost,
         .path = "/fit/" + id,
         .query = {},
         .headers = {{.name = "Timeout-Ms",
                      .value = std::to_string(job.timeout_ms)},
                     {.name = "Host", .value = "fit.example"}},
         .body = job.body.dump()},
        milliseconds(job.timeout_ms),
        [this, id](const http::ClientResult& result) { OnResult(id, result); });
  }

  void OnResult(const std::string& id, const http::ClientResult& result) {
    Job& job = jobs_.at(id);
    const auto* const response = std::get_if<http::Response>(&result);
    if (response != nullptr && response->status == kRefused) {
      ++job.answers;
      ++report_.refused;
      job.is_over = true;
      return;
    }
    if (response != nullptr && response->status == kOk) {
      ++job.answers;
      job.is_always_refused = false;
      job.is_over = true;
      job.is_completed =
          response->body.find("\"completed\"") != std::string::npos;
      report_.completed += job.is_completed ? 1 : 0;
      return;
    }
    // No answer, or one that does not say whether the job has run.
    job.is_always_refused = false;
    if (job.submissions >= kSubmissions) {
      job.is_over = true;
      return;
    }
    due_.emplace(world_.runtime.Now() + kResubmitAfter, id);
  }

  World& world_;
  SoakReport& report_;
  std::map<std::string, Job> jobs_;
  std::multimap<TimePoint, std::string> due_;
  std::uint64_t last_id_ = 0;
  http::Client client_;
};

class Run {
 public:
  Run(const SoakOptions& options, const std::string& folder, SoakReport& report)
      : options_(options),
        report_(report),
        world_(options, folder, report),
        callers_(world_, report) {}

  void Play() {
    Pass(std::chrono::seconds(2), false, false);
    Pass(options_.length, true, true);
    world_.HealAll();
    Pass(kCalm, false, true);
    if (!Await([&] { return callers_.AreAllOver(); })) {
      world_.Violate("calls were never answered");
    }
    CheckLastJobs();
    callers_.CheckRefusals();
    for (const std::string& violation : world_.run_monitor.violations) {
      world_.Violate(violation);
    }
    report_.starts = world_.run_monitor.started;
  }

 private:
  void Step() {
    world_.loop.RunFor(static_cast<int>(ToMilliseconds(kTick)));
    world_.Tick();
    callers_.Tick();
  }

  bool Await(const std::function<bool()>& condition) {
    constexpr Duration kLimit = std::chrono::seconds(30);
    const TimePoint end = world_.runtime.Now() + kLimit;
    while (!condition()) {
      if (world_.runtime.Now() > end) {
        return false;
      }
      Step();
    }
    return true;
  }

  TimePoint After(Duration mean) {
    const double interval =
        std::exponential_distribution<double>(1)(world_.random);
    return world_.runtime.Now() +
           Duration(static_cast<Duration::rep>(
               interval * static_cast<double>(mean.count())));
  }

  void Pass(Duration length, bool has_faults, bool has_jobs) {
    const TimePoint end = world_.runtime.Now() + length;
    TimePoint fault = After(options_.fault_interval);
    TimePoint job = After(options_.job_interval);
    while (world_.runtime.Now() < end) {
      Step();
      const TimePoint now = world_.runtime.Now();
      if (has_faults && now >= fault) {
        world_.Strike();
        fault = After(options_.fault_interval);
      }
      if (has_jobs && now >= job) {
        callers_.Submit(1500 + world_.Pick(2000));
        job = After(options_.job_interval);
      }
    }
  }

  // With all faults healed, jobs are served again.
  void CheckLastJobs() {
    for (int number = 0; number < kLastJobs; ++number) {
      // A caller that is refused comes again, as it is told to.
      bool is_served = false;
      for (int attempt = 0; attempt < kSubmissions && !is_served; ++attempt) {
        const std::string id = callers_.Submit(5000);
        Await([&] { return callers_.IsOver(id); });
        is_served = callers_.IsCompleted(id);
      }
      if (!is_served) {
        world_.Violate("job was not served after all faults had healed");
        return;
      }
    }
  }

  SoakOptions options_;
  SoakReport& report_;
  World world_;
  Callers callers_;
};

}  // namespace

SoakReport RunSoak(const SoakOptions& options, const std::string& folder) {
  SoakReport report;
  Run(options, folder, report).Play();
  return report;
}

}  // namespace jaypick::soak
