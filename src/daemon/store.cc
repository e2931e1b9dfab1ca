#include "daemon/store.h"

#include <utility>

#include "http/client.h"
#include "platform_services/etcd_client.h"

namespace jaypick::daemon {
namespace {

// An etcd client that owns its HTTP connections.
class EtcdStore : public KeyValueStore {
 public:
  explicit EtcdStore(Kernel& kernel)
      : client_(kernel.base(), {.timeout = kernel.settings().platform_timeout}),
        etcd_(&client_,
              {.endpoints = {kernel.settings().key_value},
               .timeout = kernel.settings().platform_timeout}) {}

  void Range(RangeRequest request,
             StoreCallback<RangeResult> callback) override {
    etcd_.Range(std::move(request), std::move(callback));
  }

  void Txn(TxnRequest request, StoreCallback<TxnResult> callback) override {
    etcd_.Txn(std::move(request), std::move(callback));
  }

  void GrantLease(Duration time_to_live,
                  StoreCallback<LeaseResult> callback) override {
    etcd_.GrantLease(time_to_live, std::move(callback));
  }

 private:
  http::Client client_;
  platform_services::EtcdClient etcd_;
};

}  // namespace

std::unique_ptr<KeyValueStore> MakeEtcdStore(Kernel& kernel) {
  return std::make_unique<EtcdStore>(kernel);
}

}  // namespace jaypick::daemon
