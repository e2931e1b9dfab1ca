#include "daemon/kernel.h"

#include <event2/event.h>
#include <sys/time.h>

#include <csignal>
#include <random>
#include <utility>

#include "daemon/log.h"

namespace jaypick::daemon {
namespace {

constexpr timeval kEndCheckInterval{.tv_sec = 0, .tv_usec = 5000};
// Time without open calls before the process ends, so that a request that was
// on its way when the listening sockets closed is still answered.
constexpr Duration kQuietBeforeEnd = std::chrono::milliseconds(200);
constexpr unsigned kHalfBits = 32;

Incarnation RandomIncarnation() {
  std::random_device device;
  const std::uint64_t high = device();
  return {(high << kHalfBits) | device()};
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
  // A peer that closes while we write is an error code, not a signal.
  std::signal(SIGPIPE, SIG_IGN);
  store_ = make_store(*this);
  for (const auto& [name, factory] : PlugInRegistration::registry()) {
    plug_ins_.emplace(name, factory(*this));
  }
  message_bus_.Subscribe<DrainFinished>(
      [this](DrainFinished&) { StopAccepting(); });
  terminate_ = evsignal_new(base_, SIGTERM, &Kernel::OnSignal, this);
  interrupt_ = evsignal_new(base_, SIGINT, &Kernel::OnSignal, this);
  end_check_ = event_new(base_, -1, EV_PERSIST, &Kernel::OnEndCheck, this);
  for (const auto& [name, plug_in] : plug_ins_) {
    plug_in->Start();
  }
}

Kernel::~Kernel() {
  for (event* const each : {terminate_, interrupt_, end_check_}) {
    if (each != nullptr) {
      event_free(each);
    }
  }
  plug_ins_.clear();
  store_.reset();
  // Closed sockets are finalised by the loop.
  event_base_loop(base(), EVLOOP_NONBLOCK);
}

void Kernel::Run() {
  evsignal_add(terminate_, nullptr);
  evsignal_add(interrupt_, nullptr);
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
  last_open_call_ = Now();
  event_add(end_check_, &kEndCheckInterval);
}

void Kernel::OnEndCheck(int /*socket*/, short /*what*/, void* self) {
  static_cast<Kernel*>(self)->CheckEnd();
}

void Kernel::CheckEnd() {
  std::size_t open = 0;
  for (const auto& [name, plug_in] : plug_ins_) {
    open += plug_in->open_calls();
  }
  if (open != 0) {
    last_open_call_ = Now();
    return;
  }
  if (Now() - last_open_call_ < kQuietBeforeEnd) {
    return;
  }
  has_ended_ = true;
  LogEvent(LogLevel::kInfo, "drain_finished", {});
  event_base_loopbreak(base());
}

}  // namespace jaypick::daemon
