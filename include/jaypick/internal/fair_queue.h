// Start-time fair queue of one service's waiting tasks.
#ifndef JAYPICK_INTERNAL_FAIR_QUEUE_H_
#define JAYPICK_INTERNAL_FAIR_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>

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
  // weight over the weights of all owners with waiting tasks, himself included.
  double EffectiveShare(OwnerNumber owner) const;

 private:
  std::size_t size_ = 0;
};

}  // namespace jaypick::internal

#endif  // JAYPICK_INTERNAL_FAIR_QUEUE_H_
