#include "schedule/served_fraction_tracker.h"

#include <cmath>

namespace jaypick::schedule {
namespace {

// Time in which a refusal loses two thirds of its weight: a few times the
// length of a burst's queue, so that a class is made up for within seconds.
constexpr double kMemorySeconds = 5;
// Jobs with more work than this many times their kind's mean are large.
constexpr double kLargeFactor = 1.5;
// Decay per job of the mean work of a kind.
constexpr double kSizeDecay = 1.0 - 1.0 / 400;
// Jobs assumed served before any was seen, so that one refusal does not mark a
// class as starved.
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

ServedFractionTracker::Count& ServedFractionTracker::Aged(
    const JobClass& job_class,
    TimePoint now) {
  Count& count = counts_[job_class];
  const std::chrono::duration<double> passed = now - count.at;
  const double part = std::exp(-passed.count() / kMemorySeconds);
  count.offered *= part;
  count.denied *= part;
  count.at = now;
  return count;
}

void ServedFractionTracker::OnOffered(const JobClass& job_class,
                                      double work,
                                      TimePoint now) {
  Aged(job_class, now).offered += 1;
  Size& size = sizes_[job_class.kind];
  size.jobs = size.jobs * kSizeDecay + 1;
  size.work = size.work * kSizeDecay + work;
}

void ServedFractionTracker::OnRefused(const JobClass& job_class,
                                      TimePoint now) {
  Aged(job_class, now).denied += 1;
}

double ServedFractionTracker::ServedFraction(const JobClass& job_class) const {
  const auto it = counts_.find(job_class);
  if (it == counts_.end()) {
    return 1;
  }
  const Count& count = it->second;
  return 1 - count.denied / (count.offered + kPriorJobs);
}

}  // namespace jaypick::schedule
