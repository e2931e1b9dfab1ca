// Upstreams of the entry's failure domain: slots, load, health and choice.
#ifndef JAYPICK_INTERNAL_UPSTREAM_POOL_H_
#define JAYPICK_INTERNAL_UPSTREAM_POOL_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "jaypick/instance.h"
#include "jaypick/internal/interner.h"
#include "jaypick/internal/placement_choice.h"
#include "jaypick/internal/queued_task.h"
#include "jaypick/internal/upstream_state.h"
#include "jaypick/placement.h"
#include "jaypick/time.h"

namespace jaypick::internal {

// Outcome of an attempt, as used for the health and load of the upstream.
enum class HealthSignal {
  kSucceeded,
  // The task ran and failed, or the outcome was lost.
  kFailed,
  // The upstream refused the task because it had no capacity.
  kBusy,
  // The upstream announced that it is leaving.
  kLeaving,
  // No connection could be opened.
  kNotSent,
  // The attempt ended without a response for a reason unrelated to health, for
  // example because its job was cancelled. The task may still be running.
  kAbandoned,
};

// Requirements of a task to be placed.
struct PlacementRequest {
  ServiceNumber service = 0;
  ResourceSpec needs;
  // Estimated mean run time of the kind.
  Duration run_time{0};
  // Number of tasks that wait to be placed, including this one.
  std::size_t waiting = 1;
  // Whether the task may run twice. Ejected upstreams are probed with
  // idempotent tasks, and with others only if there has been none for
  // `kNonIdempotentProbeDelay`.
  bool is_idempotent = false;
};

// Slots, reported load and health of the upstreams of one failure domain.
//
// An upstream that was listed as leaving, or refused a start as leaving, gets
// no new task until it is listed with a greater generation.
class UpstreamPool {
 public:
  // `entry` is the name of this entry, which determines the slots that are
  // assigned to it. `seed` seeds the random choices.
  UpstreamPool(const PlacementOptions& options,
               std::uint64_t seed,
               std::string entry = "");

  // Replaces the upstreams by those of `failure_domain` in `list`. `entries` is
  // the number of entries that share them; the limit on connections per
  // upstream is divided by it.
  void ApplyList(const InstanceList& list,
                 const std::string& failure_domain,
                 std::uint32_t entries,
                 TimePoint now);

  // Chooses an upstream for a task and counts the task as in flight there.
  //
  // Returns nothing if no upstream has capacity now.
  std::optional<UpstreamNumber> Choose(const PlacementRequest& request,
                                       TimePoint now);

  // Records the outcome of an attempt that was started at `started`.
  // `reported_load` is the number of tasks at the upstream if it reported it.
  void OnAttemptEnded(UpstreamNumber upstream,
                      HealthSignal signal,
                      std::optional<std::uint32_t> reported_load,
                      TimePoint started,
                      TimePoint now);

  // True if any upstream of the service, including full and ejected ones,
  // offers the resources.
  bool IsOffered(ServiceNumber service, const ResourceSpec& needs) const;

  // Number of slots of the service's upstreams that are live and not ejected,
  // divided by the number of entries that share them.
  double UsableSlots(ServiceNumber service) const;

  // Earliest time at which `Choose` may succeed after a failure without the end
  // of an attempt, for example because a back-off ends or a load report decays.
  std::optional<TimePoint> NextChange(TimePoint now) const;

  const std::string& name(UpstreamNumber upstream) const;
  const Address& address(UpstreamNumber upstream) const;
  // In-flight attempts of this entry at `upstream`.
  std::uint32_t in_flight(UpstreamNumber upstream) const;
  std::uint32_t in_flight_limit(UpstreamNumber upstream) const;
  bool is_leaving(UpstreamNumber upstream) const;
  bool is_ejected(UpstreamNumber upstream) const;
  // Upper bound of all upstream numbers; includes removed upstreams.
  std::uint32_t size() const;

  // Number of the service named `service`. `InternService` assigns one if
  // needed.
  ServiceNumber InternService(const std::string& service);
  std::optional<ServiceNumber> FindService(const std::string& service) const;

