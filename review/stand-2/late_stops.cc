// A machine loses its power while workers carry out a share of the orders late.
//
// Two zones, with two machines in the first and one in the second. Clients of
// the first zone wait at the machine that leads nothing. It loses its power and
// is back after 300 ms; its clients see the broken connection then and hand
// their jobs in again 1,300 ms later, at the machine of the second zone.
#include <signal.h>

#include <iomanip>
#include <set>
#include <sstream>

#include "review/stand-2/stand.h"
#include "review/stand-2/upstream.h"

namespace jaypick::review {
namespace {

constexpr int kRounds = 8;
// No round begins later than this.
constexpr int kLastRoundMs = 90000;
constexpr int kUpstreamsPerZone = 32;
constexpr int kJobs = 64;
constexpr int kTasks = 4;
constexpr int kTaskMs = 3500;
constexpr int kTimeoutMs = 9000;
constexpr int kDarkMs = 300;
constexpr int kResendMs = 1300;
constexpr int kLateMs = 5400;
constexpr double kLateShare = 0.5;

std::string Id(std::uint64_t number) {
  std::ostringstream text;
  text << std::hex << std::setw(16) << std::setfill('0') << number;
  return text.str();
}

class Case {
 public:
  explicit Case(Record& record) : record_(record) {}

  int Run() {
    const std::vector<std::string> zones = {"east", "west"};
    platform_.PutConfiguration(1, kTimeoutMs);
    for (int number = 0; number < 2 * kUpstreamsPerZone; ++number) {
      const std::string id = "x" + std::to_string(number);
      upstreams_.push_back(std::make_unique<Upstream>(
          platform_.runtime, platform_.store,
          Upstream::Options{.id = id,
                            .zone = zones[number < kUpstreamsPerZone ? 0 : 1]},
          Upstream::Listener{
              .on_start = [this, id](const std::string& task,
                                     int run) { OnStart(id, task, run); },
              .on_end =
                  [this, id](const std::string& task, int run,
                             const std::string& how) {
                    running_[task].erase(id);
                    record_.Line("task " + task + " run " +
                                 std::to_string(run) + " at " + id +
                                 " ends: " + how);
                  }}));
    }
    for (const auto& [name, zone] :
         std::vector<std::pair<std::string, std::string>>{
             {"front-east-1", "east"},
             {"front-east-2", "east"},
             {"front-west-1", "west"}}) {
      auto peer = std::make_shared<standin::PortHolder>();
      relays_.push_back(
          std::make_unique<PeerRelay>(platform_.base.get(), peer->value()));
      machines_.push_back(std::make_unique<Machine>(
          folder_.path(),
          Machine::Options{.name = name,
                           .zone = zone,
                           .zones = zones,
                           .store_port = platform_.store.address().port,
                           .advertised_peer = relays_.back()->port(),
                           .peer = peer}));
      machines_.back()->Start();
      // The first one leads its zone.
      platform_.RunFor(1500);
    }
    platform_.RunFor(3000);
    for (int round = 0;
         round < kRounds && record_.Milliseconds() < kLastRoundMs; ++round) {
      Round();
      platform_.RunFor(2500);
    }
    record_.Line(std::to_string(jobs_) + " jobs, " +
                 std::to_string(completed_) + " answered 200, " +
                 std::to_string(starts_) + " starts, " +
                 std::to_string(broken_) + " times TWICE");
    if (completed_ == 0) {
      return kNotRun;
    }
    return broken_ > 0 ? kBroken : kHeld;
  }

 private:
  void Round() {
    Machine& entry = *machines_[1];
    is_lost_ = false;
    std::vector<std::string> ids;
    for (int job = 0; job < kJobs; ++job) {
      ids.push_back(Id(0xe000 + static_cast<std::uint64_t>(++jobs_)));
      Submit(ids.back(), entry, 1);
    }
    platform_.RunFor(1500);
    if (!HasTrouble()) {
      platform_.WaitUntil([&] { return open_ == 0; }, kTimeoutMs);
      return;
    }
    record_.Line("a share of the orders is carried out late from here on");
    for (const auto& upstream : upstreams_) {
      upstream->SetLateShare(kLateShare);
    }
    record_.Line(entry.options().name + " loses its power");
    is_lost_ = true;
    waiting_.clear();
    relays_[0]->HoldClosed(true);
    relays_[2]->HoldClosed(true);
    entry.Signal(SIGKILL);
    std::string how;
    platform_.WaitUntil([&] { return entry.HasEnded(how); }, 1000);
    platform_.RunFor(kDarkMs);
    relays_[0]->HoldClosed(false);
    relays_[2]->HoldClosed(false);
    entry.Start();
    record_.Line(entry.options().name +
                 " is back; its clients see that their "
                 "connections are broken");
    platform_.RunFor(kResendMs);
    for (const std::string& id : waiting_) {
      Submit(id, *machines_[2], 2);
    }
    platform_.RunFor(kLateMs - kDarkMs - kResendMs);
    for (const auto& upstream : upstreams_) {
      upstream->SetLateShare(0);
    }
    record_.Line("orders are carried out in time from here on");
    platform_.WaitUntil([&] { return open_ == 0; }, kTimeoutMs);
  }

  void Submit(const std::string& id, const Machine& machine, int attempt) {
    record_.Line("job " + id + " is handed in at " + machine.options().name +
                 ", attempt " + std::to_string(attempt));
    ++open_;
    client_.Send(
        {.host = "127.0.0.1", .port = machine.callers_port()},
        Submission(id,
                   {{"spec", std::to_string(kTaskMs)},
                    {"best_effort", true},
                    {"steps",
                     {{{"count", kTasks},
                       {"cpu", 2000},
                       {"mem_mb", 64},
                       {"estimate_ms", kTaskMs}}}}},
                   kTimeoutMs),
        std::chrono::milliseconds(kTimeoutMs),
        [this, id](const http::ClientResult& result) {
          --open_;
          const auto* const response = std::get_if<http::Response>(&result);
          if (response == nullptr && is_lost_) {
            waiting_.push_back(id);
          }
          const int status = response == nullptr ? 0 : response->status;
          completed_ += status == 200 ? 1 : 0;
          record_.Line("job " + id + ": " +
                       (status == 0 ? "no answer" : std::to_string(status)));
        });
  }

  void OnStart(const std::string& at, const std::string& task, int run) {
    ++starts_;
    record_.Line("task " + task + " run " + std::to_string(run) +
                 " starts at " + at);
    std::set<std::string>& places = running_[task];
    if (!places.empty()) {
      ++broken_;
      record_.Line("TWICE: the task runs at " + *places.begin() + " too");
    }
    places.insert(at);
  }

  Record& record_;
  Folder folder_;
  Platform platform_;
  std::vector<std::unique_ptr<Upstream>> upstreams_;
  std::vector<std::unique_ptr<PeerRelay>> relays_;
  std::vector<std::unique_ptr<Machine>> machines_;
  http::Client client_{platform_.base.get(), {.connections_per_address = 100}};
  std::map<std::string, std::set<std::string>> running_;
  std::vector<std::string> waiting_;
  bool is_lost_ = false;
  int open_ = 0;
  int jobs_ = 0;
  int completed_ = 0;
  int starts_ = 0;
  int broken_ = 0;
};

}  // namespace
}  // namespace jaypick::review

int main() {
  return jaypick::review::RunCase("late stops", [](auto& record) {
    return jaypick::review::Case(record).Run();
  });
}
