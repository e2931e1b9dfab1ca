#include "jaypick/internal/job_table.h"

#include <algorithm>
#include <utility>

namespace jaypick::internal {
namespace {

// Time after which an expired job that still has running attempts is checked
// again.
constexpr Duration kRunningRecheckInterval = std::chrono::seconds(1);

// Approximate memory use of an ended job. The job's own records are included,
// because in the common case of a small job they exceed its results.
std::size_t KeptBytes(const Job& job) {
  std::size_t bytes = sizeof(Job) + job.owner_name.size() +
                      job.tasks.size() * (sizeof(Task) + sizeof(std::string));
  for (const std::string& result : job.results) {
    bytes += result.size();
  }
  return bytes;
}

// Frees the payloads of an ended job. They are not needed to detect
// resubmissions, which are compared by digest.
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
                        .expires_at = now + options_.answer_retention,
                        .bytes = job.bytes});
  kept_bytes_ += job.bytes;
  ++kept_;
}

void JobTable::Expire(TimePoint now) {
  for (auto& [number, owner] : owners_) {
    ExpireOwner(owner, now);
  }
  // The loop is bounded by the number of kept jobs, because a job with a
  // running attempt is not evicted but moved to the end of its owner's list.
  for (std::size_t remaining = kept_;
       remaining > 0 && kept_bytes_ > options_.answer_bytes_limit;
       --remaining) {
    const auto largest = std::ranges::max_element(
        owners_, {}, [](const auto& entry) { return entry.second.kept_bytes; });
    EvictOldest(largest->second, now);
  }
}

std::optional<TimePoint> JobTable::next_expiry() const {
  std::optional<TimePoint> earliest;
  for (const auto& [number, owner] : owners_) {
    if (owner.kept.empty()) {
      continue;
    }
    const TimePoint expires_at = owner.kept.front().expires_at;
    earliest = earliest ? std::min(*earliest, expires_at) : expires_at;
  }
  return earliest;
}

std::size_t JobTable::active_bytes(OwnerNumber owner) const {
  const auto it = owners_.find(owner);
  return it == owners_.end() ? 0 : it->second.active_bytes;
}

void JobTable::ExpireOwner(Owner& owner, TimePoint now) {
  for (std::size_t remaining = owner.kept.size();
       remaining > 0 && owner.kept.front().expires_at <= now; --remaining) {
    EvictOldest(owner, now);
  }
}

void JobTable::EvictOldest(Owner& owner, TimePoint now) {
  KeptAnswer kept = owner.kept.front();
  owner.kept.pop_front();
  const auto it = jobs_.find(kept.counter);
  if (it->second->running > 0) {
    kept.expires_at = now + kRunningRecheckInterval;
    owner.kept.push_back(kept);
    return;
  }
  owner.kept_bytes -= kept.bytes;
  kept_bytes_ -= kept.bytes;
  --kept_;
  jobs_.erase(it);
}

}  // namespace jaypick::internal
