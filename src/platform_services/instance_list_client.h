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
  // Each call uses one endpoint; after a failure the next call uses the next
  // one. Must not be empty.
  std::vector<Address> endpoints;
  std::string path = "/v1/instances";
  Duration timeout = std::chrono::milliseconds(800);
};

// Reason why no list could be read.
struct InstanceListError {
  std::string message;
  // Errors in a list that was received; empty if none was received.
  Findings findings;
};

using InstanceListCallback =
    std::function<void(std::variant<InstanceList, InstanceListError>)>;

// Fetches the list once for each call. Comparing revisions is left to the user.
//
// Requests are conditional (ETag, If-None-Match), so that an unchanged list is
// not transferred again: a list of 1,100 instances has about 270 KB, and each
// entry fetches it once per second.
class InstanceListClient {
 public:
  // `client` must outlive this object. No callback runs after destruction.
  InstanceListClient(http::Client* client, InstanceListClientOptions options);
  ~InstanceListClient();

  // Fetches the list. `callback` runs once, from the event loop.
  void Fetch(InstanceListCallback callback);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace jaypick::platform_services

#endif  // JAYPICK_PLATFORM_SERVICES_INSTANCE_LIST_CLIENT_H_
