// Creation of the event loop.
#ifndef JAYPICK_DAEMON_EVENT_BASE_H_
#define JAYPICK_DAEMON_EVENT_BASE_H_

#include <memory>

struct event_base;

namespace jaypick::daemon {

using EventBase = std::unique_ptr<event_base, void (*)(event_base*)>;

EventBase MakeEventBase();

}  // namespace jaypick::daemon

#endif  // JAYPICK_DAEMON_EVENT_BASE_H_
