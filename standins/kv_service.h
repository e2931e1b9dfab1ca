// Stand-in of the platform's key-value service: the JSON API of etcd v3.
#ifndef STANDINS_KV_SERVICE_H_
#define STANDINS_KV_SERVICE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "jaypick/time.h"
#include "standins/program.h"
#include "standins/store.h"
#include "standins/wire_server.h"

namespace jaypick::standin {

struct KvServiceOptions {
  std::uint16_t port = 0;
  std::uint16_t control_port = 0;
  // Clock by which leases expire.
  std::function<TimePoint()> clock = MonotonicNow;
};

// Serves a `Store` over HTTP, with injectable faults.
//
// Control port: POST /fault sets the faults that its body contains; the others
// keep their values:
//   "down"           true: refuse connections and reset the open ones
//   "silent"         true: never respond; calls take no effect
//   "delay_ms"       time until a call takes effect and is answered
// The other faults are the number of next calls that they apply to:
//   "lose_answers"   take effect, then reset the connection
//   "lose_requests"  reset the connection without effect
//   "reject"         respond 400 without effect
//   "unavailable"    take effect, but respond 503
//   "garbage"        take effect, but respond with bytes that are not HTTP
//   "half"           take effect, but close after half of the response
// POST /snapshot saves the content, POST /rollback restores it.
// GET /stats returns the calls so far and the revision.
class KvService {
 public:
  KvService(event_base* base, KvServiceOptions options);

  std::uint16_t port() const { return server_.port(); }
  std::uint16_t control_port() const { return control_.port(); }

  // Handles a request as the control port does, and returns the response body;
  // `std::nullopt` for an unknown path.
  std::optional<Json> Control(const std::string& path, const Json& body);

 private:
  struct Faults {
    bool silent = false;
    Duration delay{0};
    std::uint32_t lose_answers = 0;
    std::uint32_t lose_requests = 0;
    std::uint32_t reject = 0;
    std::uint32_t unavailable = 0;
    std::uint32_t garbage = 0;
    std::uint32_t half = 0;
  };

  void Handle(const WireRequest& request, const Exchange& exchange);
  // Executes the call and responds, both subject to the faults.
  void ProcessRequest(const WireRequest& request, const Exchange& exchange);
  http::Response Execute(const std::string& path, const std::string& body);
  void SetFaults(const Json& body);

  event_base* base_;
  std::function<TimePoint()> clock_;
  Store store_;
  Store snapshot_;
  Faults faults_;
  std::size_t calls_ = 0;
  WireServer server_;
  WireServer control_;
};

}  // namespace jaypick::standin

#endif  // STANDINS_KV_SERVICE_H_
