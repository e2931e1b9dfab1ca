#include "daemon/message_bus.h"

#include <event2/event.h>

namespace jaypick::daemon {

MessageBus::MessageBus(event_base* base)
    : event_(event_new(base, -1, 0, &MessageBus::OnActive, this)) {}

MessageBus::~MessageBus() {
  event_free(event_);
}

void MessageBus::Send(Message message) {
  queue_.push_back(std::move(message));
  if (!is_active_) {
    is_active_ = true;
    event_active(event_, 0, 0);
  }
}

void MessageBus::OnActive(int /*socket*/, short /*what*/, void* self) {
  static_cast<MessageBus*>(self)->Deliver();
}

void MessageBus::Deliver() {
  while (!queue_.empty()) {
    delivering_.clear();
    std::swap(queue_, delivering_);
    for (Message& message : delivering_) {
      for (const Receiver& receiver : receivers_[message.index()]) {
        receiver(message);
      }
    }
  }
  delivering_.clear();
  is_active_ = false;
}

}  // namespace jaypick::daemon
