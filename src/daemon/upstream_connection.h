// One connection to an upstream.
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

// A task as an upstream sees it.
struct UpstreamTask {
  // Text of the attempt id, which the upstream echoes.
  std::string attempt;
  // JSON text of the kind's name.
  std::string kind_json;
  std::string payload;
  Duration remaining{0};
};

struct UpstreamAnswer {
  AttemptOutcome outcome;
  std::optional<std::uint32_t> reported_load;
};

// Carries one request at a time. It is proven by `GET /healthz` before it
// carries a task, so an error while it runs a task means that the task may have
// run.
//
// Both callbacks run from within evhttp: the connection must not be destroyed
// before they have returned.
class UpstreamConnection {
 public:
  using HealthChecked = std::function<void(UpstreamConnection&, bool is_ok)>;
  using Answered = std::function<void(UpstreamConnection&, UpstreamAnswer)>;
  using Closed = std::function<void(UpstreamConnection&)>;

  struct Callbacks {
    HealthChecked on_health_checked;
    Answered on_answered;
    // The upstream closed the connection while it was idle.
    Closed on_closed;
  };

  UpstreamConnection(event_base* base,
                     const Address& address,
                     const Callbacks& callbacks);
  ~UpstreamConnection();
  UpstreamConnection(const UpstreamConnection&) = delete;
  UpstreamConnection& operator=(const UpstreamConnection&) = delete;

  // Connects and asks for the upstream's health. Returns false if that cannot
  // even be tried; then no callback follows.
  bool Open();

  // Sends a task. Returns false if nothing was written; then no callback
  // follows.
  bool Send(const UpstreamTask& task);

  // True if the connection can carry a task now.
  bool IsReady() const;

  // True if the connection can be kept after an answer.
  bool IsReusable() const;

  // Free for its owner to use.
  std::string attempt;
  TimePoint idle_since;

 private:
  static void OnHealth(evhttp_request* request, void* self);
  static void OnAnswer(evhttp_request* request, void* self);
  static void OnClose(evhttp_connection* handle, void* self);

  int Socket() const;
  void FinishOpening(evhttp_request* request);
  UpstreamAnswer ReadAnswer(evhttp_request* request);

  Address address_;
  std::string host_;
  const Callbacks& callbacks_;
  evhttp_connection* handle_;
  std::string expected_attempt_;
  bool is_busy_ = false;
  bool is_proven_ = false;
  bool is_closed_ = false;
};

}  // namespace jaypick::daemon

#endif  // JAYPICK_DAEMON_UPSTREAM_CONNECTION_H_
