#include "daemon/kernel.h"

#include <event2/event.h>
#include <sys/time.h>

#include <csignal>
#include <random>
#include <utility>

#include "daemon/log.h"

namespace jaypick::daemon {
namespace {

constexpr timeval kExitCheckInterval{.tv_sec = 0, .tv_usec = 5000};
// The process exits only after it has had no open calls for this time, so that
// requests that were in transit when the listening sockets were closed still
// get a response.
constexpr Duration kMinIdleBeforeExit = std::chrono::milliseconds(200);
constexpr unsigned kBitsPerDraw = 32;

Incarnation RandomIncarnation() {
  std::random_device device;
  const std::uint64_t high = device();
  return {(high << kBitsPerDraw) | device()};
}

}  // namespace

PlugInRegistration::PlugInRegistration(std::string name,
                                       PlugInFactory factory) {
  MutableRegistry().emplace(std::move(name), std::move(factory));
}

const std::map<std::string, PlugInFactory>& PlugInRegistration::registry() {
  return MutableRegistry();
}

std::map<std::string, PlugInFactory>& PlugInRegistration::MutableRegistry() {
  static std::map<std::string, PlugInFactory> registry;
  return registry;
}

Kernel::Kernel(event_base* base,
               Settings settings,
               const StoreFactory& make_store)
    : settings_(std::move(settings)),
      incarnation_(RandomIncarnation()),
      base_(base),
      message_bus_(base) {
  // A write to a connection that the peer has closed must return an error
  // instead of raising a signal that ends the process.
  std::signal(SIGPIPE, SIG_IGN);
  store_ = make_store(*this);
  for (const auto& [name, factory] : PlugInRegistration::registry()) {
    plug_ins_.emplace(name, factory(*this));
  }
  message_bus_.Subscribe<DrainFinished>(
      [this](DrainFinished&) { StopAccepting(); });
  terminate_signal_ = evsignal_new(base_, SIGTERM, &Kernel::OnSignal, this);
  interrupt_signal_ = evsignal_new(base_, SIGINT, &Kernel::OnSignal, this);
  exit_check_ = event_new(base_, -1, EV_PERSIST, &Kernel::OnExitCheck, this);
  for (const auto& [name, plug_in] : plug_ins_) {
    plug_in->Start();
  }
}

Kernel::~Kernel() {
  for (event* const each :
       {terminate_signal_, interrupt_signal_, exit_check_}) {
    if (each != nullptr) {
      event_free(each);
    }
  }
  plug_ins_.clear();
  store_.reset();
  // libevent frees closed sockets in the event loop.
  event_base_loop(base(), EVLOOP_NONBLOCK);
}

void Kernel::Run() {
  evsignal_add(terminate_signal_, nullptr);
  evsignal_add(interrupt_signal_, nullptr);
  event_base_dispatch(base());
}

void Kernel::RequestShutdown() {
  if (is_shutting_down_) {
    return;
  }
  is_shutting_down_ = true;
  LogEvent(LogLevel::kInfo, "drain_started", {});
  message_bus_.Send(ShutdownRequested{});
  message_bus_.Send(Event(DrainRequested{.notice = settings_.drain_notice}));
}

void Kernel::OnSignal(int /*signal*/, short /*what*/, void* self) {
  static_cast<Kernel*>(self)->RequestShutdown();
}

void Kernel::StopAccepting() {
  for (const auto& [name, plug_in] : plug_ins_) {
    plug_in->StopAccepting();
  }
  last_busy_ = Now();
  event_add(exit_check_, &kExitCheckInterval);
}

void Kernel::OnExitCheck(int /*socket*/, short /*what*/, void* self) {
  static_cast<Kernel*>(self)->ExitIfIdle();
}

void Kernel::ExitIfIdle() {
  std::size_t open = 0;
  for (const auto& [name, plug_in] : plug_ins_) {
    open += plug_in->open_calls();
  }
  if (open != 0) {
    last_busy_ = Now();
    return;
  }
  if (Now() - last_busy_ < kMinIdleBeforeExit) {
    return;
  }
  has_ended_ = true;
  LogEvent(LogLevel::kInfo, "drain_finished", {});
  event_base_loopbreak(base());
}

}  // namespace jaypick::daemon
