#include "jaypick/internal/id_window.h"

namespace jaypick::internal {

IdWindow::IdWindow(std::size_t capacity) : capacity_(capacity) {}

std::optional<std::uint64_t> IdWindow::Issue(OwnerNumber owner) {
  if (records_.size() >= capacity_) {
    if (records_.front().state == IdState::kActive) {
      return std::nullopt;
    }
    records_.pop_front();
    ++first_;
  }
  records_.push_back({.owner = owner});
  return first_ + records_.size() - 1;
}

const IdRecord* IdWindow::Find(std::uint64_t counter) const {
  if (counter < first_ || counter - first_ >= records_.size()) {
    return nullptr;
  }
  return &records_[counter - first_];
}

MissingIdReason IdWindow::MissingReasonOf(std::uint64_t counter) const {
  return counter < first_ ? MissingIdReason::kExpired
                          : MissingIdReason::kNeverIssued;
}

bool IdWindow::Activate(std::uint64_t counter) {
  IdRecord* const record = FindMutable(counter);
  if (record == nullptr || record->state != IdState::kReserved) {
    return false;
  }
  record->state = IdState::kActive;
  return true;
}

bool IdWindow::Complete(std::uint64_t counter) {
  IdRecord* const record = FindMutable(counter);
  if (record == nullptr || record->state != IdState::kActive) {
    return false;
  }
  record->state = IdState::kComplete;
  return true;
}

bool IdWindow::Close(std::uint64_t counter,
                     RunState run,
                     RefusalReason reason) {
  IdRecord* const record = FindMutable(counter);
  if (record == nullptr || record->state == IdState::kComplete ||
      record->state == IdState::kClosed) {
    return false;
  }
  record->state = IdState::kClosed;
  record->run = run;
  record->reason = reason;
  return true;
}

IdRecord* IdWindow::FindMutable(std::uint64_t counter) {
  return const_cast<IdRecord*>(Find(counter));
}

}  // namespace jaypick::internal
