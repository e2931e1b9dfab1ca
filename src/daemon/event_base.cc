#include "daemon/event_base.h"

#include <event2/event.h>

namespace jaypick::daemon {

EventBase MakeEventBase() {
  event_config* const config = event_config_new();
  // Timers based on the default coarse clock are off by up to 4 ms, which is
  // several times the overhead that an entry adds to a job.
  event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
  // evhttp enables and disables read and write events for each message. With a
  // changelist, changes that cancel each other within one loop iteration cost
  // no system call. This mode does not support duplicated descriptors; jaypick
  // duplicates none.
  event_config_set_flag(config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
  EventBase base(event_base_new_with_config(config), event_base_free);
  event_config_free(config);
  return base;
}

}  // namespace jaypick::daemon
