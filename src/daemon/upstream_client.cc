#include "daemon/upstream_client.h"

#include <event2/event.h>
#include <sys/time.h>

#include <algorithm>
#include <utility>

#include "daemon/raw_json.h"
#include "http/evhttp_conversions.h"

namespace jaypick::daemon {
namespace {

// Interval of the search for connections that have been idle or opening for too
// long.
constexpr timeval kSweepInterval{.tv_sec = 0, .tv_usec = 100'000};

}  // namespace

UpstreamClient::UpstreamClient(event_base* base,
                               UpstreamClientOptions options,
                               Callbacks callbacks)
    : base_(base),
      options_(options),
      callbacks_(std::move(callbacks)),
      connection_callbacks_{
          .on_health_checked =
              [this](UpstreamConnection& connection, bool is_ok) {
                OnHealthChecked(connection, is_ok);
              },
          .on_response =
              [this](UpstreamConnection& connection,
                     UpstreamResponse response) {
                OnResponse(connection, std::move(response));
              },
          .on_closed =
              [this](UpstreamConnection& connection) { OnClosed(connection); }},
      destroy_event_(
          event_new(base, -1, 0, &UpstreamClient::OnDestroyClosed, this)),
      sweep_timer_(
          event_new(base, -1, EV_PERSIST, &UpstreamClient::OnSweep, this)) {
  event_add(sweep_timer_, &kSweepInterval);
}

UpstreamClient::~UpstreamClient() {
  event_free(destroy_event_);
  event_free(sweep_timer_);
}

void UpstreamClient::Start(StartAttempt attempt) {
  Upstream& upstream = Find(attempt);
  std::string text = ToString(attempt.attempt);
  upstream.waiting.push_back({.start = std::move(attempt),
                              .text = std::move(text),
                              .queued_at = callbacks_.now()});
  SendWaiting(upstream);
}

void UpstreamClient::Abandon(const AbandonAttempt& attempt) {
  const std::string text = ToString(attempt.attempt);
  const auto running = in_flight_.find(text);
  if (running != in_flight_.end()) {
    UpstreamConnection& connection = *running->second;
    Upstream& upstream = *connections_.at(&connection).upstream;
    in_flight_.erase(running);
    Close(connection);
    SendWaiting(upstream);
    return;
  }
  const auto upstream = upstreams_.find(attempt.upstream);
  if (upstream != upstreams_.end()) {
    std::erase_if(upstream->second.waiting,
                  [&](const Attempt& waiting) { return waiting.text == text; });
  }
}

UpstreamClient::Upstream& UpstreamClient::Find(const StartAttempt& attempt) {
  Upstream& upstream = upstreams_[attempt.upstream];
  if (upstream.address != attempt.address) {
    // A different instance now has this name.
    for (UpstreamConnection* const idle : std::exchange(upstream.idle, {})) {
      Close(*idle);
    }
    upstream.name = attempt.upstream;
    upstream.address = attempt.address;
  }
  return upstream;
}

void UpstreamClient::SendWaiting(Upstream& upstream) {
  while (!upstream.waiting.empty()) {
    UpstreamConnection* const connection = TakeIdle(upstream);
    if (connection == nullptr) {
      break;
    }
    Send(upstream, *connection);
  }
  while (upstream.opening < upstream.waiting.size()) {
    if (!OpenConnection(upstream)) {
      EndUnservedAttempts(upstream);
      return;
    }
  }
}

UpstreamConnection* UpstreamClient::TakeIdle(Upstream& upstream) {
  while (!upstream.idle.empty()) {
    UpstreamConnection* const connection = upstream.idle.back();
    upstream.idle.pop_back();
    if (connection->IsReady()) {
      return connection;
    }
    Close(*connection);
  }
  return nullptr;
}

void UpstreamClient::Send(Upstream& upstream, UpstreamConnection& connection) {
  Attempt attempt = std::move(upstream.waiting.front());
  upstream.waiting.pop_front();
  const Duration remaining =
      attempt.start.remaining - (callbacks_.now() - attempt.queued_at);
  const UpstreamTask task{.attempt = attempt.text,
                          .kind_json = KindJson(attempt.start.kind),
                          .payload = std::move(attempt.start.payload),
                          .remaining = remaining};
  // The remaining time may have passed while the connection was being opened.
  const bool is_expired = remaining <= Duration(0);
  if (is_expired || !connection.Send(task)) {
    if (is_expired) {
      upstream.idle.push_back(&connection);
    } else {
      Close(connection);
    }
    callbacks_.on_ended({.attempt = std::move(attempt.start.attempt),
                         .upstream = upstream.name,
                         .outcome = attempt::NotSent{},
                         .reported_load = std::nullopt});
    return;
  }
  connections_.at(&connection).attempt = std::move(attempt.start.attempt);
  connection.attempt = attempt.text;
  in_flight_.emplace(std::move(attempt.text), &connection);
}

bool UpstreamClient::OpenConnection(Upstream& upstream) {
  auto owned = std::make_unique<UpstreamConnection>(base_, upstream.address,
                                                    connection_callbacks_);
  if (!owned->Open()) {
    closed_.push_back(std::move(owned));
    event_active(destroy_event_, 0, 0);
    return false;
  }
  callbacks_.on_probe();
  ++upstream.opening;
  UpstreamConnection* const connection = owned.get();
  connections_.emplace(connection, Connection{.connection = std::move(owned),
                                              .upstream = &upstream,
                                              .attempt = {},
                                              .opened_at = callbacks_.now()});
  return true;
}

void UpstreamClient::OnHealthChecked(UpstreamConnection& connection,
                                     bool is_ok) {
  const auto it = connections_.find(&connection);
  if (it == connections_.end()) {
    return;
  }
  Upstream& upstream = *it->second.upstream;
  it->second.is_opening = false;
  --upstream.opening;
  if (!is_ok) {
    Close(connection);
    EndUnservedAttempts(upstream);
    return;
  }
  connection.idle_since = callbacks_.now();
  upstream.idle.push_back(&connection);
  SendWaiting(upstream);
}

void UpstreamClient::OnResponse(UpstreamConnection& connection,
                                UpstreamResponse response) {
  const auto it = connections_.find(&connection);
  if (it == connections_.end()) {
    return;
  }
  Upstream& upstream = *it->second.upstream;
  in_flight_.erase(connection.attempt);
  callbacks_.on_ended({.attempt = std::move(it->second.attempt),
                       .upstream = upstream.name,
                       .outcome = std::move(response.outcome),
                       .reported_load = response.reported_load});
  if (!connection.IsReusable()) {
    Close(connection);
  } else {
    connection.idle_since = callbacks_.now();
    upstream.idle.push_back(&connection);
  }
  SendWaiting(upstream);
}

void UpstreamClient::OnClosed(UpstreamConnection& connection) {
  const auto it = connections_.find(&connection);
  if (it != connections_.end() && !it->second.is_opening) {
    std::erase(it->second.upstream->idle, &connection);
    Close(connection);
  }
}

void UpstreamClient::EndUnservedAttempts(Upstream& upstream) {
  while (upstream.waiting.size() > upstream.opening) {
    Attempt attempt = std::move(upstream.waiting.front());
    upstream.waiting.pop_front();
    callbacks_.on_ended({.attempt = std::move(attempt.start.attempt),
                         .upstream = upstream.name,
                         .outcome = attempt::NotSent{},
                         .reported_load = std::nullopt});
  }
}

void UpstreamClient::Close(UpstreamConnection& connection) {
  auto node = connections_.extract(&connection);
  if (node.empty()) {
    return;
  }
  closed_.push_back(std::move(node.mapped().connection));
  event_active(destroy_event_, 0, 0);
}

void UpstreamClient::OnDestroyClosed(int /*socket*/,
                                     short /*what*/,
                                     void* self) {
  static_cast<UpstreamClient*>(self)->closed_.clear();
}

void UpstreamClient::OnSweep(int /*socket*/, short /*what*/, void* self) {
  static_cast<UpstreamClient*>(self)->Sweep();
}

void UpstreamClient::Sweep() {
  const TimePoint now = callbacks_.now();
  std::vector<UpstreamConnection*> overdue;
  for (auto& [name, upstream] : upstreams_) {
    std::erase_if(upstream.idle, [&](UpstreamConnection* connection) {
      const bool is_old = now - connection->idle_since > options_.idle_timeout;
      if (is_old) {
        Close(*connection);
      }
      return is_old;
    });
  }
  for (const auto& [connection, state] : connections_) {
    if (state.is_opening && now - state.opened_at > options_.open_timeout) {
      overdue.push_back(connection);
    }
  }
  for (UpstreamConnection* const connection : overdue) {
    Upstream& upstream = *connections_.at(connection).upstream;
    --upstream.opening;
    Close(*connection);
    EndUnservedAttempts(upstream);
  }
}

const std::string& UpstreamClient::KindJson(const std::string& kind) {
  const auto [it, is_new] = kinds_json_.try_emplace(kind);
  if (is_new) {
    AppendJsonString(it->second, kind);
  }
  return it->second;
}

}  // namespace jaypick::daemon
