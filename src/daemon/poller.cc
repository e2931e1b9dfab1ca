#include "daemon/poller.h"

#include <event2/event.h>
#include <sys/time.h>

#include <utility>

#include "http/evhttp_conversions.h"

namespace jaypick::daemon {

Poller::Poller(event_base* base, Duration interval, std::function<void()> poll)
    : poll_(std::move(poll)),
      interval_(interval),
      timer_(event_new(base, -1, EV_PERSIST, &Poller::OnTimer, this)) {}

Poller::~Poller() {
  event_free(timer_);
}

void Poller::Start() {
  const timeval interval = http::ToTimeval(interval_);
  event_add(timer_, &interval);
  event_active(timer_, 0, 0);
}

void Poller::OnTimer(int /*socket*/, short /*what*/, void* self) {
  static_cast<Poller*>(self)->poll_();
}

}  // namespace jaypick::daemon
