// Order and shares of waiting tasks.
#include <array>
#include <deque>

// clang-format off
// Boost.Intrusive uses the name `Test`, which Criterion defines as a macro.
#include <boost/intrusive/list.hpp>
#include <criterion/criterion.h>
// clang-format on

#include "jaypick/internal/fair_queue.h"

namespace jaypick::internal {
namespace {

constexpr Duration kCost = std::chrono::milliseconds(100);

bool AlwaysPlaceable(KindNumber /*kind*/) {
  return true;
}

Duration SameCost(KindNumber /*kind*/) {
  return kCost;
}

struct Fixture {
  FairQueue queue;
  std::deque<QueuedTask> tasks;
  std::uint64_t sequence = 0;

  QueuedTask& Push(OwnerNumber owner, KindNumber kind = 0) {
    QueuedTask& task = tasks.emplace_back();
    task.owner = owner;
    task.kind = kind;
    queue.Push(task, ++sequence);
    return task;
  }
  void Push(OwnerNumber owner, KindNumber kind, int count) {
    for (int i = 0; i < count; ++i) {
      Push(owner, kind);
    }
  }
  std::array<int, 3> TakePerOwner(int count, const FairQueue::Cost& cost) {
    std::array<int, 3> taken{};
    for (int i = 0; i < count; ++i) {
      ++taken.at(queue.Pop(AlwaysPlaceable, cost)->owner);
    }
    return taken;
  }
};

// Guards against an owner that gets more or less run time than its share.
Test(fair_queue, shares_follow_weights_and_costs) {
  Fixture f;
  f.queue.AssignWeights({{0, 60}, {1, 30}, {2, 10}});
  f.Push(0, 0, 1000);
  f.Push(1, 0, 1000);
  f.Push(2, 1, 1000);
  // Tasks of owner 2 take twice as long, so it gets half as many.
  const auto taken = f.TakePerOwner(
      190, [](KindNumber kind) { return kind == 1 ? 2 * kCost : kCost; });
  cr_assert(abs(taken[0] - 120) <= 2);
  cr_assert(abs(taken[1] - 60) <= 2);
  cr_assert(abs(taken[2] - 10) <= 2);
}

// Guards against an owner that gets credit for its unused share, or pays for
// capacity that others used while it was idle.
Test(fair_queue, returning_owner_starts_at_current_virtual_time) {
  Fixture f;
  f.queue.AssignWeights({{0, 50}, {1, 50}});
  f.Push(0, 0, 300);
  f.TakePerOwner(200, SameCost);
  f.Push(1, 0, 50);
  const auto taken = f.TakePerOwner(40, SameCost);
  cr_assert(abs(taken[0] - taken[1]) <= 1);
}

// Guards against capacity that kept unused while tasks wait, and against counts
// that differ from the lists.
Test(fair_queue, unused_share_goes_to_others) {
  Fixture f;
  f.queue.AssignWeights({{0, 1}, {1, 99}});
  f.Push(0, 0, 10);
  cr_assert(f.queue.EffectiveShare(0) == 1);
  cr_assert(f.queue.EffectiveShare(1) == 0.99);
  cr_assert(f.queue.Backlog(0, SameCost) == 10 * kCost);
  cr_assert(f.TakePerOwner(10, SameCost)[0] == 10);
  cr_assert(f.queue.is_empty());
  cr_assert(f.queue.Pop(AlwaysPlaceable, SameCost) == nullptr);
}

// Guards against an effective share that includes the capacity used by owners
// without waiting tasks; admission would then accept too many jobs.
Test(fair_queue, effective_share_excludes_usage_of_owners_without_queue) {
  Fixture f;
  f.queue.AssignWeights({{0, 50}, {1, 50}});
  f.Push(1, 0, 400);
  for (int i = 0; i < 400; ++i) {
    if (i % 4 == 0) {
      f.Push(0);
    }
    f.queue.Pop(AlwaysPlaceable, SameCost);
  }
  cr_assert(f.queue.queued(0) == 0 && f.queue.queued(1) == 100);
  cr_assert(abs(f.queue.EffectiveShare(1) - 0.75) < 0.05);
  cr_assert(f.queue.EffectiveShare(0) == 0.5);
}

// Guards against a kind that cannot be placed blocking other kinds, and against
// calling `placeable` twice for a kind, which would reserve two slots.
Test(fair_queue, blocked_kind_does_not_block_others) {
  Fixture f;
  f.Push(0, 7, 2);
  f.Push(0, 8, 1);
  f.Push(1, 7, 1);
  std::array<int, 10> calls{};
  const auto placeable = [&](KindNumber kind) {
    ++calls.at(kind);
    return kind != 7;
  };
  cr_assert(f.queue.Pop(placeable, SameCost)->kind == 8);
  cr_assert(f.queue.Pop(placeable, SameCost) == nullptr);
  cr_assert(calls[7] == 2 && calls[8] == 1);
  cr_assert(f.queue.Pop(AlwaysPlaceable, SameCost)->owner == 1);
  cr_assert(f.queue.Pop(AlwaysPlaceable, SameCost)->sequence == 1);
}

// Guards against charging a returned task again or queueing it behind others.
Test(fair_queue, returned_task_goes_first_and_is_charged_once) {
  Fixture f;
  f.queue.AssignWeights({{0, 50}, {1, 50}});
  f.Push(0, 0, 20);
  f.Push(1, 0, 20);
  int taken_of_owner_0 = 0;
  for (int i = 0; i < 20; ++i) {
    QueuedTask* task = f.queue.Pop(AlwaysPlaceable, SameCost);
    if (task->owner == 0) {
      f.queue.PushFront(*task, task->sequence);
      cr_assert(f.queue.Pop(AlwaysPlaceable, SameCost) == task);
      ++taken_of_owner_0;
    }
  }
  cr_assert(taken_of_owner_0 == 10);
}

// Guards against counts that include destroyed tasks of a cancelled job.
Test(fair_queue, destroyed_tasks_are_removed) {
  FairQueue queue;
  QueuedTask kept;
  queue.Push(kept, 1);
  {
    QueuedTask destroyed;
    queue.Push(destroyed, 2);
    cr_assert(queue.queued(0, 0) == 2);
  }
  cr_assert(queue.size() == 1 && queue.queued(0) == 1);
  FairQueue moved(std::move(queue));
  moved.Remove(kept);
  cr_assert(moved.is_empty() && moved.queued(0, 0) == 0);
}

}  // namespace
}  // namespace jaypick::internal
