// The processes, stand-ins and relays of a soak test, and the faults that are
// injected into them.
#ifndef JAYPICK_TESTS_SOAK_CLUSTER_H_
#define JAYPICK_TESTS_SOAK_CLUSTER_H_

// clang-format off
// Boost.Intrusive uses the name `Test`, which Criterion defines as a macro.
#include <boost/intrusive/list.hpp>
#include "standins/platform_service.h"
#include "tests/process_harness.h"
// clang-format on

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "standins/relay.h"
#include "tests/soak/soak.h"

namespace jaypick::soak {

// A node's process, with a relay in front of its callers port and its peer port
// and one between it and the store. The ports stay the same across restarts.
struct SoakNode {
  std::string name;
  // Reserve the ports of the process while it does not run.
  std::unique_ptr<standin::PortHolder> callers_port;
  std::unique_ptr<standin::PortHolder> peer_port;
  std::string settings_path;
  std::string log_path;
  std::unique_ptr<testing::Process> process;
  std::unique_ptr<standin::Relay> callers;
  std::unique_ptr<standin::Relay> peer;
  std::unique_ptr<standin::Relay> store;
  bool is_paused = false;
  // Size of the log when the process was started. The log file is kept across
  // restarts.
  std::uintmax_t log_bytes_at_launch = 0;
  // Time of the last SIGTERM; `TimePoint()` if none was sent since the launch.
  TimePoint terminated_at;
};

struct SoakUpstream {
  std::unique_ptr<standin::PlatformUpstream> upstream;
  std::unique_ptr<standin::Relay> relay;
};

class Cluster {
 public:
  Cluster(const SoakOptions& options, std::string folder, SoakReport& report);

  testing::EventLoop loop;
  node::Runtime runtime{loop.base()};
  standin::PlatformStore store{runtime};
  standin::PlatformUpstream::RunMonitor run_monitor;
  std::vector<SoakNode> nodes;
  std::vector<SoakUpstream> upstreams;
  std::mt19937_64 random;

  // Injects one random fault. Most faults are cleared after a random time.
  void InjectFault();
  // Runs all pending recoveries at once: clears the faults and restarts the
  // killed nodes.
  void EndAllFaults();
  // Runs the recoveries that are due, restarts exited nodes, and records a
  // violation for each unexpected exit, overdue shutdown and overloaded
  // upstream.
  void Tick();
  void PutConfiguration();

  int RandomBelow(int count);
  void RecordViolation(const std::string& what);

 private:
  using Recovery = std::function<void()>;

  void AddNode(std::size_t number);
  void AddUpstream(std::size_t number);
  void Launch(SoakNode& node);
  void InjectNodeFault(SoakNode& node);
  void InjectLinkFault(standin::Relay& relay, const std::string& name);
  void InjectStoreFault();
  void InjectUpstreamFault(SoakUpstream& upstream);
  // Records the fault, and schedules `recovery`, if any, after a random time.
  void RecordFault(const std::string& fault, Recovery recovery = nullptr);
  std::string Now();

  const SoakOptions options_;
  const std::string folder_;
  SoakReport& report_;
  TimePoint started_at_;
  int version_ = 0;
  std::multimap<TimePoint, Recovery> recoveries_;
};

}  // namespace jaypick::soak

#endif  // JAYPICK_TESTS_SOAK_CLUSTER_H_
