// Start-time fair queue of one service's waiting tasks.
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

// Orders waiting tasks so that each owner gets his share of the service.
//
// Owners are served in the order of their virtual start time; a task advances
// its owner's virtual time by cost / weight. Within an owner, kinds take turns
// in the order of arrival, and a kind whose head cannot be placed does not hold
// back the owner's other kinds. An owner that comes back after being idle
// starts at the current virtual time: he neither saves up unused share nor
// waits for what others used meanwhile.
class FairQueue {
 public:
  FairQueue() = default;
  ~FairQueue();
  FairQueue(FairQueue&& other) noexcept;
  FairQueue& operator=(FairQueue&&) = delete;
  FairQueue(const FairQueue&) = delete;
  FairQueue& operator=(const FairQueue&) = delete;

  // Cost of one task of a kind.
  using Cost = std::function<Duration(KindNumber)>;
  // True if a task of the kind can be placed now.
  using Placeable = std::function<bool(KindNumber)>;

  // Replaces all weights (shares in percent). An owner without a weight that
  // still has tasks waiting keeps a weight of 1.
  void AssignWeights(const std::map<OwnerNumber, std::uint32_t>& weights);

  // Appends `task`. `sequence` orders the kinds of one owner by arrival.
  void Push(QueuedTask& task, std::uint64_t sequence);

  // Puts `task` back to the front of its kind, for another placement. Its cost
  // was charged when it was first taken, so it is not charged again.
  void PushFront(QueuedTask& task, std::uint64_t sequence);

  // Takes the next task whose kind is placeable and charges its owner.
  //
  // `placeable` is called at most once for each kind, and a task of the first
  // kind for which it returns true is taken, so it may reserve a slot.
  //
  // Returns null if there is none.
  QueuedTask* Pop(const Placeable& placeable, const Cost& cost);

  // Takes `task` out of the queue without charging anyone.
  void Remove(QueuedTask& task);

  bool is_empty() const { return size_ == 0; }
  std::size_t size() const { return size_; }
  std::size_t queued(OwnerNumber owner) const;
  std::size_t queued(OwnerNumber owner, KindNumber kind) const;

  // Sum of the costs of the owner's waiting tasks.
  Duration Backlog(OwnerNumber owner, const Cost& cost) const;

  // Share of the service that `owner` would have if his tasks waited now: his
  // weight over the weights of all owners with waiting tasks, himself included,
  // of what is left by owners who are served without waiting. It is never less
  // than his weight over all weights.
  double EffectiveShare(OwnerNumber owner) const;

 private:
  using TaskList =
      boost::intrusive::list<QueuedTask,
                             boost::intrusive::constant_time_size<false>>;

  // Waiting tasks of one kind of one owner.
  struct Lane {
    KindNumber kind = 0;
    std::size_t size = 0;
    TaskList tasks;
  };

  struct Owner {
    double weight = 1;
    // Virtual start time of the next task that is to be charged.
    double start = 0;
    // Recent charges, in units that grow by `kGrowth` with each charge.
    double used = 0;
    std::size_t size = 0;
    // Waiting tasks that were charged before.
    std::size_t charged = 0;
    // Lanes keep their address; kinds of one owner are few.
    std::vector<std::unique_ptr<Lane>> lanes;
  };

  // An owner with waiting tasks, at its place in the order of service.
  struct ActiveOwner {
    double key = 0;
    OwnerNumber owner = 0;
  };

  Owner& OwnerAt(OwnerNumber number);
  static Lane& LaneOf(Owner& owner, KindNumber kind);
  static const Lane* FindLane(const Owner& owner, KindNumber kind);
  // Adds to or takes from the counts before and after a change.
  void OnLinked(QueuedTask& task, Lane& lane, std::uint64_t sequence);
  void Unlink(QueuedTask& task, Owner& owner, Lane& lane);
  void Charge(Owner& owner, double cost);
  // Part of the recent charges that went to owners without waiting tasks other
  // than `owner`.
  double PartOfOthersWithoutQueue(OwnerNumber owner) const;
  void InsertActive(OwnerNumber number);
  void EraseActive(OwnerNumber number);
  // Lane of `owner` with the oldest head among those not known to be blocked.
  Lane* OldestLane(const Owner& owner) const;
  QueuedTask* PopFrom(OwnerNumber number,
                      const Placeable& placeable,
                      const Cost& cost);
  bool IsBlocked(KindNumber kind) const;

  std::vector<Owner> owners_;
  // Sorted by key; owners with equal keys take turns.
  std::vector<ActiveOwner> active_;
  double active_weight_ = 0;
  double total_weight_ = 0;
  double virtual_time_ = 0;
  double used_ = 0;
  // Unit of `used`.
  double unit_ = 1;
  std::size_t size_ = 0;
  // Value of `pop_` at which a kind was found not placeable, by kind.
  std::vector<std::uint64_t> blocked_at_;
  std::uint64_t pop_ = 0;
};

}  // namespace jaypick::internal

#endif  // JAYPICK_INTERNAL_FAIR_QUEUE_H_
