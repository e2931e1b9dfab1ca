// Fencing tokens of a domain's leaders.
#ifndef JAYPICK_CONTROL_FENCING_TOKEN_H_
#define JAYPICK_CONTROL_FENCING_TOKEN_H_

#include <cstdint>
#include <optional>

namespace jaypick::control {

// Each write of a leader record to the store reserves `kFencingTokensPerRecord`
// tokens, which the store assigns to no other write. The leader uses the first
// `kFencingTokensPerLeader` of them. While the store is unavailable the leader
// may delegate the leadership; its successor uses the next
// `kFencingTokensPerLeader` tokens, which are higher and therefore fence the
// predecessor.
inline constexpr std::uint64_t kFencingTokensPerRecord = 1U << 20U;
inline constexpr std::uint64_t kFencingTokensPerLeader = 1U << 17U;

// Returns the first token of the leader whose record was written at store
// revision `revision`.
constexpr std::uint64_t FirstFencingToken(std::int64_t revision) {
  return static_cast<std::uint64_t>(revision) * kFencingTokensPerRecord;
}

// Returns the store revision of the leader record that `token` belongs to.
constexpr std::int64_t RecordRevision(std::uint64_t token) {
  return static_cast<std::int64_t>(token / kFencingTokensPerRecord);
}

// Returns the first token of the successor of the leader that uses `token`, or
// nothing if the record's tokens are used up.
constexpr std::optional<std::uint64_t> NextLeaderToken(std::uint64_t token) {
  const std::uint64_t next =
      token - token % kFencingTokensPerLeader + kFencingTokensPerLeader;
  return next % kFencingTokensPerRecord == 0 ? std::nullopt
                                             : std::optional(next);
}

// Returns true if `token` is the highest one that its leader may use.
constexpr bool IsLastTokenOfLeader(std::uint64_t token) {
  return (token + 1) % kFencingTokensPerLeader == 0;
}

}  // namespace jaypick::control

#endif  // JAYPICK_CONTROL_FENCING_TOKEN_H_
