// Loopback TCP relay with faults.
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
  // Where connections are relayed to, on loopback.
  std::uint16_t target_port = 0;
};

// Relays TCP connections to one target port.
//
// Control port: POST /fault sets what its body names:
//   "delay_ms"             one-way delay in both directions
//   "delay_to_target_ms", "delay_to_client_ms"  in one direction
//   "swallow_to_target", "swallow_to_client"    drop all bytes of a direction,
//                          on open and new connections, and keep them open
//   "silence_open"         true: swallow both directions of the connections
//                          that are open now; new connections work
//   "cut"                  true: reset open connections and refuse new ones
// POST /reset_open resets the open connections; new ones work.
// POST /target {"port"} changes the target of new connections.
// GET /stats: connections and bytes so far.
class Relay {
 public:
  Relay(event_base* base, RelayOptions options);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  std::uint16_t port() const { return port_.value(); }
  std::uint16_t control_port() const { return control_.port(); }

  // As a request to the control port; nothing for an unknown path.
  std::optional<Json> Control(const std::string& path, const Json& body);

 private:
  enum Direction { kToTarget = 0, kToClient = 1 };
  struct Link;
  struct Side;
  struct Path {
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
  void CloseAll();
  void SetFaults(const Json& body);

  event_base* base_;
  std::uint16_t target_port_;
  evconnlistener* listener_ = nullptr;
  PortHolder port_;
  Path paths_[2];
  std::uint64_t next_id_ = 1;
  std::map<std::uint64_t, std::unique_ptr<Link>> links_;
  WireServer control_;
};

}  // namespace jaypick::standin

#endif  // STANDINS_RELAY_H_
