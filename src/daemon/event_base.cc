#include "daemon/event_base.h"

#include <event2/event.h>

namespace jaypick::daemon {

EventBase MakeEventBase() {
  event_config* const config = event_config_new();
  // Timers of the default clock are off by up to 4 ms, several times the
  // overhead of an entry.
  event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
  // evhttp switches reading and writing for each message; the changes that
  // cancel each other within a round cost no system call. No descriptor is
  // duplicated, which this mode does not support.
  event_config_set_flag(config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
  EventBase base(event_base_new_with_config(config), event_base_free);
  event_config_free(config);
  return base;
}

}  // namespace jaypick::daemon
