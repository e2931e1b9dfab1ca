// The kernel: event loop, mailbox, clock and plug-ins of one process.
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

// Builds all registered plug-ins, runs them on one event loop and ends when a
// drain has finished.
class Kernel {
 public:
  // `base` outlives the kernel; `make_store` builds the client of the
  // platform's key-value service.
  //
  // Throws `std::runtime_error` if a plug-in cannot start, for example because
  // an address is in use.
  Kernel(event_base* base, Settings settings, const StoreFactory& make_store);
  ~Kernel();
  Kernel(const Kernel&) = delete;
  Kernel& operator=(const Kernel&) = delete;

  // Runs until a SIGTERM or SIGINT has been drained.
  void Run();

  // Starts the drain as SIGTERM does.
  void RequestShutdown();

  event_base* base() const { return base_; }
  MessageBus& message_bus() { return message_bus_; }
  Metrics& metrics() { return metrics_; }
  KeyValueStore& store() { return *store_; }
  const Settings& settings() const { return settings_; }
  Incarnation incarnation() const { return incarnation_; }
  TimePoint Now() { return clock_.Now(); }

  // Calls waiting at any interface of this process have distinct ids.
  CallId NextCall() { return {++last_call_}; }

  // The decision code's state, to read. Only the dispatcher plug-in has it to
  // write.
  const Dispatcher& dispatcher() const { return *dispatcher_; }
  void SetDispatcher(const Dispatcher* dispatcher) { dispatcher_ = dispatcher; }

  // A plug-in by its name; for tests that need a bound port.
  PlugIn& plug_in(const std::string& name) { return *plug_ins_.at(name); }

  // True once the last answer of a drain has been written.
  bool has_ended() const { return has_ended_; }

 private:
  static void OnSignal(int signal, short what, void* self);
  static void OnEndCheck(int socket, short what, void* self);
  void StopAccepting();
  void CheckEnd();

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
  event* terminate_ = nullptr;
  event* interrupt_ = nullptr;
  event* end_check_ = nullptr;
  TimePoint last_open_call_;
  bool is_shutting_down_ = false;
  bool has_ended_ = false;
};

}  // namespace jaypick::daemon

#endif  // JAYPICK_DAEMON_KERNEL_H_
