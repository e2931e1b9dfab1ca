// Fencing tokens of a command.
#ifndef JAYPICK_CONTROL_FENCING_TOKEN_H_
#define JAYPICK_CONTROL_FENCING_TOKEN_H_

#include <cstdint>
#include <optional>

namespace jaypick::control {

// Each write of a command record at the store is worth
// `kFencingTokensPerRecord` tokens, which the store gives to nobody else. The
// holder uses the first `kFencingTokensPerLeader` of them. While the store is
// away it may delegate the command, and the next holder gets the next ones,
// which fence its own.
inline constexpr std::uint64_t kFencingTokensPerRecord = 1U << 20U;
inline constexpr std::uint64_t kFencingTokensPerLeader = 1U << 17U;

// The first token of a command whose record was written at `revision`.
constexpr std::uint64_t FirstFencingToken(std::int64_t revision) {
  return static_cast<std::uint64_t>(revision) * kFencingTokensPerRecord;
}

// The revision of the record that a token belongs to.
constexpr std::int64_t RecordRevision(std::uint64_t token) {
  return static_cast<std::int64_t>(token / kFencingTokensPerRecord);
}

// The first token of the holder after the one with `token`; nothing once the
// record's tokens are used up.
constexpr std::optional<std::uint64_t> NextLeaderToken(std::uint64_t token) {
  const std::uint64_t next =
      token - token % kFencingTokensPerLeader + kFencingTokensPerLeader;
  return next % kFencingTokensPerRecord == 0 ? std::nullopt
                                             : std::optional(next);
}

// No higher token is left to the holder.
constexpr bool IsLastTokenOfLeader(std::uint64_t token) {
  return (token + 1) % kFencingTokensPerLeader == 0;
}

}  // namespace jaypick::control

#endif  // JAYPICK_CONTROL_FENCING_TOKEN_H_
