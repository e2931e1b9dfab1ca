// HTTP/1.1 server that can break the protocol on purpose.
//
// The product's server always sends whole answers. Stand-ins need control over
// single bytes and connections, so they bring a small server of their own.
#ifndef STANDINS_WIRE_SERVER_H_
#define STANDINS_WIRE_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "http/http.h"
#include "standins/port_holder.h"

struct bufferevent;
struct event_base;
struct evconnlistener;
struct sockaddr;

namespace jaypick::standin {

class WireServer;

struct WireRequest {
  std::string method;
  // Path without the query.
  std::string path;
  std::vector<http::Header> headers;
  std::string body;
};

// The right to answer one request; copies stand for the same request. Calls on
// a connection that has gone do nothing. The server outlives it.
class Exchange {
 public:
  Exchange(WireServer* server, std::uint64_t connection)
      : server_(server), connection_(connection) {}

  void Send(const http::Response& response) const;
  // Sends the first half of the answer and closes.
  void SendHalf(const http::Response& response) const;
  // Sends `bytes` as they are and closes.
  void SendRaw(std::string_view bytes) const;
  // Resets the connection.
  void Reset() const;

 private:
  WireServer* server_;
  std::uint64_t connection_;
};

using WireHandler = std::function<void(const WireRequest&, Exchange)>;

// Listens on loopback and hands each request to one handler. A connection has
// one request in progress; a request that is never answered leaves it silent.
class WireServer {
 public:
  // Port 0 lets the system choose. Throws `std::runtime_error` on failure.
  WireServer(event_base* base, std::uint16_t port, WireHandler handler);
  ~WireServer();
  WireServer(const WireServer&) = delete;
  WireServer& operator=(const WireServer&) = delete;

  std::uint16_t port() const { return port_.value(); }

  // With false, new connections are refused and open ones are reset; with true,
  // the server listens again on the same port.
  void SetListening(bool listening);

  // Connections beyond `limit` are closed at once; 0 means no limit.
  void set_connection_limit(std::size_t limit) { connection_limit_ = limit; }

  std::size_t connections() const { return connections_.size(); }
  std::size_t connections_peak() const { return connections_peak_; }
  std::uint64_t connections_refused() const { return connections_refused_; }

 private:
  friend class Exchange;
  struct Connection;

  void Listen();
  void Accept(int socket);
  void Read(std::uint64_t id);
  void Write(std::uint64_t id, std::string_view bytes, bool close);
  void Close(std::uint64_t id, bool reset);
  Connection* Find(std::uint64_t id);

  event_base* base_;
  WireHandler handler_;
  evconnlistener* listener_ = nullptr;
  PortHolder port_;
  std::size_t connection_limit_ = 0;
  std::size_t connections_peak_ = 0;
  std::uint64_t connections_refused_ = 0;
  std::uint64_t next_id_ = 1;
  std::map<std::uint64_t, std::unique_ptr<Connection>> connections_;
};

}  // namespace jaypick::standin

#endif  // STANDINS_WIRE_SERVER_H_
