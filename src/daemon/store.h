// The platform's key-value service, as the kernel gets it.
#ifndef JAYPICK_DAEMON_STORE_H_
#define JAYPICK_DAEMON_STORE_H_

#include <memory>

#include "daemon/kernel.h"
#include "jaypick/key_value_store.h"

namespace jaypick::daemon {

// A client of the service at the address that the settings name.
std::unique_ptr<KeyValueStore> MakeEtcdStore(Kernel& kernel);

}  // namespace jaypick::daemon

#endif  // JAYPICK_DAEMON_STORE_H_
