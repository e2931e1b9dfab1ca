#include "peer_relay.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <stdexcept>
#include <vector>

namespace review {
namespace {

constexpr int kBacklog = 512;

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
  if (events == nullptr) {
    return;
  }
  if (reset) {
    const linger now{.l_onoff = 1, .l_linger = 0};
    setsockopt(bufferevent_getfd(events), SOL_SOCKET, SO_LINGER, &now,
               sizeof(now));
  } else if (evbuffer* const output = bufferevent_get_output(events);
             evbuffer_get_length(output) != 0) {
    evbuffer_write(output, bufferevent_getfd(events));
  }
  bufferevent_free(events);
}

}  // namespace

PeerRelay::PeerRelay(event_base* base, std::uint16_t target_port)
    : base_(base), target_port_(target_port) {
  Listen();
}

void PeerRelay::Listen() {
  const sockaddr_in address = Loopback(port_.value());
  const auto on_accept = [](evconnlistener*, evutil_socket_t socket, sockaddr*,
                            int, void* self) {
    static_cast<PeerRelay*>(self)->Accept(socket);
  };
  listener_ = evconnlistener_new_bind(
      base_, on_accept, this, LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE,
      kBacklog, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  if (listener_ == nullptr) {
    throw std::runtime_error("the relay cannot listen");
  }
}

PeerRelay::~PeerRelay() {
  SetRefusing(true);
  while (!links_.empty()) {
    Close(links_.begin()->first, true);
  }
}

void PeerRelay::Accept(int socket) {
  SetNoDelay(socket);
  const std::uint64_t id = ++last_id_;
  links_[id] = std::make_unique<Link>();
  Attach(id, 0, bufferevent_socket_new(base_, socket, BEV_OPT_CLOSE_ON_FREE));
  if (is_dark_) {
    links_[id]->is_held = true;
    return;
  }
  bufferevent* const target =
      bufferevent_socket_new(base_, -1, BEV_OPT_CLOSE_ON_FREE);
  Attach(id, 1, target);
  const sockaddr_in address = Loopback(target_port_);
  if (bufferevent_socket_connect(target,
                                 reinterpret_cast<const sockaddr*>(&address),
                                 sizeof(address)) != 0) {
    Close(id, true);
    return;
  }
  SetNoDelay(bufferevent_getfd(target));
}

void PeerRelay::Attach(std::uint64_t id, int side, bufferevent* events) {
  End& end = links_.at(id)->ends[side];
  end = {.relay = this, .link = id, .side = side, .events = events};
  const auto on_read = [](bufferevent*, void* self) {
    const End end = *static_cast<End*>(self);
    end.relay->Forward(end.link, end.side);
  };
  const auto on_event = [](bufferevent*, short what, void* self) {
    const End end = *static_cast<End*>(self);
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
      end.relay->OnClosed(end.link, end.side, (what & BEV_EVENT_ERROR) != 0);
    }
  };
  bufferevent_setcb(events, on_read, nullptr, on_event, &end);
  bufferevent_enable(events, EV_READ | EV_WRITE);
}

void PeerRelay::Forward(std::uint64_t id, int side) {
  Link& link = *links_.at(id);
  evbuffer* const input = bufferevent_get_input(link.ends[side].events);
  bufferevent* const other = link.ends[1 - side].events;
  if (link.is_held || other == nullptr) {
    evbuffer_drain(input, evbuffer_get_length(input));
    return;
  }
  evbuffer_add_buffer(bufferevent_get_output(other), input);
}

void PeerRelay::OnClosed(std::uint64_t id, int side, bool reset) {
  Link& link = *links_.at(id);
  if ((holds_closed_ || is_dark_ || link.is_held) &&
      link.ends[1 - side].events != nullptr) {
    Free(link.ends[side].events, reset);
    link.ends[side].events = nullptr;
    link.is_held = true;
    return;
  }
  Close(id, reset);
}

void PeerRelay::Close(std::uint64_t id, bool reset) {
  const auto node = links_.extract(id);
  for (End& end : node.mapped()->ends) {
    Free(end.events, reset);
  }
}

void PeerRelay::SetRefusing(bool refuses) {
  if (refuses && listener_ != nullptr) {
    evconnlistener_free(listener_);
    listener_ = nullptr;
  } else if (!refuses && listener_ == nullptr) {
    Listen();
  }
}

void PeerRelay::SilenceOpen() {
  for (const auto& [id, link] : links_) {
    link->is_held = true;
  }
}

void PeerRelay::ResetHeld() {
  std::vector<std::uint64_t> held;
  for (const auto& [id, link] : links_) {
    if (link->is_held) {
      held.push_back(id);
    }
  }
  for (const std::uint64_t id : held) {
    Close(id, true);
  }
}

}  // namespace review
