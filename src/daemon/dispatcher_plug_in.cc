// Plug-in `dispatcher`: owns the dispatcher, passes events to it and publishes
// its actions.
#include <event2/event.h>
#include <sys/time.h>

#include <optional>
#include <utility>
#include <variant>

#include "daemon/kernel.h"
#include "http/evhttp_conversions.h"
#include "jaypick/dispatcher.h"

namespace jaypick::daemon {
namespace {

DispatcherOptions OptionsOf(Kernel& kernel) {
  DispatcherOptions options = kernel.settings().dispatch;
  options.entry = kernel.settings().entry;
  options.failure_domain = kernel.settings().failure_domain;
  options.incarnation = kernel.incarnation();
  options.seed = kernel.incarnation().value;
  options.observer = &kernel.metrics();
  return options;
}

class DispatcherPlugIn : public PlugIn {
 public:
  explicit DispatcherPlugIn(Kernel& kernel)
      : kernel_(kernel), dispatcher_(OptionsOf(kernel)) {
    kernel.SetDispatcher(&dispatcher_);
    timer_ = evtimer_new(kernel.base(), &DispatcherPlugIn::OnTimer, this);
    kernel.message_bus().Subscribe<Event>(
        [this](Event& event) { Handle(std::move(event)); });
  }

  ~DispatcherPlugIn() override { event_free(timer_); }

  DispatcherPlugIn(const DispatcherPlugIn&) = delete;
  DispatcherPlugIn& operator=(const DispatcherPlugIn&) = delete;

  std::size_t open_calls() const override { return dispatcher_.active_jobs(); }

 private:
  static void OnTimer(int /*socket*/, short /*what*/, void* self) {
    auto* const plug_in = static_cast<DispatcherPlugIn*>(self);
    plug_in->armed_for_.reset();
    plug_in->Handle(Tick{});
  }

  void Handle(Event event) {
    const TimePoint now = kernel_.Now();
    actions_.clear();
    dispatcher_.Handle(now, std::move(event), actions_);
    for (Action& action : actions_) {
      std::visit(
          [this](auto& typed) { kernel_.message_bus().Send(std::move(typed)); },
          action);
    }
    ArmTimer(now);
  }

  // Arms the timer for the dispatcher's next wake-up. A timer that is already
  // armed for an earlier time stays as it is: an extra tick costs less than
  // rescheduling the timer for each task.
  void ArmTimer(TimePoint now) {
    const auto wakeup = dispatcher_.next_wakeup();
    if (!wakeup || (armed_for_ && *armed_for_ <= *wakeup)) {
      return;
    }
    armed_for_ = *wakeup;
    const timeval delay = http::ToTimeval(*wakeup - now);
    evtimer_add(timer_, &delay);
  }

  Kernel& kernel_;
  Dispatcher dispatcher_;
  Actions actions_;
  event* timer_;
  std::optional<TimePoint> armed_for_;
};

const PlugInRegistration kRegistration =
    Register<DispatcherPlugIn>("dispatcher");

}  // namespace
}  // namespace jaypick::daemon
