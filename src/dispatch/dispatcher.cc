#include "jaypick/dispatcher.h"

#include <utility>

#include "dispatch/core.h"

namespace jaypick {

Dispatcher::Dispatcher(DispatcherOptions options)
    : core_(std::make_unique<Core>(std::move(options))) {}

Dispatcher::~Dispatcher() = default;

void Dispatcher::Handle(TimePoint now, Event event, Actions& actions) {
  core_->Handle(now, std::move(event), actions);
}

std::optional<TimePoint> Dispatcher::next_wakeup() const {
  return core_->next_wakeup();
}

const Configuration* Dispatcher::configuration() const {
  return core_->configuration();
}

const InstanceList* Dispatcher::instances() const {
  return core_->instances();
}

bool Dispatcher::is_draining() const {
  return core_->is_draining();
}

std::size_t Dispatcher::active_jobs() const {
  return core_->active_jobs();
}

std::size_t Dispatcher::queued_tasks() const {
  return core_->queued_tasks();
}

std::size_t Dispatcher::running_tasks() const {
  return core_->running_tasks();
}

std::vector<std::string> Dispatcher::ejected_upstreams() const {
  return core_->ejected_upstreams();
}

const DispatcherOptions& Dispatcher::options() const {
  return core_->options();
}

}  // namespace jaypick
