#include "tests/event_loop.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <csignal>

namespace jaypick::testing {
namespace {

constexpr auto kLimit = std::chrono::seconds(30);

sockaddr_in Loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

std::uint16_t BoundPort(int socket) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

std::string Drain(bufferevent* socket) {
  evbuffer* const input = bufferevent_get_input(socket);
  std::string text(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, text.data(), text.size());
  return text;
}

}  // namespace

EventLoop::EventLoop() : base_(event_base_new()) {
  // A write to a closed connection must return an error instead of raising a
  // signal.
  std::signal(SIGPIPE, SIG_IGN);
}

EventLoop::~EventLoop() {
  // libevent finalises buffer events in the loop.
  event_base_loop(base_, EVLOOP_NONBLOCK);
  event_base_free(base_);
}

bool EventLoop::RunUntil(const std::function<bool()>& condition) {
  const auto end = std::chrono::steady_clock::now() + kLimit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    RunFor(1);
  }
  return true;
}

void EventLoop::RunFor(int milliseconds) {
  const timeval time{.tv_sec = milliseconds / 1000,
                     .tv_usec = milliseconds % 1000 * 1000};
  event_base_loopexit(base_, &time);
  event_base_dispatch(base_);
}

struct RawServer::Connection {
  RawServer* server = nullptr;
  bufferevent* socket = nullptr;
  std::string received;
};

RawServer::RawServer(EventLoop& loop, Script script)
    : base_(loop.base()), script_(std::move(script)) {
  const sockaddr_in address = Loopback(0);
  listener_ = evconnlistener_new_bind(
      base_,
      [](evconnlistener*, int fd, sockaddr*, int, void* self) {
        auto* const server = static_cast<RawServer*>(self);
        auto connection = std::make_unique<Connection>();
        connection->server = server;
        connection->socket =
            bufferevent_socket_new(server->base_, fd, BEV_OPT_CLOSE_ON_FREE);
        bufferevent_setcb(
            connection->socket,
            [](bufferevent* socket, void* context) {
              auto* const it = static_cast<Connection*>(context);
              it->received += Drain(socket);
              it->server->script_(socket, it->received);
            },
            nullptr,
            [](bufferevent*, short what, void* context) {
              if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
                ++static_cast<Connection*>(context)->server->closed_;
              }
            },
            connection.get());
        bufferevent_enable(connection->socket, EV_READ | EV_WRITE);
        server->connections_.push_back(std::move(connection));
      },
      this, LEV_OPT_CLOSE_ON_FREE, -1,
      reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  port_ = BoundPort(evconnlistener_get_fd(listener_));
}

RawServer::~RawServer() {
  for (const auto& connection : connections_) {
    bufferevent_free(connection->socket);
  }
  evconnlistener_free(listener_);
}

void RawServer::Write(bufferevent* connection, const std::string& text) {
  bufferevent_write(connection, text.data(), text.size());
}

void RawServer::WriteAndClose(bufferevent* connection,
                              const std::string& text) {
  const int socket = bufferevent_getfd(connection);
  static_cast<void>(send(socket, text.data(), text.size(), MSG_NOSIGNAL));
  shutdown(socket, SHUT_RDWR);
}

RawClient::RawClient(EventLoop& loop,
                     std::uint16_t port,
                     const std::string& request)
    : socket_(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE)) {
  bufferevent_setcb(
      socket_,
      [](bufferevent* socket, void* self) {
        static_cast<RawClient*>(self)->received_ += Drain(socket);
      },
      nullptr,
      [](bufferevent* socket, short what, void* self) {
        auto* const client = static_cast<RawClient*>(self);
        client->received_ += Drain(socket);
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
          client->is_closed_ = true;
        }
      },
      this);
  bufferevent_enable(socket_, EV_READ | EV_WRITE);
  sockaddr_in address = Loopback(port);
  bufferevent_socket_connect(socket_, reinterpret_cast<sockaddr*>(&address),
                             sizeof(address));
  Write(request);
}

RawClient::~RawClient() {
  bufferevent_free(socket_);
}

void RawClient::Write(const std::string& text) {
  bufferevent_write(socket_, text.data(), text.size());
}

void RawClient::Reset() {
  const linger reset{.l_onoff = 1, .l_linger = 0};
  const int socket = bufferevent_getfd(socket_);
  setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  bufferevent_disable(socket_, EV_READ | EV_WRITE);
  bufferevent_setfd(socket_, -1);
  close(socket);
}

void RawClient::StopReading() {
  bufferevent_disable(socket_, EV_READ);
}

std::uint16_t UnusedPort() {
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in address = Loopback(0);
  bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  const std::uint16_t port = BoundPort(socket);
  close(socket);
  return port;
}

}  // namespace jaypick::testing
