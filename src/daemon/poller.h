// Periodic timer.
#ifndef JAYPICK_DAEMON_POLLER_H_
#define JAYPICK_DAEMON_POLLER_H_

#include <functional>

#include "jaypick/time.h"

struct event;
struct event_base;

namespace jaypick::daemon {

// Calls `poll` from the event loop as soon as `Start` has been called, and then
// every `interval`.
class Poller {
 public:
  Poller(event_base* base, Duration interval, std::function<void()> poll);
  ~Poller();
  Poller(const Poller&) = delete;
  Poller& operator=(const Poller&) = delete;

  void Start();

 private:
  static void OnTimer(int socket, short what, void* self);

  std::function<void()> poll_;
  Duration interval_;
  event* timer_;
};

}  // namespace jaypick::daemon

#endif  // JAYPICK_DAEMON_POLLER_H_
