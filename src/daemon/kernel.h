// The kernel: event loop, message bus, clock and plug-ins of one process.
#ifndef JAYPICK_DAEMON_KERNEL_H_
#define JAYPICK_DAEMON_KERNEL_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "daemon/clock.h"
#include "daemon/message_bus.h"
#include "daemon/metrics.h"
#include "daemon/plug_in.h"
#include "jaypick/dispatcher.h"
#include "jaypick/ids.h"
#include "jaypick/key_value_store.h"
#include "settings/settings.h"

struct event;
struct event_base;

namespace jaypick::daemon {

using StoreFactory = std::function<std::unique_ptr<KeyValueStore>(Kernel&)>;

// Creates all registered plug-ins and runs them on one event loop until the
// process has drained.
class Kernel {
 public:
  // `base` must outlive the kernel. `make_store` creates the client of the
  // platform's key-value service.
  //
  // Throws `std::runtime_error` if a plug-in cannot start, for example because
  // an address is in use.
  Kernel(event_base* base, Settings settings, const StoreFactory& make_store);
  ~Kernel();
  Kernel(const Kernel&) = delete;
  Kernel& operator=(const Kernel&) = delete;

  // Runs the event loop until the drain that SIGTERM or SIGINT starts has
  // finished.
  void Run();

  // Starts a drain, as SIGTERM does.
  void RequestShutdown();

  event_base* base() const { return base_; }
  MessageBus& message_bus() { return message_bus_; }
  Metrics& metrics() { return metrics_; }
  KeyValueStore& store() { return *store_; }
  const Settings& settings() const { return settings_; }
  Incarnation incarnation() const { return incarnation_; }
  TimePoint Now() { return clock_.Now(); }

  // Returns a call id that is unique over all interfaces of this process.
  CallId NextCall() { return {++last_call_}; }

  // Read access to the dispatcher. Only the dispatcher plug-in changes it.
  const Dispatcher& dispatcher() const { return *dispatcher_; }
  void SetDispatcher(const Dispatcher* dispatcher) { dispatcher_ = dispatcher; }

  // Returns a plug-in by its name, for tests that need its bound port.
  PlugIn& plug_in(const std::string& name) { return *plug_ins_.at(name); }

  // True once a drain has finished: all responses have been written, and the
  // event loop has been stopped.
  bool has_ended() const { return has_ended_; }

 private:
  static void OnSignal(int signal, short what, void* self);
  static void OnExitCheck(int socket, short what, void* self);
  void StopAccepting();
  void ExitIfIdle();

  Settings settings_;
  Incarnation incarnation_;
  event_base* base_;
  MonotonicClock clock_;
  MessageBus message_bus_;
  Metrics metrics_;
  std::uint64_t last_call_ = 0;
  const Dispatcher* dispatcher_ = nullptr;
  std::unique_ptr<KeyValueStore> store_;
  std::map<std::string, std::unique_ptr<PlugIn>> plug_ins_;
  event* terminate_signal_ = nullptr;
  event* interrupt_signal_ = nullptr;
  event* exit_check_ = nullptr;
  TimePoint last_busy_;
  bool is_shutting_down_ = false;
  bool has_ended_ = false;
};

}  // namespace jaypick::daemon

#endif  // JAYPICK_DAEMON_KERNEL_H_
