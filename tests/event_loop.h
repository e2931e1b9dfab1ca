// An event loop and raw TCP endpoints for tests with sockets.
#ifndef JAYPICK_TESTS_EVENT_LOOP_H_
#define JAYPICK_TESTS_EVENT_LOOP_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

struct bufferevent;
struct event_base;
struct evconnlistener;

namespace jaypick::testing {

class EventLoop {
 public:
  EventLoop();
  ~EventLoop();

  event_base* base() const { return base_; }

  // Runs the loop until `condition` is true; false after a timeout. The timeout
  // is far longer than any test needs, so that tests pass on a busy machine.
  bool RunUntil(const std::function<bool()>& condition);

  // Runs the loop for `milliseconds`.
  void RunFor(int milliseconds);

 private:
  event_base* base_;
};

// A TCP server that passes all bytes received on each connection to a script,
// which may write responses or close the connection.
class RawServer {
 public:
  // Called with the connection and all bytes received on it so far.
  using Script = std::function<void(bufferevent*, std::string& received)>;

  RawServer(EventLoop& loop, Script script);
  ~RawServer();

  std::uint16_t port() const { return port_; }
  std::size_t accepted() const { return connections_.size(); }
  std::size_t closed() const { return closed_; }

  static void Write(bufferevent* connection, const std::string& text);
  static void WriteAndClose(bufferevent* connection, const std::string& text);

 private:
  struct Connection;

  event_base* base_;
  Script script_;
  evconnlistener* listener_;
  std::uint16_t port_ = 0;
  std::size_t closed_ = 0;
  std::vector<std::unique_ptr<Connection>> connections_;
};

// Connects to a local port, writes `request` and collects the response.
class RawClient {
 public:
  RawClient(EventLoop& loop, std::uint16_t port, const std::string& request);
  ~RawClient();

  const std::string& received() const { return received_; }
  bool is_closed() const { return is_closed_; }
  void Write(const std::string& text);
  // Closes the connection with a TCP reset.
  void Reset();
  // Stops reading; further data stays in the socket's buffer.
  void StopReading();

 private:
  bufferevent* socket_;
  std::string received_;
  bool is_closed_ = false;
};

// Returns a local port on which no process listens.
std::uint16_t UnusedPort();

}  // namespace jaypick::testing

#endif  // JAYPICK_TESTS_EVENT_LOOP_H_
