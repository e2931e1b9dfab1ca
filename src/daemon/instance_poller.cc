// Plug-in `instance_poller`: polls the platform's instance list.
#include <utility>
#include <variant>

#include "daemon/kernel.h"
#include "daemon/log.h"
#include "daemon/poller.h"
#include "http/client.h"
#include "platform_services/instance_list_client.h"

namespace jaypick::daemon {
namespace {

class InstancePoller : public PlugIn {
 public:
  explicit InstancePoller(Kernel& kernel)
      : kernel_(kernel),
        client_(kernel.base(),
                {.timeout = kernel.settings().platform_timeout,
                 .connections_per_address = 1}),
        list_client_(&client_,
                     {.endpoints = {kernel.settings().instance_list},
                      .timeout = kernel.settings().platform_timeout}),
        poller_(kernel.base(), kernel.settings().poll_interval, [this] {
          Poll();
        }) {}

  void Start() override { poller_.Start(); }

 private:
  using Result =
      std::variant<InstanceList, platform_services::InstanceListError>;

  void Poll() {
    if (is_polling_) {
      return;
    }
    is_polling_ = true;
    list_client_.Fetch([this](Result result) { Finish(std::move(result)); });
  }

  void Finish(Result result) {
    is_polling_ = false;
    auto* const list = std::get_if<InstanceList>(&result);
    kernel_.metrics().CountPoll("instances", list != nullptr);
    if (list == nullptr) {
      const auto& error =
          std::get<platform_services::InstanceListError>(result);
      LogEvent(LogLevel::kWarning, "instance_list_unreadable",
               {{"message", error.findings.empty()
                                ? error.message
                                : ToString(error.findings.front())}});
      return;
    }
    const InstanceList* const known = kernel_.dispatcher().instances();
    if (known == nullptr || list->revision > known->revision) {
      kernel_.message_bus().Send(
          Event(InstancesOffered{.list = std::move(*list)}));
    }
  }

  Kernel& kernel_;
  http::Client client_;
  platform_services::InstanceListClient list_client_;
  Poller poller_;
  bool is_polling_ = false;
};

const PlugInRegistration kRegistration =
    Register<InstancePoller>("instance_poller");

}  // namespace
}  // namespace jaypick::daemon
