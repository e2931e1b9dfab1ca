// A client that the operators do not control sends jobs with very many tasks.
//
// Three zones with a machine and two executors each. Every five seconds, one
// such job is handed in at some machine, and handed in again as the protocol
// says. The platform kills a process that exceeds the memory of its machine and
// starts it again. Ordinary clients hand in 20 small jobs a second all the
// while.
#include <signal.h>

#include <iomanip>
#include <sstream>

#include "review/stand-2/stand.h"
#include "review/stand-2/upstream.h"

namespace jaypick::review {
namespace {

constexpr int kMemoryMb = 260;
constexpr int kMachines = 3;
constexpr int kTimeoutMs = 1500;
constexpr int kResendMs = 1300;
constexpr int kRestartMs = 500;
constexpr int kLengthMs = 45000;
constexpr int kLargeIntervalMs = 5000;
constexpr int kOrdinaryIntervalMs = 50;
constexpr int kMostSends = 4;
// Fault: processes of this many machines end by themselves this many times.
constexpr int kMachinesForFault = 2;
constexpr int kEndsForFault = 3;

std::string Id(std::uint64_t number) {
  std::ostringstream text;
  text << std::hex << std::setw(16) << std::setfill('0') << number;
  return text.str();
}

Json JobOf(int steps, int tasks) {
  Json list = Json::array();
  for (int step = 0; step < steps; ++step) {
    list.push_back(
        {{"count", tasks}, {"cpu", 6800}, {"mem_mb", 64}, {"estimate_ms", 60}});
  }
  return {{"spec", "60"}, {"best_effort", true}, {"steps", std::move(list)}};
}

struct Seat {
  std::unique_ptr<Machine> machine;
  std::int64_t restart_at = -1;
  int ends = 0;
  long most_mb = 0;
};

class Case {
 public:
  explicit Case(Record& record) : record_(record) {}

  int Run() {
    const std::vector<std::string> zones = {"east", "north", "west"};
    platform_.PutConfiguration(1, kTimeoutMs);
    for (std::size_t number = 0; number < 2 * zones.size(); ++number) {
      upstreams_.push_back(std::make_unique<Upstream>(
          platform_.runtime, platform_.store,
          Upstream::Options{.id = "x" + std::to_string(number),
                            .zone = zones[number / 2]},
          Upstream::Listener{
              .on_start = [this](const auto&, int) { ++starts_; },
              .on_end = [](const auto&, int, const auto&) {}}));
    }
    for (int number = 0; number < kMachines; ++number) {
      const auto index = static_cast<std::size_t>(number);
      seats_.push_back(
          {.machine = std::make_unique<Machine>(
               folder_.path(),
               Machine::Options{.name = "front-" + zones[index],
                                .zone = zones[index],
                                .zones = zones,
                                .store_port = platform_.store.address().port,
                                .memory_mb = kMemoryMb})});
      seats_.back().machine->Start();
    }
    platform_.RunFor(4000);
    const std::int64_t begin = record_.Milliseconds();
    std::int64_t next_large = begin + 2000;
    std::int64_t next_ordinary = begin;
    while (record_.Milliseconds() < begin + kLengthMs) {
      platform_.RunFor(3);
      Watch();
      const std::int64_t now = record_.Milliseconds();
      if (now >= next_large && now < begin + kLengthMs - 8000) {
        next_large = now + kLargeIntervalMs;
        const bool is_large = HasTrouble();
        Send(Id(0xa000 + ++large_), is_large ? JobOf(1000, 10000) : JobOf(1, 8),
             1, true);
      }
      if (now >= next_ordinary) {
        next_ordinary = now + kOrdinaryIntervalMs;
        Send(Id(0x100 + ++ordinary_), JobOf(1, 2), 1, false);
      }
      while (!again_.empty() && again_.begin()->first <= now) {
        const auto send = again_.begin()->second;
        again_.erase(again_.begin());
        send();
      }
    }
    int machines = 0;
    for (const Seat& seat : seats_) {
      record_.Line(seat.machine->options().name + ": " +
                   std::to_string(seat.ends) + " ends by itself, at most " +
                   std::to_string(seat.most_mb) + " MB seen");
      machines += seat.ends >= kEndsForFault ? 1 : 0;
    }
    record_.Line(std::to_string(starts_) + " tasks started; ordinary jobs: " +
                 std::to_string(ordinary_) + " handed in, " +
                 std::to_string(ordinary_done_) + " answered 200");
    if (!HasTrouble() && ordinary_done_ == 0) {
      return kNotRun;
    }
    return machines >= kMachinesForFault ? kBroken : kHeld;
  }

