#include "tests/soak/cluster.h"

#include <signal.h>

#include <filesystem>
#include <fstream>
#include <system_error>
#include <utility>

#include "tests/support/platform_configuration.h"

namespace jaypick::soak {
namespace {

using std::chrono::milliseconds;
using testing::Json;

constexpr Duration kShutdownLimit = std::chrono::seconds(6);
// Tolerance on top of the limit, for a busy machine.
constexpr Duration kShutdownSlack = std::chrono::seconds(4);
constexpr int kMaxFaultMs = 2500;
// An upstream has 16 cores and a task takes 6.8, so two run at a time.
constexpr std::uint32_t kUpstreamMilliCpus = 16000;
constexpr std::size_t kTasksPerUpstream = 2;

std::string Endpoint(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

const char* DomainOf(std::size_t number) {
  return number % 2 == 0 ? "ghent" : "antwerp";
}

// Size of the log file; 0 if it does not exist yet.
std::uintmax_t LogBytes(const SoakNode& node) {
  std::error_code missing;
  const auto bytes = std::filesystem::file_size(node.log_path, missing);
  return missing ? 0 : bytes;
}

// Whether the process has logged its start since it was launched. It installs
// its signal handlers before that.
bool HasStarted(const SoakNode& node) {
  return node.process->Log().find("\"started\"", node.log_bytes_at_launch) !=
         std::string::npos;
}

}  // namespace

Cluster::Cluster(const SoakOptions& options,
                 std::string folder,
                 SoakReport& report)
    : random(options.seed),
      options_(options),
      folder_(std::move(folder)),
      report_(report),
      started_at_(runtime.Now()) {
  PutConfiguration();
  for (std::size_t number = 0; number < options.upstreams; ++number) {
    AddUpstream(number);
  }
  nodes.reserve(options.nodes);
  for (std::size_t number = 0; number < options.nodes; ++number) {
    AddNode(number);
  }
}

int Cluster::RandomBelow(int count) {
  return std::uniform_int_distribution<int>(0, count - 1)(random);
}

std::string Cluster::Now() {
  return std::to_string(ToMilliseconds(runtime.Now() - started_at_)) + " ms ";
}

void Cluster::RecordViolation(const std::string& what) {
  report_.violations.push_back(Now() + what);
}

void Cluster::PutConfiguration() {
  ++version_;
  store.Put(testing::kConfigurationKey,
            testing::PlatformConfiguration(
                {.version = version_, .timeout_ms = 1500 + version_}));
}

void Cluster::AddUpstream(std::size_t number) {
  SoakUpstream added;
  added.upstream = std::make_unique<standin::PlatformUpstream>(
      runtime, store, run_monitor,
      standin::PlatformUpstream::Options{.id = "u" + std::to_string(number),
                                         .service = "fitting",
                                         .zone = DomainOf(number),
                                         .milli_cpus = kUpstreamMilliCpus});
  added.relay = std::make_unique<standin::Relay>(
      loop.base(),
      standin::RelayOptions{.target_port = added.upstream->address().port});
  added.upstream->RegisterAt(added.relay->port());
  upstreams.push_back(std::move(added));
}

void Cluster::AddNode(std::size_t number) {
  SoakNode node{.name = "n" + std::to_string(number)};
  node.callers_port = std::make_unique<standin::PortHolder>();
  node.peer_port = std::make_unique<standin::PortHolder>();
  const std::uint16_t callers = node.callers_port->value();
  const std::uint16_t peer = node.peer_port->value();
  const auto relay = [&](std::uint16_t target) {
    return std::make_unique<standin::Relay>(
        loop.base(), standin::RelayOptions{.target_port = target});
  };
  node.callers = relay(callers);
  node.peer = relay(peer);
  node.store = relay(store.address().port);
  node.settings_path = folder_ + "/" + node.name + ".json";
  node.log_path = folder_ + "/" + node.name + ".log";
  std::ofstream(node.settings_path) << Json{
      {"instance", {{"name", node.name}, {"failure_domain", DomainOf(number)}}},
      {"failure_domains", {"ghent", "antwerp"}},
      {"listen",
       {{"callers", Endpoint(callers)},
        {"readiness", Endpoint(0)},
        {"peer", Endpoint(peer)},
        {"advertised_peer", Endpoint(node.peer->port())},
        {"metrics", Endpoint(0)}}},
      {"store", Endpoint(node.store->port())},
      {"times", {{"shutdown_limit_s", 6}}}}.dump();
  Launch(node);
  nodes.push_back(std::move(node));
}

void Cluster::Launch(SoakNode& node) {
  node.log_bytes_at_launch = LogBytes(node);
  node.process = std::make_unique<testing::Process>(
      "jaypick-node",
      std::vector<std::string>{"--settings=" + node.settings_path},
      node.log_path);
  node.is_paused = false;
  node.terminated_at = TimePoint();
}

void Cluster::RecordFault(const std::string& fault, Recovery recovery) {
  report_.faults.push_back(Now() + fault);
  if (recovery) {
    recoveries_.emplace(
        runtime.Now() + milliseconds(100 + RandomBelow(kMaxFaultMs)),
        std::move(recovery));
  }
}

void Cluster::InjectFault() {
  SoakNode& node = nodes[static_cast<std::size_t>(RandomBelow(options_.nodes))];
  SoakUpstream& upstream =
      upstreams[static_cast<std::size_t>(RandomBelow(options_.upstreams))];
  switch (RandomBelow(10)) {
    case 0:
    case 1:
    case 2:
      return InjectNodeFault(node);
    case 3:
      return InjectLinkFault(*node.callers, node.name + " callers");
    case 4:
      return InjectLinkFault(*node.peer, node.name + " peer");
    case 5:
      return InjectLinkFault(*node.store, node.name + " store");
    case 6:
      return InjectLinkFault(*upstream.relay, upstream.upstream->id());
    case 7:
      return InjectStoreFault();
    case 8:
      return InjectUpstreamFault(upstream);
    default:
      PutConfiguration();
      return RecordFault("configuration version " + std::to_string(version_));
  }
}

void Cluster::InjectNodeFault(SoakNode& node) {
  const bool has_no_fault = !node.is_paused &&
                            node.terminated_at == TimePoint() &&
                            node.process != nullptr;
  if (!has_no_fault) {
    return;
  }
  switch (RandomBelow(4)) {
    case 0:
      node.process->Kill();
      node.process.reset();
      return RecordFault(node.name + " killed", [&] { Launch(node); });
    case 1:
      node.process->Pause();
      node.is_paused = true;
      return RecordFault(node.name + " paused", [&] {
        node.process->Resume();
        node.is_paused = false;
      });
    case 2:
      node.process->Terminate();
      node.terminated_at = runtime.Now();
      return RecordFault(node.name + " terminated");
    default:
      // While the program is still being loaded, it cannot handle SIGHUP yet
      // and the signal would end it. The time between loading and the logged
      // start is tested by
      // process/sighup_during_the_start_does_not_end_the_process.
      if (!HasStarted(node)) {
        return;
      }
      node.process->Signal(SIGHUP);
      return RecordFault(node.name + " reloaded");
  }
}

void Cluster::InjectLinkFault(standin::Relay& relay, const std::string& name) {
  const auto set = [&relay](const Json& fault) {
    relay.Control("/fault", fault);
  };
  switch (RandomBelow(5)) {
    case 0:
      relay.Control("/reset_open", Json::object());
      return RecordFault(name + " open connections reset");
    case 1:
      set({{"silence_open", true}});
      return RecordFault(name + " open connections silenced");
    case 2:
      set({{"delay_ms", 5 + RandomBelow(120)}});
      return RecordFault(name + " delayed", [set] { set({{"delay_ms", 0}}); });
    case 3: {
      const char* const direction =
          RandomBelow(2) == 0 ? "swallow_to_target" : "swallow_to_client";
      set({{direction, true}});
      return RecordFault(name + " " + direction, [set, direction] {
        set({{direction, false}});
      });
    }
    default:
      set({{"cut", true}});
      return RecordFault(name + " connections refused", [set] {
        set({{"cut", false}});
      });
  }
}

void Cluster::InjectStoreFault() {
  switch (RandomBelow(4)) {
    case 0:
      store.SetDown(true);
      return RecordFault("store down", [this] { store.SetDown(false); });
    case 1:
      store.LoseAnswers(1 + RandomBelow(5));
      return RecordFault("store loses responses");
    case 2:
      store.StallWatches(true);
      return RecordFault("store stalls watches",
                         [this] { store.StallWatches(false); });
    default:
      store.Compact();
      return RecordFault("store compacted");
  }
}

void Cluster::InjectUpstreamFault(SoakUpstream& target) {
  standin::PlatformUpstream& upstream = *target.upstream;
  const std::string& name = upstream.id();
  switch (RandomBelow(5)) {
    case 0:
      upstream.FailAll(true);
      return RecordFault(name + " reports runs as failed",
                         [&] { upstream.FailAll(false); });
    case 1:
      upstream.DelayRunRequests(milliseconds(200 + RandomBelow(3000)));
      return RecordFault(name + " delays run requests",
                         [&] { upstream.DelayRunRequests(Duration(0)); });
    case 2:
      upstream.GoSilent(true);
      return RecordFault(name + " does not respond",
                         [&] { upstream.GoSilent(false); });
    case 3:
      upstream.Hang(true);
      return RecordFault(name + " does not complete runs",
                         [&] { upstream.Hang(false); });
    default:
      upstream.Restart();
      return RecordFault(name + " restarted");
  }
}

void Cluster::Tick() {
  const TimePoint now = runtime.Now();
  while (!recoveries_.empty() && recoveries_.begin()->first <= now) {
    const Recovery recovery = std::move(recoveries_.begin()->second);
    recoveries_.erase(recoveries_.begin());
    recovery();
  }
  for (SoakNode& node : nodes) {
    if (node.process == nullptr) {
      continue;
    }
    const bool is_terminated = node.terminated_at != TimePoint();
    if (node.process->HasExited()) {
      // SIGTERM kills a process that has not installed its handlers yet. That
      // is expected: the process has not accepted any job.
      const bool is_expected =
          is_terminated &&
          (node.process->exit_code() == 0 ||
           (node.process->ending_signal() == SIGTERM && !HasStarted(node)));
      if (!is_expected) {
        RecordViolation(node.name + " exited unexpectedly, code " +
                        std::to_string(node.process->exit_code()) +
                        ", signal " +
                        std::to_string(node.process->ending_signal()));
      }
      Launch(node);
    } else if (is_terminated &&
               now - node.terminated_at > kShutdownLimit + kShutdownSlack) {
      RecordViolation(node.name + " did not shut down in time");
      node.process->Kill();
    }
  }
  for (const SoakUpstream& each : upstreams) {
    if (each.upstream->running() > kTasksPerUpstream) {
      RecordViolation(each.upstream->id() +
                      " runs more tasks than its capacity allows");
    }
  }
}

void Cluster::EndAllFaults() {
  for (auto& [time, recovery] : std::exchange(recoveries_, {})) {
    recovery();
  }
}

}  // namespace jaypick::soak
