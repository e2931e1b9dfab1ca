#include "node/node.h"

#include <event2/event.h>

#include <csignal>
#include <random>
#include <utility>

#include "daemon/log.h"

namespace jaypick::node {
namespace {

using daemon::LogEvent;
using daemon::LogLevel;

constexpr int kUnavailable = 503;
constexpr Duration kTick = std::chrono::milliseconds(100);
// The balancer notices within two checks of a second each; callers come until
// then.
constexpr Duration kShutdownNotice = std::chrono::milliseconds(2300);
// Time without open calls before the process ends.
constexpr Duration kQuietBeforeEnd = std::chrono::milliseconds(200);
// Left for the last answers before the process is killed.
constexpr Duration kShutdownMargin = std::chrono::milliseconds(400);
// Before that, jobs that still run are given up and answered.
constexpr Duration kAnswerMargin = std::chrono::milliseconds(700);

std::string RandomIncarnation() {
  std::random_device device;
  return std::to_string(device()) + "-" + std::to_string(device());
}

}  // namespace

Node::Node(event_base* base,
           NodeSettings settings,
           WatchableStore& store,
           const Dialect& dialect)
    : settings_(std::move(settings)),
      incarnation_(RandomIncarnation()),
      runtime_(base),
      caller_(runtime_, dialect),
      view_(runtime_,
            store,
            dialect,
            {.on_upstreams = [this] { keeper_.OnUpstreams(); },
             .on_commands = [this] { keeper_.OnCommands(); }}),
      peers_(
          runtime_,
          {.ping_interval = settings_.ping_interval},
          [this] {
            return Ping{.sender = keeper_.OwnRecord(),
                        .is_draining = is_shutting_down_,
                        .wanted = keeper_.Wanted()};
          },
          [this](const Address& /*peer*/, const PingAnswer& /*answer*/) {
            keeper_.OnPeerAnswer();
          }),
      keeper_(runtime_, settings_, incarnation_, store, view_, peers_, caller_),
      view_exchange_(runtime_, settings_, view_, peers_, keeper_),
      peer_server_(runtime_,
                   settings_,
                   incarnation_,
                   keeper_,
                   view_,
                   view_exchange_),
      entry_(runtime_, settings_, dialect, view_, peers_, keeper_, metrics_),
      readiness_(base, {.address = settings_.readiness}),
      metrics_server_(base, {.address = settings_.metrics}),
      tick_(base, [this] { OnTick(); }) {
  // Port 0 lets the system choose one.
  settings_.peer.port = peer_server_.port();
  // A peer that closes while we write is an error code, not a signal.
  std::signal(SIGPIPE, SIG_IGN);
  runtime_.OnPause([this](Duration pause) {
    keeper_.OnPause();
    LogEvent(LogLevel::kWarning, "process_paused",
             {{"ms", std::to_string(ToMilliseconds(pause))}});
  });
  readiness_.Handle(
      http::Method::kGet, settings_.readiness_path,
      [this](const http::Request&, http::Responder responder) {
        responder.Send(IsReady()
                           ? http::Response{.body = R"({"ready":true})"}
                           : http::Response{.status = kUnavailable,
                                            .headers = {},
                                            .body = R"({"ready":false})"});
      });
  metrics_server_.Handle(
      http::Method::kGet, "/metrics",
      [this](const http::Request&, http::Responder responder) {
        metrics_.Update(keeper_.Statuses(), view_, daemon::DroppedLogLines());
        responder.Send({.body = metrics_.Serialize(),
                        .content_type = "text/plain; version=0.0.4"});
      });
  terminate_ = evsignal_new(base, SIGTERM, &Node::OnSignal, this);
  interrupt_ = evsignal_new(base, SIGINT, &Node::OnSignal, this);
  reload_ = evsignal_new(base, SIGHUP, &Node::OnSignal, this);
}

Node::~Node() {
  for (event* const each : {terminate_, interrupt_, reload_}) {
    event_free(each);
  }
}

void Node::Run(std::function<void()> on_reload) {
  on_reload_ = std::move(on_reload);
  for (event* const each : {terminate_, interrupt_, reload_}) {
    evsignal_add(each, nullptr);
  }
  // From here on, signals are handled.
  LogEvent(LogLevel::kInfo, "started",
           {{"instance", settings_.instance},
            {"failure_domain", settings_.failure_domain}});
  Start();
  event_base_dispatch(runtime_.base());
}

void Node::Start() {
  view_.Start();
  keeper_.Start();
  tick_.After(kTick);
}

void Node::OnSignal(int signal, short /*what*/, void* self) {
  auto* const node = static_cast<Node*>(self);
  if (signal == SIGHUP) {
    node->on_reload_();
    return;
  }
  node->RequestShutdown();
}

void Node::RequestShutdown() {
  if (std::exchange(is_shutting_down_, true)) {
    return;
  }
  shutdown_began_ = runtime_.Now();
  last_busy_ = shutdown_began_;
  LogEvent(LogLevel::kInfo, "shutdown_began",
           {{"jobs", std::to_string(entry_.jobs())}});
  entry_.BeginShutdown(
      shutdown_began_ + settings_.shutdown_limit / 2,
      shutdown_began_ + settings_.shutdown_limit - kAnswerMargin);
  keeper_.YieldAll();
}

bool Node::IsReady() {
  if (is_shutting_down_ || view_.routing() == nullptr) {
    return false;
  }
  for (const std::string& domain : settings_.failure_domains) {
    const command::HolderState state = peers_.StateOf(domain);
    if (keeper_.Find(domain) != nullptr ||
        state == command::HolderState::kAlive ||
        state == command::HolderState::kLeaving) {
      return true;
    }
  }
  return false;
}

void Node::OnTick() {
  view_exchange_.Tick();
  if (is_shutting_down_ && !has_ended_) {
    CheckEnd();
  }
  tick_.After(kTick);
}

void Node::CheckEnd() {
  const TimePoint now = runtime_.Now();
  const bool is_busy = entry_.open_calls() > 0 ||
                       peer_server_.open_calls() > 0 || keeper_.has_commands();
  if (is_busy) {
    last_busy_ = now;
  }
  const Duration elapsed = now - shutdown_began_;
  const bool is_over =
      elapsed >= kShutdownNotice && now - last_busy_ >= kQuietBeforeEnd;
  if (is_over || elapsed >= settings_.shutdown_limit - kShutdownMargin) {
    LogEvent(LogLevel::kInfo, "shutdown_finished",
             {{"ms", std::to_string(ToMilliseconds(elapsed))},
              {"jobs", std::to_string(entry_.jobs())}});
    has_ended_ = true;
    event_base_loopbreak(runtime_.base());
  }
}

}  // namespace jaypick::node
