// Upstreams of one scheduler: capacity, health, speed and placement.
#ifndef JAYPICK_SCHEDULE_FLEET_H_
#define JAYPICK_SCHEDULE_FLEET_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "jaypick/instance.h"
#include "jaypick/time.h"
#include "schedule/job_spec.h"

namespace jaypick::schedule {

// An upstream as listed by the service discovery.
struct Upstream {
  std::string id;
  Address address;
  std::string failure_domain;
  std::string service;
  // Start of this incarnation, milliseconds since the Unix epoch. A later
  // incarnation under the same id runs no task of an earlier one.
  std::int64_t started_unix_ms = 0;
  Resources capacity;
  // Maximum number of tasks that run at once; 0 for no limit.
  std::uint32_t slots = 0;
  std::vector<std::string> labels;
  bool is_draining = false;
  // Tasks take longer than usual there for a while.
  bool is_cold = false;

  friend bool operator==(const Upstream&, const Upstream&) = default;
};

// Returns how many tasks with `needs` the upstream could run at once when idle.
std::uint32_t SlotsIn(const Upstream& upstream, const Resources& needs);

// What the end of a run indicates about the health of its upstream.
enum class HealthSignal {
  kSucceeded,
  kFailed,
  // No indication: for example, the run was stopped, refused for lack of
  // capacity, or never started.
  kNeutral,
};

struct PlacementQuery {
  std::string service;
  Resources needs;
  std::string required_label;
  std::string preferred_rack;
  // Upstreams that are not chosen, as an earlier run of the task did not
  // succeed there.
  const std::vector<std::uint32_t>* avoided_upstreams = nullptr;
  // Upstream that is kept free for another task.
  std::optional<std::uint32_t> reserved_upstream;
  // Number of tasks of the step by upstream, and the limit for one upstream; 0
  // for no limit.
  const std::map<std::uint32_t, std::uint32_t>* placed = nullptr;
  std::uint32_t tasks_per_upstream = 0;
  // The task has failed before. Upstreams on probation are not chosen, and
  // recent failures of an upstream count more.
  bool is_retry = false;
  // The task may have crashed an upstream. It is placed where the fewest tasks
  // run, and no other suspected task does.
  bool is_suspected = false;
};

// Tracks capacity, health and speed of upstreams, and chooses upstreams for
// tasks.
//
// Upstreams are identified by numbers, which stay valid for the lifetime of the
// fleet.
class Fleet {
 public:
  // Adds the upstream or updates its listing. Returns its number.
  std::uint32_t Update(const Upstream& upstream);

  // From now on, an upstream that becomes cold, or is cold already, gets a slow
  // start: one task at a time, and twice as many after each run that took about
  // as long as predicted.
  void EnableSlowStart();
  // Number of tasks that an upstream may run at once during its slow start;
  // nothing otherwise.
  std::optional<std::uint32_t> slow_start_limit(std::uint32_t number) const;

  // The service discovery no longer lists the upstream.
  void Remove(std::uint32_t number);

  // Sets whether requests can be sent to the upstream now.
  void SetReady(std::uint32_t number, bool is_ready, TimePoint now);

  // The incarnation that responded last; the list may still show an earlier
  // one.
  void SetIncarnation(std::uint32_t number, std::int64_t started_unix_ms);
  // The listed incarnation if none has responded.
  std::int64_t incarnation(std::uint32_t number) const;

  std::optional<std::uint32_t> Find(const std::string& id) const;
  const Upstream& upstream(std::uint32_t number) const;
  bool is_ready(std::uint32_t number) const;
  // True if the upstream is listed and not draining, but not ready.
  bool IsBecomingReady(std::uint32_t number) const;
  // True if, in addition, the upstream was ready until recently and is neither
  // ejected nor slow. Most such upstreams are ready again after the next poll.
  bool IsBrieflyUnready(std::uint32_t number, TimePoint now) const;
  std::uint32_t size() const;
  // Number of listed upstreams that have announced their shutdown.
  std::uint32_t draining() const;

