// Plug-in `caller_api`: the HTTP API for callers.
#include "daemon/api_server.h"
#include "daemon/job_api.h"
#include "daemon/kernel.h"

namespace jaypick::daemon {
namespace {

class CallerApi : public ApiServer {
 public:
  explicit CallerApi(Kernel& kernel)
      : ApiServer(kernel, "caller", kernel.settings().caller),
        job_api_(kernel, server(), /*is_forwarded=*/false) {}

 private:
  JobApi job_api_;
};

const PlugInRegistration kRegistration = Register<CallerApi>("caller_api");

}  // namespace
}  // namespace jaypick::daemon
