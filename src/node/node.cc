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
// The load balancer notices the shutdown after two health checks at intervals
// of a second; until then, callers still connect.
constexpr Duration kShutdownNotice = std::chrono::milliseconds(2300);
// The process exits after this time without open calls.
constexpr Duration kIdleBeforeExit = std::chrono::milliseconds(200);
// Reserve before SIGKILL for sending the last responses.
constexpr Duration kShutdownMargin = std::chrono::milliseconds(400);
// Jobs that are still running this long before SIGKILL are ended and answered.
constexpr Duration kAnswerMargin = std::chrono::milliseconds(700);

std::string RandomIncarnation() {
  std::random_device device;
  return std::to_string(device()) + "-" + std::to_string(device());
}

}  // namespace

Node::Node(event_base* base,
           NodeSettings settings,
           WatchableStore& store,
           const MessageCodec& codec)
    : settings_(std::move(settings)),
      incarnation_(RandomIncarnation()),
      runtime_(base),
      upstream_client_(runtime_, codec),
      view_(runtime_,
            store,
            codec,
            {.on_upstreams_changed =
                 [this] { leadership_manager_.OnUpstreamsChanged(); },
             .on_leaders_changed =
                 [this] { leadership_manager_.OnLeadersChanged(); },
             .on_evacuations_changed =
                 [this] { leadership_manager_.OnEvacuationsChanged(); }}),
      peers_(
          runtime_,
          {.ping_interval = settings_.ping_interval},
          [this] {
            return Ping{
                .sender = leadership_manager_.OwnRecord(),
                .is_draining = is_shutting_down_,
                .requested_domains = leadership_manager_.RequestedDomains(),
                .taken_over = leadership_manager_.TakenOverDomains()};
          },
          [this](const Address& /*peer*/, const PingResponse& response) {
            leadership_manager_.OnPingResponse(response);
          }),
      leadership_manager_(runtime_,
                          settings_,
                          incarnation_,
                          store,
                          view_,
                          peers_,
                          upstream_client_),
      snapshot_exchange_(runtime_,
                         settings_,
                         view_,
                         peers_,
                         leadership_manager_),
      peer_server_(runtime_,
                   settings_,
                   incarnation_,
                   leadership_manager_,
                   view_,
                   peers_,
                   snapshot_exchange_),
      caller_server_(runtime_,
                     settings_,
                     codec,
                     view_,
                     peers_,
                     leadership_manager_,
                     metrics_),
      readiness_(base,
                 {.address = settings_.readiness,
                  .limits = ShareLimits(settings_.machine).readiness}),
      metrics_server_(base,
                      {.address = settings_.metrics,
                       .limits = ShareLimits(settings_.machine).metrics}),
      tick_(base, [this] { OnTick(); }) {
  // With port 0, the system has chosen the port.
  settings_.peer.port = peer_server_.port();
  // A write to a connection closed by the peer must return an error instead of
  // raising a signal.
  std::signal(SIGPIPE, SIG_IGN);
  runtime_.OnPause([this](Duration pause) {
    leadership_manager_.OnPause();
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
        metrics_.Update(leadership_manager_.Statuses(), view_,
                        daemon::DroppedLogLines());
        metrics_.UpdateEvacuations(settings_.failure_domains,
                                   view_.evacuated_domains(),
                                   leadership_manager_.RunningTasks());
        metrics_.UpdateMemory("jobs", leadership_manager_.job_memory());
        metrics_.UpdateMemory("runs", leadership_manager_.run_memory());
        metrics_.UpdateServer("callers", caller_server_.counters());
        metrics_.UpdateServer("peers", peer_server_.counters());
        metrics_.UpdateServer("readiness", readiness_.counters());
        metrics_.UpdateServer("metrics", metrics_server_.counters());
        responder.Send({.body = metrics_.Serialize(),
                        .content_type = "text/plain; version=0.0.4"});
      });
  sigterm_event_ = evsignal_new(base, SIGTERM, &Node::OnSignal, this);
  sigint_event_ = evsignal_new(base, SIGINT, &Node::OnSignal, this);
  sighup_event_ = evsignal_new(base, SIGHUP, &Node::OnSignal, this);
}

Node::~Node() {
  for (event* const each : {sigterm_event_, sigint_event_, sighup_event_}) {
    event_free(each);
  }
}

void Node::Run(std::function<void()> on_reload) {
  on_reload_ = std::move(on_reload);
  for (event* const each : {sigterm_event_, sigint_event_, sighup_event_}) {
    evsignal_add(each, nullptr);
  }
  // Logged only now: from here on, signals are handled.
  LogEvent(LogLevel::kInfo, "started",
           {{"instance", settings_.instance},
            {"failure_domain", settings_.failure_domain}});
  Start();
  event_base_dispatch(runtime_.base());
}

void Node::Start() {
  view_.Start();
  leadership_manager_.Start();
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
           {{"jobs", std::to_string(caller_server_.jobs())}});
  caller_server_.BeginShutdown(
      shutdown_began_ + settings_.shutdown_limit / 2,
      shutdown_began_ + settings_.shutdown_limit - kAnswerMargin);
  leadership_manager_.ResignAll();
}

bool Node::IsReady() {
  if (is_shutting_down_ || view_.routing() == nullptr) {
    return false;
  }
  for (const std::string& domain : settings_.failure_domains) {
    const control::LeaderState state = peers_.LeaderStateOf(domain);
    if (leadership_manager_.Find(domain) != nullptr ||
        state == control::LeaderState::kAlive ||
        state == control::LeaderState::kLeaving) {
      return true;
    }
  }
  return false;
}

void Node::OnTick() {
  peers_.SetUsesRelays(view_.is_connected() &&
                       !leadership_manager_.leads_any_domain());
  snapshot_exchange_.Tick();
  if (is_shutting_down_ && !has_ended_) {
    CheckShutdownFinished();
  }
  tick_.After(kTick);
}

void Node::CheckShutdownFinished() {
  const TimePoint now = runtime_.Now();
  const bool is_busy = caller_server_.open_calls() > 0 ||
                       peer_server_.open_calls() > 0 ||
                       leadership_manager_.leads_any_domain();
  if (is_busy) {
    last_busy_ = now;
  }
  const Duration elapsed = now - shutdown_began_;
  const bool is_finished =
      elapsed >= kShutdownNotice && now - last_busy_ >= kIdleBeforeExit;
  if (is_finished || elapsed >= settings_.shutdown_limit - kShutdownMargin) {
    LogEvent(LogLevel::kInfo, "shutdown_finished",
             {{"ms", std::to_string(ToMilliseconds(elapsed))},
              {"jobs", std::to_string(caller_server_.jobs())}});
    has_ended_ = true;
    event_base_loopbreak(runtime_.base());
  }
}

}  // namespace jaypick::node
