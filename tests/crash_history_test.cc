// Which losses of upstreams count against a task, and for how long.
#include "schedule/crash_history.h"

#include <criterion/criterion.h>

#include <string>

namespace jaypick::schedule {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow{seconds(1000)};

TaskId Task(const std::string& job, std::uint32_t index = 0) {
  return {.job = job, .index = index};
}

UpstreamIncarnation Upstream(const std::string& id, std::int64_t started = 1) {
  return {.id = id, .started_unix_ms = started};
}

}  // namespace

// Guards against a sound task that is given up although the upstream that fell
// silent under it was only cut off.
Test(crash_history, upstream_that_responds_again_did_not_crash) {
  CrashHistory history;
  for (const LossCause cause :
       {LossCause::kSilent, LossCause::kLikelyCrashed, LossCause::kCrashed}) {
    history.Record(kNow, Task("a"), Upstream("u1"), cause);
    history.Record(kNow, Task("a", 1), Upstream("u2"), cause);
    history.OnResponse(Upstream("u1"));
    cr_assert(history.LossesOf(Task("a")) == LossCount{});
  }
  cr_assert(history.SuspectsOf("a") == std::vector<TaskId>{Task("a", 1)});
}

// Guards against a crash that passes for a cut because the upstream was only
// seen to refuse connections.
Test(crash_history, new_incarnation_confirms_a_likely_crash) {
  CrashHistory history;
  history.Record(kNow, Task("a"), Upstream("u1", 5), LossCause::kLikelyCrashed);
  history.OnResponse(Upstream("u10", 9));
  cr_assert((history.LossesOf(Task("a")) == LossCount{.likely_crashed = 1}));
  history.OnResponse(Upstream("u1", 9));
  cr_assert((history.LossesOf(Task("a")) == LossCount{.crashed = 1}));
}

// Guards against a sound task that is charged with a crash because its upstream
// restarted after a cut, when the run's lease had long expired.
Test(crash_history, new_incarnation_of_a_silent_upstream_shows_no_crash) {
  CrashHistory history;
  history.Record(kNow, Task("a"), Upstream("u1", 5), LossCause::kSilent);
  history.OnResponse(Upstream("u1", 9));
  cr_assert((history.LossesOf(Task("a")) == LossCount{.silent = 1}));
  cr_assert(history.SuspectsOf("a") == std::vector<TaskId>{Task("a")});
}

// Guards against losses that count twice, or that instances send to one another
// for ever.
Test(crash_history, exchanged_losses_count_once) {
  CrashHistory leader;
  CrashHistory follower;
  leader.Record(kNow, Task("a"), Upstream("u1"), LossCause::kLikelyCrashed);
  leader.Record(kNow, Task("b"), Upstream("u1"), LossCause::kLikelyCrashed);
  const auto [first, until] = leader.Since(kNow + milliseconds(200), 0, 64);
  cr_assert_eq(first.size(), 2);
  follower.Merge(kNow + milliseconds(300), first);
  follower.Merge(kNow + milliseconds(400), first);
  cr_assert((follower.LossesOf(Task("a")) == LossCount{.likely_crashed = 1}));
  leader.Merge(kNow + seconds(1), follower.Since(kNow, 0, 64).first);
  cr_assert(leader.Since(kNow, until, 64).first.empty());
  // A change is sent again.
  leader.OnResponse(Upstream("u1", 2));
  const auto [second, last] = leader.Since(kNow, until, 64);
  cr_assert_eq(second.size(), 2);
  follower.Merge(kNow + seconds(1), second);
  cr_assert((follower.LossesOf(Task("b")) == LossCount{.crashed = 1}));
  cr_assert(leader.Since(kNow, last, 64).first.empty());
}

// Guards against losses that are skipped because a response held only some.
Test(crash_history, losses_are_sent_in_parts) {
  CrashHistory history;
  for (std::uint32_t index = 0; index < 150; ++index) {
    history.Record(kNow, Task("a", index), Upstream("u1"), LossCause::kSilent);
  }
  CrashHistory copy;
  std::uint64_t until = 0;
  for (int part = 0; part < 3; ++part) {
    const auto [losses, last] = history.Since(kNow, until, 64);
    copy.Merge(kNow, losses);
    until = last;
  }
  cr_assert_eq(copy.size(), 150);
  cr_assert(history.Since(kNow, until, 64).first.empty());
}

// Guards against a history that grows without bound or is kept for ever.
Test(crash_history, old_losses_are_forgotten) {
  CrashHistory history({.retention = seconds(10), .max_losses = 100});
  for (std::uint32_t index = 0; index < 1000; ++index) {
    history.Record(kNow, Task("a", index), Upstream("u1"), LossCause::kSilent);
  }
  cr_assert_eq(history.size(), 100);
  history.Record(kNow + seconds(11), Task("b"), Upstream("u2"),
                 LossCause::kCrashed);
  cr_assert_eq(history.size(), 1);
  history.OnResponse(Upstream("u1"));
  cr_assert((history.LossesOf(Task("b")) == LossCount{.crashed = 1}));
}

}  // namespace jaypick::schedule
