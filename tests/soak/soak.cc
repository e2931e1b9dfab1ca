#include "tests/soak/soak.h"

#include <algorithm>

#include "tests/soak/cluster.h"

namespace jaypick::soak {
namespace {

using std::chrono::milliseconds;
using testing::Json;

// Delay before a job whose outcome is unknown is submitted again, to a randomly
// chosen node.
constexpr Duration kResubmitDelay = milliseconds(1300);
constexpr int kMaxSubmissions = 3;
// Interval between two checks for due recoveries, resubmissions and faults.
constexpr Duration kTick = milliseconds(5);
// Time without faults before the final jobs. Long enough for the lease of a
// failed leader to expire and for another node to take over its domain.
constexpr Duration kRecoveryTime = std::chrono::seconds(5);
constexpr int kFinalJobs = 20;
constexpr int kOk = 200;
constexpr int kRefused = 503;

// State of one job as its caller knows it.
struct Job {
  int timeout_ms = 0;
  int submissions = 0;
  std::size_t answers = 0;
  bool is_completed = false;
  // Every submission so far was refused with status 503.
  bool is_always_refused = true;
  bool is_finished = false;
  Json body;
};

class Callers {
 public:
  Callers(Cluster& cluster, SoakReport& report)
      : cluster_(cluster),
        report_(report),
        client_(cluster.loop.base(), {.connections_per_address = 100}) {}

  std::string Submit(int timeout_ms) {
    std::string id = std::to_string(++last_id_);
    id.insert(0, 16 - id.size(), '0');
    const int run_time_ms = 20 + cluster_.RandomBelow(300);
    Job& job = jobs_[id];
    job.timeout_ms = timeout_ms;
    job.body = {{"spec", std::to_string(run_time_ms)},
                {"best_effort", true},
                {"steps",
                 {{{"count", 1 + cluster_.RandomBelow(3)},
                   {"cpu", 6800},
                   {"mem_mb", 64},
                   {"estimate_ms",
                    run_time_ms / 2 + cluster_.RandomBelow(run_time_ms)}}}}};
    ++report_.jobs;
    Call(id);
    return id;
  }

  // Sends the resubmissions that are due.
  void Tick() {
    const TimePoint now = cluster_.runtime.Now();
    while (!resubmissions_.empty() && resubmissions_.begin()->first <= now) {
      const std::string id = resubmissions_.begin()->second;
      resubmissions_.erase(resubmissions_.begin());
      Call(id);
    }
  }

  bool IsFinished(const std::string& id) const {
    return jobs_.at(id).is_finished;
  }
  bool IsCompleted(const std::string& id) const {
    return jobs_.at(id).is_completed;
  }
  bool AreAllFinished() const {
    return std::ranges::all_of(
        jobs_, [](const auto& entry) { return entry.second.is_finished; });
  }

  // Records a violation for each job that was only ever refused, but whose
  // tasks were started.
  void CheckRefusals() {
    for (const auto& [id, job] : jobs_) {
      if (job.is_finished && job.answers > 0 && job.is_always_refused &&
          cluster_.run_monitor.started_jobs.contains(id)) {
        cluster_.RecordViolation("job " + id + " was refused, but was started");
      }
    }
  }

 private:
  void Call(const std::string& id) {
    Job& job = jobs_.at(id);
    ++job.submissions;
    const auto number = static_cast<std::size_t>(
        cluster_.RandomBelow(static_cast<int>(cluster_.nodes.size())));
    client_.Send(
        {.host = "127.0.0.1", .port = cluster_.nodes[number].callers->port()},
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
      job.is_finished = true;
      return;
    }
    if (response != nullptr && response->status == kOk) {
      ++job.answers;
      job.is_always_refused = false;
      job.is_finished = true;
      job.is_completed =
          response->body.find("\"completed\"") != std::string::npos;
      report_.completed += job.is_completed ? 1 : 0;
      return;
    }
    // There is no response, or it does not tell whether the job has run.
    job.is_always_refused = false;
    if (job.submissions >= kMaxSubmissions) {
      job.is_finished = true;
      return;
    }
    resubmissions_.emplace(cluster_.runtime.Now() + kResubmitDelay, id);
  }

