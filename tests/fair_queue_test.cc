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

bool Any(KindNumber /*kind*/) {
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
      ++taken.at(queue.Pop(Any, cost)->owner);
    }
    return taken;
  }
};

// Guards against an owner getting more or less than his share of run time.
Test(fair_queue, shares_follow_weights_and_costs) {
  Fixture f;
  f.queue.AssignWeights({{0, 60}, {1, 30}, {2, 10}});
  f.Push(0, 0, 1000);
  f.Push(1, 0, 1000);
  f.Push(2, 1, 1000);
  // Tasks of owner 2 run twice as long, so he gets half as many.
  const auto taken = f.TakePerOwner(
      190, [](KindNumber kind) { return kind == 1 ? 2 * kCost : kCost; });
  cr_assert(abs(taken[0] - 120) <= 2);
  cr_assert(abs(taken[1] - 60) <= 2);
  cr_assert(abs(taken[2] - 10) <= 2);
}

// Guards against an owner who saves up unused share or pays for what others
// used while he was idle.
Test(fair_queue, returning_owner_starts_at_current_virtual_time) {
  Fixture f;
  f.queue.AssignWeights({{0, 50}, {1, 50}});
  f.Push(0, 0, 300);
  f.TakePerOwner(200, SameCost);
  f.Push(1, 0, 50);
  const auto taken = f.TakePerOwner(40, SameCost);
  cr_assert(abs(taken[0] - taken[1]) <= 1);
}

// Guards against idle capacity while somebody waits, and against counts that
// drift from the lists.
Test(fair_queue, unused_share_goes_to_others) {
  Fixture f;
  f.queue.AssignWeights({{0, 1}, {1, 99}});
  f.Push(0, 0, 10);
  cr_assert(f.queue.EffectiveShare(0) == 1);
  cr_assert(f.queue.EffectiveShare(1) == 0.99);
  cr_assert(f.queue.Backlog(0, SameCost) == 10 * kCost);
  cr_assert(f.TakePerOwner(10, SameCost)[0] == 10);
  cr_assert(f.queue.is_empty());
  cr_assert(f.queue.Pop(Any, SameCost) == nullptr);
}

// Guards against admission that counts on capacity which an owner without a
// queue uses.
Test(fair_queue, effective_share_leaves_out_what_others_use) {
  Fixture f;
  f.queue.AssignWeights({{0, 50}, {1, 50}});
  f.Push(1, 0, 400);
  for (int i = 0; i < 400; ++i) {
    if (i % 4 == 0) {
      f.Push(0);
    }
    f.queue.Pop(Any, SameCost);
  }
  cr_assert(f.queue.queued(0) == 0 && f.queue.queued(1) == 100);
  cr_assert(abs(f.queue.EffectiveShare(1) - 0.75) < 0.05);
  cr_assert(f.queue.EffectiveShare(0) == 0.5);
}

// Guards against a kind without room holding back other kinds, and against
// asking for a kind twice, which would reserve two slots.
Test(fair_queue, blocked_kind_does_not_block_others) {
  Fixture f;
  f.Push(0, 7, 2);
  f.Push(0, 8, 1);
  f.Push(1, 7, 1);
  std::array<int, 10> asked{};
  const auto placeable = [&](KindNumber kind) {
    ++asked.at(kind);
    return kind != 7;
  };
  cr_assert(f.queue.Pop(placeable, SameCost)->kind == 8);
  cr_assert(f.queue.Pop(placeable, SameCost) == nullptr);
  cr_assert(asked[7] == 2 && asked[8] == 1);
  cr_assert(f.queue.Pop(Any, SameCost)->owner == 1);
  cr_assert(f.queue.Pop(Any, SameCost)->sequence == 1);
}

// Guards against a second placement that is charged again or waits again.
Test(fair_queue, returned_task_goes_first_and_is_charged_once) {
  Fixture f;
  f.queue.AssignWeights({{0, 50}, {1, 50}});
  f.Push(0, 0, 20);
  f.Push(1, 0, 20);
  int of_first = 0;
  for (int i = 0; i < 20; ++i) {
    QueuedTask* task = f.queue.Pop(Any, SameCost);
    if (task->owner == 0) {
      f.queue.PushFront(*task, task->sequence);
      cr_assert(f.queue.Pop(Any, SameCost) == task);
      ++of_first;
    }
  }
  cr_assert(of_first == 10);
}

// Guards against tasks of a cancelled job that stay counted.
Test(fair_queue, destroyed_tasks_leave) {
  FairQueue queue;
  QueuedTask stays;
  queue.Push(stays, 1);
  {
    QueuedTask goes;
    queue.Push(goes, 2);
    cr_assert(queue.queued(0, 0) == 2);
  }
  cr_assert(queue.size() == 1 && queue.queued(0) == 1);
  FairQueue moved(std::move(queue));
  moved.Remove(stays);
  cr_assert(moved.is_empty() && moved.queued(0, 0) == 0);
}

}  // namespace
}  // namespace jaypick::internal
