// Clock and timers of a node's event loop.
#ifndef JAYPICK_NODE_RUNTIME_H_
#define JAYPICK_NODE_RUNTIME_H_

#include <functional>
#include <utility>

#include "jaypick/time.h"

struct event;
struct event_base;

namespace jaypick::node {

// Runs a callback once after a delay.
class Timer {
 public:
  Timer(event_base* base, std::function<void()> callback);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  // Starts the timer; replaces a delay that is still running.
  void After(Duration delay);
  void Cancel();

 private:
  static void OnTimeout(int socket, short what, void* self);

  event* event_;
  std::function<void()> callback_;
};

// The node's clock. It includes the time for which the machine was suspended,
// so that leases which expired meanwhile are recognised as expired.
class Runtime {
 public:
  explicit Runtime(event_base* base);
  ~Runtime();
  Runtime(const Runtime&) = delete;
  Runtime& operator=(const Runtime&) = delete;

  event_base* base() const { return base_; }
  TimePoint Now();

  // True shortly after the process was paused for `kPauseThreshold` or longer.
  // Requests that are read at that time may have waited in a socket for any
  // length of time.
  bool HasJustResumed();

  // Requests and ends of connections that had arrived by then have been read:
  // the present, or the time before a pause while `HasJustResumed`.
  TimePoint ReadUntil();

  // Current delay of the event loop: the delay of its ticks, which decays
  // within half a second.
  Duration lag() const { return lag_; }

  // Sets the callback for pauses; it receives the length of the pause.
  void OnPause(std::function<void(Duration)> callback) {
    on_pause_ = std::move(callback);
  }

  // Longer than the throttling by a CPU quota, which stops a process for up to
  // 100 ms at a time.
  static constexpr Duration kPauseThreshold = std::chrono::milliseconds(400);
  // Time after a pause in which all requests that had waited in sockets are
  // read.
  static constexpr Duration kResumeTime = std::chrono::milliseconds(50);

 private:
  void Tick();

  event_base* base_;
  TimePoint last_now_;
  TimePoint paused_at_;
  TimePoint resumed_at_;
  TimePoint next_tick_;
  Duration lag_{0};
  std::function<void(Duration)> on_pause_;
  Timer tick_;
};

}  // namespace jaypick::node

#endif  // JAYPICK_NODE_RUNTIME_H_