  Cluster& cluster_;
  SoakReport& report_;
  std::map<std::string, Job> jobs_;
  std::multimap<TimePoint, std::string> resubmissions_;
  std::uint64_t last_id_ = 0;
  http::Client client_;
};

class Run {
 public:
  Run(const SoakOptions& options, const std::string& folder, SoakReport& report)
      : options_(options),
        report_(report),
        cluster_(options, folder, report),
        callers_(cluster_, report) {}

  void Execute() {
    RunPhase(std::chrono::seconds(2), false, false);
    RunPhase(options_.fault_duration, true, true);
    cluster_.EndAllFaults();
    RunPhase(kRecoveryTime, false, true);
    if (!WaitUntil([&] { return callers_.AreAllFinished(); })) {
      cluster_.RecordViolation(
          "some jobs had no final result after the recovery phase");
    }
    CheckFinalJobs();
    callers_.CheckRefusals();
    for (const std::string& violation : cluster_.run_monitor.violations) {
      cluster_.RecordViolation(violation);
    }
    report_.starts = cluster_.run_monitor.started;
  }

 private:
  void Step() {
    cluster_.loop.RunFor(static_cast<int>(ToMilliseconds(kTick)));
    cluster_.Tick();
    callers_.Tick();
  }

  bool WaitUntil(const std::function<bool()>& condition) {
    constexpr Duration kLimit = std::chrono::seconds(30);
    const TimePoint end = cluster_.runtime.Now() + kLimit;
    while (!condition()) {
      if (cluster_.runtime.Now() > end) {
        return false;
      }
      Step();
    }
    return true;
  }

  TimePoint RandomTimeAfter(Duration mean) {
    const double interval =
        std::exponential_distribution<double>(1)(cluster_.random);
    return cluster_.runtime.Now() +
           Duration(static_cast<Duration::rep>(
               interval * static_cast<double>(mean.count())));
  }

  void RunPhase(Duration length, bool has_faults, bool has_jobs) {
    const TimePoint end = cluster_.runtime.Now() + length;
    TimePoint fault = RandomTimeAfter(options_.fault_interval);
    TimePoint job = RandomTimeAfter(options_.job_interval);
    while (cluster_.runtime.Now() < end) {
      Step();
      const TimePoint now = cluster_.runtime.Now();
      if (has_faults && now >= fault) {
        cluster_.InjectFault();
        fault = RandomTimeAfter(options_.fault_interval);
      }
      if (has_jobs && now >= job) {
        callers_.Submit(1500 + cluster_.RandomBelow(2000));
        job = RandomTimeAfter(options_.job_interval);
      }
    }
  }

  // Checks that jobs are completed once all faults have been cleared.
  void CheckFinalJobs() {
    for (int number = 0; number < kFinalJobs; ++number) {
      // A refused caller may retry, so a job may be refused before one
      // completes.
      bool is_served = false;
      for (int attempt = 0; attempt < kMaxSubmissions && !is_served;
           ++attempt) {
        const std::string id = callers_.Submit(5000);
        WaitUntil([&] { return callers_.IsFinished(id); });
        is_served = callers_.IsCompleted(id);
      }
      if (!is_served) {
        cluster_.RecordViolation(
            "job was not completed after all faults had been cleared");
        return;
      }
    }
  }

  SoakOptions options_;
  SoakReport& report_;
  Cluster cluster_;
  Callers callers_;
};

}  // namespace

SoakReport RunSoak(const SoakOptions& options, const std::string& folder) {
  SoakReport report;
  Run(options, folder, report).Execute();
  return report;
}

}  // namespace jaypick::soak
