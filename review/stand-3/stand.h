// A small deployment on loopback for the cases of review 3: the platform's
// store, workers and clients in one process, and the nodes of the project as
// processes of their own.
#ifndef REVIEW_STAND_3_STAND_H_
#define REVIEW_STAND_3_STAND_H_

#include <sys/types.h>

#include <cstdint>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "http/client.h"
#include "http/server.h"
#include "node/runtime.h"
#include "standins/platform_service.h"

namespace review {

using jaypick::Duration;
using jaypick::TimePoint;
using nlohmann::json;

inline constexpr const char* kHost = "desk.example";
inline constexpr const char* kPrefix = "/orders/";
inline constexpr const char* kService = "desk";

// What the clients know of a job, for the checks.
struct JobFacts {
  // When the cancelling was acknowledged.
  std::optional<TimePoint> cancel_acknowledged;
};

class Stand;

// A worker as PROTOCOL.md ("Running tasks") describes it.
class Worker {
 public:
  Worker(Stand& stand, std::string id, std::string zone);

  const std::string& id() const { return id_; }
  // Ends what is due.
  void Tick();

 private:
  struct Run {
    int number = 0;
    TimePoint end;
  };
  struct End {
    std::uint64_t number = 0;
    std::string task;
    int run = 0;
    std::string how;
  };
  struct Poll {
    std::uint64_t last_seen = 0;
    TimePoint until;
    jaypick::http::Responder responder;
  };

  void Open();
  void Register();
  std::int64_t ClockMs() const;
  jaypick::http::Response Reply(int status, json body) const;
  bool IsFenced(const json& body);
  void Extend(const json& body);
  jaypick::http::Response OnStart(const json& body);
  jaypick::http::Response OnStop(const json& body);
  void OnHold(const json& body, jaypick::http::Responder responder);
  jaypick::http::Response Lists(std::uint64_t last_seen);
  void EndRun(const std::string& task, const std::string& how);

  Stand& stand_;
  std::string id_;
  std::string zone_;
  std::uint16_t port_ = 0;
  std::int64_t born_ = 0;
  TimePoint life_began_;
  std::uint64_t highest_token_ = 0;
  std::int64_t lease_ms_ = 0;
  std::map<std::string, Run> runs_;
  std::map<std::string, int> last_numbers_;
  std::vector<End> ends_;
  std::uint64_t last_end_ = 0;
  std::list<Poll> polls_;
  std::unique_ptr<jaypick::http::Server> server_;
};

struct StandOptions {
  std::string folder;
  std::vector<std::string> zones = {"east", "north", "west"};
  int nodes_per_zone = 2;
  int workers_per_zone = 4;
};

class Stand {
 public:
  explicit Stand(StandOptions options);
  ~Stand();

  // Runs the event loop.
  void RunFor(int milliseconds);
  void After(int milliseconds, std::function<void()> action);
  TimePoint Now() { return runtime_.Now(); }
  void Record(const std::string& line);
  // Records that a rule was broken.
  void Broken(const std::string& line);
  int broken() const { return broken_; }

  // Sends a job to a node; `node` is taken modulo the number of nodes.
  std::string Submit(std::size_t node, json steps, int timeout_ms, int task_ms);
  // Cancels a job through a node.
  void Cancel(std::size_t node, const std::string& job);

  // Called by the workers.
  void OnStart(const Worker& worker, const std::string& task, int run);
  void OnEnd(const Worker& worker,
             const std::string& task,
             int run,
             const std::string& how);

  event_base* base() { return runtime_.base(); }
  jaypick::node::Runtime& runtime() { return runtime_; }
  jaypick::standin::PlatformStore& store() { return store_; }
  std::size_t nodes() const { return nodes_.size(); }
  std::size_t completed() const { return completed_; }
  std::size_t sent() const { return sent_; }

 private:
  struct Node {
    std::string name;
    std::string settings;
    std::uint16_t callers = 0;
    pid_t process = -1;
  };

  void AddNode(const std::string& zone, int number);
  void Launch(Node& node);
  void Tick();

  StandOptions options_;
  jaypick::node::Runtime runtime_;
  jaypick::standin::PlatformStore store_;
  std::ofstream record_;
  TimePoint began_;
  std::mt19937 random_{7};
  std::vector<std::unique_ptr<Worker>> workers_;
  std::vector<Node> nodes_;
  std::map<std::string, JobFacts> jobs_;
  std::multimap<TimePoint, std::function<void()>> actions_;
  int broken_ = 0;
  std::size_t sent_ = 0;
  std::size_t completed_ = 0;
  jaypick::http::Client client_;
  jaypick::node::Timer timer_;
};

}  // namespace review

#endif  // REVIEW_STAND_3_STAND_H_
