// Relay in front of a node's peer port. It can keep connections open that one
// side has closed, as if the machine of that side had lost power.
#ifndef REVIEW_STAND_PEER_RELAY_H_
#define REVIEW_STAND_PEER_RELAY_H_

#include <cstdint>
#include <map>
#include <memory>

#include "standins/port_holder.h"

struct bufferevent;
struct evconnlistener;
struct event_base;

namespace review {

class PeerRelay {
 public:
  PeerRelay(event_base* base, std::uint16_t target_port);
  ~PeerRelay();
  PeerRelay(const PeerRelay&) = delete;
  PeerRelay& operator=(const PeerRelay&) = delete;

  std::uint16_t port() const { return port_.value(); }

  // While set, the other end of a connection that closes stays open without
  // any further bytes.
  void HoldClosed(bool holds) { holds_closed_ = holds; }
  // While set, new connections get no response.
  void SetDark(bool is_dark) { is_dark_ = is_dark; }
  // While set, connections are refused, as by a machine without the process.
  void SetRefusing(bool refuses);
  // Drops all bytes on the connections that are open now, which stay open also
  // if one side closes.
  void SilenceOpen();
  // Resets the ends that were kept open.
  void ResetHeld();

 private:
  struct Link;
  struct End {
    PeerRelay* relay = nullptr;
    std::uint64_t link = 0;
    int side = 0;
    bufferevent* events = nullptr;
  };
  struct Link {
    End ends[2];
    bool is_held = false;
  };

  void Listen();
  void Accept(int socket);
  void Attach(std::uint64_t id, int side, bufferevent* events);
  void Forward(std::uint64_t id, int side);
  void OnClosed(std::uint64_t id, int side, bool reset);
  void Close(std::uint64_t id, bool reset);

  event_base* base_;
  std::uint16_t target_port_;
  jaypick::standin::PortHolder port_;
  evconnlistener* listener_ = nullptr;
  bool holds_closed_ = false;
  bool is_dark_ = false;
  std::uint64_t last_id_ = 0;
  std::map<std::uint64_t, std::unique_ptr<Link>> links_;
};

}  // namespace review

#endif  // REVIEW_STAND_PEER_RELAY_H_
