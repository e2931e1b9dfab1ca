// HTTP client based on evhttp.
#ifndef JAYPICK_HTTP_CLIENT_H_
#define JAYPICK_HTTP_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "http/http.h"
#include "jaypick/instance.h"
#include "jaypick/time.h"

struct event_base;

namespace jaypick::http {

// Reason why a request has no response.
struct ClientError {
  // True only if no byte of the request was written.
  bool not_sent = false;
  // No response arrived within the time limit.
  bool timed_out = false;
  std::string message;
};

using ClientResult = std::variant<Response, ClientError>;
using ClientCallback = std::function<void(ClientResult)>;

struct ClientOptions {
  // Time limit from `Send` to the response, including the time to connect.
  Duration timeout = std::chrono::seconds(2);
  // Maximum number of connections to one address; further requests wait.
  std::size_t connections_per_address = 4;
  // Idle connections are closed after this time.
  Duration idle_timeout = std::chrono::seconds(30);
  std::size_t body_limit_bytes = std::size_t{8} * 1024 * 1024;
  // Resets the connection of a request that timed out or was cancelled, so that
  // bytes in transit are discarded.
  bool resets_on_timeout = false;
  // Closes the idle connections to an address when a request to it times out:
  // connections that were open at one time may all have become unresponsive. To
  // be switched off where a timeout says more about the request than about its
  // connection.
  bool closes_idle_on_timeout = true;
};

// Sends requests over persistent connections, with at most one request in
// flight on each connection.
//
// Requests are never retried. The connection of a request that timed out is
// closed, and with it the idle ones to the same address, so that unresponsive
// connections are replaced. Sockets use TCP keep-alive and TCP_USER_TIMEOUT.
class Client {
 public:
  Client(event_base* base, const ClientOptions& options);
  // Requests that have not been answered end with an error.
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // Sends `request`. `callback` runs exactly once, from the event loop or from
  // the destructor of the client. `timeout` overrides `ClientOptions::timeout`.
  //
  // Returns the number of the call, for `Cancel`.
  std::uint64_t Send(const Address& address,
                     Request request,
                     ClientCallback callback);
  std::uint64_t Send(const Address& address,
                     Request request,
                     Duration timeout,
                     ClientCallback callback);

  // Cancels a call: its connection is closed and its callback does not run.
  // Does nothing if the call has ended.
  void Cancel(std::uint64_t call);

  // Closes the idle connections to `address`.
  void CloseIdle(const Address& address);

  std::size_t in_flight() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace jaypick::http

#endif  // JAYPICK_HTTP_CLIENT_H_
