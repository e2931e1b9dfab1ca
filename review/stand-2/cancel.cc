// A client cancels a job that is at work.
//
// One machine and four executors. The client hands in jobs of twelve steps that
// run one after the other, waits for the answer on the open connection, and
// cancels every second job with DELETE after a second.
#include <iomanip>
#include <set>
#include <sstream>

#include "review/stand-2/stand.h"
#include "review/stand-2/upstream.h"

namespace jaypick::review {
namespace {

constexpr int kSteps = 12;
constexpr int kTaskMs = 500;
constexpr int kTimeoutMs = 12000;
constexpr int kJobs = 4;
constexpr int kJobIntervalMs = 1000;
constexpr int kCancelAfterMs = 1000;
// `cancel_ms` and `stop_ms` of the small deployments.
constexpr int kCancelMs = 3000;
constexpr int kStopMs = 50;

std::string Id(std::uint64_t number) {
  std::ostringstream text;
  text << std::hex << std::setw(16) << std::setfill('0') << number;
  return text.str();
}

std::string JobOf(const std::string& task) {
  return task.substr(0, task.find('.'));
}

class Case {
 public:
  explicit Case(Record& record) : record_(record) {}

  int Run() {
    platform_.PutConfiguration(1, kTimeoutMs);
    for (int number = 0; number < 4; ++number) {
      upstreams_.push_back(std::make_unique<Upstream>(
          platform_.runtime, platform_.store,
          Upstream::Options{.id = "x" + std::to_string(number), .zone = "east"},
          Upstream::Listener{
              .on_start = [this](const std::string& task,
                                 int run) { OnStart(task, run); },
              .on_end =
                  [this](const std::string& task, int run,
                         const std::string& how) {
                    record_.Line("task " + task + " run " +
                                 std::to_string(run) + " ends: " + how);
                    running_.erase(task);
                  }}));
    }
    Machine machine(folder_.path(),
                    {.name = "front-east",
                     .zone = "east",
                     .zones = {"east"},
                     .store_port = platform_.store.address().port});
    machine.Start();
    platform_.RunFor(4000);
    const Address address{.host = "127.0.0.1", .port = machine.callers_port()};
    for (int number = 1; number <= kJobs; ++number) {
      Submit(address, Id(0xc0 + static_cast<std::uint64_t>(number)));
      platform_.RunFor(kJobIntervalMs);
      if (HasTrouble() && number % 2 == 0) {
        Cancel(address, Id(0xc0 + static_cast<std::uint64_t>(number)));
      }
    }
    platform_.WaitUntil(
        [&] {
          Watch();
          return answers_ == kJobs;
        },
        kTimeoutMs + 3000);
    platform_.RunFor(500);
    std::string how;
    if (machine.HasEnded(how) || completed_ == 0) {
      record_.Line("the machine has ended, or no job was completed");
      return kNotRun;
    }
    if (HasTrouble() && acknowledged_.empty()) {
      record_.Line("no cancel was acknowledged");
      return kNotRun;
    }
    record_.Line(std::to_string(broken_) +
                 " times UNASKED: started or at work after the cancel");
    return broken_ > 0 ? kBroken : kHeld;
  }

 private:
  void Submit(const Address& address, const std::string& id) {
    Json steps = Json::array();
    for (int step = 0; step < kSteps; ++step) {
      Json value = {{"count", 1},
                    {"cpu", 6800},
                    {"mem_mb", 64},
                    {"estimate_ms", kTaskMs}};
      if (step > 0) {
        value["after"] = {step - 1};
      }
      steps.push_back(std::move(value));
    }
    record_.Line("job " + id + " is handed in");
    client_.Send(
        address,
        Submission(id,
                   {{"spec", std::to_string(kTaskMs)},
                    {"best_effort", true},
                    {"steps", std::move(steps)}},
                   kTimeoutMs),
        std::chrono::milliseconds(kTimeoutMs),
        [this, id](const http::ClientResult& result) {
          const auto* const response = std::get_if<http::Response>(&result);
          ++answers_;
          if (response == nullptr) {
            record_.Line("job " + id + ": no answer");
            return;
          }
          completed_ += response->status == 200 ? 1 : 0;
          record_.Line("job " + id + ": " + std::to_string(response->status) +
                       " " + response->body);
        });
  }

  void Cancel(const Address& address, const std::string& id) {
    record_.Line("DELETE of job " + id);
    client_.Send(
        address,
        {.method = http::Method::kDelete,
         .path = kPrefix + id,
         .query = {},
         .headers = {{.name = "Host", .value = kHost}}},
        std::chrono::milliseconds(4000),
        [this, id](const http::ClientResult& result) {
          const auto* const response = std::get_if<http::Response>(&result);
          const int status = response == nullptr ? 0 : response->status;
          record_.Line("DELETE of job " + id + ": " + std::to_string(status));
          if (status / 100 == 2 || status == 410) {
            acknowledged_[id] = record_.Milliseconds();
          }
        });
  }

  void OnStart(const std::string& task, int run) {
    record_.Line("task " + task + " run " + std::to_string(run) + " starts");
    running_.insert(task);
    const auto cancelled = acknowledged_.find(JobOf(task));
    if (cancelled != acknowledged_.end() &&
        record_.Milliseconds() > cancelled->second + kCancelMs) {
      ++broken_;
      record_.Line("UNASKED: task " + task + " starts " +
                   std::to_string(record_.Milliseconds() - cancelled->second) +
                   " ms after its job's cancel was acknowledged");
    }
  }

  // Tasks that run on too long after the cancel; each is counted once.
  void Watch() {
    for (const std::string& task : running_) {
      const auto cancelled = acknowledged_.find(JobOf(task));
      if (cancelled != acknowledged_.end() &&
          record_.Milliseconds() > cancelled->second + kCancelMs + kStopMs &&
          late_.insert(task).second) {
        ++broken_;
        record_.Line(
            "UNASKED: task " + task + " is at work " +
            std::to_string(record_.Milliseconds() - cancelled->second) +
            " ms after its job's cancel was acknowledged");
      }
    }
  }

  Record& record_;
  Folder folder_;
  Platform platform_;
  std::vector<std::unique_ptr<Upstream>> upstreams_;
  http::Client client_{platform_.base.get(), {.connections_per_address = 20}};
  std::map<std::string, std::int64_t> acknowledged_;
  std::set<std::string> running_;
  std::set<std::string> late_;
  int answers_ = 0;
  int completed_ = 0;
  int broken_ = 0;
};

}  // namespace
}  // namespace jaypick::review

int main() {
  return jaypick::review::RunCase("cancel", [](auto& record) {
    return jaypick::review::Case(record).Run();
  });
}
