// Stand-ins for the users' platform on loopback: its store and its upstreams,
// with fault injection.
#ifndef STANDINS_PLATFORM_SERVICE_H_
#define STANDINS_PLATFORM_SERVICE_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "http/server.h"
#include "jaypick/instance.h"
#include "node/runtime.h"

struct event_base;

namespace jaypick::standin {

// Key-value store that serves the platform's published store protocol:
// revisions, conditional transactions, leases and long-polling watches.
class PlatformStore {
 public:
  explicit PlatformStore(node::Runtime& runtime, std::uint16_t port = 0);
  ~PlatformStore();
  PlatformStore(const PlatformStore&) = delete;
  PlatformStore& operator=(const PlatformStore&) = delete;

  Address address() const;

  // Writes that do not come over HTTP, as by operators and upstreams. `Value`
  // is empty if there is no such key.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  std::string Value(const std::string& key) const;

  // While down, the store responds to new requests with 503, and no lease
  // expires.
  void SetDown(bool is_down) { is_down_ = is_down; }
  // The next `count` requests other than watches take effect, but their
  // responses are never sent.
  void LoseAnswers(int count) { answers_to_lose_ = count; }
  // Drops the event history and ends pending watches with 410, so that clients
  // have to read the whole range again.
  void Compact();
  // While stalled, watches get no response, neither events nor the time-out
  // response, as on a connection that silently drops packets.
  void StallWatches(bool is_stalled) { is_stalled_ = is_stalled; }
  // Responses to reads of ranges are sent after `delay`.
  void DelayRanges(Duration delay) { range_delay_ = delay; }

  // Requests received so far.
  std::size_t calls() const { return calls_; }

 private:
  struct Item {
    std::string value;
    std::int64_t revision = 0;
    // Revision at which the key was created.
    std::int64_t created = 0;
    // 0 for a key without a lease.
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
    TimePoint expiry;
  };
  struct Watch {
    std::string prefix;
    // Last revision that the client has seen.
    std::int64_t after = 0;
    TimePoint expiry;
    std::unique_ptr<http::Responder> responder;
  };

  void Serve(http::Method method,
             const std::string& path,
             std::function<http::Response(const http::Request&)> handler);
  // Sends `response` unless the fault set by `LoseAnswers` applies to it.
  void SendResponse(http::Responder responder, http::Response response);
  http::Response OnGet(const http::Request& request) const;
  http::Response OnRange(const http::Request& request) const;
  http::Response OnTxn(const http::Request& request);
  http::Response OnGrantLease(const http::Request& request);
  http::Response OnRenewLease(const http::Request& request);
  http::Response OnRevokeLease(const http::Request& request);
  void OnWatch(const http::Request& request, http::Responder responder);
  // Returns the JSON body with the events after revision `after`, or an empty
  // string if there are none.
  std::string EventsAfter(const std::string& prefix, std::int64_t after) const;
  void Write(const std::string& key,
             const std::string& value,
             std::int64_t lease);
  void Erase(const std::string& key);
  void RevokeLease(std::int64_t lease);
  void NotifyWatches();
  void Tick();

  node::Runtime& runtime_;
  std::map<std::string, Item> items_;
  std::vector<Change> history_;
  std::int64_t revision_ = 1;
  std::int64_t oldest_revision_ = 1;
  std::map<std::int64_t, Lease> leases_;
  std::int64_t last_lease_ = 0;
  std::list<Watch> watches_;
  bool is_down_ = false;
  bool is_stalled_ = false;
  int answers_to_lose_ = 0;
  Duration range_delay_{0};
  // Responses delayed by `DelayRanges`, by the time at which they are sent.
  std::multimap<TimePoint, std::pair<http::Responder, http::Response>>
      delayed_responses_;
  std::size_t calls_ = 0;
  node::Timer timer_;
  http::Server server_;
  // Responders of the lost answers; kept so that their connections stay open.
  std::vector<http::Responder> lost_responders_;
};

// How a run of a task behaves. It is parsed from the task's spec: "80" succeeds
// after 80 ms, "fail 20" fails after 20 ms, and "crash 20" crashes the upstream
// after 20 ms.
struct TaskScript {
  Duration run_time{0};
  bool fails = false;
  bool crashes = false;
};
TaskScript ParseScript(const std::string& spec);

// Upstream that serves the platform's protocol for run control: it starts,
// stops and reports runs, rejects requests with an outdated fencing token, and
// ends all runs when the lease expires.
class PlatformUpstream {
 public:
  struct Options {
    std::string id;
    std::string service;
    std::string zone;
    std::uint32_t milli_cpus = 16000;
  };

