#include "platform_services/key_claims.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace jaypick::platform_services {
namespace {

constexpr std::string_view kClaimPrefix = "jaypick/claim/";

// Part of the error message of etcd for a lease that has expired or was never
// granted.
constexpr std::string_view kLeaseNotFound = "lease not found";

// Upper bound of the time to wait for a token, also if the rate is 0.
constexpr double kMaxWaitSeconds = 60;

// Allows `rate` events per second on average, and bursts of up to `burst`
// events.
class TokenBucket {
 public:
  TokenBucket(double rate, double burst)
      : rate_(rate), burst_(burst), tokens_(burst) {}

  void set_rate(double rate) { rate_ = rate; }

  // Takes a token and returns nothing, or returns the time until a token is
  // available.
  std::optional<Duration> Take(TimePoint now) {
    Refill(now);
    if (tokens_ >= 1) {
      tokens_ -= 1;
      return std::nullopt;
    }
    const double seconds =
        rate_ > 0 ? std::min((1 - tokens_) / rate_, kMaxWaitSeconds)
                  : kMaxWaitSeconds;
    return std::chrono::ceil<Duration>(std::chrono::duration<double>(seconds));
  }

 private:
  void Refill(TimePoint now) {
    if (last_ && now > *last_) {
      const std::chrono::duration<double> elapsed = now - *last_;
      tokens_ = std::min(burst_, tokens_ + rate_ * elapsed.count());
    }
    last_ = now;
  }

  double rate_;
  double burst_;
  double tokens_;
  std::optional<TimePoint> last_;
};

}  // namespace

std::string ClaimKeyName(std::string_view owner, const SubmissionKey& key) {
  // The length distinguishes owner "a/b" with key "c" from owner "a" with key
  // "b/c".
  std::string name(kClaimPrefix);
  name += std::to_string(owner.size());
  name += '/';
  name += owner;
  name += '/';
  name += key.value;
  return name;
}

class KeyClaims::Impl : public std::enable_shared_from_this<KeyClaims::Impl> {
 public:
  Impl(KeyValueStore* store, KeyClaimOptions options)
      : store_(store),
        options_(options),
        bucket_(options.claims_per_second, options.burst) {}

  std::optional<Duration> Claim(TimePoint now,
                                std::string name,
                                JobId id,
                                KeyClaimCallback callback) {
    if (auto wait = bucket_.Take(now)) {
      return wait;
    }
    ++pending_count_;
    auto claim = std::make_shared<ClaimState>();
    claim->started = now;
    claim->name = std::move(name);
    claim->id = std::move(id);
    claim->callback = std::move(callback);
    if (lease_ != 0 && now < lease_sharing_end_) {
      Send(claim);
    } else {
      WaitForLease(claim);
    }
    return std::nullopt;
  }

  void SetRate(double rate) { bucket_.set_rate(rate); }
  std::size_t pending() const { return pending_count_; }

 private:
  struct ClaimState {
    TimePoint started;
    std::string name;
    JobId id;
    KeyClaimCallback callback;
    std::uint32_t attempts = 0;
    std::int64_t lease = 0;
    bool has_replaced_lease = false;
  };
  using PendingClaim = std::shared_ptr<ClaimState>;

  void WaitForLease(const PendingClaim& claim) {
    waiting_for_lease_.push_back(claim);
    if (waiting_for_lease_.size() > 1) {
      return;
    }
    const TimePoint requested_at = claim->started;
    store_->GrantLease(options_.key_window + options_.lease_sharing_period,
                       [weak = weak_from_this(), requested_at](auto result) {
                         if (const auto self = weak.lock()) {
                           self->OnLease(requested_at, result);
                         }
                       });
  }

