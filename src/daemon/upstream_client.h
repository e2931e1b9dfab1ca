// Client that sends attempts to all upstreams.
#ifndef JAYPICK_DAEMON_UPSTREAM_CLIENT_H_
#define JAYPICK_DAEMON_UPSTREAM_CLIENT_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "daemon/upstream_connection.h"
#include "jaypick/messages.h"

struct event;
struct event_base;

namespace jaypick::daemon {

struct UpstreamClientOptions {
  // Time limit for connecting and the health check together.
  Duration open_timeout = std::chrono::seconds(1);
  // Idle connections are closed after this time.
  Duration idle_timeout = std::chrono::seconds(30);
};

// Sends attempts to upstreams, one at a time on each connection.
//
// For each upstream, no more connections are opened than the highest number of
// attempts in flight at the same time. The most recently used connection is
// reused first, so that surplus connections stay idle and are closed.
class UpstreamClient {
 public:
  struct Callbacks {
    std::function<void(AttemptEnded)> on_ended;
    // Called when a health check has been sent.
    std::function<void()> on_probe;
    std::function<TimePoint()> now;
  };

  UpstreamClient(event_base* base,
                 UpstreamClientOptions options,
                 Callbacks callbacks);
  ~UpstreamClient();
  UpstreamClient(const UpstreamClient&) = delete;
  UpstreamClient& operator=(const UpstreamClient&) = delete;

  void Start(StartAttempt attempt);

  // Drops the attempt, and closes its connection if it has been sent.
  void Abandon(const AbandonAttempt& attempt);

  std::size_t connections() const { return connections_.size(); }

 private:
  struct Upstream;

  struct Attempt {
    StartAttempt start;
    std::string text;
    TimePoint queued_at;
  };

  struct Connection {
    std::unique_ptr<UpstreamConnection> connection;
    Upstream* upstream = nullptr;
    // The attempt in flight on the connection.
    AttemptId attempt;
    TimePoint opened_at;
    bool is_opening = true;
  };

  struct Upstream {
    std::string name;
    Address address;
    std::deque<Attempt> waiting;
    // The most recently used connection is at the back.
    std::vector<UpstreamConnection*> idle;
    std::size_t opening = 0;
  };

  static void OnDestroyClosed(int socket, short what, void* self);
  static void OnSweep(int socket, short what, void* self);

  Upstream& Find(const StartAttempt& attempt);
  // Sends waiting attempts over idle connections, and opens a connection for
  // each attempt that is left.
  void SendWaiting(Upstream& upstream);
  UpstreamConnection* TakeIdle(Upstream& upstream);
  void Send(Upstream& upstream, UpstreamConnection& connection);
  bool OpenConnection(Upstream& upstream);
  void OnHealthChecked(UpstreamConnection& connection, bool is_ok);
  void OnResponse(UpstreamConnection& connection, UpstreamResponse response);
  void OnClosed(UpstreamConnection& connection);
  // Ends waiting attempts with `NotSent` until there are no more of them than
  // connections being opened.
  void EndUnservedAttempts(Upstream& upstream);
  // Removes the connection. It is destroyed later from the event loop, because
  // evhttp may still be using it further up the call stack.
  void Close(UpstreamConnection& connection);
  void Sweep();
  const std::string& KindJson(const std::string& kind);

  event_base* base_;
  UpstreamClientOptions options_;
  Callbacks callbacks_;
  UpstreamConnection::Callbacks connection_callbacks_;
  event* destroy_event_;
  event* sweep_timer_;
  std::unordered_map<std::string, Upstream> upstreams_;
  std::unordered_map<UpstreamConnection*, Connection> connections_;
  std::unordered_map<std::string, UpstreamConnection*> in_flight_;
  std::vector<std::unique_ptr<UpstreamConnection>> closed_;
  std::unordered_map<std::string, std::string> kinds_json_;
};

}  // namespace jaypick::daemon

#endif  // JAYPICK_DAEMON_UPSTREAM_CLIENT_H_
