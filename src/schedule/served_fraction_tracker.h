// How much of what was asked for each class of job has been served lately.
#ifndef JAYPICK_SCHEDULE_SERVED_FRACTION_TRACKER_H_
#define JAYPICK_SCHEDULE_SERVED_FRACTION_TRACKER_H_

#include <map>
#include <string>

#include "jaypick/time.h"

namespace jaypick::schedule {

// Under overload some jobs must be refused. The ledger says whose turn it is:
// kinds and sizes that were served well lately bear the next refusal, so that
// no kind and no size is starved.
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

  // A job came in.
  void OnOffered(const JobClass& job_class, double work, TimePoint now);

  // A job that came in was refused or given up.
  void OnRefused(const JobClass& job_class, TimePoint now);

  // Part of the recent jobs of the class that were not denied, 0 to 1.
  double ServedFraction(const JobClass& job_class) const;

 private:
  struct Count {
    double offered = 0;
    double denied = 0;
    TimePoint at;
  };
  struct Size {
    double jobs = 0;
    double work = 0;
  };

  Count& Aged(const JobClass& job_class, TimePoint now);

  std::map<JobClass, Count> counts_;
  std::map<std::string, Size, std::less<>> sizes_;
};

}  // namespace jaypick::schedule

#endif  // JAYPICK_SCHEDULE_SERVED_FRACTION_TRACKER_H_
