// Plug-in `platform_client`: the head configuration and claims of keys.
#include <cstdint>
#include <utility>
#include <variant>

#include "daemon/kernel.h"
#include "daemon/log.h"
#include "daemon/poller.h"
#include "jaypick/configuration_codec.h"
#include "jaypick/configuration_head.h"
#include "jaypick/key_value_store.h"
#include "platform_services/key_claims.h"

namespace jaypick::daemon {
namespace {

// The value is read again after this many polls even if its revision is known.
constexpr unsigned kPollsPerValue = 30;
// The dispatcher divides the rate among the entries; here it has no effect.
constexpr double kUnlimited = 1e9;

class PlatformClient : public PlugIn {
 public:
  explicit PlatformClient(Kernel& kernel)
      : kernel_(kernel),
        claims_(&kernel.store(),
                {.key_window = kernel.settings().key_window,
                 .claims_per_second = kUnlimited,
                 .burst = kUnlimited}),
        poller_(kernel.base(), kernel.settings().poll_interval, [this] {
          Poll();
        }) {
    kernel.message_bus().Subscribe<ClaimKey>(
        [this](ClaimKey& message) { Claim(message); });
  }

  void Start() override { poller_.Start(); }

 private:
  // Reads only the head's revision; the value follows when that has changed.
  // The value may have up to 1 MB, far more than a poll may cost each second.
  void Poll() {
    if (is_polling_) {
      return;
    }
    is_polling_ = true;
    kernel_.store().Range(
        {.key = std::string(kHeadKey), .range_end = "", .keys_only = true},
        [this](const StoreResult<RangeResult>& result) { OnRevision(result); });
  }

  void OnRevision(const StoreResult<RangeResult>& result) {
    const auto* const range = std::get_if<RangeResult>(&result);
    kernel_.metrics().CountPoll("configuration", range != nullptr);
    if (range == nullptr) {
      LogEvent(LogLevel::kWarning, "configuration_unreadable",
               {{"message", std::get<StoreError>(result).message}});
      // The service may come back from an older copy and give a revision that
      // is known here to another value.
      known_revision_ = 0;
    } else if (range->revision < store_revision_ ||
               ++polls_since_value_ >= kPollsPerValue) {
      known_revision_ = 0;
    }
    store_revision_ = range == nullptr ? 0 : range->revision;
    if (range == nullptr || range->values.empty() ||
        range->values.front().mod_revision == known_revision_) {
      is_polling_ = false;
      return;
    }
    kernel_.store().Range(
        {.key = std::string(kHeadKey), .range_end = ""},
        [this](const StoreResult<RangeResult>& value) { OnValue(value); });
  }

  void OnValue(const StoreResult<RangeResult>& result) {
    is_polling_ = false;
    const auto* const range = std::get_if<RangeResult>(&result);
    if (range == nullptr || range->values.empty()) {
      return;
    }
    const KeyValue& head = range->values.front();
    auto decoded = DecodeConfiguration(head.value, kHeadKey);
    known_revision_ = head.mod_revision;
    polls_since_value_ = 0;
    if (auto* const findings = std::get_if<Findings>(&decoded)) {
      LogEvent(LogLevel::kError, "configuration_invalid",
               {{"message", ToString(findings->front())}});
      return;
    }
    kernel_.message_bus().Send(Event(ConfigurationOffered{
        .configuration = std::get<Configuration>(std::move(decoded))}));
  }

  void Claim(const ClaimKey& message) {
    const CallId call = message.call;
    const auto wait =
        claims_.Claim(kernel_.Now(), message.owner, message.key, message.id,
                      [this, call, id = message.id](
                          platform_services::KeyClaimResult result) {
                        if (std::holds_alternative<KeyClaimFailed>(result)) {
                          LogEvent(LogLevel::kWarning, "key_claim_failed",
                                   {{"id", ToString(id)}});
                        }
                        Settle(call, std::move(result));
                      });
    if (wait) {
      Settle(call, KeyClaimFailed{});
    }
  }

  void Settle(CallId call, platform_services::KeyClaimResult result) {
    kernel_.message_bus().Send(
        Event(KeyClaimSettled{.call = call, .result = std::move(result)}));
  }

  Kernel& kernel_;
  platform_services::KeyClaims claims_;
  Poller poller_;
  // Revision of the head's value that was read last, 0: read it again.
  std::int64_t known_revision_ = 0;
  std::int64_t store_revision_ = 0;
  unsigned polls_since_value_ = 0;
  bool is_polling_ = false;
};

const PlugInRegistration kRegistration =
    Register<PlatformClient>("platform_client");

}  // namespace
}  // namespace jaypick::daemon
