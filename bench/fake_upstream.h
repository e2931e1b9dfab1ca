// Simulated upstream in virtual time: a number of slots and a bounded FIFO
// queue of waiting requests.
#ifndef BENCH_FAKE_UPSTREAM_H_
#define BENCH_FAKE_UPSTREAM_H_

#include <cstdint>
#include <deque>
#include <optional>

#include "jaypick/time.h"

namespace jaypick::bench {

struct FakeUpstreamOptions {
  std::uint32_t slots = 8;
  // Maximum number of waiting requests; further ones are refused as busy.
  std::uint32_t backlog_limit = 16;
  // Factor by which run times are multiplied.
  double slow_factor = 1;
};

// Index into the simulation's table of attempts.
using AttemptIndex = std::uint32_t;

class FakeUpstream {
 public:
  struct Request {
    AttemptIndex attempt = 0;
    Duration run_time{0};
    TimePoint arrived;
  };

  explicit FakeUpstream(const FakeUpstreamOptions& options)
      : options_(options) {}

  enum class Admission { kStarted, kQueued, kBusy };

  // Starts, queues or refuses an arriving request.
  Admission Admit(const Request& request) {
    if (running_ < options_.slots) {
      ++running_;
      return Admission::kStarted;
    }
    if (waiting_.size() >= options_.backlog_limit) {
      return Admission::kBusy;
    }
    waiting_.push_back(request);
    return Admission::kQueued;
  }

  // Frees the slot of a finished request and gives it to the oldest waiting
  // request, if any, which is returned.
  std::optional<Request> Finish() {
    if (waiting_.empty()) {
      --running_;
      return std::nullopt;
    }
    const Request next = waiting_.front();
    waiting_.pop_front();
    return next;
  }

  // Time that a task of `run_time` takes on this upstream.
  Duration ScaledRunTime(Duration run_time) const {
    return Duration(static_cast<std::int64_t>(
        static_cast<double>(run_time.count()) * options_.slow_factor));
  }

  // Number of running and waiting requests.
  std::uint32_t load() const {
    return running_ + static_cast<std::uint32_t>(waiting_.size());
  }

 private:
  FakeUpstreamOptions options_;
  std::uint32_t running_ = 0;
  std::deque<Request> waiting_;
};

}  // namespace jaypick::bench

#endif  // BENCH_FAKE_UPSTREAM_H_
