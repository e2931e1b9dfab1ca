#include "jaypick/internal/fair_queue.h"

#include <algorithm>
#include <utility>

#include "jaypick/internal/invariant.h"

namespace jaypick::internal {
namespace {

// Growth of the unit of charges: the last 500 or so make up most of the sum.
constexpr double kGrowth = 1.002;
constexpr double kLargestUnit = 1e100;

// Tasks that wait for another placement go before tasks that wait for the
// first.
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
      used_(other.used_),
      unit_(other.unit_),
      size_(std::exchange(other.size_, 0)),
      blocked_at_(std::move(other.blocked_at_)),
      pop_(other.pop_) {
  other.owners_.clear();
  other.active_.clear();
  for (Owner& owner : owners_) {
    for (const auto& lane : owner.lanes) {
      for (QueuedTask& task : lane->tasks) {
        task.queue = this;
      }
    }
  }
}

FairQueue::~FairQueue() {
  for (Owner& owner : owners_) {
    for (const auto& lane : owner.lanes) {
      lane->tasks.clear();
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
  Lane& lane = LaneOf(OwnerAt(task.owner), task.kind);
  lane.tasks.push_back(task);
  task.is_charged = false;
  OnLinked(task, lane, sequence);
}

void FairQueue::PushFront(QueuedTask& task, std::uint64_t sequence) {
  Owner& owner = OwnerAt(task.owner);
  Lane& lane = LaneOf(owner, task.kind);
  lane.tasks.push_front(task);
  task.is_charged = true;
  ++owner.charged;
  OnLinked(task, lane, sequence);
}

QueuedTask* FairQueue::Pop(const Placeable& placeable, const Cost& cost) {
  ++pop_;
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
  Unlink(task, owner, LaneOf(owner, task.kind));
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
  const Lane* lane = FindLane(owners_[owner], kind);
  return lane == nullptr ? 0 : lane->size;
}

Duration FairQueue::Backlog(OwnerNumber owner, const Cost& cost) const {
  Duration sum{0};
  if (owner >= owners_.size()) {
    return sum;
  }
  for (const auto& lane : owners_[owner].lanes) {
    if (lane->size > 0) {
      sum += cost(lane->kind) * static_cast<std::int64_t>(lane->size);
    }
  }
  return sum;
}

double FairQueue::EffectiveShare(OwnerNumber owner) const {
  if (owner >= owners_.size()) {
    return 1 / (active_weight_ + 1);
  }
  const Owner& own = owners_[owner];
  const double others =
      own.size > 0 ? active_weight_ - own.weight : active_weight_;
  const double share = own.weight / (others + own.weight);
  if (size_ == 0 || total_weight_ == 0) {
    return share;
  }
  return std::max(share * (1 - PartOfOthersWithoutQueue(owner)),
                  own.weight / total_weight_);
}

double FairQueue::PartOfOthersWithoutQueue(OwnerNumber owner) const {
  if (used_ == 0) {
    return 0;
  }
  double used = owners_[owner].size > 0 ? 0 : owners_[owner].used;
  for (const ActiveOwner& active : active_) {
    used += owners_[active.owner].used;
  }
  return std::max(0.0, 1 - used / used_);
}

// A growing unit lets old charges fade without touching all owners each time.
void FairQueue::Charge(Owner& owner, double cost) {
  owner.start += cost / owner.weight;
  owner.used += cost * unit_;
  used_ += cost * unit_;
  unit_ *= kGrowth;
  if (unit_ < kLargestUnit) {
    return;
  }
  for (Owner& each : owners_) {
    each.used /= unit_;
  }
  used_ /= unit_;
  unit_ = 1;
}

FairQueue::Owner& FairQueue::OwnerAt(OwnerNumber number) {
  if (number >= owners_.size()) {
    owners_.resize(number + 1);
  }
  return owners_[number];
}

FairQueue::Lane& FairQueue::LaneOf(Owner& owner, KindNumber kind) {
  for (const auto& lane : owner.lanes) {
    if (lane->kind == kind) {
      return *lane;
    }
  }
  owner.lanes.push_back(std::make_unique<Lane>());
  owner.lanes.back()->kind = kind;
  return *owner.lanes.back();
}

const FairQueue::Lane* FairQueue::FindLane(const Owner& owner,
                                           KindNumber kind) {
  for (const auto& lane : owner.lanes) {
    if (lane->kind == kind) {
      return lane.get();
    }
  }
  return nullptr;
}

void FairQueue::OnLinked(QueuedTask& task, Lane& lane, std::uint64_t sequence) {
  Owner& owner = owners_[task.owner];
  task.queue = this;
  task.sequence = sequence;
  ++lane.size;
  ++size_;
  ++owner.size;
  if (owner.size == 1) {
    // Back from idleness: no credit for unused share.
    owner.start = std::max(owner.start, virtual_time_);
    InsertActive(task.owner);
  } else if (task.is_charged) {
    EraseActive(task.owner);
    InsertActive(task.owner);
  }
}

void FairQueue::Unlink(QueuedTask& task, Owner& owner, Lane& lane) {
  lane.tasks.erase(lane.tasks.iterator_to(task));
  if (task.is_charged) {
    --owner.charged;
  }
  --lane.size;
  --owner.size;
  --size_;
  CheckInvariant(lane.tasks.empty() == (lane.size == 0),
                 "queue_count_matches_list", "fair queue");
}

void FairQueue::InsertActive(OwnerNumber number) {
  const Owner& owner = owners_[number];
  // A charged task has waited for its turn once; it does not wait again.
  const bool is_first = owner.charged > 0;
  const double key =
      is_first ? std::min(owner.start, virtual_time_) : owner.start;
  const auto at = std::find_if(
      active_.begin(), active_.end(), [&](const ActiveOwner& other) {
        return is_first ? other.key >= key : other.key > key;
      });
  active_.insert(at, ActiveOwner{.key = key, .owner = number});
  active_weight_ += owner.weight;
}

void FairQueue::EraseActive(OwnerNumber number) {
  const auto it = std::find_if(
      active_.begin(), active_.end(),
      [number](const ActiveOwner& active) { return active.owner == number; });
  active_.erase(it);
  active_weight_ -= owners_[number].weight;
}

FairQueue::Lane* FairQueue::OldestLane(const Owner& owner) const {
  Lane* oldest = nullptr;
  for (const auto& lane : owner.lanes) {
    if (lane->size == 0 || IsBlocked(lane->kind)) {
      continue;
    }
    if (oldest == nullptr ||
        IsBefore(lane->tasks.front(), oldest->tasks.front())) {
      oldest = lane.get();
    }
  }
  return oldest;
}

QueuedTask* FairQueue::PopFrom(OwnerNumber number,
                               const Placeable& placeable,
                               const Cost& cost) {
  Owner& owner = owners_[number];
  for (Lane* lane = OldestLane(owner); lane != nullptr;
       lane = OldestLane(owner)) {
    if (!placeable(lane->kind)) {
      if (lane->kind >= blocked_at_.size()) {
        blocked_at_.resize(lane->kind + 1);
      }
      blocked_at_[lane->kind] = pop_;
      continue;
    }
    QueuedTask& task = lane->tasks.front();
    EraseActive(number);
    if (!task.is_charged) {
      virtual_time_ = std::max(virtual_time_, owner.start);
      Charge(owner, static_cast<double>(cost(lane->kind).count()));
    }
    Unlink(task, owner, *lane);
    if (owner.size > 0) {
      InsertActive(number);
    }
    return &task;
  }
  return nullptr;
}

bool FairQueue::IsBlocked(KindNumber kind) const {
  return kind < blocked_at_.size() && blocked_at_[kind] == pop_;
}

}  // namespace jaypick::internal
