// Test bed of the review cases: the nodes as processes, and stand-ins for the
// platform's store, the executors and the clients in this process.
#ifndef REVIEW_STAND_BED_H_
#define REVIEW_STAND_BED_H_

#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "http/client.h"
#include "http/server.h"
#include "node/runtime.h"
#include "peer_relay.h"
#include "standins/platform_service.h"
#include "standins/port_holder.h"

struct event_base;

namespace review {

using jaypick::Duration;
using jaypick::TimePoint;
using Json = nlohmann::json;
using std::chrono::milliseconds;

class Bed;

// An executor that follows the pages: leases on its own clock, fencing tokens,
// the list of ends, capacity checks. One object stands for all lives of an id.
class Executor {
 public:
  struct Kind {
    std::vector<std::string> labels;
    int cpu = 16000;
    int mem_mb = 65536;
  };
  struct Run {
    int number = 0;
    int cpu = 0;
    TimePoint started;
    TimePoint end_time;
  };
  struct End {
    std::uint64_t number = 0;
    std::string task;
    int run = 0;
    std::string how;
  };
  struct Options {
    std::string id;
    std::string service;
    std::string zone;
    // The executor rejects a start that does not fit (`admission_check`).
    bool guards = true;
  };

  Executor(Bed& bed, Options options);
  ~Executor();

  // Starts a new life: registers it in the store, then listens.
  void Start(Kind kind);
  // Ends the process: connections are closed, runs and all knowledge are gone.
  void Crash();
  // Writes the entry of the present life. A heartbeat that changes nothing but
  // `seq` leaves the entry as it is, so none is written.
  void Register(const std::string& state);
  // Removes the entry, as the platform does after three silent heartbeats.
  void RemoveEntry();

  bool is_up() const { return server_ != nullptr; }
  const std::string& id() const { return options_.id; }
  const std::string& zone() const { return options_.zone; }
  const Kind& kind() const { return kind_; }
  const std::map<std::string, Run>& runs() const { return runs_; }
  int cpu_in_use() const;

 private:
  struct PendingPoll {
    std::uint64_t last_seen = 0;
    TimePoint expiry;
    std::unique_ptr<jaypick::http::Responder> responder;
  };

  void Listen();
  void Tick();
  std::int64_t ClockMs() const;
  jaypick::http::Response Stamped(int status, Json body) const;
  bool IsFenced(const Json& body);
  void ExtendLease(const Json& body);
  jaypick::http::Response OnStart(const Json& body);
  jaypick::http::Response OnStop(const Json& body);
  void OnHold(const Json& body, jaypick::http::Responder responder);
  jaypick::http::Response Lists(std::uint64_t last_seen) const;
  void EndRun(const std::string& task, const std::string& how);

  Bed& bed_;
  Options options_;
  Kind kind_;
  jaypick::standin::PortHolder port_;
  std::unique_ptr<jaypick::http::Server> server_;
  std::int64_t born_ = 0;
  std::uint64_t seq_ = 0;
  TimePoint start_time_;
  std::uint64_t token_ = 0;
  TimePoint lease_;
  std::map<std::string, Run> runs_;
  std::map<std::string, int> last_run_;
  std::vector<End> ends_;
  std::uint64_t last_end_ = 0;
  std::list<PendingPoll> polls_;
  jaypick::node::Timer timer_;
};

struct NodeProcess {
  std::string name;
  std::string zone;
  std::unique_ptr<jaypick::standin::PortHolder> callers;
  std::unique_ptr<jaypick::standin::PortHolder> ready;
  std::unique_ptr<jaypick::standin::PortHolder> peer;
  std::unique_ptr<jaypick::standin::PortHolder> metrics;
  // In front of the peer port, if the scenario asks for it.
  std::unique_ptr<PeerRelay> relay;
  std::unique_ptr<PeerRelay> store_relay;
  std::string settings;
  std::string log;
  pid_t pid = -1;
};

// One job of a client, sent once unless a scenario sends it again.
struct Job {
  std::string id;
  std::string zone;
  std::size_t node = 0;
  Json body;
  int timeout_ms = 0;
  TimePoint sent;
  std::optional<TimePoint> answered;
  // 0: no response.
  int status = 0;
  std::string text;
  std::uint64_t call = 0;
};

struct BedOptions {
  std::string root;
  std::string record;
  std::string folder;
  std::vector<std::pair<std::string, std::string>> nodes;  // name, zone
  std::vector<std::string> zones;
  bool admission_check = true;
  // Nodes reach one another through relays (`listen.advertised_peer`).
  bool relays_peers = false;
  // Each node reaches the store through a relay.
  bool relays_store = false;
};

class Bed {
 public:
  explicit Bed(BedOptions options);
  ~Bed();

