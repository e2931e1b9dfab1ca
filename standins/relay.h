// Loopback TCP relay that injects network faults.
#ifndef STANDINS_RELAY_H_
#define STANDINS_RELAY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "jaypick/time.h"
#include "standins/port_holder.h"
#include "standins/program.h"
#include "standins/wire_server.h"

struct bufferevent;
struct evconnlistener;
struct event_base;

namespace jaypick::standin {

struct RelayOptions {
  std::uint16_t port = 0;
  std::uint16_t control_port = 0;
  // Loopback port that connections are relayed to.
  std::uint16_t target_port = 0;
};

// Relays TCP connections to one target port.
//
// Control port: POST /fault sets the faults that its body contains; the others
// keep their values:
//   "delay_ms"             one-way delay in both directions
//   "delay_to_target_ms"   one-way delay from the client to the target
//   "delay_to_client_ms"   one-way delay from the target to the client
//   "swallow_to_target"    true: drop all bytes from the client to the target,
//                          on open and new connections, which stay open
//   "swallow_to_client"    the same from the target to the client
//   "silence_open"         true: drop all bytes in both directions on the
//                          connections that are open now, until they close;
//                          new connections are not affected
//   "hold_closed"          true: the other end of a silent connection stays
//                          open, without a message, when one end closes
//   "cut"                  true: reset open connections and refuse new ones;
//                          false: accept connections again
// POST /reset_open resets the open connections; new ones are not affected.
// POST /close_clients closes the client's end of the open connections, while
// the target's end stays open without any further bytes.
// POST /target {"port"} changes the target of new connections.
// GET /stats returns the connections and bytes so far.
class Relay {
 public:
  Relay(event_base* base, RelayOptions options);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  std::uint16_t port() const { return port_.value(); }
  std::uint16_t control_port() const { return control_.port(); }

  // Handles a request as the control port does, and returns the response body;
  // `std::nullopt` for an unknown path.
  std::optional<Json> Control(const std::string& path, const Json& body);

 private:
  // Direction of the relayed bytes.
  enum Direction { kToTarget = 0, kToClient = 1 };
  struct Link;
  struct LinkEnd;
  struct DirectionState {
    Duration delay{0};
    bool swallow = false;
    std::uint64_t bytes = 0;
  };

  void Listen();
  void StopListening();
  void Accept(int socket);
  void Attach(Link& link, Direction from, bufferevent* events);
  void Forward(std::uint64_t id, Direction direction);
  void Deliver(std::uint64_t id, Direction direction, const std::string& bytes);
  void Close(std::uint64_t id, bool reset);
  void OnEnd(const LinkEnd& end, bool reset);
  void CloseAll();
  void CloseClients();
  void SetFaults(const Json& body);

  event_base* base_;
  std::uint16_t target_port_;
  evconnlistener* listener_ = nullptr;
  PortHolder port_;
  DirectionState directions_[2];
  bool holds_closed_ = false;
  std::uint64_t next_id_ = 1;
  std::map<std::uint64_t, std::unique_ptr<Link>> links_;
  WireServer control_;
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
};

}  // namespace jaypick::standin

#endif  // STANDINS_RELAY_H_
