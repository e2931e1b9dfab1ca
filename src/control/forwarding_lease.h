// How long a leader works on a job that another process has forwarded to it.
#ifndef JAYPICK_CONTROL_FORWARDING_LEASE_H_
#define JAYPICK_CONTROL_FORWARDING_LEASE_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "control/withdrawals.h"
#include "jaypick/time.h"

namespace jaypick::control {

// A leader drops a forwarded job this long after the last moment at which the
// process that forwarded it is known to have waited for it. If that process has
// ended, the job's caller may submit it again elsewhere.
inline constexpr Duration kForwardingLease = std::chrono::milliseconds(900);
// Interval of the check for expired leases.
inline constexpr Duration kForwardingLeaseCheck = std::chrono::milliseconds(50);

// The forwarding leases that a node has granted.
//
// A lease belongs to one process: another process of the same instance, such as
// its successor after a restart, knows nothing of the job's caller. It is
// counted from when a message was sent, since a message may be held up for any
// time, and its sender may have ended meanwhile. All times are on the clock of
// the node that grants the leases.
class ForwardingLeases {
 public:
  // `process` no longer waits for the jobs of these requests.
  void Withdraw(TimePoint now,
                const std::string& process,
                const std::vector<ForwardNumber>& numbers);

  // At `sent`, `process` waited for all the jobs that it had forwarded, except
  // those that it has withdrawn.
  void Extend(TimePoint now, const std::string& process, TimePoint sent);

  // Returns whether `process` has withdrawn the request. A request that is
  // received within a lease after it was sent may arrive after its withdrawal.
  bool IsWithdrawn(const std::string& process, ForwardNumber number) const;

  // Returns when `process` was last known to wait for a job that it forwarded
  // at `forwarded` and has not withdrawn.
  TimePoint AttendedAt(const std::string& process, TimePoint forwarded) const;

  // Returns whether the lease of a job that `process` forwarded at `forwarded`
  // has expired.
  bool HasExpired(TimePoint now,
                  const std::string& process,
                  TimePoint forwarded) const;

  // Number of processes that hold leases.
  std::size_t size() const { return processes_.size(); }

 private:
  struct Process {
    // When it sent its last ping.
    TimePoint extended;
    // When this node last heard of each withdrawal.
    std::map<ForwardNumber, TimePoint> withdrawn;
  };

  void RemoveExpired(TimePoint now);

  std::map<std::string, Process, std::less<>> processes_;
  TimePoint next_removal_;
};

}  // namespace jaypick::control

#endif  // JAYPICK_CONTROL_FORWARDING_LEASE_H_
