#include "schedule/served_fraction_tracker.h"

#include <cmath>

namespace jaypick::schedule {
namespace {

// Time in which a refusal loses two thirds of its weight: a few times as long
// as the queue of a burst, so that a class is compensated for refusals within
// seconds.
constexpr double kDecaySeconds = 5;
// Jobs with more than this many times the mean work of their kind are large.
constexpr double kLargeFactor = 1.5;
// Decay per job of the mean work of a kind.
constexpr double kSizeDecay = 1.0 - 1.0 / 400;
// Served jobs assumed for each class in advance, so that one refusal does not
// mark a class as starved.
constexpr double kPriorJobs = 3;

}  // namespace

ServedFractionTracker::JobClass ServedFractionTracker::ClassOf(
    const std::string& kind,
    double work) const {
  return {.kind = kind, .is_large = work > kLargeFactor * MeanWork(kind, work)};
}

double ServedFractionTracker::MeanWork(const std::string& kind,
                                       double work) const {
  const auto it = sizes_.find(kind);
  return it == sizes_.end() ? work : it->second.work / it->second.jobs;
}

ServedFractionTracker::Count& ServedFractionTracker::Decayed(
    const JobClass& job_class,
    TimePoint now) {
  Count& count = counts_[job_class];
  const std::chrono::duration<double> elapsed = now - count.updated;
  const double decay = std::exp(-elapsed.count() / kDecaySeconds);
  count.offered *= decay;
  count.refused *= decay;
  count.updated = now;
  return count;
}

void ServedFractionTracker::OnOffered(const JobClass& job_class,
                                      double work,
                                      TimePoint now) {
  Decayed(job_class, now).offered += 1;
  Size& size = sizes_[job_class.kind];
  size.jobs = size.jobs * kSizeDecay + 1;
  size.work = size.work * kSizeDecay + work;
}

void ServedFractionTracker::OnRefused(const JobClass& job_class,
                                      TimePoint now) {
  Decayed(job_class, now).refused += 1;
}

double ServedFractionTracker::ServedFraction(const JobClass& job_class) const {
  const auto it = counts_.find(job_class);
  if (it == counts_.end()) {
    return 1;
  }
  const Count& count = it->second;
  return 1 - count.refused / (count.offered + kPriorJobs);
}

}  // namespace jaypick::schedule