  event_base* base() { return base_; }
  jaypick::node::Runtime& runtime() { return *runtime_; }
  jaypick::standin::PlatformStore& store() { return *store_; }
  const BedOptions& options() const { return options_; }

  Executor& AddExecutor(Executor::Options options, Executor::Kind kind);
  std::vector<std::unique_ptr<Executor>>& executors() { return executors_; }
  std::vector<NodeProcess>& nodes() { return nodes_; }

  void LaunchNode(NodeProcess& node);
  void SignalNode(NodeProcess& node, int signal);
  bool HasExited(NodeProcess& node);
  // Waits until all nodes report ready. False after 20 s.
  bool WaitReady();

  // Runs the event loop for `duration`, or until `done` holds.
  bool RunFor(Duration duration, const std::function<bool()>& done = nullptr);
  void After(Duration delay, std::function<void()> action);
  std::int64_t NowMs();

  // Sends a job to a node of `zone`, or to the node with number `node`.
  // The number of the node that leads `zone`, by the record in the store.
  std::size_t LeaderOf(const std::string& zone);

  std::string Submit(const std::string& zone,
                     Json steps,
                     const std::string& spec,
                     int timeout_ms,
                     std::optional<std::size_t> node = std::nullopt,
                     std::function<void(const Job&)> done = nullptr);
  // Sends a job again, at the node with number `node`.
  void Resubmit(const std::string& id, std::size_t node);
  // Resets the connection on which the client waits for the job.
  void ResetClient(const std::string& id);
  void Call(std::size_t node,
            jaypick::http::Method method,
            const std::string& path,
            std::function<void(int status, const std::string& body)> done);
  std::map<std::string, Job>& jobs() { return jobs_; }
  std::string PathOf(const std::string& job) const { return "/desk/" + job; }

  // Writes the operator's configuration. `prefixes` are those of the routes.
  void PutConfiguration(int version, const std::vector<std::string>& prefixes);

  void Record(const std::string& line);
  void Violation(const std::string& line);
  std::size_t violations() const { return violations_; }
  // Writes the record. Returns the exit code: 1 after a violation, else 0.
  int Finish(const std::string& summary);

  // Set by a scenario; called for each start that an executor accepts, before
  // it is added to the runs.
  std::function<void(Executor&, const std::string& task, int run, int cpu)>
      on_start;
  std::function<
      void(Executor&, const std::string& task, int run, const std::string& how)>
      on_end;

 private:
  void Send(Job& job, const std::function<void(const Job&)>& done);
  std::string RenderSettings(const NodeProcess& node) const;

  BedOptions options_;
  event_base* base_ = nullptr;
  std::unique_ptr<jaypick::node::Runtime> runtime_;
  std::unique_ptr<jaypick::standin::PlatformStore> store_;
  std::unique_ptr<jaypick::http::Client> client_;
  std::vector<std::unique_ptr<Executor>> executors_;
  std::vector<NodeProcess> nodes_;
  std::vector<std::unique_ptr<jaypick::node::Timer>> timers_;
  std::map<std::string, Job> jobs_;
  std::vector<std::string> lines_;
  TimePoint started_;
  std::uint64_t last_job_ = 0;
  std::size_t violations_ = 0;
};

// Task names have the form ID.K.STEP.INDEX.
std::string JobOf(const std::string& task);

}  // namespace review

#endif  // REVIEW_STAND_BED_H_
