#include "node/runtime.h"

#include <event2/event.h>
#include <sys/time.h>

#include <algorithm>
#include <ctime>
#include <utility>

#include "http/evhttp_conversions.h"

namespace jaypick::node {
namespace {

// Interval of the check for pauses and for event loop delay.
constexpr Duration kTick = std::chrono::milliseconds(100);
// After each punctual tick the lag decays to two thirds.
constexpr int kLagDecayNumerator = 2;
constexpr int kLagDecayDenominator = 3;

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
      last_now_(ReadClock()),
      next_tick_(last_now_ + kTick),
      tick_(base, [this] { Tick(); }) {
  tick_.After(kTick);
}

Runtime::~Runtime() = default;

TimePoint Runtime::Now() {
  const TimePoint now = std::max(ReadClock(), last_now_);
  const TimePoint previous = std::exchange(last_now_, now);
  const Duration gap = now - previous;
  if (gap >= kPauseThreshold) {
    paused_at_ = previous;
    resumed_at_ = now;
    if (on_pause_) {
      on_pause_(gap);
    }
  }
  return now;
}

bool Runtime::HasJustResumed() {
  const TimePoint now = Now();
  return resumed_at_ != TimePoint() && now - resumed_at_ < kResumeTime;
}

TimePoint Runtime::ReadUntil() {
  return HasJustResumed() ? paused_at_ : Now();
}

void Runtime::Tick() {
  const TimePoint now = Now();
  const Duration late = std::max(Duration(0), now - next_tick_);
  lag_ = late < kPauseThreshold
             ? std::max(late, lag_ * kLagDecayNumerator / kLagDecayDenominator)
             : lag_;
  next_tick_ = now + kTick;
  tick_.After(kTick);
}

}  // namespace jaypick::node
