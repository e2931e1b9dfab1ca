#include "jaypick/internal/job_table.h"

#include <algorithm>
#include <utility>

namespace jaypick::internal {
namespace {

// A job whose attempts are still out is looked at again after this time.
constexpr Duration kRunningRecheck = std::chrono::seconds(1);

// Memory of an ended job. Most jobs are small, so their own records count for
// more than their results.
std::size_t KeptBytes(const Job& job) {
  std::size_t bytes = sizeof(Job) + job.owner_name.size() +
                      job.tasks.size() * (sizeof(Task) + sizeof(std::string));
  for (const std::string& result : job.results) {
    bytes += result.size();
  }
  return bytes;
}

// Payloads are not needed any more once a job has ended: resubmissions are
// compared by digest.
void DropPayloads(Job& job) {
  std::vector<std::string>().swap(job.payloads);
}

}  // namespace

JobTable::JobTable(JobTableOptions options) : options_(options) {}

void JobTable::Add(JobPointer job) {
  ++active_;
  owners_[job->owner].active_bytes += job->bytes;
  const std::uint64_t counter = job->counter;
  jobs_.emplace(counter, std::move(job));
}

Job* JobTable::Find(std::uint64_t counter) const {
  const auto it = jobs_.find(counter);
  return it == jobs_.end() ? nullptr : it->second.get();
}

void JobTable::OnEnded(Job& job, TimePoint now) {
  --active_;
  DropPayloads(job);
  Owner& owner = owners_[job.owner];
  owner.active_bytes -= job.bytes;
  job.bytes = KeptBytes(job);
  owner.kept_bytes += job.bytes;
  owner.kept.push_back({.counter = job.counter,
                        .until = now + options_.answer_retention,
                        .bytes = job.bytes});
  kept_bytes_ += job.bytes;
  ++kept_;
}

void JobTable::Expire(TimePoint now) {
  for (auto& [number, owner] : owners_) {
    ExpireOwner(owner, now);
  }
  // Each kept job is looked at once at most, since one with a running attempt
  // goes back to the end.
  for (std::size_t left = kept_;
       left > 0 && kept_bytes_ > options_.answer_bytes_limit; --left) {
    const auto most = std::ranges::max_element(
        owners_, {}, [](const auto& entry) { return entry.second.kept_bytes; });
    ForgetOldest(most->second, now);
  }
}

std::optional<TimePoint> JobTable::next_expiry() const {
  std::optional<TimePoint> earliest;
  for (const auto& [number, owner] : owners_) {
    if (owner.kept.empty()) {
      continue;
    }
    const TimePoint until = owner.kept.front().until;
    earliest = earliest ? std::min(*earliest, until) : until;
  }
  return earliest;
}

std::size_t JobTable::active_bytes(OwnerNumber owner) const {
  const auto it = owners_.find(owner);
  return it == owners_.end() ? 0 : it->second.active_bytes;
}

void JobTable::ExpireOwner(Owner& owner, TimePoint now) {
  for (std::size_t left = owner.kept.size();
       left > 0 && owner.kept.front().until <= now; --left) {
    ForgetOldest(owner, now);
  }
}

void JobTable::ForgetOldest(Owner& owner, TimePoint now) {
  Kept kept = owner.kept.front();
  owner.kept.pop_front();
  const auto it = jobs_.find(kept.counter);
  if (it->second->running > 0) {
    kept.until = now + kRunningRecheck;
    owner.kept.push_back(kept);
    return;
  }
  owner.kept_bytes -= kept.bytes;
  kept_bytes_ -= kept.bytes;
  --kept_;
  jobs_.erase(it);
}

}  // namespace jaypick::internal
