// Stand-in of the platform's instance list.
#ifndef STANDINS_INSTANCES_SERVICE_H_
#define STANDINS_INSTANCES_SERVICE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "jaypick/time.h"
#include "standins/program.h"
#include "standins/wire_server.h"

namespace jaypick::standin {

struct InstancesServiceOptions {
  std::uint16_t port = 0;
  std::uint16_t control_port = 0;
};

// Serves GET /v1/instances: {"revision", "instances": [...]}.
//
// Control port:
//   POST /set {"instances": [...]}       replaces the list
//   POST /put {instance}                 adds an instance, or merges the given
//                                        members into the instance of that name
//   POST /remove {"name"}                removes an instance
//   POST /fault {"down", "silent", "lag_ms", "garbage", "back"}
//     `lag_ms`: serve the list as it was that long ago; `back`: serve the list
//     that many revisions ago; 0 switches either off.
//   GET  /stats                          reads so far, lists sent, revision
// Responses with a list carry an ETag; a read with a matching If-None-Match
// gets 304. Each change increments the revision by 1. An instance that is added
// without `generation` has generation 1, also if it was removed before.
class InstancesService {
 public:
  InstancesService(event_base* base, InstancesServiceOptions options);

  std::uint16_t port() const { return server_.port(); }
  std::uint16_t control_port() const { return control_.port(); }

  // Handles a request as the control port does, and returns the response body;
  // `std::nullopt` for an unknown path.
  std::optional<Json> Control(const std::string& path, const Json& body);

 private:
  struct Version {
    TimePoint since;
    Json list;
  };

  void Handle(const WireRequest& request, const Exchange& exchange);
  const Json& VisibleList() const;
  Json CurrentInstances() const;
  void AddVersion(Json instances);
  void Put(const Json& instance);
  void Remove(const std::string& name);
  void SetFaults(const Json& body);

  std::deque<Version> versions_;
  std::uint64_t revision_ = 0;
  bool silent_ = false;
  bool garbage_ = false;
  Duration lag_{0};
  std::size_t revisions_back_ = 0;
  std::size_t reads_ = 0;
  // Reads that were answered with a list. Unlike `reads_`, it leaves out those
  // with 304 or a fault.
  std::size_t lists_sent_ = 0;
  WireServer server_;
  WireServer control_;
};

}  // namespace jaypick::standin

#endif  // STANDINS_INSTANCES_SERVICE_H_
