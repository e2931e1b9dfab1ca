// A small deployment of separate processes: platform stand-ins, upstreams and
// entries.
#ifndef JAYPICK_TESTS_CLUSTER_H_
#define JAYPICK_TESTS_CLUSTER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "standins/port_holder.h"
#include "tests/process_harness.h"

namespace jaypick::testing {

struct ClusterOptions {
  std::vector<std::string> domains = {"d1"};
  int entries_per_domain = 2;
  int upstreams_per_domain = 2;
  // Entries reach peers, upstreams and the platform through relays, which can
  // inject network faults.
  bool with_relays = false;
  Json entry_settings = Json::object();
};

// Reserves a port for an entry, also across its restarts.
using ReservedPort = standin::PortHolder;

// A process of a stand-in program and its ports.
struct Standin {
  std::string name;
  std::string domain;
  std::unique_ptr<Process> process;
  std::uint16_t port = 0;
  std::uint16_t control_port = 0;
};

// An entry process. It keeps its ports when it is restarted.
struct Entry {
  std::string name;
  std::string domain;
  ReservedPort caller;
  ReservedPort peer;
  ReservedPort operators;
  ReservedPort observability;
  std::string settings;
  std::unique_ptr<Process> process;
  // Relay in front of `peer`; only used with `with_relays`.
  Standin relay;
};

// Starts all processes, adds them to the instance list, and applies a sheet
// with the service "s", the kinds "safe" (idempotent) and "once" (not
// idempotent), and the owners "o1" and "o2".
class Cluster {
 public:
  explicit Cluster(ClusterOptions options = {});

  // Starts or restarts the process of an entry and waits until it responds.
  void StartEntry(Entry& entry);
  // Waits until an entry reports that it is ready.
  void WaitReady(Entry& entry);

  // Applies the standard sheet with `queue_limit` through `entry`. Returns the
  // new version.
  std::uint64_t Apply(Entry& entry, int queue_limit);
  // The two steps of `Apply`. `TryApply` returns the response without checking
  // it, and repeats the same change until the next `BeginOperation`.
  void BeginOperation() { ++operations_; }
  Answer TryApply(Entry& entry, int queue_limit);
  // Returns the configuration version of `entry`, or 0.
  std::uint64_t Version(Entry& entry);

  std::vector<std::string> Reserve(Entry& entry, int count = 1);
  // Returns the body of a submission with `id` and `tasks` copies of `task`.
  static Json Job(const std::string& id,
                  const std::string& kind,
                  const Json& task,
                  int tasks = 1);
  Caller::Pending StartJob(Entry& entry, const Json& job);
  Answer Submit(Entry& entry, const Json& job);

  // Number of starts of each task ("<job id>.<task>") on all upstreams, as
  // recorded by the upstreams.
  std::map<std::string, int> Starts();
  // Number of starts of all tasks of the job `id`.
  int StartsOf(const std::string& id);
  // Fails the test if any task of a kind that is not idempotent, or any
  // attempt, was started more than once.
  void CheckStarts();

  void SetFault(Standin& standin, const Json& fault);
  Json Stats(const Standin& standin);
  // Adds an instance to the instance list, or changes members of a listed one.
  void List(const Json& instance);

  Caller& caller() { return caller_; }
  std::vector<std::unique_ptr<Entry>>& entries() { return entries_; }
  std::vector<Standin>& upstreams() { return upstreams_; }
  // Relay in front of the upstream with the same index; empty without relays.
  std::vector<Standin>& upstream_relays() { return upstream_relays_; }
  // Relays in front of the platform: key-value service and instance list of
  // each domain in turn; empty without relays.
  std::vector<Standin>& platform_relays() { return platform_relays_; }
  Standin& kv() { return kv_; }
  Standin& instances() { return instances_; }

 private:
  Standin Start(const std::string& program,
                const std::string& name,
                std::vector<std::string> arguments = {});
  Standin StartRelay(const std::string& name, std::uint16_t target);
  void AddUpstream(const std::string& domain, int index);
  void AddEntry(const std::string& domain,
                int index,
                std::uint16_t kv_port,
                std::uint16_t instances_port);
  Json Settings(const Entry& entry,
                std::uint16_t kv_port,
                std::uint16_t instances_port) const;

  ClusterOptions options_;
  TemporaryFolder folder_;
  Caller caller_;
  Standin kv_;
  Standin instances_;
  std::vector<Standin> upstreams_;
  std::vector<Standin> upstream_relays_;
  std::vector<Standin> platform_relays_;
  std::vector<std::unique_ptr<Entry>> entries_;
  int operations_ = 0;
};

}  // namespace jaypick::testing

#endif  // JAYPICK_TESTS_CLUSTER_H_
