// Remembers which tasks were running on upstreams that were lost.
#ifndef JAYPICK_SCHEDULE_CRASH_HISTORY_H_
#define JAYPICK_SCHEDULE_CRASH_HISTORY_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "jaypick/time.h"
#include "schedule/messages.h"

namespace jaypick::schedule {

// One life of an upstream's process.
struct UpstreamIncarnation {
  std::string id;
  // Milliseconds since the Unix epoch.
  std::int64_t started_unix_ms = 0;

  friend auto operator<=>(const UpstreamIncarnation&,
                          const UpstreamIncarnation&) = default;
};

// Why a run was lost, as far as is known. A later value replaces an earlier
// one.
enum class LossCause : std::uint8_t {
  // Nothing shows that the upstream's process ended during the run.
  kSilent,
  // The upstream's process has probably ended during the run. It has if a later
  // incarnation responds.
  kLikelyCrashed,
  // The upstream's process has ended during the run.
  kCrashed,
  // The upstream responded again, so the task did not crash it.
  kRecovered,
};

// The loss of an upstream on which a task was running.
struct UpstreamLoss {
  TaskId task;
  UpstreamIncarnation upstream;
  LossCause cause = LossCause::kSilent;
  // Time since the run was found lost.
  Duration age{0};

  friend bool operator==(const UpstreamLoss&, const UpstreamLoss&) = default;
};

// Number of upstreams that were lost under one task and have not recovered.
struct LossCount {
  std::uint32_t silent = 0;
  std::uint32_t likely_crashed = 0;
  std::uint32_t crashed = 0;

  friend auto operator<=>(const LossCount&, const LossCount&) = default;
};

struct CrashHistoryOptions {
  // Losses are forgotten after this time. Callers submit a job again within
  // seconds.
  Duration retention = std::chrono::seconds(60);
  // Beyond this number, the oldest losses are forgotten.
  std::size_t max_losses = 4096;
};

// Losses of upstreams by task. The history is independent of the jobs: it
// still counts against a task whose job is submitted again, to this leader or,
// once instances have exchanged their losses, to another.
class CrashHistory
    : public boost::intrusive_ref_counter<CrashHistory,
                                          boost::thread_unsafe_counter> {
 public:
  explicit CrashHistory(CrashHistoryOptions options = {});

  void Record(TimePoint now,
              const TaskId& task,
              const UpstreamIncarnation& upstream,
              LossCause cause);

  // An upstream has responded. Losses of this incarnation were no crashes. Of
  // the losses of earlier ones, those that looked like crashes were: a cut ends
  // with a response of the same incarnation.
  void OnResponse(const UpstreamIncarnation& upstream);

  LossCount LossesOf(const TaskId& task) const;
  // Tasks of the job that may have crashed an upstream.
  std::vector<TaskId> SuspectsOf(const std::string& job) const;

  // Up to `limit` losses that were added or changed after `sequence`, oldest
  // first, with the sequence number of the last one.
  std::pair<std::vector<UpstreamLoss>, std::uint64_t>
  Since(TimePoint now, std::uint64_t sequence, std::size_t limit) const;
  // Adds losses that another instance has seen.
  void Merge(TimePoint now, const std::vector<UpstreamLoss>& losses);

  std::size_t size() const { return losses_.size(); }

 private:
  using Key = std::pair<TaskId, UpstreamIncarnation>;
  struct Entry {
    LossCause cause = LossCause::kSilent;
    TimePoint lost_at;
    // Rises with each change of any entry.
    std::uint64_t sequence = 0;
  };

  void Add(const Key& key, LossCause cause, TimePoint lost_at);
  void Forget(const Key& key);
  void ForgetOld(TimePoint now);

  CrashHistoryOptions options_;
  std::map<Key, Entry> losses_;
  std::map<UpstreamIncarnation, std::set<TaskId>> tasks_by_upstream_;
  std::map<std::uint64_t, Key> by_sequence_;
  std::set<std::pair<TimePoint, Key>> by_age_;
  std::uint64_t last_sequence_ = 0;
};

using CrashHistoryPointer = boost::intrusive_ptr<CrashHistory>;

}  // namespace jaypick::schedule

#endif  // JAYPICK_SCHEDULE_CRASH_HISTORY_H_
