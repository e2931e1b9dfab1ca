// Upstreams of one entry's failure domain: slots, load, health, choice.
#ifndef JAYPICK_INTERNAL_UPSTREAM_POOL_H_
#define JAYPICK_INTERNAL_UPSTREAM_POOL_H_

#include <cstdint>
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

// How an attempt ended, as far as health and load are concerned.
enum class HealthSignal {
  kSucceeded,
  // Ran and failed, or lost.
  kFailed,
  // The upstream had no room.
  kBusy,
  // The upstream announced that it is leaving.
  kLeaving,
  // No connection could be opened.
  kNotSent,
  // No longer awaited, as after a cancellation. It says nothing about health,
  // but the task may still run.
  kAbandoned,
};

// What a task asks of an upstream.
struct PlacementRequest {
  ServiceNumber service = 0;
  ResourceSpec needs;
  // Learned mean run time, the unit of expected waits.
  Duration run_time{0};
  // Tasks that wait for a place, this one included.
  std::size_t waiting = 1;
  // Whether the task may run twice. Ejected upstreams are probed by such tasks,
  // and by others only if the service has had none for a while.
  bool is_idempotent = false;
};

// Slots, reported load and health of the upstreams of one failure domain.
//
// An upstream that was listed or answered as leaving gets no new start until it
// is listed with a greater generation.
class UpstreamPool {
 public:
  // `entry` is the name of this entry; it says which part of the slots is its
  // own.
  UpstreamPool(const PlacementOptions& options,
               std::uint64_t seed,
               std::string entry = "");

  // Takes over the upstreams of `failure_domain` in `list`. `entries` is the
  // number of live entries that share them; it bounds connections.
  void ApplyList(const InstanceList& list,
                 const std::string& failure_domain,
                 std::uint32_t entries,
                 TimePoint now);

  // Chooses an upstream for a task and reserves a slot of it.
  //
  // Returns nothing if no upstream has room now.
  std::optional<UpstreamNumber> Choose(const PlacementRequest& request,
                                       TimePoint now);

  // Records the end of an attempt that started at `started`.
  void OnAttemptEnded(UpstreamNumber upstream,
                      HealthSignal end,
                      std::optional<std::uint32_t> reported_load,
                      TimePoint started,
                      TimePoint now);

  // True if an upstream, also a full or ejected one, could ever run the task.
  bool IsOffered(ServiceNumber service, const ResourceSpec& needs) const;

  // Slots of the service's upstreams that are live and not ejected, weighted by
  // this entry's part of them.
  double UsableSlots(ServiceNumber service) const;

  // Earliest time at which a choice that failed may succeed without an attempt
  // ending first (an ejection that ends, a reported load that ages).
  std::optional<TimePoint> NextChange(TimePoint now) const;

  const std::string& name(UpstreamNumber upstream) const;
  const Address& address(UpstreamNumber upstream) const;
  // In-flight attempts of this entry at `upstream`.
  std::uint32_t in_flight(UpstreamNumber upstream) const;
  std::uint32_t in_flight_limit(UpstreamNumber upstream) const;
  bool is_leaving(UpstreamNumber upstream) const;
  bool is_ejected(UpstreamNumber upstream) const;
  // All numbers are below this; it includes upstreams that have gone.
  std::uint32_t size() const;

  // The number of `service`; services are known by name in instance lists.
  ServiceNumber InternService(const std::string& service);
  std::optional<ServiceNumber> FindService(const std::string& service) const;

 private:
  // Live upstreams of one service.
  struct ServiceState {
    std::vector<UpstreamNumber> members;
    std::uint32_t ejected = 0;
    // Learned mean run time of recent requests, the unit of ageing.
    Duration run_time{0};
    TimePoint last_idempotent;
    // Mean of the reported tasks of other entries, per slot.
    double others_per_slot = 0;
    // Tasks that waited at the last choice.
    std::size_t waiting = 1;
  };

  // A failed attempt that counts as in-flight until `until`.
  struct Penalty {
    TimePoint until;
    UpstreamNumber upstream = 0;

    friend bool operator>(const Penalty& a, const Penalty& b) {
      return a.until > b.until;
    }
  };
  using PenaltyHeap =
      std::priority_queue<Penalty, std::vector<Penalty>, std::greater<Penalty>>;

  // List handling, in upstream_list.cc.
  UpstreamNumber TakeNumber();
  void Adopt(const Instance& instance);
  void Retire(UpstreamNumber number);
  void MarkLeaving(UpstreamNumber number);
  void RebuildMembers();
  void AssignOwnSlots(const InstanceList& list,
                      const std::string& failure_domain);
  void RemoveMember(UpstreamNumber number);
  void ReadmitExcess(ServiceState& service, TimePoint now);
  void FreeIfUnused(UpstreamNumber number);
  std::uint32_t FullLimit(const UpstreamLoad& load) const;

  // Load.
  void ExpirePenalties(TimePoint now);
  void AddPenalty(UpstreamNumber number, TimePoint started, TimePoint now);
  double OthersNow(const UpstreamLoad& load,
                   const ServiceState& service,
                   TimePoint now) const;
  double AgeingTime(const ServiceState& service) const;
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
  // Three tables by upstream number: what each choice reads, and the rest.
  std::vector<UpstreamLoad> loads_;
  std::vector<UpstreamHealth> healths_;
  std::vector<UpstreamIdentity> identities_;
  std::vector<UpstreamNumber> free_;
  std::map<std::string, UpstreamNumber> by_name_;
  // Newest generation seen leaving, also of upstreams that are gone.
  std::map<std::string, std::uint64_t> left_generations_;
  Interner service_names_;
  std::vector<ServiceState> services_;
  PenaltyHeap penalties_;
  std::vector<PlacementCandidate> candidates_;
  std::uint32_t round_robin_ = 0;
};

}  // namespace jaypick::internal

#endif  // JAYPICK_INTERNAL_UPSTREAM_POOL_H_
