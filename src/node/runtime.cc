#include "node/runtime.h"

#include <event2/event.h>
#include <sys/time.h>

#include <algorithm>
#include <ctime>

#include "http/evhttp_conversions.h"

namespace jaypick::node {
namespace {

// Interval of the check for pauses.
constexpr Duration kTick = std::chrono::milliseconds(100);
// Part of the lag that is left after each tick in time: two thirds.
constexpr int kLagKept = 2;
constexpr int kLagWhole = 3;
// Time in which all that waited in sockets has been read after a pause.
constexpr Duration kWaking = std::chrono::milliseconds(50);

TimePoint ReadClock() {
  timespec time{};
  ::clock_gettime(CLOCK_BOOTTIME, &time);
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(time.tv_sec) +
      std::chrono::nanoseconds(time.tv_nsec)));
}

}  // namespace

Timer::Timer(event_base* base, std::function<void()> callback)
    : event_(evtimer_new(base, &Timer::OnTimeout, this)),
      callback_(std::move(callback)) {}

Timer::~Timer() {
  event_free(event_);
}

void Timer::After(Duration delay) {
  const timeval time = http::ToTimeval(std::max(delay, Duration(0)));
  evtimer_add(event_, &time);
}

void Timer::Cancel() {
  evtimer_del(event_);
}

void Timer::OnTimeout(int /*socket*/, short /*what*/, void* self) {
  static_cast<Timer*>(self)->callback_();
}

Runtime::Runtime(event_base* base)
    : base_(base),
      last_(ReadClock()),
      next_tick_(last_ + kTick),
      tick_(base, [this] { Tick(); }) {
  tick_.After(kTick);
}

Runtime::~Runtime() = default;

TimePoint Runtime::Now() {
  const TimePoint now = std::max(ReadClock(), last_);
  const Duration gap = now - last_;
  last_ = now;
  if (gap >= kPauseThreshold) {
    woken_ = now;
    if (on_pause_) {
      on_pause_(gap);
    }
  }
  return now;
}

bool Runtime::HasJustResumed() {
  const TimePoint now = Now();
  return woken_ != TimePoint() && now - woken_ < kWaking;
}

void Runtime::Tick() {
  const TimePoint now = Now();
  const Duration late = std::max(Duration(0), now - next_tick_);
  lag_ = late < kPauseThreshold ? std::max(late, lag_ * kLagKept / kLagWhole)
                                : lag_;
  next_tick_ = now + kTick;
  tick_.After(kTick);
}

}  // namespace jaypick::node
