#include "schedule/crash_history.h"

#include <algorithm>

namespace jaypick::schedule {

CrashHistory::CrashHistory(CrashHistoryOptions options) : options_(options) {}

void CrashHistory::Record(TimePoint now,
                          const TaskId& task,
                          const UpstreamIncarnation& upstream,
                          LossCause cause) {
  Add({task, upstream}, cause, now);
  ForgetOld(now);
}

void CrashHistory::OnResponse(const UpstreamIncarnation& upstream) {
  std::vector<std::pair<Key, LossCause>> changed;
  const auto first = tasks_by_upstream_.lower_bound({.id = upstream.id});
  for (auto it = first; it != tasks_by_upstream_.end() && it->first <= upstream;
       ++it) {
    const bool has_recovered = it->first == upstream;
    for (const TaskId& task : it->second) {
      const Key key{task, it->first};
      if (has_recovered) {
        changed.emplace_back(key, LossCause::kRecovered);
      } else if (losses_.at(key).cause == LossCause::kLikelyCrashed) {
        changed.emplace_back(key, LossCause::kCrashed);
      }
    }
  }
  for (const auto& [key, cause] : changed) {
    Add(key, cause, losses_.at(key).lost_at);
  }
}

LossCount CrashHistory::LossesOf(const TaskId& task) const {
  LossCount count;
  for (auto it = losses_.lower_bound({task, {}});
       it != losses_.end() && it->first.first == task; ++it) {
    count.silent += it->second.cause == LossCause::kSilent ? 1 : 0;
    count.likely_crashed +=
        it->second.cause == LossCause::kLikelyCrashed ? 1 : 0;
    count.crashed += it->second.cause == LossCause::kCrashed ? 1 : 0;
  }
  return count;
}

std::vector<TaskId> CrashHistory::SuspectsOf(const std::string& job) const {
  std::vector<TaskId> suspects;
  for (auto it = losses_.lower_bound({{.job = job}, {}});
       it != losses_.end() && it->first.first.job == job; ++it) {
    const bool is_new = suspects.empty() || suspects.back() != it->first.first;
    if (is_new && it->second.cause != LossCause::kRecovered) {
      suspects.push_back(it->first.first);
    }
  }
  return suspects;
}

std::pair<std::vector<UpstreamLoss>, std::uint64_t> CrashHistory::Since(
    TimePoint now,
    std::uint64_t sequence,
    std::size_t limit) const {
  std::vector<UpstreamLoss> losses;
  for (auto it = by_sequence_.upper_bound(sequence);
       it != by_sequence_.end() && losses.size() < limit; ++it) {
    const Entry& entry = losses_.at(it->second);
    losses.push_back({.task = it->second.first,
                      .upstream = it->second.second,
                      .cause = entry.cause,
                      .age = now - entry.lost_at});
    sequence = it->first;
  }
  return {std::move(losses), sequence};
}

void CrashHistory::Merge(TimePoint now,
                         const std::vector<UpstreamLoss>& losses) {
  for (const UpstreamLoss& loss : losses) {
    Add({loss.task, loss.upstream}, loss.cause,
        now - std::max(loss.age, Duration(0)));
  }
  ForgetOld(now);
}

void CrashHistory::Add(const Key& key, LossCause cause, TimePoint lost_at) {
  const auto [it, is_new] =
      losses_.try_emplace(key, Entry{.cause = cause, .lost_at = lost_at});
  Entry& entry = it->second;
  if (!is_new && cause <= entry.cause) {
    return;
  }
  if (is_new) {
    tasks_by_upstream_[key.second].insert(key.first);
    by_age_.emplace(lost_at, key);
  } else {
    entry.cause = cause;
    by_sequence_.erase(entry.sequence);
  }
  entry.sequence = ++last_sequence_;
  by_sequence_.emplace(entry.sequence, key);
}

void CrashHistory::Forget(const Key& key) {
  const auto it = losses_.find(key);
  by_sequence_.erase(it->second.sequence);
  by_age_.erase({it->second.lost_at, key});
  const auto tasks = tasks_by_upstream_.find(key.second);
  tasks->second.erase(key.first);
  if (tasks->second.empty()) {
    tasks_by_upstream_.erase(tasks);
  }
  losses_.erase(it);
}

void CrashHistory::ForgetOld(TimePoint now) {
  while (!by_age_.empty() &&
         (losses_.size() > options_.max_losses ||
          now - by_age_.begin()->first > options_.retention)) {
    const Key key = by_age_.begin()->second;
    Forget(key);
  }
}

}  // namespace jaypick::schedule
