#include "jaypick/internal/fair_queue.h"

#include <algorithm>
#include <utility>

#include "jaypick/internal/invariant.h"

namespace jaypick::internal {
namespace {

// Growth of the usage unit per charge. Older charges lose weight relative to
// newer ones, so that about the last 500 make up most of the sum.
constexpr double kUsageUnitGrowth = 1.002;
// Unit at which all usage is rescaled, so that it does not overflow.
constexpr double kMaxUsageUnit = 1e100;

// Order of tasks within an owner: tasks that were charged before and wait to be
// placed again precede the others.
bool IsBefore(const QueuedTask& a, const QueuedTask& b) {
  if (a.is_charged != b.is_charged) {
    return a.is_charged;
  }
  return a.sequence < b.sequence;
}

}  // namespace

QueuedTask::~QueuedTask() {
  if (is_linked()) {
    queue->Remove(*this);
  }
}

FairQueue::FairQueue(FairQueue&& other) noexcept
    : owners_(std::move(other.owners_)),
      active_(std::move(other.active_)),
      active_weight_(std::exchange(other.active_weight_, 0)),
      total_weight_(other.total_weight_),
      virtual_time_(other.virtual_time_),
      total_usage_(other.total_usage_),
      usage_unit_(other.usage_unit_),
      size_(std::exchange(other.size_, 0)),
      blocked_at_pop_(std::move(other.blocked_at_pop_)),
      pop_count_(other.pop_count_) {
  other.owners_.clear();
  other.active_.clear();
  for (Owner& owner : owners_) {
    for (const auto& kind_queue : owner.kind_queues) {
      for (QueuedTask& task : kind_queue->tasks) {
        task.queue = this;
      }
    }
  }
}

FairQueue::~FairQueue() {
  for (Owner& owner : owners_) {
    for (const auto& kind_queue : owner.kind_queues) {
      kind_queue->tasks.clear();
    }
  }
}

void FairQueue::AssignWeights(
    const std::map<OwnerNumber, std::uint32_t>& weights) {
  for (Owner& owner : owners_) {
    owner.weight = 1;
  }
  for (const auto& [number, weight] : weights) {
    OwnerAt(number).weight = std::max(1U, weight);
  }
  total_weight_ = 0;
  for (const Owner& owner : owners_) {
    total_weight_ += owner.weight;
  }
  active_weight_ = 0;
  for (const ActiveOwner& active : active_) {
    active_weight_ += owners_[active.owner].weight;
  }
}

void FairQueue::Push(QueuedTask& task, std::uint64_t sequence) {
  KindQueue& kind_queue = KindQueueOf(OwnerAt(task.owner), task.kind);
  kind_queue.tasks.push_back(task);
  task.is_charged = false;
  OnLinked(task, kind_queue, sequence);
}

void FairQueue::PushFront(QueuedTask& task, std::uint64_t sequence) {
  Owner& owner = OwnerAt(task.owner);
  KindQueue& kind_queue = KindQueueOf(owner, task.kind);
  kind_queue.tasks.push_front(task);
  task.is_charged = true;
  ++owner.charged;
  OnLinked(task, kind_queue, sequence);
}

QueuedTask* FairQueue::Pop(const Placeable& placeable, const Cost& cost) {
  ++pop_count_;
  for (std::size_t i = 0; i < active_.size(); ++i) {
    QueuedTask* task = PopFrom(active_[i].owner, placeable, cost);
    if (task != nullptr) {
      return task;
    }
  }
  return nullptr;
}

void FairQueue::Remove(QueuedTask& task) {
  Owner& owner = owners_[task.owner];
  EraseActive(task.owner);
  Unlink(task, owner, KindQueueOf(owner, task.kind));
  if (owner.size > 0) {
    InsertActive(task.owner);
  }
}

std::size_t FairQueue::queued(OwnerNumber owner) const {
  return owner < owners_.size() ? owners_[owner].size : 0;
}

std::size_t FairQueue::queued(OwnerNumber owner, KindNumber kind) const {
  if (owner >= owners_.size()) {
    return 0;
  }
  const KindQueue* kind_queue = FindKindQueue(owners_[owner], kind);
  return kind_queue == nullptr ? 0 : kind_queue->size;
}

Duration FairQueue::Backlog(OwnerNumber owner, const Cost& cost) const {
  Duration sum{0};
  if (owner >= owners_.size()) {
    return sum;
  }
  for (const auto& kind_queue : owners_[owner].kind_queues) {
    if (kind_queue->size > 0) {
      sum +=
          cost(kind_queue->kind) * static_cast<std::int64_t>(kind_queue->size);
    }
  }
  return sum;
}

double FairQueue::EffectiveShare(OwnerNumber owner) const {
  if (owner >= owners_.size()) {
    return 1 / (active_weight_ + 1);
  }
  const Owner& self = owners_[owner];
  const double other_weight =
      self.size > 0 ? active_weight_ - self.weight : active_weight_;
  const double share = self.weight / (other_weight + self.weight);
  if (size_ == 0 || total_weight_ == 0) {
    return share;
  }
  return std::max(share * (1 - UsageFractionWithoutQueue(owner)),
                  self.weight / total_weight_);
}

double FairQueue::UsageFractionWithoutQueue(OwnerNumber owner) const {
  if (total_usage_ == 0) {
    return 0;
  }
  double usage = owners_[owner].size > 0 ? 0 : owners_[owner].usage;
  for (const ActiveOwner& active : active_) {
    usage += owners_[active.owner].usage;
  }
  return std::max(0.0, 1 - usage / total_usage_);
}

// Usage decays exponentially. Instead of scaling down the usage of all owners
// at each charge, the unit of new charges grows.
void FairQueue::Charge(Owner& owner, double cost) {
  owner.virtual_start += cost / owner.weight;
  owner.usage += cost * usage_unit_;
  total_usage_ += cost * usage_unit_;
  usage_unit_ *= kUsageUnitGrowth;
  if (usage_unit_ < kMaxUsageUnit) {
    return;
  }
  for (Owner& each : owners_) {
    each.usage /= usage_unit_;
  }
  total_usage_ /= usage_unit_;
  usage_unit_ = 1;
}

FairQueue::Owner& FairQueue::OwnerAt(OwnerNumber number) {
  if (number >= owners_.size()) {
    owners_.resize(number + 1);
  }
  return owners_[number];
}

FairQueue::KindQueue& FairQueue::KindQueueOf(Owner& owner, KindNumber kind) {
  for (const auto& kind_queue : owner.kind_queues) {
    if (kind_queue->kind == kind) {
      return *kind_queue;
    }
  }
  owner.kind_queues.push_back(std::make_unique<KindQueue>());
  owner.kind_queues.back()->kind = kind;
  return *owner.kind_queues.back();
}

const FairQueue::KindQueue* FairQueue::FindKindQueue(const Owner& owner,
                                                     KindNumber kind) {
  for (const auto& kind_queue : owner.kind_queues) {
    if (kind_queue->kind == kind) {
      return kind_queue.get();
    }
  }
  return nullptr;
}

void FairQueue::OnLinked(QueuedTask& task,
                         KindQueue& kind_queue,
                         std::uint64_t sequence) {
  Owner& owner = owners_[task.owner];
  task.queue = this;
  task.sequence = sequence;
  ++kind_queue.size;
  ++size_;
  ++owner.size;
  if (owner.size == 1) {
    // The owner was idle: it gets no credit for its unused share.
    owner.virtual_start = std::max(owner.virtual_start, virtual_time_);
    InsertActive(task.owner);
  } else if (task.is_charged) {
    EraseActive(task.owner);
    InsertActive(task.owner);
  }
}

void FairQueue::Unlink(QueuedTask& task, Owner& owner, KindQueue& kind_queue) {
  kind_queue.tasks.erase(kind_queue.tasks.iterator_to(task));
  if (task.is_charged) {
    --owner.charged;
  }
  --kind_queue.size;
  --owner.size;
  --size_;
  CheckInvariant(kind_queue.tasks.empty() == (kind_queue.size == 0),
                 "queue_count_matches_list", "fair queue");
}

void FairQueue::InsertActive(OwnerNumber number) {
  const Owner& owner = owners_[number];
  // A charged task has already been taken once in the fair order, so its owner
  // is served first.
  const bool has_priority = owner.charged > 0;
  const double sort_key = has_priority
                              ? std::min(owner.virtual_start, virtual_time_)
                              : owner.virtual_start;
  const auto position = std::find_if(
      active_.begin(), active_.end(), [&](const ActiveOwner& other) {
        return has_priority ? other.sort_key >= sort_key
                            : other.sort_key > sort_key;
      });
  active_.insert(position, ActiveOwner{.sort_key = sort_key, .owner = number});
  active_weight_ += owner.weight;
}

void FairQueue::EraseActive(OwnerNumber number) {
  const auto it = std::find_if(
      active_.begin(), active_.end(),
      [number](const ActiveOwner& active) { return active.owner == number; });
  active_.erase(it);
  active_weight_ -= owners_[number].weight;
}

FairQueue::KindQueue* FairQueue::OldestKindQueue(const Owner& owner) const {
  KindQueue* oldest = nullptr;
  for (const auto& kind_queue : owner.kind_queues) {
    if (kind_queue->size == 0 || IsBlocked(kind_queue->kind)) {
      continue;
    }
    if (oldest == nullptr ||
        IsBefore(kind_queue->tasks.front(), oldest->tasks.front())) {
      oldest = kind_queue.get();
    }
  }
  return oldest;
}

QueuedTask* FairQueue::PopFrom(OwnerNumber number,
                               const Placeable& placeable,
                               const Cost& cost) {
  Owner& owner = owners_[number];
  for (KindQueue* kind_queue = OldestKindQueue(owner); kind_queue != nullptr;
       kind_queue = OldestKindQueue(owner)) {
    if (!placeable(kind_queue->kind)) {
      if (kind_queue->kind >= blocked_at_pop_.size()) {
        blocked_at_pop_.resize(kind_queue->kind + 1);
      }
      blocked_at_pop_[kind_queue->kind] = pop_count_;
      continue;
    }
    QueuedTask& task = kind_queue->tasks.front();
    EraseActive(number);
    if (!task.is_charged) {
      virtual_time_ = std::max(virtual_time_, owner.virtual_start);
      Charge(owner, static_cast<double>(cost(kind_queue->kind).count()));
    }
    Unlink(task, owner, *kind_queue);
    if (owner.size > 0) {
      InsertActive(number);
    }
    return &task;
  }
  return nullptr;
}

bool FairQueue::IsBlocked(KindNumber kind) const {
  return kind < blocked_at_pop_.size() && blocked_at_pop_[kind] == pop_count_;
}

}  // namespace jaypick::internal
