#include "jaypick/internal/job_table.h"

#include <utility>

namespace jaypick::internal {
namespace {

// A job whose attempts are still out is looked at again after this time.
constexpr Duration kRunningRecheck = std::chrono::seconds(1);

std::size_t ResultBytes(const Job& job) {
  std::size_t bytes = 0;
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
  owner_bytes_[job->owner] += job->bytes;
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
  std::size_t& held = owner_bytes_[job.owner];
  held -= job.bytes;
  job.bytes = ResultBytes(job);
  held += job.bytes;
  kept_bytes_ += job.bytes;
  kept_.push_back({.counter = job.counter,
                   .until = now + options_.answer_retention,
                   .bytes = job.bytes});
}

void JobTable::Expire(TimePoint now) {
  // Each kept job is looked at once at most, since one with a running attempt
  // goes back to the end.
  for (std::size_t left = kept_.size(); left > 0; --left) {
    const bool is_over = kept_.front().until <= now;
    if (!is_over && kept_bytes_ <= options_.answer_bytes_limit) {
      return;
    }
    Kept kept = kept_.front();
    kept_.pop_front();
    if (!TryForget(kept)) {
      kept.until = now + kRunningRecheck;
      kept_.push_back(kept);
    }
  }
}

std::optional<TimePoint> JobTable::next_expiry() const {
  if (kept_.empty()) {
    return std::nullopt;
  }
  return kept_.front().until;
}

std::size_t JobTable::owner_bytes(OwnerNumber owner) const {
  const auto it = owner_bytes_.find(owner);
  return it == owner_bytes_.end() ? 0 : it->second;
}

bool JobTable::TryForget(const Kept& kept) {
  const auto it = jobs_.find(kept.counter);
  if (it->second->running > 0) {
    return false;
  }
  owner_bytes_[it->second->owner] -= kept.bytes;
  kept_bytes_ -= kept.bytes;
  jobs_.erase(it);
  return true;
}

}  // namespace jaypick::internal
