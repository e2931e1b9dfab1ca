// Client of a key-value service with the JSON form of the etcd v3 API.
#ifndef JAYPICK_PLATFORM_SERVICES_ETCD_CLIENT_H_
#define JAYPICK_PLATFORM_SERVICES_ETCD_CLIENT_H_

#include <memory>
#include <vector>

#include "http/client.h"
#include "jaypick/instance.h"
#include "jaypick/key_value_store.h"
#include "jaypick/time.h"

namespace jaypick::platform_services {

struct EtcdClientOptions {
  // Tried in order; must not be empty.
  std::vector<Address> endpoints;
  // Time limit for one call, including all endpoints that it tries. The bound
  // on the detection of unresponsive services in section 11 of the design page
  // depends on it.
  Duration timeout = std::chrono::milliseconds(800);
};

// Sends each call to one endpoint at a time.
//
// If nothing could be sent to an endpoint, the same call tries the next one,
// because it cannot have had an effect. After any other failure the call ends,
// and the next call starts with the next endpoint. The user of the client
// decides whether a failed call may be retried.
//
// Errors: `kNotSent` if the request could not be sent to any endpoint;
// `kRejected` if an endpoint responded with a 4xx status other than 408 and an
// etcd error; `kOutcomeUnknown` otherwise, also for invalid responses.
class EtcdClient : public KeyValueStore {
 public:
  // `client` must outlive this object. No callback runs after destruction.
  EtcdClient(http::Client* client, EtcdClientOptions options);
  ~EtcdClient() override;

  void Range(RangeRequest request,
             StoreCallback<RangeResult> callback) override;
  void Txn(TxnRequest request, StoreCallback<TxnResult> callback) override;
  void GrantLease(Duration time_to_live,
                  StoreCallback<LeaseResult> callback) override;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace jaypick::platform_services

#endif  // JAYPICK_PLATFORM_SERVICES_ETCD_CLIENT_H_
