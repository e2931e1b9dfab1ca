// Claims of submission keys in the platform's key-value service.
#ifndef JAYPICK_PLATFORM_SERVICES_KEY_CLAIMS_H_
#define JAYPICK_PLATFORM_SERVICES_KEY_CLAIMS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "jaypick/ids.h"
#include "jaypick/key_value_store.h"
#include "jaypick/messages.h"
#include "jaypick/time.h"

namespace jaypick::platform_services {

struct KeyClaimOptions {
  // Time for which a claimed key is kept at least.
  Duration key_window = std::chrono::hours(1);
  // Claims share a lease for this time; then a new one is granted.
  Duration lease_sharing_period = std::chrono::minutes(10);
  // Claims per second of this entry, and claims that may come at once.
  double claims_per_second = 20;
  double burst = 20;
  // Transactions tried for one claim whose answers are lost.
  std::uint32_t attempts = 3;
};

using KeyClaimResult =
    std::variant<KeyClaimed, KeyAlreadyClaimed, KeyClaimFailed>;
using KeyClaimCallback = std::function<void(KeyClaimResult)>;

// The key under which the service keeps the claim of `key` by `owner`.
std::string ClaimKeyName(std::string_view owner, const SubmissionKey& key);

// Claims keys with a transaction that creates the key if it is absent.
//
// A lease cannot be prolonged for some of its keys only. Therefore each lease
// lasts `key_window + lease_sharing_period`, takes claims for
// `lease_sharing_period`, and is then replaced by a new one, so that every key
// is kept for at least `key_window`.
//
// The transaction is safe to repeat, because it creates the key with the same
// value. If its answer is lost, it is repeated, and its failure branch reads
// the holder back.
//
// Example:
//   KeyClaims claims(&store, {});
//   auto wait = claims.Claim(now, "antwerp", {"order-17"}, id, callback);
class KeyClaims {
 public:
  KeyClaims(KeyValueStore* store, KeyClaimOptions options);
  ~KeyClaims();
  KeyClaims(const KeyClaims&) = delete;
  KeyClaims& operator=(const KeyClaims&) = delete;

  // Claims `key` of `owner` for `id`.
  //
  // Returns nothing and runs `callback` once later; or, if the rate is used
  // up, returns the time after which to come back and never runs `callback`.
  // After the destruction of this object no callback runs.
  std::optional<Duration> Claim(TimePoint now,
                                std::string_view owner,
                                const SubmissionKey& key,
                                JobId id,
                                KeyClaimCallback callback);

  // Changes this entry's part of the rate.
  void SetRate(double claims_per_second);

  // Claims that have not been settled.
  std::size_t pending() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace jaypick::platform_services

#endif  // JAYPICK_PLATFORM_SERVICES_KEY_CLAIMS_H_
