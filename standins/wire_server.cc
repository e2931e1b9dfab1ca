#include "standins/wire_server.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <optional>
#include <stdexcept>
#include <utility>
#include <vector>

namespace jaypick::standin {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadersEnd = "\r\n\r\n";
constexpr int kBacklog = 512;

std::string_view Trim(std::string_view text) {
  while (!text.empty() && text.front() == ' ') {
    text.remove_prefix(1);
  }
  return text;
}

// Removes the first line from `text` and returns it without the line end.
std::string_view TakeLine(std::string_view& text) {
  const std::size_t end = std::min(text.find(kLineEnd), text.size());
  const std::string_view line = text.substr(0, end);
  text.remove_prefix(std::min(end + kLineEnd.size(), text.size()));
  return line;
}

WireRequest ParseHead(std::string_view head) {
  WireRequest request;
  const std::string_view line = TakeLine(head);
  const std::size_t method_end = std::min(line.find(' '), line.size());
  request.method = line.substr(0, method_end);
  std::string_view target = Trim(line.substr(method_end));
  target = target.substr(0, target.find(' '));
  request.path = target.substr(0, target.find('?'));
  while (!head.empty()) {
    const std::string_view field = TakeLine(head);
    const std::size_t colon = field.find(':');
    if (colon != std::string_view::npos) {
      request.headers.push_back(
          {.name = std::string(field.substr(0, colon)),
           .value = std::string(Trim(field.substr(colon + 1)))});
    }
  }
  return request;
}

std::size_t ContentLength(const WireRequest& request) {
  std::size_t length = 0;
  for (const http::Header& header : request.headers) {
    if (evutil_ascii_strcasecmp(header.name.c_str(), "Content-Length") == 0) {
      const char* const first = header.value.data();
      std::from_chars(first, first + header.value.size(), length);
    }
  }
  return length;
}

// Removes one complete request from `input` and returns it, or `std::nullopt`
// if there is none yet.
std::optional<WireRequest> TakeRequest(evbuffer* input) {
  const evbuffer_ptr end =
      evbuffer_search(input, kHeadersEnd.data(), kHeadersEnd.size(), nullptr);
  if (end.pos < 0) {
    return std::nullopt;
  }
  const std::size_t head_size =
      static_cast<std::size_t>(end.pos) + kHeadersEnd.size();
  std::string head(head_size, '\0');
  evbuffer_copyout(input, head.data(), head.size());
  WireRequest request = ParseHead(head);
  const std::size_t body_size = ContentLength(request);
  if (evbuffer_get_length(input) < head_size + body_size) {
    return std::nullopt;
  }
  evbuffer_drain(input, head_size);
  request.body.resize(body_size);
  evbuffer_remove(input, request.body.data(), body_size);
  return request;
}

std::string Serialise(const http::Response& response) {
  std::string text =
      "HTTP/1.1 " + std::to_string(response.status) +
      " Stand-in\r\nContent-Type: " + response.content_type +
      "\r\nContent-Length: " + std::to_string(response.body.size()) + "\r\n";
  for (const http::Header& header : response.headers) {
    text += header.name + ": " + header.value + "\r\n";
  }
  text += kLineEnd;
  text += response.body;
  return text;
}

}  // namespace

struct WireServer::Connection {
  WireServer* server;
  std::uint64_t id;
  bufferevent* events;
  bool busy = false;
  bool close_when_written = false;
};

WireServer::WireServer(event_base* base,
                       std::uint16_t port,
                       WireHandler handler)
    : base_(base), handler_(std::move(handler)), port_(port) {
  Listen();
}

WireServer::~WireServer() {
  SetListening(false);
}

void WireServer::Listen() {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port_.value());
  const auto on_accept = [](evconnlistener*, evutil_socket_t socket, sockaddr*,
                            int, void* self) {
    static_cast<WireServer*>(self)->Accept(socket);
  };
  listener_ = evconnlistener_new_bind(
      base_, on_accept, this, LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE,
      kBacklog, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  if (listener_ == nullptr) {
    throw std::runtime_error("cannot listen on port " +
                             std::to_string(port_.value()));
  }
}

