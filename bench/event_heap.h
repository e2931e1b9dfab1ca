// Priority queue of simulation events, ordered by virtual time.
#ifndef BENCH_EVENT_HEAP_H_
#define BENCH_EVENT_HEAP_H_

#include <cstdint>
#include <queue>
#include <vector>

#include "jaypick/time.h"

namespace jaypick::bench {

// Events with equal times are returned in the order in which they were added,
// so that a run is fully determined by its seed.
template <typename Event>
class EventHeap {
 public:
  void Add(TimePoint time, Event event) {
    heap_.push({.time = time, .sequence = next_sequence_++, .event = event});
  }

  bool is_empty() const { return heap_.empty(); }

  // Removes and returns the earliest event and sets `now` to its time. The heap
  // must not be empty.
  Event Pop(TimePoint& now) {
    const Entry entry = heap_.top();
    heap_.pop();
    now = entry.time;
    return entry.event;
  }

 private:
  struct Entry {
    TimePoint time;
    std::uint64_t sequence = 0;
    Event event;

    friend bool operator>(const Entry& a, const Entry& b) {
      return a.time != b.time ? a.time > b.time : a.sequence > b.sequence;
    }
  };

  std::priority_queue<Entry, std::vector<Entry>, std::greater<>> heap_;
  std::uint64_t next_sequence_ = 0;
};

}  // namespace jaypick::bench

#endif  // BENCH_EVENT_HEAP_H_
