#include "daemon/mailbox.h"

#include <event2/event.h>

namespace jaypick::daemon {

Mailbox::Mailbox(event_base* base)
    : event_(event_new(base, -1, 0, &Mailbox::OnActive, this)) {}

Mailbox::~Mailbox() {
  event_free(event_);
}

void Mailbox::Send(Message message) {
  queue_.push_back(std::move(message));
  if (!is_active_) {
    is_active_ = true;
    event_active(event_, 0, 0);
  }
}

void Mailbox::OnActive(int /*socket*/, short /*what*/, void* self) {
  static_cast<Mailbox*>(self)->Deliver();
}

void Mailbox::Deliver() {
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
