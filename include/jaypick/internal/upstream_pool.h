// Upstreams of one entry's failure domain: slots, load, health, choice.
#ifndef JAYPICK_INTERNAL_UPSTREAM_POOL_H_
#define JAYPICK_INTERNAL_UPSTREAM_POOL_H_

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "jaypick/instance.h"
#include "jaypick/internal/queued_task.h"
#include "jaypick/placement.h"
#include "jaypick/time.h"

namespace jaypick::internal {

// Index of an upstream in the pool; stays valid while attempts at it are out.
using UpstreamNumber = std::uint32_t;

// How an attempt ended, as far as health and load are concerned.
enum class AttemptEnd {
  kSucceeded,
  // Ran and failed, or lost.
  kFailed,
  // The upstream had no room.
  kBusy,
  // The upstream announced that it is leaving.
  kLeaving,
  // No connection could be opened.
  kNotSent,
};

// What a task asks of an upstream.
struct PlacementRequest {
  ServiceNumber service = 0;
  Needs needs;
  // Learned mean run time, the unit of expected waits.
  Duration run_time{0};
  // Whether the task may be used to probe an ejected upstream.
  bool is_idempotent = false;
};

// Slots, reported load and health of the upstreams of one failure domain.
//
// An upstream that was listed or answered as leaving gets no new start until it
// is listed with a greater generation.
class UpstreamPool {
 public:
  UpstreamPool(PlacementOptions options, std::uint64_t seed);

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
                      AttemptEnd end,
                      std::optional<std::uint32_t> reported_load,
                      TimePoint started,
                      TimePoint now);

  // True if an upstream, also a full or ejected one, could ever run the task.
  bool IsOffered(ServiceNumber service, const Needs& needs) const;

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
  std::uint32_t size() const;

  // The number of `service`; services are known by name in instance lists.
  ServiceNumber InternService(const std::string& service);
  std::optional<ServiceNumber> FindService(const std::string& service) const;
};

}  // namespace jaypick::internal

#endif  // JAYPICK_INTERNAL_UPSTREAM_POOL_H_