void WireServer::SetListening(bool listening) {
  if (listening && listener_ == nullptr) {
    Listen();
  }
  if (!listening && listener_ != nullptr) {
    evconnlistener_free(listener_);
    listener_ = nullptr;
    while (!connections_.empty()) {
      Close(connections_.begin()->first, /*reset=*/true);
    }
  }
}

void WireServer::Accept(int socket) {
  if (connection_limit_ != 0 && connections_.size() >= connection_limit_) {
    ++connections_refused_;
    evutil_closesocket(socket);
    return;
  }
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  auto connection = std::make_unique<Connection>();
  connection->server = this;
  connection->id = next_id_++;
  connection->events =
      bufferevent_socket_new(base_, socket, BEV_OPT_CLOSE_ON_FREE);
  const auto on_read = [](bufferevent*, void* self) {
    auto* const it = static_cast<Connection*>(self);
    it->server->HandleInput(it->id);
  };
  const auto on_written = [](bufferevent*, void* self) {
    auto* const it = static_cast<Connection*>(self);
    if (it->close_when_written) {
      it->server->Close(it->id, /*reset=*/false);
    }
  };
  const auto on_event = [](bufferevent*, short, void* self) {
    auto* const it = static_cast<Connection*>(self);
    it->server->Close(it->id, /*reset=*/false);
  };
  bufferevent_setcb(connection->events, on_read, on_written, on_event,
                    connection.get());
  bufferevent_enable(connection->events, EV_READ | EV_WRITE);
  connections_.emplace(connection->id, std::move(connection));
  connections_peak_ = std::max(connections_peak_, connections_.size());
}

WireServer::Connection* WireServer::Find(std::uint64_t id) {
  const auto it = connections_.find(id);
  return it == connections_.end() ? nullptr : it->second.get();
}

void WireServer::HandleInput(std::uint64_t id) {
  Connection* const connection = Find(id);
  if (connection == nullptr || connection->busy ||
      connection->close_when_written) {
    return;
  }
  const auto request = TakeRequest(bufferevent_get_input(connection->events));
  if (request) {
    connection->busy = true;
    handler_(*request, Exchange(this, id));
  }
}

void WireServer::Write(std::uint64_t id, std::string_view bytes, bool close) {
  Connection* const connection = Find(id);
  if (connection == nullptr || !connection->busy) {
    return;
  }
  connection->busy = false;
  connection->close_when_written = close;
  bufferevent_write(connection->events, bytes.data(), bytes.size());
  // A pipelined request may already be in the input buffer.
  HandleInput(id);
}

void WireServer::Close(std::uint64_t id, bool reset) {
  const auto node = connections_.extract(id);
  if (node.empty()) {
    return;
  }
  bufferevent* const events = node.mapped()->events;
  if (reset) {
    const linger now{.l_onoff = 1, .l_linger = 0};
    setsockopt(bufferevent_getfd(events), SOL_SOCKET, SO_LINGER, &now,
               sizeof(now));
  }
  bufferevent_free(events);
}

void Exchange::Send(const http::Response& response) const {
  server_->Write(connection_, Serialise(response), /*close=*/false);
}

void Exchange::SendHalf(const http::Response& response) const {
  const std::string text = Serialise(response);
  // Truncates the body; the head stays complete.
  const std::size_t size = text.size() - (response.body.size() + 1) / 2;
  server_->Write(connection_, std::string_view(text).substr(0, size),
                 /*close=*/true);
}

void Exchange::SendRaw(std::string_view bytes) const {
  server_->Write(connection_, bytes, /*close=*/true);
}

void Exchange::Reset() const {
  server_->Close(connection_, /*reset=*/true);
}

}  // namespace jaypick::standin
