#include "control/job_registry.h"

#include <utility>

namespace jaypick::control {
namespace {

// Interval at which expired registrations are removed.
constexpr Duration kRemovalInterval = std::chrono::milliseconds(500);

}  // namespace

std::optional<RegisteredJob> JobRegistry::Register(TimePoint now,
                                                   RegisteredJob job) {
  RemoveExpired(now);
  const auto known = jobs_.find(job.job);
  if (known != jobs_.end() && known->second.until > now) {
    const bool is_replaced = known->second.owner == job.owner &&
                             known->second.leadership == job.leadership;
    if (!is_replaced) {
      known->second.is_located = true;
      return known->second;
    }
    job.is_located = known->second.is_located;
  }
  const std::string id = job.job;
  jobs_[id] = std::move(job);
  return std::nullopt;
}

void JobRegistry::Import(TimePoint now, RegisteredJob job) {
  if (job.until <= now) {
    return;
  }
  RegisteredJob& known = jobs_[job.job];
  const bool is_better = std::make_pair(!job.owner.empty(), job.until) >=
                         std::make_pair(!known.owner.empty(), known.until);
  if (known.until <= now || is_better) {
    known = std::move(job);
  }
}

std::optional<RegisteredJob> JobRegistry::Locate(TimePoint now,
                                                 const std::string& job) {
  const auto known = jobs_.find(job);
  if (known == jobs_.end() || known->second.until <= now) {
    return std::nullopt;
  }
  known->second.is_located = true;
  return known->second;
}

void JobRegistry::Withdraw(const std::string& job,
                           const std::string& owner,
                           const std::string& incarnation) {
  const auto known = jobs_.find(job);
  if (known == jobs_.end() ||
      known->second.leadership.incarnation != incarnation) {
    return;
  }
  const RegisteredJob& entry = known->second;
  const bool is_of_earlier_leader =
      entry.owner.empty() && entry.leadership.failure_domain == failure_domain_;
  if (is_of_earlier_leader || (entry.owner == owner && !entry.is_located)) {
    jobs_.erase(known);
  }
}

std::vector<RegisteredJob> JobRegistry::Jobs(TimePoint now) const {
  std::vector<RegisteredJob> jobs;
  for (const auto& [id, job] : jobs_) {
    if (job.until > now) {
      jobs.push_back(job);
    }
  }
  return jobs;
}

void JobRegistry::RemoveExpired(TimePoint now) {
  if (now < next_removal_) {
    return;
  }
  next_removal_ = now + kRemovalInterval;
  std::erase_if(jobs_,
                [now](const auto& entry) { return entry.second.until <= now; });
}

}  // namespace jaypick::control
