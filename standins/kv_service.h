// Stand-in of the platform's key-value service: JSON form of the etcd v3 API.
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
  // Clock of the leases.
  std::function<TimePoint()> clock = MonotonicNow;
};

// Serves a `Store` and misbehaves when told.
//
// Control port: POST /fault sets what its body names: `down` (refuse
// connections), `silent` (never answer), `delay_ms`, and the number of calls to
// come for `lose_answers` (take effect, then reset), `lose_requests` (reset
// without effect), `reject` (answer 400), `unavailable` (take effect, answer
// 503), `garbage` and `half` (take effect, break the answer). POST /snapshot
// keeps the content, POST /rollback returns to it. GET /stats: calls so far.
class KvService {
 public:
  KvService(event_base* base, KvServiceOptions options);

  std::uint16_t port() const { return server_.port(); }
  std::uint16_t control_port() const { return control_.port(); }

  // As a request to the control port; nothing for an unknown path.
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
  void Answer(const WireRequest& request, const Exchange& exchange);
  http::Response Call(const std::string& path, const std::string& body);
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
