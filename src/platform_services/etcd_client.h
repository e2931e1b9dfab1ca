// Client of a key-value service that speaks the JSON form of the etcd v3 API.
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
  // Tried in turn; at least one.
  std::vector<Address> endpoints;
  // Time for one call, over all endpoints that it tries. The design page,
  // section 11, bounds the detection of silence by it.
  Duration timeout = std::chrono::milliseconds(800);
};

// Sends each call to one endpoint at a time.
//
// An endpoint to which nothing could be sent is followed by the next one within
// the same call, because the call had no effect. After any other failure the
// call ends, and the next call starts with the next endpoint; the caller
// decides whether its call may be repeated.
//
// Errors: `kNotSent` if no endpoint took the request; `kRejected` if an
// endpoint answered 4xx (but 408) with an etcd error; `kOutcomeUnknown`
// otherwise, also for answers that are not valid.
class EtcdClient : public KeyValueStore {
 public:
  // `client` outlives this object. After destruction no callback runs.
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
