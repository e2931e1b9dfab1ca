// Jobs that were given up by an instance and may still run in a domain.
#ifndef JAYPICK_CONTROL_ACTIVE_JOBS_H_
#define JAYPICK_CONTROL_ACTIVE_JOBS_H_

#include <compare>
#include <map>
#include <optional>
#include <string>

#include "jaypick/instance.h"
#include "jaypick/time.h"

namespace jaypick::control {

// One leadership of a domain.
struct Leadership {
  std::string failure_domain;
  // The process that leads the domain, and where it listens for its peers.
  std::string incarnation;
  Address address;

  friend auto operator<=>(const Leadership&, const Leadership&) = default;
};

// Remembers which leadership got a job, after the instance has stopped waiting
// for the job's outcome.
//
// Its runs are being stopped by then, but some may be active until their leases
// expire. Only the leadership that started them knows, so until then a
// resubmission must not go to any other.
class ActiveJobs {
 public:
  // `longest_run` is the time after which no run of a job that was given up is
  // active, see `kLongestUnattendedRun`.
  explicit ActiveJobs(Duration longest_run) : longest_run_(longest_run) {}

  struct Entry {
    Leadership leadership;
    // From then on, any leadership may run the job.
    TimePoint until;
  };

  void Add(TimePoint now, const std::string& job, Leadership leadership);
  // Adds an entry that `Take` has returned again.
  void Restore(const std::string& job, Entry entry);
  bool Contains(TimePoint now, const std::string& job) const;
  // Returns the entry of the job, unless its time has passed, and forgets it.
  std::optional<Entry> Take(TimePoint now, const std::string& job);

  std::size_t size() const { return entries_.size(); }

 private:
  Duration longest_run_;
  std::map<std::string, Entry, std::less<>> entries_;
};

}  // namespace jaypick::control

#endif  // JAYPICK_CONTROL_ACTIVE_JOBS_H_
