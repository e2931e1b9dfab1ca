// Executors restart as another kind while nothing runs there.
//
// Eight executors of kind "a", eight of kind "b", and one machine. A client
// hands in jobs whose only task requires kind "a". Twelve times, the executor
// that ran the last task crashes together with one of kind "b". Both are back
// after 300 ms as the other kind, under the same ids and addresses, and
// register themselves at once.
#include <iomanip>
#include <sstream>

#include "review/stand-2/stand.h"
#include "review/stand-2/upstream.h"

namespace jaypick::review {
namespace {

constexpr std::size_t kUpstreams = 16;
constexpr int kTimeoutMs = 1500;
constexpr int kRounds = 12;
constexpr int kDownMs = 300;
constexpr int kTaskMs = 60;
constexpr int kJobIntervalMs = 40;

std::string Id(std::uint64_t number) {
  std::ostringstream text;
  text << std::hex << std::setw(16) << std::setfill('0') << number;
  return text.str();
}

class Case {
 public:
  explicit Case(Record& record) : record_(record) {}

  int Run() {
    platform_.PutConfiguration(1, kTimeoutMs);
    for (std::size_t number = 0; number < kUpstreams; ++number) {
      upstreams_.push_back(std::make_unique<Upstream>(
          platform_.runtime, platform_.store,
          Upstream::Options{
              .id = "x" + std::to_string(number),
              .zone = "east",
              .labels = {number < kUpstreams / 2 ? "a" : "b", "r1-1"}},
          Upstream::Listener{
              .on_start = [this, number](
                              const std::string& task,
                              int run) { OnStart(number, task, run); },
              .on_end =
                  [this, number](const std::string& task, int,
                                 const std::string& how) {
                    record_.Line("task " + task + " ends at " +
                                 upstreams_[number]->id() + ": " + how);
                  }}));
    }
    Machine machine(folder_.path(),
                    {.name = "front-east",
                     .zone = "east",
                     .zones = {"east"},
                     .store_port = platform_.store.address().port});
    machine.Start();
    platform_.RunFor(4000);
    address_ = {.host = "127.0.0.1", .port = machine.callers_port()};
    for (int round = 0; round < kRounds; ++round) {
      // Calm traffic.
      for (int job = 0; job < 5; ++job) {
        Submit();
        platform_.RunFor(150);
      }
      platform_.RunFor(1500);
      if (HasTrouble()) {
        Upstream& last = *upstreams_[last_];
        Upstream& other = *upstreams_[OtherKind()];
        record_.Line(last.id() + " and " + other.id() + " crash");
        last.Crash();
        other.Crash();
        platform_.RunFor(kDownMs);
        last.Restart({"b", "r1-1"});
        other.Restart({"a", "r1-1"});
        record_.Line(last.id() + " is back as kind b, " + other.id() +
                     " as kind a");
      } else {
        platform_.RunFor(kDownMs);
      }
      for (int job = 0; job < 4; ++job) {
        platform_.RunFor(kJobIntervalMs);
        Submit();
      }
      platform_.RunFor(800);
    }
    platform_.RunFor(1500);
    record_.Line(std::to_string(jobs_) + " jobs, " +
                 std::to_string(completed_) + " answered 200, " +
                 std::to_string(broken_) + " times ROUTE");
    std::string how;
    if (machine.HasEnded(how) || completed_ == 0) {
      return kNotRun;
    }
    return broken_ > 0 ? kBroken : kHeld;
  }

 private:
  std::size_t OtherKind() const {
    for (std::size_t number = 0; number < upstreams_.size(); ++number) {
      if (upstreams_[number]->labels().front() == "b") {
        return number;
      }
    }
    return 0;
  }

  void OnStart(std::size_t number, const std::string& task, int run) {
    const std::string& kind = upstreams_[number]->labels().front();
    record_.Line("task " + task + " run " + std::to_string(run) +
                 " starts at " + upstreams_[number]->id() + " of kind " + kind);
    if (kind != "a") {
      ++broken_;
      record_.Line("ROUTE: the task requires kind a");
    } else {
      last_ = number;
    }
  }

  void Submit() {
    const std::string id = Id(0xd00 + static_cast<std::uint64_t>(++jobs_));
    record_.Line("job " + id + " is handed in, requires a");
    client_.Send(
        address_,
        Submission(id,
                   {{"spec", std::to_string(kTaskMs)},
                    {"best_effort", true},
                    {"steps",
                     {{{"count", 1},
                       {"cpu", 6800},
                       {"mem_mb", 64},
                       {"estimate_ms", kTaskMs},
                       {"requires", "a"}}}}},
                   kTimeoutMs),
        std::chrono::milliseconds(kTimeoutMs),
        [this, id](const http::ClientResult& result) {
          const auto* const response = std::get_if<http::Response>(&result);
          const int status = response == nullptr ? 0 : response->status;
          completed_ += status == 200 ? 1 : 0;
          record_.Line("job " + id + ": " + std::to_string(status));
        });
  }

  Record& record_;
  Folder folder_;
  Platform platform_;
  std::vector<std::unique_ptr<Upstream>> upstreams_;
  http::Client client_{platform_.base.get(), {.connections_per_address = 20}};
  Address address_;
  std::size_t last_ = 0;
  int jobs_ = 0;
  int completed_ = 0;
  int broken_ = 0;
};

}  // namespace
}  // namespace jaypick::review

int main() {
  return jaypick::review::RunCase(
      "kind", [](auto& record) { return jaypick::review::Case(record).Run(); });
}