  // Chooses an upstream with enough free capacity: the tightest fit among the
  // healthy ones. Tight packing keeps capacity for large tasks and confines the
  // loss of an upstream to few jobs. Returns nothing if no upstream qualifies.
  std::optional<std::uint32_t> Choose(const PlacementQuery& query,
                                      TimePoint now) const;

  // True if some listed upstream could run the task when idle.
  bool IsOffered(const PlacementQuery& query) const;

  // Occupy and release the capacity for one run.
  void Occupy(std::uint32_t number, const Resources& needs, TimePoint now);
  void Release(std::uint32_t number,
               const Resources& needs,
               HealthSignal signal,
               TimePoint now);

  // An isolated upstream gets no further run: one that may crash it runs there.
  void SetIsolated(std::uint32_t number, bool is_isolated);
  bool is_isolated(std::uint32_t number) const;
  // False if this instance cannot reach any listed upstream. Runs that are lost
  // then say nothing about their tasks or upstreams.
  bool IsAnyReady() const;

  // The upstream refused a start for lack of capacity.
  void OnRoomRefused(std::uint32_t number, TimePoint now);

  // A task took `real` where `expected` was predicted.
  void RecordRunTime(std::uint32_t number, Duration expected, Duration real);

  // Factor by which tasks take longer on the upstream than predicted; 1 if
  // unknown.
  double slowdown(std::uint32_t number) const;
  // The same, as far as it is explained by upstreams of different speed: an
  // upstream that has turned slow does not count as one that is always slow.
  double RelativeRunTime(std::uint32_t number) const;
  bool is_ejected(std::uint32_t number, TimePoint now) const;
  bool is_slow(std::uint32_t number) const;

  // Returns how many tasks with `needs` the healthy upstreams of `service`
  // could run at once when idle. Upstreams that are briefly unready count.
  std::uint32_t Slots(const std::string& service,
                      const Resources& needs,
                      TimePoint now) const;
  // The same for one upstream; 0 if it is not usable.
  std::uint32_t SlotsOf(std::uint32_t number,
                        const Resources& needs,
                        TimePoint now) const;

  // Capacity of the usable upstreams, and resources in use on all upstreams.
  Resources TotalCapacity(TimePoint now) const;
  Resources TotalInUse() const;

  // Next time at which an ejection or a backoff ends.
  std::optional<TimePoint> NextChange(TimePoint now) const;

 private:
  struct State {
    Upstream upstream;
    std::optional<std::int64_t> responded_unix_ms;
    bool is_listed = false;
    bool is_ready = false;
    bool is_isolated = false;
    // When the upstream was last known to be ready.
    TimePoint ready_until;
    Resources in_use;
    std::uint32_t running = 0;
    std::uint32_t failures_in_row = 0;
    std::uint32_t ejections = 0;
    std::uint32_t successes = 0;
    TimePoint ejected_until;
    TimePoint backoff_until;
    // Smoothed ratio of real to predicted run times.
    double slowdown = 1;
    TimePoint last_start;
    // Only during a slow start.
    std::optional<std::uint32_t> slow_start_limit;
  };

  bool IsUsable(const State& state, TimePoint now) const;
  // False if the upstream has restarted and its listing is that of an earlier
  // incarnation, which may have had other labels. Its place and its capacity
  // are those of its machine and stay.
  static bool IsListingCurrent(const State& state);
  bool IsSlow(const State& state) const;
  bool Accepts(std::uint32_t number,
               const PlacementQuery& query,
               TimePoint now) const;
  double Cost(const State& state, const PlacementQuery& query) const;

  // A run on an upstream in its slow start took `ratio` times as long as
  // predicted.
  void ContinueSlowStart(State& state, double ratio) const;

  bool is_slow_start_enabled_ = false;
  std::vector<State> states_;
  std::map<std::string, std::uint32_t> by_id_;
  // Median slowdown of the listed upstreams.
  double median_slowdown_ = 1;
};

}  // namespace jaypick::schedule

#endif  // JAYPICK_SCHEDULE_FLEET_H_
