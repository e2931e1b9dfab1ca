// Start-time fair queue of the waiting tasks of one service.
#ifndef JAYPICK_INTERNAL_FAIR_QUEUE_H_
#define JAYPICK_INTERNAL_FAIR_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include <boost/intrusive/list.hpp>

#include "jaypick/internal/queued_task.h"
#include "jaypick/time.h"

namespace jaypick::internal {

// Weighted fair queue of the waiting tasks of one service.
//
// Owners are served in the order of their virtual start times; a task advances
// the virtual start time of its owner by cost / weight. The tasks of one owner
// are served in the order of arrival, but a kind whose first task cannot be
// placed does not block the owner's other kinds. An owner that was idle resumes
// at the current virtual time: it gets no credit for its unused share, and does
// not pay for capacity that other owners used in the meantime.
class FairQueue {
 public:
  FairQueue() = default;
  ~FairQueue();
  FairQueue(FairQueue&& other) noexcept;
  FairQueue& operator=(FairQueue&&) = delete;
  FairQueue(const FairQueue&) = delete;
  FairQueue& operator=(const FairQueue&) = delete;

  // Expected run time of one task of a kind.
  using Cost = std::function<Duration(KindNumber)>;
  // True if a task of the kind can be placed now.
  using Placeable = std::function<bool(KindNumber)>;

  // Replaces all weights (shares in percent). Owners that are not in `weights`
  // get weight 1, because they may still have tasks waiting.
  void AssignWeights(const std::map<OwnerNumber, std::uint32_t>& weights);

  // Appends `task`. `sequence` is its arrival order among the tasks of its
  // owner.
  void Push(QueuedTask& task, std::uint64_t sequence);

  // Puts `task` back at the front of its kind so that it is placed again. Its
  // owner was charged when it was first taken and is not charged again.
  void PushFront(QueuedTask& task, std::uint64_t sequence);

  // Takes the next task whose kind is placeable and charges its owner.
  //
  // `placeable` is called at most once for each kind. It may reserve a slot,
  // because a task of the first kind for which it returns true is always taken.
  //
  // Returns null if no task can be placed.
  QueuedTask* Pop(const Placeable& placeable, const Cost& cost);

  // Removes `task` from the queue without charging its owner.
  void Remove(QueuedTask& task);

  bool is_empty() const { return size_ == 0; }
  std::size_t size() const { return size_; }
  std::size_t queued(OwnerNumber owner) const;
  std::size_t queued(OwnerNumber owner, KindNumber kind) const;

  // Sum of the costs of the owner's waiting tasks.
  Duration Backlog(OwnerNumber owner, const Cost& cost) const;

  // Fraction of the service's capacity that `owner` gets or would get with
  // tasks waiting now: its weight divided by the weights of all owners with
  // waiting tasks (itself included), applied to the capacity that is not used
  // by owners without waiting tasks. It is at least its weight divided by all
  // weights.
  double EffectiveShare(OwnerNumber owner) const;

 private:
  using TaskList =
      boost::intrusive::list<QueuedTask,
                             boost::intrusive::constant_time_size<false>>;

  // Waiting tasks of one kind of one owner.
  struct KindQueue {
    KindNumber kind = 0;
    std::size_t size = 0;
    TaskList tasks;
  };

  struct Owner {
    double weight = 1;
    // Virtual start time of the next task to be charged.
    double virtual_start = 0;
    // Sum of the charges, each multiplied by `usage_unit_` at its time.
    double usage = 0;
    std::size_t size = 0;
    // Number of waiting tasks that were charged before.
    std::size_t charged = 0;
    // Pointers, because the address of a `KindQueue` must not change. Searched
    // linearly, because an owner has few kinds.
    std::vector<std::unique_ptr<KindQueue>> kind_queues;
  };

  // An owner with waiting tasks and its position in the order of service.
  struct ActiveOwner {
    double sort_key = 0;
    OwnerNumber owner = 0;
  };

  Owner& OwnerAt(OwnerNumber number);
  static KindQueue& KindQueueOf(Owner& owner, KindNumber kind);
  static const KindQueue* FindKindQueue(const Owner& owner, KindNumber kind);
  // Update the counts and the order of owners: `OnLinked` after a task was
  // added to a list; `Unlink` also removes the task from its list.
  void OnLinked(QueuedTask& task,
                KindQueue& kind_queue,
                std::uint64_t sequence);
  void Unlink(QueuedTask& task, Owner& owner, KindQueue& kind_queue);
  void Charge(Owner& owner, double cost);
  // Fraction of the recent usage by owners other than `owner` that have no
  // waiting tasks.
  double UsageFractionWithoutQueue(OwnerNumber owner) const;
  void InsertActive(OwnerNumber number);
  void EraseActive(OwnerNumber number);
  // Kind of `owner` with the oldest first task among those not known to be
  // blocked, or null.
  KindQueue* OldestKindQueue(const Owner& owner) const;
  QueuedTask* PopFrom(OwnerNumber number,
                      const Placeable& placeable,
                      const Cost& cost);
  bool IsBlocked(KindNumber kind) const;

  std::vector<Owner> owners_;
  // Ordered by `sort_key`; owners with equal keys are served in turn.
  std::vector<ActiveOwner> active_;
  double active_weight_ = 0;
  double total_weight_ = 0;
  double virtual_time_ = 0;
  double total_usage_ = 0;
  // Weight of a new charge in `usage`; grows with each charge.
  double usage_unit_ = 1;
  std::size_t size_ = 0;
  // Index: kind. Value of `pop_count_` at which the kind was last found not
  // placeable.
  std::vector<std::uint64_t> blocked_at_pop_;
  std::uint64_t pop_count_ = 0;
};

}  // namespace jaypick::internal

#endif  // JAYPICK_INTERNAL_FAIR_QUEUE_H_
