// How long a leader works on a job that another process has forwarded to it.
#ifndef JAYPICK_CONTROL_FORWARDING_LEASE_H_
#define JAYPICK_CONTROL_FORWARDING_LEASE_H_

#include <map>
#include <string>

#include "jaypick/time.h"

namespace jaypick::control {

// A leader drops a forwarded job this long after the last moment at which the
// process that forwarded it is known to have waited for it. If that process has
// ended, the job's caller may submit it again elsewhere.
inline constexpr Duration kForwardingLease = std::chrono::milliseconds(900);

// The forwarding leases that a node has granted.
//
// A lease belongs to one process: another process of the same instance, such as
// its successor after a restart, knows nothing of the job's caller. It is
// counted from when a message was sent, since a message may be held up for any
// time, and its sender may have ended meanwhile. All times are on the clock of
// the node that grants the leases.
class ForwardingLeases {
 public:
  // At `sent`, `process` waited for all the jobs that it had forwarded.
  void Extend(TimePoint now, const std::string& process, TimePoint sent);

  // Returns whether the lease of a job that `process` forwarded at `forwarded`
  // has expired.
  bool HasExpired(TimePoint now,
                  const std::string& process,
                  TimePoint forwarded) const;

  // Number of processes that hold leases.
  std::size_t size() const { return extended_.size(); }

 private:
  void RemoveExpired(TimePoint now);

  // When each process sent its last message.
  std::map<std::string, TimePoint, std::less<>> extended_;
  TimePoint next_removal_;
};

}  // namespace jaypick::control

#endif  // JAYPICK_CONTROL_FORWARDING_LEASE_H_
