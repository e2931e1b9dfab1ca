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

  // Replaces an earlier delay.
  void After(Duration delay);
  void Cancel();

 private:
  static void OnTimeout(int socket, short what, void* self);

  event* event_;
  std::function<void()> callback_;
};

// The node's clock. It counts the time for which the machine was suspended, so
// that nothing that lapsed meanwhile is believed in.
class Runtime {
 public:
  explicit Runtime(event_base* base);
  ~Runtime();
  Runtime(const Runtime&) = delete;
  Runtime& operator=(const Runtime&) = delete;

  event_base* base() const { return base_; }
  TimePoint Now();

  // True shortly after the process did not run for `kPauseThreshold` or longer.
  // Requests that are read then may have waited in a socket for any time.
  bool HasJustResumed();

  // How late the event loop is at present: the lateness of its ticks, which
  // falls off within half a second.
  Duration lag() const { return lag_; }

  // Called with the length of each pause.
  void OnPause(std::function<void(Duration)> callback) {
    on_pause_ = std::move(callback);
  }

  // A processor quota stops a process for up to a tenth of a second.
  static constexpr Duration kPauseThreshold = std::chrono::milliseconds(400);

 private:
  void Tick();

  event_base* base_;
  TimePoint last_;
  TimePoint woken_;
  TimePoint next_tick_;
  Duration lag_{0};
  std::function<void(Duration)> on_pause_;
  Timer tick_;
};

}  // namespace jaypick::node

#endif  // JAYPICK_NODE_RUNTIME_H_
