// HTTP server on evhttp.
#ifndef JAYPICK_HTTP_SERVER_H_
#define JAYPICK_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "http/http.h"
#include "jaypick/instance.h"
#include "jaypick/time.h"

struct event_base;

namespace jaypick::http {

struct ServerOptions {
  // Port 0 lets the system choose one.
  Address address;
  std::size_t body_limit_bytes = std::size_t{8} * 1024 * 1024;
  // Writes the answer to a body of the given size, which exceeds the limit. A
  // body of more than twice the limit is not read to its end, and gets a 413
  // without a JSON body.
  std::function<Response(std::size_t)> on_oversize_body;
  std::size_t header_limit_bytes = std::size_t{16} * 1024;
  // A connection without traffic for this time is closed.
  Duration idle_timeout = std::chrono::seconds(120);
  // Connections beyond this are answered with 503 and closed.
  std::size_t connection_limit = 1024;
};

// The right to answer one request. It answers exactly once: a responder that is
// destroyed without an answer sends a 500.
class Responder {
 public:
  class Call;

  explicit Responder(std::shared_ptr<Call> call);
  Responder(Responder&&) noexcept;
  Responder& operator=(Responder&&) noexcept;
  ~Responder();

  // Sends `response`; does nothing if the client has gone.
  void Send(Response response);

  // Runs `callback` if the client closes its connection before the answer.
  void OnClosed(std::function<void()> callback);

 private:
  std::shared_ptr<Call> call_;
};

using Handler = std::function<void(Request request, Responder responder)>;

// Serves HTTP/1.1 on one address.
//
// Bodies and headers beyond the limits are answered with 413, malformed
// requests with 400, before a handler sees them. Paths without a handler get
// 404, other methods 405.
class Server {
 public:
  // Throws `std::runtime_error` if the address cannot be bound.
  Server(event_base* base, ServerOptions options);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  // Registers `handler`. A path that ends in "/" also takes all paths below it;
  // the longest registered path wins.
  void Handle(Method method, std::string path, Handler handler);

  // The bound port.
  std::uint16_t port() const;

  // Closes the listening socket. Open connections go on; each answer from now
  // on carries `Connection: close`.
  void StopAccepting();

  // From now on each answer carries `Connection: close`, so that clients
  // reconnect elsewhere; new connections are still accepted.
  void CloseAfterAnswers();

  // Requests that were handed to a handler and whose answers have not been
  // written to the socket completely.
  std::size_t open_calls() const;

 private:
  friend class Responder;
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace jaypick::http

#endif  // JAYPICK_HTTP_SERVER_H_
