// Bound on the memory that objects of one kind take in this instance.
#ifndef JAYPICK_SCHEDULE_MEMORY_BUDGET_H_
#define JAYPICK_SCHEDULE_MEMORY_BUDGET_H_

#include <cstddef>
#include <limits>
#include <optional>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

namespace jaypick::schedule {

struct MemoryBudgetOptions {
  std::size_t bytes = std::numeric_limits<std::size_t>::max();
  // A reservation takes at most this part of the memory that is free. Large
  // objects thus leave room for small ones, however many there are.
  std::size_t largest_divisor = 8;
};

// Memory is reserved before an object is built, and released by the destruction
// of the reservation.
class MemoryBudget
    : public boost::intrusive_ref_counter<MemoryBudget,
                                          boost::thread_unsafe_counter> {
 public:
  class Reservation {
   public:
    Reservation() = default;
    ~Reservation();
    Reservation(Reservation&& other) noexcept;
    Reservation& operator=(Reservation&& other) noexcept;

    std::size_t bytes() const { return bytes_; }

   private:
    friend class MemoryBudget;
    Reservation(MemoryBudget* budget, std::size_t bytes);
    void Release();

    boost::intrusive_ptr<MemoryBudget> budget_;
    std::size_t bytes_ = 0;
  };

  explicit MemoryBudget(MemoryBudgetOptions options = {}) : options_(options) {}

  // Returns nothing if there is no room at present.
  std::optional<Reservation> Reserve(std::size_t bytes);
  bool HasRoomFor(std::size_t bytes) const;
  // Whether there is room for `bytes` while nothing else is reserved.
  bool CanEverReserve(std::size_t bytes) const;

  std::size_t limit() const { return options_.bytes; }
  std::size_t used() const { return used_; }

 private:
  MemoryBudgetOptions options_;
  std::size_t used_ = 0;
};

using MemoryBudgetPointer = boost::intrusive_ptr<MemoryBudget>;

}  // namespace jaypick::schedule

#endif  // JAYPICK_SCHEDULE_MEMORY_BUDGET_H_
