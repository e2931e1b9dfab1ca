#include "standins/relay.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <chrono>
#include <stdexcept>
#include <utility>

namespace jaypick::standin {
namespace {

constexpr int kBacklog = 512;

// JSON fields of the faults, indexed by `Direction`.
constexpr const char* kDelayFields[] = {"delay_to_target_ms",
                                        "delay_to_client_ms"};
constexpr const char* kSwallowFields[] = {"swallow_to_target",
                                          "swallow_to_client"};

sockaddr_in Loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

void SetNoDelay(int socket) {
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

void Free(bufferevent* events, bool reset) {
  if (reset) {
    const linger now{.l_onoff = 1, .l_linger = 0};
    setsockopt(bufferevent_getfd(events), SOL_SOCKET, SO_LINGER, &now,
               sizeof(now));
  }
  bufferevent_free(events);
}

}  // namespace

// One of the two connections of a link. Bytes that it receives are relayed in
// `direction`.
struct Relay::LinkEnd {
  Relay* relay = nullptr;
  std::uint64_t link = 0;
  Direction direction = kToTarget;
  bufferevent* events = nullptr;
};

// Connection of a client, together with its connection to the target.
struct Relay::Link {
  std::uint64_t id = 0;
  LinkEnd ends[2];
  bool silent = false;
};

Relay::Relay(event_base* base, RelayOptions options)
    : base_(base),
      target_port_(options.target_port),
      port_(options.port),
      control_(
          base,
          options.control_port,
          ControlHandler([this](const std::string& path, const Json& body) {
            return Control(path, body);
          })) {
  Listen();
}

Relay::~Relay() {
  *is_alive_ = false;
  StopListening();
  CloseAll();
}

void Relay::Listen() {
  const sockaddr_in address = Loopback(port_.value());
  const auto on_accept = [](evconnlistener*, evutil_socket_t socket, sockaddr*,
                            int, void* self) {
    static_cast<Relay*>(self)->Accept(socket);
  };
  listener_ = evconnlistener_new_bind(
      base_, on_accept, this, LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE,
      kBacklog, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  if (listener_ == nullptr) {
    throw std::runtime_error("cannot listen on port " +
                             std::to_string(port_.value()));
  }
}

void Relay::StopListening() {
  if (listener_ != nullptr) {
    evconnlistener_free(listener_);
    listener_ = nullptr;
  }
}

void Relay::Accept(int socket) {
  auto link = std::make_unique<Link>();
  link->id = next_id_++;
  SetNoDelay(socket);
  Attach(*link, kToTarget,
         bufferevent_socket_new(base_, socket, BEV_OPT_CLOSE_ON_FREE));
  bufferevent* const target =
      bufferevent_socket_new(base_, -1, BEV_OPT_CLOSE_ON_FREE);
  Attach(*link, kToClient, target);
  const std::uint64_t id = link->id;
  links_.emplace(id, std::move(link));
  const sockaddr_in address = Loopback(target_port_);
  if (bufferevent_socket_connect(target,
                                 reinterpret_cast<const sockaddr*>(&address),
                                 sizeof(address)) != 0) {
    return Close(id, /*reset=*/true);
  }
  SetNoDelay(bufferevent_getfd(target));
}

void Relay::Attach(Link& link, Direction from, bufferevent* events) {
  LinkEnd& end = link.ends[from];
  end = {.relay = this, .link = link.id, .direction = from, .events = events};
  const auto on_read = [](bufferevent*, void* self) {
    const auto* const it = static_cast<LinkEnd*>(self);
    it->relay->Forward(it->link, it->direction);
  };
  const auto on_event = [](bufferevent*, short what, void* self) {
    const auto* const it = static_cast<LinkEnd*>(self);
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
      it->relay->OnEnd(*it, (what & BEV_EVENT_ERROR) != 0);
    }
  };
  bufferevent_setcb(events, on_read, nullptr, on_event, &end);
  bufferevent_enable(events, EV_READ | EV_WRITE);
}

void Relay::Forward(std::uint64_t id, Direction direction) {
  const auto it = links_.find(id);
  if (it == links_.end()) {
    return;
  }
  evbuffer* const input =
      bufferevent_get_input(it->second->ends[direction].events);
  std::string bytes(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, bytes.data(), bytes.size());
  const DirectionState& state = directions_[direction];
  if (state.delay == Duration{0}) {
    return Deliver(id, direction, bytes);
  }
  RunAfter(base_, state.delay,
           [this, id, direction, bytes = std::move(bytes), alive = is_alive_] {
             if (*alive) {
               Deliver(id, direction, bytes);
             }
           });
}

void Relay::Deliver(std::uint64_t id,
                    Direction direction,
                    const std::string& bytes) {
  const auto it = links_.find(id);
  DirectionState& state = directions_[direction];
  if (it == links_.end() || it->second->silent || state.swallow) {
    return;
  }
  state.bytes += bytes.size();
  const Direction other = direction == kToTarget ? kToClient : kToTarget;
  bufferevent_write(it->second->ends[other].events, bytes.data(), bytes.size());
}

void Relay::Close(std::uint64_t id, bool reset) {
  const auto node = links_.extract(id);
  if (node.empty()) {
    return;
  }
  Link& link = *node.mapped();
  // Sends the bytes that were received before the end of the stream, unless the
  // link is reset.
  for (LinkEnd& end : link.ends) {
    bufferevent_flush(end.events, EV_WRITE, BEV_FLUSH);
    evbuffer* const output = bufferevent_get_output(end.events);
    if (!reset && evbuffer_get_length(output) != 0) {
      evbuffer_write(output, bufferevent_getfd(end.events));
    }
    Free(end.events, reset);
  }
}

void Relay::OnEnd(const LinkEnd& end, bool reset) {
  if (holds_closed_ && links_.at(end.link)->silent) {
    bufferevent_disable(end.events, EV_READ | EV_WRITE);
    return;
  }
  Close(end.link, reset);
}

void Relay::CloseAll() {
  while (!links_.empty()) {
    Close(links_.begin()->first, /*reset=*/true);
  }
}

void Relay::CloseClients() {
  for (const auto& [id, link] : links_) {
    link->silent = true;
    bufferevent* const client = link->ends[kToTarget].events;
    bufferevent_disable(client, EV_READ | EV_WRITE);
    shutdown(bufferevent_getfd(client), SHUT_RDWR);
  }
}

void Relay::SetFaults(const Json& body) {
  for (const Direction direction : {kToTarget, kToClient}) {
    DirectionState& state = directions_[direction];
    const auto both = body.value("delay_ms", ToMilliseconds(state.delay));
    state.delay =
        std::chrono::milliseconds(body.value(kDelayFields[direction], both));
    state.swallow = body.value(kSwallowFields[direction], state.swallow);
  }
  holds_closed_ = body.value("hold_closed", holds_closed_);
  if (body.value("silence_open", false)) {
    for (const auto& [id, link] : links_) {
      link->silent = true;
    }
  }
  if (!body.contains("cut")) {
    return;
  }
  if (body["cut"].get<bool>()) {
    StopListening();
    CloseAll();
  } else if (listener_ == nullptr) {
    Listen();
  }
}

std::optional<Json> Relay::Control(const std::string& path, const Json& body) {
  if (path == "/fault") {
    SetFaults(body);
  } else if (path == "/reset_open") {
    CloseAll();
  } else if (path == "/close_clients") {
    CloseClients();
  } else if (path == "/target") {
    target_port_ = body.at("port").get<std::uint16_t>();
  } else if (path != "/stats") {
    return std::nullopt;
  }
  return Json{{"accepted", next_id_ - 1},
              {"open", links_.size()},
              {"bytes_to_target", directions_[kToTarget].bytes},
              {"bytes_to_client", directions_[kToClient].bytes}};
}

}  // namespace jaypick::standin
