// Stand-in for the users' platform: store, upstreams and faults on loopback.
#ifndef JAYPICK_STANDINS_PLATFORM_SERVICE_H_
#define JAYPICK_STANDINS_PLATFORM_SERVICE_H_

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
#include "jaypick/instance.h"
#include "node/runtime.h"

struct event_base;

namespace jaypick::standins {

// The store of the platform, as its published protocol describes it: revisions,
// conditions, leases and waiting watches.
class PlatformStore {
 public:
  explicit PlatformStore(node::Runtime& runtime, std::uint16_t port = 0);
  ~PlatformStore();
  PlatformStore(const PlatformStore&) = delete;
  PlatformStore& operator=(const PlatformStore&) = delete;

  Address address() const;

  // Writes of operators and upstreams.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  std::string Value(const std::string& key) const;

  // Faults. While down, calls get 503; lost answers are dropped after the
  // effect; `Compact` forgets the history and cuts waiting watches; stalled
  // watches get no answer at all, as on connections that have gone silent.
  void SetDown(bool is_down) { is_down_ = is_down; }
  void LoseAnswers(int count) { answers_to_lose_ = count; }
  void Compact();
  void StallWatches(bool is_stalled) { is_stalled_ = is_stalled; }

  std::size_t calls() const { return calls_; }

 private:
  struct Item {
    std::string value;
    std::int64_t revision = 0;
    std::int64_t created = 0;
    std::int64_t lease = 0;
  };
  struct Change {
    std::int64_t revision = 0;
    std::string key;
    bool is_removal = false;
    Item item;
  };
  struct Lease {
    Duration ttl{0};
    TimePoint ends;
  };
  struct Watch {
    std::string prefix;
    std::int64_t after = 0;
    TimePoint ends;
    std::unique_ptr<http::Responder> responder;
  };

  void Serve(http::Method method,
             const std::string& path,
             std::function<http::Response(const http::Request&)> handler);
  void Answer(http::Responder responder, http::Response response);
  http::Response OnKey(const http::Request& request) const;
  http::Response OnRange(const http::Request& request) const;
  http::Response OnTxn(const http::Request& request);
  http::Response OnLease(const http::Request& request);
  http::Response OnKeep(const http::Request& request);
  http::Response OnEnd(const http::Request& request);
  void OnWatch(const http::Request& request, http::Responder responder);
  std::string EventsAfter(const std::string& prefix, std::int64_t after) const;
  void Apply(const std::string& key,
             const std::string& value,
             std::int64_t lease);
  void Erase(const std::string& key);
  void RevokeLease(std::int64_t lease);
  void Notify();
  void Tick();

  node::Runtime& runtime_;
  std::map<std::string, Item> items_;
  std::vector<Change> history_;
  std::int64_t revision_ = 1;
  std::int64_t oldest_ = 1;
  std::map<std::int64_t, Lease> leases_;
  std::int64_t last_lease_ = 0;
  std::list<Watch> watches_;
  bool is_down_ = false;
  bool is_stalled_ = false;
  int answers_to_lose_ = 0;
  std::size_t calls_ = 0;
  node::Timer timer_;
  http::Server server_;
  // Responders whose answers are lost; their connections stay open.
  std::vector<http::Responder> lost_;
};

// How a task of a spec goes; specs are texts like "80" (milliseconds) or
// "fail 20".
struct TaskScript {
  Duration takes{0};
  bool fails = false;
};
TaskScript ParseScript(const std::string& spec);

// Runs of one upstream, with the witness of rules that must never break.
class PlatformUpstream {
 public:
  struct Options {
    std::string id;
    std::string service;
    std::string zone;
    std::uint32_t milli_cpus = 16000;
  };

  // Runs of all upstreams together, by task.
  struct Witness {
    std::map<std::string, int> running;
    std::vector<std::string> violations;
    std::size_t started = 0;
    std::set<std::string> started_jobs;
  };

  PlatformUpstream(node::Runtime& runtime,
                   PlatformStore& store,
                   Witness& witness,
                   Options options);
  ~PlatformUpstream();
  PlatformUpstream(const PlatformUpstream&) = delete;
  PlatformUpstream& operator=(const PlatformUpstream&) = delete;

  const std::string& id() const { return options_.id; }
  Address address() const {
    return {.host = "127.0.0.1", .port = server_.port()};
  }
  // Registers or updates the entry in the store.
  void Register(const std::string& state);
  // Registers `port`, that of a relay, in place of its own.
  void RegisterAt(std::uint16_t port);

  // Faults: all runs fail; orders get no answer and are carried out `late`
  // after; nothing is answered; all runs stand still.
  void FailAll(bool fails) { fails_ = fails; }
  void DelayOrders(Duration late) { late_ = late; }
  void GoSilent(bool is_silent) { is_silent_ = is_silent; }
  void Hang(bool hangs) { hangs_ = hangs; }
  // Crashes and starts again under the same id.
  void Reincarnate();

  std::size_t running() const { return runs_.size(); }
  std::uint64_t highest_token() const { return token_; }

 private:
  struct Run {
    int number = 0;
    std::uint32_t milli_cpus = 0;
    TimePoint ends;
    bool fails = false;
  };
  struct Ended {
    std::uint64_t number = 0;
    std::string task;
    int run = 0;
    std::string how;
  };
  struct Look {
    std::uint64_t last_seen = 0;
    TimePoint ends;
    std::unique_ptr<http::Responder> responder;
  };

  using Order = std::function<http::Response(const nlohmann::json&)>;

  void Serve(const char* path, Order order);
  http::Response Stamped(int status, nlohmann::json body) const;
  bool IsFenced(const nlohmann::json& body);
  void ExtendLease(const nlohmann::json& body);
  http::Response OnStart(const nlohmann::json& body);
  http::Response OnStop(const nlohmann::json& body);
  void OnHold(const nlohmann::json& body, http::Responder responder);
  http::Response HoldAnswer(std::uint64_t last_seen);
  void End(const std::string& task, const std::string& how);
  void Tick();
  std::int64_t clock_ms() const;

  node::Runtime& runtime_;
  PlatformStore& store_;
  Witness& witness_;
  Options options_;
  std::int64_t born_;
  // 0: the server's.
  std::uint16_t registered_port_ = 0;
  TimePoint started_;
  std::uint64_t token_ = 0;
  TimePoint lease_ends_;
  std::map<std::string, Run> runs_;
  std::map<std::string, int> ended_runs_;
  std::vector<Ended> ended_;
  std::uint64_t last_ended_ = 0;
  std::list<Look> looks_;
  std::multimap<TimePoint, std::function<void()>> later_;
  bool fails_ = false;
  bool is_silent_ = false;
  bool hangs_ = false;
  Duration late_{0};
  std::vector<http::Responder> unanswered_;
  node::Timer timer_;
  http::Server server_;
};

}  // namespace jaypick::standins

#endif  // JAYPICK_STANDINS_PLATFORM_SERVICE_H_
