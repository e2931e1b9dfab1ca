// Fraction of the recent jobs of each class that were served.
#ifndef JAYPICK_SCHEDULE_SERVED_FRACTION_TRACKER_H_
#define JAYPICK_SCHEDULE_SERVED_FRACTION_TRACKER_H_

#include <map>
#include <string>

#include "jaypick/time.h"

namespace jaypick::schedule {

// Tracks how well each class of jobs has been served recently. Under overload
// some jobs must be refused: classes that have been served well bear the next
// refusals, so that no kind and no size is starved.
class ServedFractionTracker {
 public:
  struct JobClass {
    std::string kind;
    // Large compared with other jobs of its kind.
    bool is_large = false;

    friend auto operator<=>(const JobClass&, const JobClass&) = default;
  };

  // The class of a job of `kind` with `work` core-seconds.
  JobClass ClassOf(const std::string& kind, double work) const;

  // Mean work of jobs of `kind`; `work` if none were seen.
  double MeanWork(const std::string& kind, double work) const;

  // A job has arrived.
  void OnOffered(const JobClass& job_class, double work, TimePoint now);

  // A job that has arrived was refused or has failed.
  void OnRefused(const JobClass& job_class, TimePoint now);

  // Fraction of the recent jobs of the class that were not refused, 0 to 1.
  double ServedFraction(const JobClass& job_class) const;

 private:
  struct Count {
    double offered = 0;
    double refused = 0;
    TimePoint updated;
  };
  struct Size {
    double jobs = 0;
    double work = 0;
  };

  Count& Decayed(const JobClass& job_class, TimePoint now);

  std::map<JobClass, Count> counts_;
  std::map<std::string, Size, std::less<>> sizes_;
};

}  // namespace jaypick::schedule

#endif  // JAYPICK_SCHEDULE_SERVED_FRACTION_TRACKER_H_
