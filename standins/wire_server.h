// HTTP/1.1 server that can violate the protocol on purpose.
//
// `http::Server` always sends complete responses. Stand-ins need control over
// single bytes and connections to inject faults, so they use this small server.
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

// Handle for responding to one request. Copies refer to the same request. Calls
// have no effect once the connection is closed. Must not outlive the server.
class Exchange {
 public:
  Exchange(WireServer* server, std::uint64_t connection)
      : server_(server), connection_(connection) {}

  void Send(const http::Response& response) const;
  // Sends the head and half of the body, and closes the connection.
  void SendHalf(const http::Response& response) const;
  // Sends `bytes` unchanged and closes the connection.
  void SendRaw(std::string_view bytes) const;
  // Resets the connection (TCP RST).
  void Reset() const;

 private:
  WireServer* server_;
  std::uint64_t connection_;
};

using WireHandler = std::function<void(const WireRequest&, Exchange)>;

// Listens on loopback and passes each request to the handler. Each connection
// has at most one request in progress; later requests on it wait until that one
// is answered.
class WireServer {
 public:
  // Port 0 lets the system choose. Throws `std::runtime_error` on failure.
  WireServer(event_base* base, std::uint16_t port, WireHandler handler);
  ~WireServer();
  WireServer(const WireServer&) = delete;
  WireServer& operator=(const WireServer&) = delete;

  std::uint16_t port() const { return port_.value(); }

  // False refuses new connections and resets the open ones; true listens again
  // on the same port.
  void SetListening(bool listening);

  // New connections beyond `limit` are closed immediately; 0 means no limit.
  void set_connection_limit(std::size_t limit) { connection_limit_ = limit; }

  std::size_t connections() const { return connections_.size(); }
  std::size_t connections_peak() const { return connections_peak_; }
  std::uint64_t connections_refused() const { return connections_refused_; }

 private:
  friend class Exchange;
  struct Connection;

  void Listen();
  void Accept(int socket);
  void HandleInput(std::uint64_t id);
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
