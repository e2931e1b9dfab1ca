// Connections to all upstreams, and the attempts that they carry.
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
  // Time to connect and to answer the health check.
  Duration open_timeout = std::chrono::seconds(1);
  // An idle connection is closed after this time.
  Duration idle_timeout = std::chrono::seconds(30);
};

// Sends attempts to upstreams, one at a time on each connection.
//
// An upstream has at most as many connections as attempts were in flight at the
// same time. Connections that were used last are used first, so that the others
// become idle and close.
class UpstreamClient {
 public:
  struct Callbacks {
    std::function<void(AttemptEnded)> on_ended;
    // A health check was sent.
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

  // Forgets the attempt and closes the connection that carries it.
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
    // The attempt that runs on it.
    AttemptId attempt;
    TimePoint opened_at;
    bool is_opening = true;
  };

  struct Upstream {
    std::string name;
    Address address;
    std::deque<Attempt> waiting;
    // The one used last is at the back.
    std::vector<UpstreamConnection*> idle;
    std::size_t opening = 0;
  };

  static void OnDeferred(int socket, short what, void* self);
  static void OnSweep(int socket, short what, void* self);

  Upstream& Find(const StartAttempt& attempt);
  // Gives waiting attempts to idle connections, and opens missing ones.
  void Serve(Upstream& upstream);
  UpstreamConnection* TakeIdle(Upstream& upstream);
  void Send(Upstream& upstream, UpstreamConnection& connection);
  bool OpenConnection(Upstream& upstream);
  void OnProven(UpstreamConnection& connection, bool is_ok);
  void OnAnswered(UpstreamConnection& connection, UpstreamAnswer answer);
  void OnClosed(UpstreamConnection& connection);
  // Ends attempts that no connection is being opened for.
  void FailWaiting(Upstream& upstream);
  // Frees the connection from the event loop: evhttp may be using it.
  void Close(UpstreamConnection& connection);
  void Sweep();
  const std::string& KindJson(const std::string& kind);

  event_base* base_;
  UpstreamClientOptions options_;
  Callbacks callbacks_;
  UpstreamConnection::Callbacks connection_callbacks_;
  event* deferred_;
  event* sweep_;
  std::unordered_map<std::string, Upstream> upstreams_;
  std::unordered_map<UpstreamConnection*, Connection> connections_;
  std::unordered_map<std::string, UpstreamConnection*> running_;
  std::vector<std::unique_ptr<UpstreamConnection>> closed_;
  std::unordered_map<std::string, std::string> kinds_json_;
};

}  // namespace jaypick::daemon

#endif  // JAYPICK_DAEMON_UPSTREAM_CLIENT_H_
