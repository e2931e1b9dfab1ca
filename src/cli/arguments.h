// Command-line arguments.
#ifndef JAYPICK_CLI_ARGUMENTS_H_
#define JAYPICK_CLI_ARGUMENTS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "jaypick/instance.h"
#include "jaypick/time.h"

namespace jaypick::cli {

// Flags and arguments of all commands.
struct Arguments {
  // Caller addresses of entries, in the order in which they are tried.
  std::vector<Address> entries;
  // Operator addresses of entries, in the order in which they are tried.
  std::vector<Address> operators;
  std::string token_file;
  bool json = false;
  std::string owner;
  std::string id;
  bool wait = false;
  bool async = false;
  Duration wait_timeout{0};
  std::string author;
  std::string operation_id;
  std::optional<std::uint64_t> base_version;
  std::uint32_t limit = 0;
  // Paths of log files.
  std::vector<std::string> logs;
  // Positional arguments, without the command.
  std::vector<std::string> positional;
};

struct UsageError {
  std::string message;
};

// Parses `words`. Flags whose names are not in `allowed` are errors.
//
// `--entry` and `--operator` may be repeated. The flags are defined with
// Abseil, but its parser is not used, because it exits with code 1 on an error
// and the documented code is 2.
std::variant<Arguments, UsageError> ParseArguments(
    const std::vector<std::string>& words,
    const std::vector<std::string_view>& allowed);

// Parses "<IP>:<port>", with an IPv6 address in brackets. Returns nullopt if
// `text` has another form or the port is 0.
std::optional<Address> ParseAddress(std::string_view text);

// Returns the help text of the flag `name`.
std::string FlagHelp(std::string_view name);

}  // namespace jaypick::cli

#endif  // JAYPICK_CLI_ARGUMENTS_H_
