// HTTP server based on evhttp.
#ifndef JAYPICK_HTTP_SERVER_H_
#define JAYPICK_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "http/connection_limits.h"
#include "http/http.h"
#include "jaypick/instance.h"
#include "jaypick/time.h"

struct event_base;

namespace jaypick::http {

struct ServerOptions {
  // With port 0 the system chooses a free port.
  Address address;
  std::size_t body_limit_bytes = std::size_t{8} * 1024 * 1024;
  // Makes the response to a body of the given size, which exceeds the limit. A
  // body of more than twice the limit is not read completely, and gets a 413
  // without a JSON body instead.
  std::function<Response(std::size_t)> on_oversize_body;
  std::size_t header_limit_bytes = std::size_t{16} * 1024;
  // Connections without traffic for this time are closed.
  Duration idle_timeout = std::chrono::seconds(120);
  // At a limit, connections are closed; see `ConnectionBudget`. A new one gets
  // a 503 response and is closed if the requests of all others are being
  // handled.
  ConnectionLimits limits;
  // Size of the sockets' receive buffers; 0 for that of the system.
  int receive_buffer_bytes = 0;
};

// Connections closed at a limit.
struct ServerCounters {
  // To make room for a new connection.
  std::uint64_t closed_for_newcomers = 0;
  // Because the connections held too much memory.
  std::uint64_t closed_for_memory = 0;
  // New connections, as all others were in use.
  std::uint64_t refused = 0;
  // Responses that were replaced by a 503, as there was no memory for them.
  std::uint64_t responses_replaced = 0;

  friend bool operator==(const ServerCounters&,
                         const ServerCounters&) = default;
};

// Sends the response to one request, exactly once. A responder that is
// destroyed without having sent a response sends a 500.
class Responder {
 public:
  class Call;

  explicit Responder(std::shared_ptr<Call> call);
  Responder(Responder&&) noexcept;
  Responder& operator=(Responder&&) noexcept;
  ~Responder();

  // Sends `response`. Does nothing if the client has closed its connection.
  void Send(Response response);

  // Runs `callback` if the client closes its connection before the response is
  // sent.
  void OnClosed(std::function<void()> callback);

 private:
  std::shared_ptr<Call> call_;
};

using Handler = std::function<void(Request request, Responder responder)>;

// Serves HTTP/1.1 on one address.
//
// Bodies beyond the limit get a 413 response; headers beyond the limit and
// malformed requests get a 400, before a handler is called. Paths without a
// handler get a 404, and methods without a handler a 405.
class Server {
 public:
  // Throws `std::runtime_error` if the address cannot be bound.
  Server(event_base* base, ServerOptions options);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  // Registers `handler`. A path that ends in "/" also matches all paths below
  // it; the longest registered match is used.
  void Handle(Method method, std::string path, Handler handler);

  // The bound port.
  std::uint16_t port() const;

  // Closes the listening socket. Open connections stay open, but all further
  // responses have the header `Connection: close`.
  void StopAccepting();

  // Adds `Connection: close` to all further responses, so that clients
  // reconnect to another instance. New connections are still accepted.
  void CloseAfterAnswers();

  // Number of received requests whose responses have not been written to the
  // socket completely.
  std::size_t open_calls() const;

  const ServerCounters& counters() const;
  // Memory that counts towards the limit.
  std::size_t buffered_bytes() const;

 private:
  friend class Responder;
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace jaypick::http

#endif  // JAYPICK_HTTP_SERVER_H_
