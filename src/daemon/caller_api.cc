// Plug-in `caller_api`: the interface that callers use.
#include "daemon/api_server.h"
#include "daemon/job_api.h"
#include "daemon/kernel.h"

namespace jaypick::daemon {
namespace {

class CallerApi : public ApiServer {
 public:
  explicit CallerApi(Kernel& kernel)
      : ApiServer(kernel, "caller", kernel.settings().caller),
        calls_(kernel, server(), /*is_forwarded=*/false) {}

 private:
  JobApi calls_;
};

const PlugInRegistration kRegistration = Register<CallerApi>("caller_api");

}  // namespace
}  // namespace jaypick::daemon
