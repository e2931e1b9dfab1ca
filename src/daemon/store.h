// Client of the platform's key-value service.
#ifndef JAYPICK_DAEMON_STORE_H_
#define JAYPICK_DAEMON_STORE_H_

#include <memory>

#include "daemon/kernel.h"
#include "jaypick/key_value_store.h"

namespace jaypick::daemon {

// Makes a client for the address in the settings of `kernel`.
std::unique_ptr<KeyValueStore> MakeEtcdStore(Kernel& kernel);

}  // namespace jaypick::daemon

#endif  // JAYPICK_DAEMON_STORE_H_
