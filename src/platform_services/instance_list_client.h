// Client of the platform's instance list.
#ifndef JAYPICK_PLATFORM_SERVICES_INSTANCE_LIST_CLIENT_H_
#define JAYPICK_PLATFORM_SERVICES_INSTANCE_LIST_CLIENT_H_

#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "http/client.h"
#include "jaypick/instance.h"
#include "jaypick/source_location.h"
#include "jaypick/time.h"

namespace jaypick::platform_services {

struct InstanceListClientOptions {
  // Tried in turn, one for each call; at least one.
  std::vector<Address> endpoints;
  std::string path = "/v1/instances";
  Duration timeout = std::chrono::milliseconds(800);
};

// No list could be read.
struct InstanceListError {
  std::string message;
  // What was wrong with a list that was read; empty if none was.
  Findings findings;
};

using InstanceListCallback =
    std::function<void(std::variant<InstanceList, InstanceListError>)>;

// Reads the list once for each call. The caller compares revisions.
//
// Reads are conditional (ETag, If-None-Match): a list that has not changed is
// not sent again. At 1,100 instances a list has about 270 KB, and an entry
// reads once a second.
class InstanceListClient {
 public:
  // `client` outlives this object. After destruction no callback runs.
  InstanceListClient(http::Client* client, InstanceListClientOptions options);
  ~InstanceListClient();

  // Reads the list; `callback` runs once, from the event loop.
  void Fetch(InstanceListCallback callback);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace jaypick::platform_services

#endif  // JAYPICK_PLATFORM_SERVICES_INSTANCE_LIST_CLIENT_H_