 private:
  // Live upstreams of one service.
  struct ServiceState {
    std::vector<UpstreamNumber> members;
    std::uint32_t ejected = 0;
    // Mean run time over recent requests; the unit of time for report decay.
    Duration run_time{0};
    // Time of the last request to place an idempotent task.
    TimePoint last_idempotent;
    // Mean number of tasks of other entries per slot over recent reports.
    double other_tasks_per_slot = 0;
    // Number of tasks that waited to be placed at the last request.
    std::size_t waiting = 1;
  };

  // An attempt that failed or was abandoned before its expected end. It counts
  // as in flight until then, so that fast failures do not look like free slots
  // and because an abandoned task may still be running.
  struct Penalty {
    TimePoint until;
    UpstreamNumber upstream = 0;

    friend bool operator>(const Penalty& a, const Penalty& b) {
      return a.until > b.until;
    }
  };
  using PenaltyHeap =
      std::priority_queue<Penalty, std::vector<Penalty>, std::greater<Penalty>>;

  // Instance list, in upstream_list.cc.
  UpstreamNumber AllocateNumber();
  void AddOrUpdate(const Instance& instance);
  void RemoveUpstream(UpstreamNumber number);
  void MarkLeaving(UpstreamNumber number);
  void RebuildMembers();
  void AssignOwnSlots(const InstanceList& list,
                      const std::string& failure_domain);
  void RemoveMember(UpstreamNumber number);
  void ReadmitExcess(ServiceState& service, TimePoint now);
  void FreeNumberIfUnused(UpstreamNumber number);
  std::uint32_t FullLimit(const UpstreamLoad& load) const;

  // Load.
  void ExpirePenalties(TimePoint now);
  void AddPenalty(UpstreamNumber number, TimePoint started, TimePoint now);
  double EstimateOtherTasks(const UpstreamLoad& load,
                            const ServiceState& service,
                            TimePoint now) const;
  double ReportDecayTime(const ServiceState& service) const;
  bool IsStale(const UpstreamLoad& load,
               const ServiceState& service,
               TimePoint now) const;
  void RecordReport(UpstreamNumber number,
                    std::uint32_t reported,
                    TimePoint now);
  void CollectCandidate(UpstreamNumber number,
                        const ServiceState& service,
                        TimePoint now);
  UpstreamNumber Reserve(UpstreamNumber number, TimePoint now);
  std::optional<TimePoint> NextChangeOf(const UpstreamLoad& load,
                                        const UpstreamHealth& health,
                                        const ServiceState& service,
                                        TimePoint now) const;

  // Health, in upstream_health.cc.
  bool MayProbe(const PlacementRequest& request,
                ServiceState& service,
                TimePoint now) const;
  bool IsProbeDue(UpstreamNumber number) const;
  void UpdateSlowStart(UpstreamNumber number, TimePoint now);
  void OnSuccess(UpstreamNumber number, bool is_probe, TimePoint now);
  void OnFailure(UpstreamNumber number, bool is_probe, TimePoint now);
  void OnBusy(UpstreamNumber number, TimePoint now);
  bool ShouldEject(const UpstreamHealth& health) const;
  bool MayEject(const ServiceState& service) const;
  void Eject(UpstreamNumber number, TimePoint now);
  void StartSlowStart(UpstreamNumber number, TimePoint now);

  PlacementOptions options_;
  std::string entry_;
  std::minstd_rand engine_;
  std::uint32_t entries_ = 1;
  // Index: upstream number. Split into three tables so that a choice reads only
  // the compact `UpstreamLoad`.
  std::vector<UpstreamLoad> loads_;
  std::vector<UpstreamHealth> healths_;
  std::vector<UpstreamIdentity> identities_;
  std::vector<UpstreamNumber> free_numbers_;
  std::map<std::string, UpstreamNumber> by_name_;
  // Newest generation known to be leaving, by name; includes removed upstreams.
  std::map<std::string, std::uint64_t> leaving_generations_;
  // The same names, those known for longest first.
  std::deque<std::string> leaving_names_;
  Interner service_names_;
  std::vector<ServiceState> services_;
  PenaltyHeap penalties_;
  std::vector<PlacementCandidate> candidates_;
  std::uint32_t last_chosen_ = 0;
};

}  // namespace jaypick::internal

#endif  // JAYPICK_INTERNAL_UPSTREAM_POOL_H_
