// An upstream in virtual time: slots, a FIFO of waiting requests, and faults.
#ifndef BENCH_FAKE_UPSTREAM_H_
#define BENCH_FAKE_UPSTREAM_H_

#include <cstdint>
#include <deque>
#include <optional>

#include "jaypick/time.h"

namespace jaypick::bench {

struct FakeUpstreamOptions {
  std::uint32_t slots = 8;
  // Requests that may wait; further ones are refused as busy.
  std::uint32_t backlog_limit = 16;
  double slow_factor = 1;
};

// Index of an attempt in the simulation.
using AttemptNumber = std::uint32_t;

class FakeUpstream {
 public:
  struct Request {
    AttemptNumber attempt = 0;
    Duration run_time{0};
    TimePoint arrived;
  };

  explicit FakeUpstream(const FakeUpstreamOptions& options)
      : options_(options) {}

  enum class Admission { kRuns, kWaits, kBusy };

  // Takes a request that arrives.
  Admission Arrive(const Request& request) {
    if (running_ < options_.slots) {
      ++running_;
      return Admission::kRuns;
    }
    if (waiting_.size() >= options_.backlog_limit) {
      return Admission::kBusy;
    }
    waiting_.push_back(request);
    return Admission::kWaits;
  }

  // Frees a slot and returns the request that takes it, if one waits.
  std::optional<Request> Finish() {
    if (waiting_.empty()) {
      --running_;
      return std::nullopt;
    }
    const Request next = waiting_.front();
    waiting_.pop_front();
    return next;
  }

  Duration RunTimeOf(Duration run_time) const {
    return Duration(static_cast<std::int64_t>(
        static_cast<double>(run_time.count()) * options_.slow_factor));
  }

  // Tasks running or waiting.
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