  // Counts the runs of all upstreams together, and records each violation of
  // the rule that a task has at most one run at a time.
  struct RunMonitor {
    // Number of present runs by task id.
    std::map<std::string, int> running;
    std::vector<std::string> violations;
    std::size_t started = 0;
    // Number of upstreams that a run has crashed.
    std::size_t crashes = 0;
    std::set<std::string> started_jobs;
  };

  PlatformUpstream(node::Runtime& runtime,
                   PlatformStore& store,
                   RunMonitor& run_monitor,
                   Options options);
  ~PlatformUpstream();
  PlatformUpstream(const PlatformUpstream&) = delete;
  PlatformUpstream& operator=(const PlatformUpstream&) = delete;

  const std::string& id() const { return options_.id; }
  Address address() const {
    return {.host = "127.0.0.1", .port = server_.port()};
  }
  // Writes this upstream's registration to the store, with the given state.
  void Register(const std::string& state);
  // Registers `port`, that of a relay, instead of the server's own port.
  void RegisterAt(std::uint16_t port);
  // Registers a start time that is not the upstream's, as another writer may.
  void RegisterStartTime(std::int64_t started_unix_ms);

  // Runs that complete while this is set are reported as failed.
  void FailAll(bool fails) { fails_ = fails; }
  // Start and stop requests take effect after `delay` and get no response; 0
  // switches the fault off.
  void DelayRunRequests(Duration delay) { request_delay_ = delay; }
  // All requests are received, but neither carried out nor answered.
  void GoSilent(bool is_silent) { is_silent_ = is_silent; }
  // Runs do not complete, but can be stopped and still end with the lease.
  void Hang(bool hangs) { hangs_ = hangs; }
  // Crashes and restarts as a new incarnation under the same id: all runs and
  // the state about them are lost.
  void Restart();

  std::size_t running() const { return runs_.size(); }
  // Highest fencing token seen in this incarnation.
  std::uint64_t highest_token() const { return highest_token_; }

 private:
  struct Run {
    int number = 0;
    std::uint32_t milli_cpus = 0;
    TimePoint end_time;
    bool fails = false;
    bool crashes = false;
  };
  // The end of a run, reported to the leader until it acknowledges it.
  struct RunEnd {
    // Counts from 1 in each incarnation.
    std::uint64_t sequence_number = 0;
    std::string task;
    int run = 0;
    // "done", "failed", "stopped" or "lapsed" (the lease expired).
    std::string outcome;
  };
  // A poll that waits for a run to end.
  struct PendingPoll {
    // Last sequence number that the leader has acknowledged.
    std::uint64_t last_seen = 0;
    TimePoint expiry;
    std::unique_ptr<http::Responder> responder;
  };

  using RequestHandler = std::function<http::Response(const nlohmann::json&)>;

  void Serve(const char* path, RequestHandler handler);
  // Adds the incarnation and the time since its start, in milliseconds.
  http::Response StampedResponse(int status, nlohmann::json body) const;
  // True if a request with a higher fencing token has come in before. Otherwise
  // records the token of `body` as the highest.
  bool IsFenced(const nlohmann::json& body);
  void ExtendLease(const nlohmann::json& body);
  http::Response OnStart(const nlohmann::json& body);
  http::Response OnStop(const nlohmann::json& body);
  void OnPoll(const nlohmann::json& body, http::Responder responder);
  http::Response BuildPollResponse(std::uint64_t last_seen);
  void EndRun(const std::string& task, const std::string& outcome);
  void Tick();
  std::int64_t clock_ms() const;

  node::Runtime& runtime_;
  PlatformStore& store_;
  RunMonitor& run_monitor_;
  Options options_;
  std::int64_t incarnation_;
  std::optional<std::int64_t> listed_start_;
  // 0 means the server's own port.
  std::uint16_t registered_port_ = 0;
  TimePoint start_time_;
  std::uint64_t highest_token_ = 0;
  TimePoint lease_expiry_;
  std::map<std::string, Run> runs_;
  // Highest run that ended or was stopped, by task; starts up to it are
  // refused.
  std::map<std::string, int> last_ended_runs_;
  std::vector<RunEnd> unacknowledged_ends_;
  std::uint64_t last_sequence_number_ = 0;
  std::list<PendingPoll> pending_polls_;
  // Requests delayed by `DelayRunRequests`, by the time at which they take
  // effect.
  std::multimap<TimePoint, std::function<void()>> delayed_requests_;
  bool fails_ = false;
  bool is_silent_ = false;
  bool hangs_ = false;
  Duration request_delay_{0};
  // Responders that are never used; kept so that their connections stay open.
  std::vector<http::Responder> unanswered_;
  node::Timer timer_;
  http::Server server_;
};

}  // namespace jaypick::standin

#endif  // STANDINS_PLATFORM_SERVICE_H_
