// Plug-in `upstream_client`: sends attempts to upstreams and reports their
// outcomes.
#include <utility>
#include <variant>

#include "daemon/kernel.h"
#include "daemon/log.h"
#include "daemon/upstream_client.h"

namespace jaypick::daemon {
namespace {

void LogIfLost(const AttemptEnded& ended) {
  if (const auto* const lost = std::get_if<attempt::Lost>(&ended.outcome)) {
    LogEvent(LogLevel::kWarning, "attempt_lost",
             {{"id", ToString(ended.attempt)},
              {"upstream", ended.upstream},
              {"cause", lost->cause}});
  }
}

class UpstreamPlugIn : public PlugIn {
 public:
  explicit UpstreamPlugIn(Kernel& kernel)
      : client_(
            kernel.base(),
            {.open_timeout = kernel.settings().upstream_connect_timeout},
            {.on_ended =
                 [&kernel](AttemptEnded ended) {
                   LogIfLost(ended);
                   kernel.message_bus().Send(Event(std::move(ended)));
                 },
             .on_probe =
                 [&kernel] { kernel.metrics().CountWaste(WasteCause::kProbe); },
             .now = [&kernel] { return kernel.Now(); }}) {
    kernel.message_bus().Subscribe<StartAttempt>(
        [this](StartAttempt& start) { client_.Start(std::move(start)); });
    kernel.message_bus().Subscribe<AbandonAttempt>(
        [this, &kernel](AbandonAttempt& abandon) {
          kernel.metrics().CountWaste(WasteCause::kAbandoned);
          client_.Abandon(abandon);
        });
  }

 private:
  UpstreamClient client_;
};

const PlugInRegistration kRegistration =
    Register<UpstreamPlugIn>("upstream_client");

}  // namespace
}  // namespace jaypick::daemon
