// Simulated cluster: entries, upstreams, callers, the platform and the network
// links between them.
#ifndef JAYPICK_TESTS_SIMULATION_CLUSTER_H_
#define JAYPICK_TESTS_SIMULATION_CLUSTER_H_

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "jaypick/jaypick.h"
#include "tests/simulation/invariant_checker.h"
#include "tests/simulation/run.h"
#include "tests/simulation/scheduler.h"
#include "tests/simulation/upstream.h"

namespace jaypick::simulation {

class Callers;
class Entry;
class Faults;

inline constexpr int kDomains = 3;
inline constexpr int kEntriesPerDomain = 2;
inline constexpr int kUpstreamsPerDomain = 3;
// Index of the platform, which follows those of the failure domains.
inline constexpr int kPlatform = kDomains;

// Simulated key-value service of the platform, with the parts that jaypick
// uses.
struct Store {
  std::optional<Configuration> head;
  std::optional<Configuration> previous_head;
  std::int64_t head_revision = 0;
  std::map<std::string, JobId> claims;
  bool is_down = false;
  Duration max_delay{0};
  double response_loss = 0;
  TimePoint last_fault_at;

  // Returns `now` if the service has a fault, else the time of its last fault.
  TimePoint LastFaultTime(TimePoint now) const {
    const bool has_fault =
        is_down || max_delay > Duration(0) || response_loss > 0;
    return has_fault ? now : last_fault_at;
  }
};

// Simulated instance list of the platform, with past snapshots.
struct InstanceRegistry {
  struct Snapshot {
    TimePoint since;
    InstanceList list;
  };

  std::deque<Snapshot> history;
  bool is_down = false;
  Duration lag{0};
  TimePoint last_fault_at;

  // Returns `now` if the list is unavailable or stale, else the time at which
  // it last was.
  TimePoint LastFaultTime(TimePoint now) const {
    return is_down || lag > Duration(0) ? now : last_fault_at;
  }
};

// An upstream and its entry in the instance list.
struct ListedUpstream {
  std::unique_ptr<Upstream> upstream;
  int domain = 0;
  std::uint64_t generation = 1;
  bool is_listed = true;
  std::optional<TimePoint> leaving_since;
};

class Cluster {
 public:
  explicit Cluster(const RunOptions& options);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  // Runs `deliver` after a random delay, unless the link is cut or the message
  // is lost.
  void Send(int from, int to, Scheduler::Callback deliver);
  bool IsCut(int from, int to) const;

  // Runs `operation` on the key-value service on behalf of `entry`. Calls
  // `callback` once, with the result, or with `std::nullopt` after a timeout.
  template <typename Result>
  void CallStore(Entry& entry,
                 std::function<Result(Store&)> operation,
                 std::function<void(std::optional<Result>)> callback);

  // Publishes the current state of all instances as a new revision.
  void PublishInstances();
  // The instance list that the platform serves now, which may be stale.
  const InstanceList& ServedInstances() const;

  // Delivers a start request of `entry` to its upstream.
  void ReceiveStart(Entry& entry, std::uint64_t generation, StartAttempt start);

  // Called after `configuration` was written to the head. Schedules the check
  // that all reachable entries adopt it in time.
  void OnConfigurationAccepted(const Configuration& configuration);
  Configuration MakeConfiguration(std::uint64_t version);

  Entry& EntryAt(std::uint16_t port);

  RunOptions options;
  Scheduler scheduler;
  Random random;
  InvariantChecker checker;
  Store store;
  InstanceRegistry registry;
  std::vector<std::unique_ptr<Entry>> entries;
  std::vector<ListedUpstream> upstreams;
  std::unique_ptr<Callers> callers;
  std::unique_ptr<Faults> faults;
  std::array<std::array<bool, kDomains + 1>, kDomains + 1> cut{};
  // Fraction of all messages that are lost without an error, as on half-open
  // connections.
  double message_loss = 0;
  bool has_load_ended = false;
  std::uint64_t entry_faults = 0;
  std::uint64_t configurations = 0;

 private:
  void CheckConfigurationInForce(const Configuration& accepted,
                                 TimePoint since);
};

std::string DomainName(int domain);

}  // namespace jaypick::simulation

#endif  // JAYPICK_TESTS_SIMULATION_CLUSTER_H_
