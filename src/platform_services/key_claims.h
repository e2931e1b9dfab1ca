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
  // Minimum time for which a claimed key is kept.
  Duration key_window = std::chrono::hours(1);
  // Time for which new claims use the same lease; then a new lease is
  // requested.
  Duration lease_sharing_period = std::chrono::minutes(10);
  // Rate limit of this entry, and number of claims allowed in a burst.
  double claims_per_second = 20;
  double burst = 20;
  // Maximum number of transactions for one claim, if their responses are lost.
  std::uint32_t max_attempts = 3;
};

using KeyClaimResult =
    std::variant<KeyClaimed, KeyAlreadyClaimed, KeyClaimFailed>;
using KeyClaimCallback = std::function<void(KeyClaimResult)>;

// Returns the key in the key-value service that stores the claim of `key` by
// `owner`.
std::string ClaimKeyName(std::string_view owner, const SubmissionKey& key);

// Claims each submission key with a transaction that creates it in the
// key-value service if it does not exist.
//
// A lease cannot be extended for only some of its keys. Therefore each lease is
// granted for `key_window + lease_sharing_period` and used for new claims
// during `lease_sharing_period`. It is then replaced by a new lease. This keeps
// every key for at least `key_window`.
//
// The transaction is idempotent, because it always writes the same value. If
// its response is lost, it is retried, and its failure branch reads the job id
// that holds the key.
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
  // Returns nothing and runs `callback` once later. If the rate limit is
  // exceeded, returns the time after which to retry instead, and never runs
  // `callback`. No callback runs after the destruction of this object.
  std::optional<Duration> Claim(TimePoint now,
                                std::string_view owner,
                                const SubmissionKey& key,
                                JobId id,
                                KeyClaimCallback callback);

  // Changes the rate limit of this entry.
  void SetRate(double claims_per_second);

  // Number of claims that have no result yet.
  std::size_t pending() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace jaypick::platform_services

#endif  // JAYPICK_PLATFORM_SERVICES_KEY_CLAIMS_H_