 private:
  // The platform kills a process over the memory of its machine, and restarts
  // one that has ended.
  void Watch() {
    for (Seat& seat : seats_) {
      Machine& machine = *seat.machine;
      const std::int64_t now = record_.Milliseconds();
      if (machine.is_running()) {
        const long megabytes = machine.ResidentMegabytes();
        seat.most_mb = std::max(seat.most_mb, megabytes);
        if (megabytes > kMemoryMb) {
          machine.Signal(SIGKILL);
          record_.Line(machine.options().name + " is over its memory: " +
                       std::to_string(megabytes) + " MB; killed");
          platform_.WaitUntil([&] { return CheckEnd(seat); }, 2000);
        }
      }
      if (machine.is_running() && CheckEnd(seat)) {
        continue;
      }
      if (seat.restart_at >= 0 && now >= seat.restart_at) {
        seat.restart_at = -1;
        machine.Start();
        record_.Line(machine.options().name + " is started again");
      }
    }
  }

  bool CheckEnd(Seat& seat) {
    std::string how;
    if (!seat.machine->HasEnded(how)) {
      return false;
    }
    ++seat.ends;
    seat.restart_at = record_.Milliseconds() + kRestartMs;
    record_.Line(seat.machine->options().name + " has ended: " + how);
    return true;
  }

  void Send(const std::string& id,
            const Json& body,
            int attempt,
            bool is_large) {
    const Seat& seat = seats_[next_machine_++ % seats_.size()];
    const std::string to = seat.machine->options().name;
    if (is_large) {
      record_.Line("job " + id + " of " + std::to_string(body["steps"].size()) +
                   " steps with " + body["steps"][0]["count"].dump() +
                   " tasks each, " + std::to_string(body.dump().size()) +
                   " bytes, attempt " + std::to_string(attempt) + ", to " + to);
    }
    client_.Send(
        {.host = "127.0.0.1", .port = seat.machine->callers_port()},
        Submission(id, body, kTimeoutMs), std::chrono::milliseconds(kTimeoutMs),
        [this, id, body, attempt, is_large](const http::ClientResult& result) {
          const auto* const response = std::get_if<http::Response>(&result);
          const int status = response == nullptr ? 0 : response->status;
          if (is_large) {
            record_.Line("job " + id + ": " +
                         (status == 0 ? "no answer" : std::to_string(status)));
          } else if (status == 200) {
            ++ordinary_done_;
          }
          if ((status == 0 || status == 502 || status == 504) &&
              attempt < kMostSends) {
            again_.emplace(record_.Milliseconds() + kResendMs,
                           [this, id, body, attempt, is_large] {
                             Send(id, body, attempt + 1, is_large);
                           });
          }
        });
  }

  Record& record_;
  Folder folder_;
  Platform platform_;
  std::vector<std::unique_ptr<Upstream>> upstreams_;
  std::vector<Seat> seats_;
  http::Client client_{platform_.base.get(), {.connections_per_address = 50}};
  std::multimap<std::int64_t, std::function<void()>> again_;
  std::uint64_t large_ = 0;
  int ordinary_ = 0;
  int ordinary_done_ = 0;
  int starts_ = 0;
  std::size_t next_machine_ = 0;
};

}  // namespace
}  // namespace jaypick::review

int main() {
  return jaypick::review::RunCase("job size", [](auto& record) {
    return jaypick::review::Case(record).Run();
  });
}
