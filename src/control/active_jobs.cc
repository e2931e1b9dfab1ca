#include "control/active_jobs.h"

#include <utility>

namespace jaypick::control {

void ActiveJobs::Add(TimePoint now,
                     const std::string& job,
                     Leadership leadership) {
  std::erase_if(entries_,
                [now](const auto& entry) { return entry.second.until <= now; });
  entries_[job] = {.leadership = std::move(leadership),
                   .until = now + longest_run_};
}

void ActiveJobs::Restore(const std::string& job, Entry entry) {
  entries_[job] = std::move(entry);
}

bool ActiveJobs::Contains(TimePoint now, const std::string& job) const {
  const auto it = entries_.find(job);
  return it != entries_.end() && it->second.until > now;
}

std::optional<ActiveJobs::Entry> ActiveJobs::Take(TimePoint now,
                                                  const std::string& job) {
  const auto it = entries_.find(job);
  if (it == entries_.end()) {
    return std::nullopt;
  }
  Entry entry = std::move(it->second);
  entries_.erase(it);
  return entry.until > now ? std::optional(std::move(entry)) : std::nullopt;
}

}  // namespace jaypick::control
