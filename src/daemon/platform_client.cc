// Plug-in `platform_client`: polls the head configuration in the key-value
// service, and claims submission keys there.
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

// The value is read again after this many polls even if its revision has not
// changed.
constexpr unsigned kPollsPerForcedRead = 30;
// The dispatcher limits the claim rate to this entry's share, so the limit in
// `KeyClaims` is disabled.
constexpr double kNoRateLimit = 1e9;

class PlatformClient : public PlugIn {
 public:
  explicit PlatformClient(Kernel& kernel)
      : kernel_(kernel),
        claims_(&kernel.store(),
                {.key_window = kernel.settings().key_window,
                 .claims_per_second = kNoRateLimit,
                 .burst = kNoRateLimit}),
        poller_(kernel.base(), kernel.settings().poll_interval, [this] {
          Poll();
        }) {
    kernel.message_bus().Subscribe<ClaimKey>(
        [this](ClaimKey& message) { Claim(message); });
  }

  void Start() override { poller_.Start(); }

 private:
  // Reads only the head's revision, and then the value if the revision has
  // changed. The value can have up to 1 MB, too much to read with every poll.
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
      // The service may have been restored from an older copy, and may then
      // assign a known revision to a different value. The value is read again.
      head_revision_ = 0;
    } else if (range->revision < store_revision_ ||
               ++polls_since_read_ >= kPollsPerForcedRead) {
      head_revision_ = 0;
    }
    store_revision_ = range == nullptr ? 0 : range->revision;
    if (range == nullptr || range->values.empty() ||
        range->values.front().mod_revision == head_revision_) {
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
    head_revision_ = head.mod_revision;
    polls_since_read_ = 0;
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
  // Revision of the head's value that was read last. 0 forces another read.
  std::int64_t head_revision_ = 0;
  std::int64_t store_revision_ = 0;
  unsigned polls_since_read_ = 0;
  bool is_polling_ = false;
};

const PlugInRegistration kRegistration =
    Register<PlatformClient>("platform_client");

}  // namespace
}  // namespace jaypick::daemon