  void OnLease(TimePoint requested_at, const StoreResult<LeaseResult>& result) {
    const auto waiting = std::exchange(waiting_for_lease_, {});
    const auto* granted = std::get_if<LeaseResult>(&result);
    if (granted == nullptr) {
      for (const PendingClaim& claim : waiting) {
        Settle(claim, KeyClaimFailed{});
      }
      return;
    }
    lease_ = granted->lease;
    // If the service grants a shorter lease than requested, the sharing period
    // is shortened, never the key window.
    lease_sharing_end_ =
        requested_at + granted->time_to_live - options_.key_window;
    for (const PendingClaim& claim : waiting) {
      Send(claim);
    }
  }

  void Send(const PendingClaim& claim) {
    ++claim->attempts;
    claim->lease = lease_;
    TxnRequest request{
        .conditions = {CreateRevisionIs{.key = claim->name, .revision = 0}},
        .success = {PutRequest{
            .key = claim->name, .value = ToString(claim->id), .lease = lease_}},
        .failure = {RangeRequest{.key = claim->name, .range_end = {}}}};
    store_->Txn(std::move(request),
                [weak = weak_from_this(), claim](auto result) {
                  if (const auto self = weak.lock()) {
                    self->OnTxn(claim, result);
                  }
                });
  }

  void OnTxn(const PendingClaim& claim, const StoreResult<TxnResult>& result) {
    if (const auto* error = std::get_if<StoreError>(&result)) {
      return OnError(claim, *error);
    }
    const auto& txn = std::get<TxnResult>(result);
    if (txn.succeeded) {
      return Settle(claim, KeyClaimed{});
    }
    Settle(claim, HolderOf(*claim, txn));
  }

  static KeyClaimResult HolderOf(const ClaimState& claim,
                                 const TxnResult& txn) {
    const auto* range = txn.results.empty()
                            ? nullptr
                            : std::get_if<RangeResult>(&txn.results.front());
    if (range == nullptr || range->values.size() != 1) {
      return KeyClaimFailed{};
    }
    auto holder = ParseJobId(range->values.front().value);
    if (!holder) {
      return KeyClaimFailed{};
    }
    // An earlier transaction of this claim took effect, but its response was
    // lost.
    if (*holder == claim.id) {
      return KeyClaimed{};
    }
    return KeyAlreadyClaimed{.holder = std::move(*holder)};
  }

  void OnError(const PendingClaim& claim, const StoreError& error) {
    if (error.kind == StoreErrorCode::kOutcomeUnknown &&
        claim->attempts < options_.max_attempts) {
      return Send(claim);
    }
    const bool is_lease_missing =
        error.kind == StoreErrorCode::kRejected &&
        error.message.find(kLeaseNotFound) != std::string::npos;
    if (!is_lease_missing || claim->has_replaced_lease) {
      return Settle(claim, KeyClaimFailed{});
    }
    claim->has_replaced_lease = true;
    // Another claim may already have replaced the lease.
    if (claim->lease != lease_) {
      return Send(claim);
    }
    WaitForLease(claim);
  }

  void Settle(const PendingClaim& claim, KeyClaimResult result) {
    --pending_count_;
    claim->callback(std::move(result));
  }

  KeyValueStore* store_;
  KeyClaimOptions options_;
  TokenBucket bucket_;
  std::int64_t lease_ = 0;
  // From this time on the lease is not used for new claims.
  TimePoint lease_sharing_end_;
  std::vector<PendingClaim> waiting_for_lease_;
  std::size_t pending_count_ = 0;
};

KeyClaims::KeyClaims(KeyValueStore* store, KeyClaimOptions options)
    : impl_(std::make_shared<Impl>(store, options)) {}

KeyClaims::~KeyClaims() = default;

std::optional<Duration> KeyClaims::Claim(TimePoint now,
                                         std::string_view owner,
                                         const SubmissionKey& key,
                                         JobId id,
                                         KeyClaimCallback callback) {
  return impl_->Claim(now, ClaimKeyName(owner, key), std::move(id),
                      std::move(callback));
}

void KeyClaims::SetRate(double claims_per_second) {
  impl_->SetRate(claims_per_second);
}

std::size_t KeyClaims::pending() const {
  return impl_->pending();
}

}  // namespace jaypick::platform_services
