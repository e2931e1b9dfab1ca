// A single HTTP connection to an upstream.
#ifndef JAYPICK_DAEMON_UPSTREAM_CONNECTION_H_
#define JAYPICK_DAEMON_UPSTREAM_CONNECTION_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "jaypick/instance.h"
#include "jaypick/messages.h"

struct event_base;
struct evhttp_connection;
struct evhttp_request;

namespace jaypick::daemon {

// A task in the form in which it is sent to an upstream.
struct UpstreamTask {
  // Text of the attempt id, which the upstream must echo in its response.
  std::string attempt;
  // JSON text of the kind's name.
  std::string kind_json;
  std::string payload;
  Duration remaining{0};
};

struct UpstreamResponse {
  AttemptOutcome outcome;
  std::optional<std::uint32_t> reported_load;
};

// Sends one request at a time. The connection is checked with `GET /healthz`
// before its first task, so that an error after sending a task means that the
// task may have run.
//
// Callbacks are called by evhttp: the connection must not be destroyed before
// they have returned.
class UpstreamConnection {
 public:
  using HealthChecked = std::function<void(UpstreamConnection&, bool is_ok)>;
  using ResponseReceived =
      std::function<void(UpstreamConnection&, UpstreamResponse)>;
  using Closed = std::function<void(UpstreamConnection&)>;

  struct Callbacks {
    HealthChecked on_health_checked;
    ResponseReceived on_response;
    // Called if the upstream closes the connection while it is idle.
    Closed on_closed;
  };

  UpstreamConnection(event_base* base,
                     const Address& address,
                     const Callbacks& callbacks);
  ~UpstreamConnection();
  UpstreamConnection(const UpstreamConnection&) = delete;
  UpstreamConnection& operator=(const UpstreamConnection&) = delete;

  // Connects and sends the health check. Returns false if the attempt to
  // connect fails immediately; then no callback follows.
  bool Open();

  // Sends a task. Returns false if no byte was written; then no callback
  // follows.
  bool Send(const UpstreamTask& task);

  // True if a task can be sent now. Also checks the state of the socket.
  bool IsReady() const;

  // True if the connection can be used again after a response.
  bool IsReusable() const;

  // Set and read by the owner of the connection only.
  std::string attempt;
  TimePoint idle_since;

 private:
  static void OnHealthResponse(evhttp_request* request, void* self);
  static void OnResponse(evhttp_request* request, void* self);
  static void OnClose(evhttp_connection* handle, void* self);

  int Socket() const;
  void FinishOpening(evhttp_request* request);
  UpstreamResponse ReadResponse(evhttp_request* request);

  Address address_;
  std::string host_;
  const Callbacks& callbacks_;
  evhttp_connection* handle_;
  std::string expected_attempt_;
  bool is_busy_ = false;
  bool is_health_checked_ = false;
  bool is_closed_ = false;
};

}  // namespace jaypick::daemon

#endif  // JAYPICK_DAEMON_UPSTREAM_CONNECTION_H_
