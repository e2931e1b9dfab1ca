// Fencing tokens of a command.
#ifndef JAYPICK_CONTROL_FENCING_TOKEN_H_
#define JAYPICK_CONTROL_FENCING_TOKEN_H_

#include <cstdint>
#include <optional>

namespace jaypick::command {

// Each write of a command record at the store is worth `kTokensPerRecord`
// tokens, which the store gives to nobody else. The holder uses the first
// `kTokensPerHolder` of them. While the store is away it may delegate the
// command, and the next holder gets the next ones, which fence its own.
inline constexpr std::uint64_t kTokensPerRecord = 1U << 20U;
inline constexpr std::uint64_t kTokensPerHolder = 1U << 17U;

// The first token of a command whose record was written at `revision`.
constexpr std::uint64_t FirstToken(std::int64_t revision) {
  return static_cast<std::uint64_t>(revision) * kTokensPerRecord;
}

// The revision of the record that a token belongs to.
constexpr std::int64_t RevisionOf(std::uint64_t token) {
  return static_cast<std::int64_t>(token / kTokensPerRecord);
}

// The first token of the holder after the one with `token`; nothing once the
// record's tokens are used up.
constexpr std::optional<std::uint64_t> NextHolderToken(std::uint64_t token) {
  const std::uint64_t next =
      token - token % kTokensPerHolder + kTokensPerHolder;
  return next % kTokensPerRecord == 0 ? std::nullopt : std::optional(next);
}

// No higher token is left to the holder.
constexpr bool IsLastOfHolder(std::uint64_t token) {
  return (token + 1) % kTokensPerHolder == 0;
}

}  // namespace jaypick::command

#endif  // JAYPICK_CONTROL_FENCING_TOKEN_H_
