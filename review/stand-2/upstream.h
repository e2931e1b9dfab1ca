// Stand-in for an executor of the platform, as PROTOCOL.md describes it.
#ifndef JAYPICK_REVIEW_STAND_2_UPSTREAM_H_
#define JAYPICK_REVIEW_STAND_2_UPSTREAM_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "http/server.h"
#include "node/runtime.h"
#include "standins/platform_service.h"
#include "standins/port_holder.h"

namespace jaypick::review {

// Runs tasks whose spec is the run time in milliseconds. Rejects what does not
// fit, an outdated fencing token, an outdated run and a lease that has expired.
class Upstream {
 public:
  struct Options {
    std::string id;
    std::string zone;
    // The labels of the first incarnation: its kind and its rack.
    std::vector<std::string> labels = {"a", "r1-1"};
    std::int64_t cpu = 16000;
    std::int64_t mem_mb = 65536;
    std::size_t slots = 8;
  };
  struct Listener {
    std::function<void(const std::string& task, int run)> on_start;
    std::function<
        void(const std::string& task, int run, const std::string& how)>
        on_end;
  };

  Upstream(node::Runtime& runtime,
           standin::PlatformStore& store,
           Options options,
           Listener listener);
  ~Upstream();
  Upstream(const Upstream&) = delete;
  Upstream& operator=(const Upstream&) = delete;

  // The process ends: all that runs is lost, and its port refuses connections.
  void Crash();
  // A new incarnation starts under the same id, with nothing of the earlier
  // one, and registers itself.
  void Restart(std::vector<std::string> labels);
  void Register(const std::string& state);
  // A share of the starts and stops that arrive gets no answer and is carried
  // out 2 to 12 s later.
  void SetLateShare(double share) { late_share_ = share; }
  // The store removes the entry, as after three heartbeat intervals of silence.
  void Expire();

  const std::string& id() const { return options_.id; }
  const std::vector<std::string>& labels() const { return options_.labels; }
  bool is_up() const { return server_ != nullptr; }
  std::size_t running() const { return runs_.size(); }

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
    TimePoint until;
    std::unique_ptr<http::Responder> responder;
  };

  void Listen();
  http::Response Reply(int status, nlohmann::json body) const;
  bool IsFenced(const nlohmann::json& body);
  void Extend(const nlohmann::json& body);
  http::Response OnStart(const nlohmann::json& body);
  http::Response OnStop(const nlohmann::json& body);
  void OnHold(const nlohmann::json& body, http::Responder responder);
  http::Response Lists() const;
  void EndRun(const std::string& task, const std::string& how);
  void Tick();
  std::int64_t ClockMs() const;

  node::Runtime& runtime_;
  standin::PlatformStore& store_;
  Options options_;
  Listener listener_;
  std::unique_ptr<http::Server> server_;
  std::unique_ptr<standin::PortHolder> port_;
  std::int64_t born_ = 0;
  TimePoint started_;
  std::uint64_t token_ = 0;
  TimePoint lease_end_;
  std::map<std::string, Run> runs_;
  std::map<std::string, int> last_ended_;
  std::vector<End> ends_;
  std::uint64_t last_end_ = 0;
  std::uint64_t sequence_ = 0;
  std::string state_ = "ready";
  TimePoint registered_;
  std::list<Poll> polls_;
  double late_share_ = 0;
  std::mt19937 random_;
  std::multimap<TimePoint, std::function<void()>> late_orders_;
  std::vector<http::Responder> unanswered_;
  node::Timer timer_;
};

}  // namespace jaypick::review

#endif  // JAYPICK_REVIEW_STAND_2_UPSTREAM_H_
