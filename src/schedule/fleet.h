// Upstreams that one scheduler commands: room, health, speed and choice.
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

// What the service discovery says of an upstream.
struct Upstream {
  std::string id;
  Address address;
  std::string failure_domain;
  std::string service;
  // Start of this life, milliseconds since the Unix epoch. A later life under
  // the same id runs nothing of the earlier one.
  std::int64_t started_unix_ms = 0;
  Resources capacity;
  // Tasks that run at once at most; 0 for no limit.
  std::uint32_t slots = 0;
  std::vector<std::string> labels;
  bool is_draining = false;

  friend bool operator==(const Upstream&, const Upstream&) = default;
};

// Tasks of `needs` that the upstream could run at once when empty.
std::uint32_t SlotsIn(const Upstream& upstream, const Resources& needs);

// How a task's run ended, as far as the upstream's health is concerned.
enum class HealthSignal {
  kSucceeded,
  kFailed,
  // Stopped, refused for want of room or never started: says nothing.
  kNeutral,
};

struct PlacementQuery {
  std::string service;
  Resources needs;
  std::string required_label;
  std::string preferred_rack;
  // Upstreams where an earlier attempt of the task failed.
  const std::vector<std::uint32_t>* avoided_upstreams = nullptr;
  // Upstreams that are kept free for another task.
  std::optional<std::uint32_t> reserved_upstream;
  // Tasks of the step by upstream, and their limit; 0 for none.
  const std::map<std::uint32_t, std::uint32_t>* placed = nullptr;
  std::uint32_t tasks_per_upstream = 0;
  // Second and later attempts go to upstreams that have proved sound.
  bool is_retry = false;
};

// Room, health and speed by upstream number.
//
// Numbers stay valid for the life of the fleet.
class Fleet {
 public:
  // Adds the upstream or takes over what has changed.
  std::uint32_t Update(const Upstream& upstream);

  // The upstream has gone from the service discovery.
  void Remove(std::uint32_t number);

  // Whether orders can be given to the upstream now.
  void SetReady(std::uint32_t number, bool is_ready, TimePoint now);

  std::optional<std::uint32_t> Find(const std::string& id) const;
  const Upstream& upstream(std::uint32_t number) const;
  bool is_ready(std::uint32_t number) const;
  // Listed and staying, but not ready for orders.
  bool IsBecomingReady(std::uint32_t number) const;
  // The same, and it was ready a moment ago: most doubts end with the next
  // look.
  bool IsBrieflyUnready(std::uint32_t number, TimePoint now) const;
  std::uint32_t size() const;

  // Chooses an upstream with room: the tightest fit among the sound ones.
  // Packing tightly keeps room for large tasks and confines the loss of an
  // upstream to few jobs.
  std::optional<std::uint32_t> Choose(const PlacementQuery& query,
                                      TimePoint now) const;

  // True if some upstream could run the task when empty.
  bool IsOffered(const PlacementQuery& query) const;

  // Occupies and releases room.
  void Occupy(std::uint32_t number, const Resources& needs, TimePoint now);
  void Release(std::uint32_t number,
               const Resources& needs,
               HealthSignal end,
               TimePoint now);

  // The upstream had less room than was known here.
  void OnRoomRefused(std::uint32_t number, TimePoint now);

  // A task ran `real` in place of `expected`.
  void RecordRunTime(std::uint32_t number, Duration expected, Duration real);

  // Factor by which tasks take longer there than expected; 1 if unknown.
  double slowdown(std::uint32_t number) const;
  bool is_ejected(std::uint32_t number, TimePoint now) const;
  bool is_slow(std::uint32_t number) const;

  // Tasks of `needs` that sound upstreams of `service` could run at once.
  std::uint32_t Slots(const std::string& service,
                      const Resources& needs,
                      TimePoint now) const;
  // The same for one upstream, 0 if it is not usable.
  std::uint32_t SlotsOf(std::uint32_t number,
                        const Resources& needs,
                        TimePoint now) const;

  // Processors of usable upstreams, and the part of them in use.
  Resources TotalCapacity(TimePoint now) const;
  Resources TotalInUse() const;

  // Next time at which an ejection or a pause ends.
  std::optional<TimePoint> NextChange(TimePoint now) const;

 private:
  struct State {
    Upstream upstream;
    bool is_listed = false;
    bool is_ready = false;
    // When it was last ready.
    TimePoint ready_until;
    Resources in_use;
    std::uint32_t running = 0;
    std::uint32_t failures_in_row = 0;
    std::uint32_t ejections = 0;
    std::uint32_t successes = 0;
    TimePoint ejected_until;
    TimePoint paused_until;
    // Smoothed ratio of real to expected run times.
    double slowdown = 1;
    TimePoint last_start;
  };

  bool IsUsable(const State& state, TimePoint now) const;
  bool IsSlow(const State& state) const;
  bool Accepts(std::uint32_t number,
               const PlacementQuery& query,
               TimePoint now) const;
  double Cost(const State& state, const PlacementQuery& query) const;

  std::vector<State> states_;
  std::map<std::string, std::uint32_t> by_id_;
  // Median over the listed upstreams.
  double typical_slowdown_ = 1;
};

}  // namespace jaypick::schedule

#endif  // JAYPICK_SCHEDULE_FLEET_H_
