#include "schedule/memory_budget.h"

#include <utility>

namespace jaypick::schedule {

MemoryBudget::Reservation::Reservation(MemoryBudget* budget, std::size_t bytes)
    : budget_(budget), bytes_(bytes) {
  budget_->used_ += bytes_;
}

MemoryBudget::Reservation::~Reservation() {
  Release();
}

MemoryBudget::Reservation::Reservation(Reservation&& other) noexcept
    : budget_(std::move(other.budget_)),
      bytes_(std::exchange(other.bytes_, 0)) {}

MemoryBudget::Reservation& MemoryBudget::Reservation::operator=(
    Reservation&& other) noexcept {
  if (this != &other) {
    Release();
    budget_ = std::move(other.budget_);
    bytes_ = std::exchange(other.bytes_, 0);
  }
  return *this;
}

void MemoryBudget::Reservation::Release() {
  if (budget_ != nullptr) {
    budget_->used_ -= bytes_;
    budget_.reset();
  }
}

std::optional<MemoryBudget::Reservation> MemoryBudget::Reserve(
    std::size_t bytes) {
  return HasRoomFor(bytes) ? std::optional(Reservation(this, bytes))
                           : std::nullopt;
}

bool MemoryBudget::HasRoomFor(std::size_t bytes) const {
  return bytes <= (options_.bytes - used_) / options_.largest_divisor;
}

bool MemoryBudget::CanEverReserve(std::size_t bytes) const {
  return bytes <= options_.bytes / options_.largest_divisor;
}

}  // namespace jaypick::schedule
