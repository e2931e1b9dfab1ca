#include "cli/arguments.h"

#include <absl/flags/flag.h>
#include <absl/flags/reflection.h>
#include <event2/util.h>
#include <netinet/in.h>

#include <algorithm>
#include <charconv>
#include <map>
#include <utility>

ABSL_FLAG(std::vector<std::string>,
          entry,
          {},
          "caller address <ip>:<port> of an entry; may be repeated: if an "
          "entry is unreachable, the next one is tried");
ABSL_FLAG(std::vector<std::string>,
          operators,
          {},
          "operator address <ip>:<port> of an entry; may be repeated");
ABSL_FLAG(std::string,
          token_file,
          "",
          "file with the operator token, required with --operator");
ABSL_FLAG(bool, json, false, "print JSON instead of text");
ABSL_FLAG(std::string, owner, "", "owner of the job, required");
ABSL_FLAG(std::string,
          id,
          "",
          "submit under this reserved id, for example to submit again after "
          "a lost connection");
ABSL_FLAG(bool,
          wait,
          false,
          "wait until the job has ended, or until the new version is in force "
          "at every live entry");
ABSL_FLAG(bool, async, false, "print the id and return before the job ends");
ABSL_FLAG(std::uint32_t,
          wait_timeout_ms,
          18000,
          "maximum time to wait for entries, in milliseconds");
ABSL_FLAG(std::string, author, "", "author of the change, required");
ABSL_FLAG(std::string,
          operation_id,
          "",
          "identifies the change (default: random); repeat a change whose "
          "outcome is unknown with the same id");
ABSL_FLAG(std::string,
          base_version,
          "",
          "version that the change is based on (default: the one that the "
          "printed difference refers to)");
ABSL_FLAG(std::uint32_t,
          limit,
          20,
          "maximum number of audit entries, 1 to 1000");
ABSL_FLAG(std::vector<std::string>,
          logs,
          {},
          "log file of an instance; several are separated by commas");

namespace jaypick::cli {
namespace {

template <typename Number>
std::optional<Number> ParseNumber(std::string_view text) {
  Number value = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || rest != end || text.empty()) {
    return std::nullopt;
  }
  return value;
}

bool IsIpAddress(const std::string& host, bool is_v6) {
  in6_addr buffer;
  return evutil_inet_pton(is_v6 ? AF_INET6 : AF_INET, host.c_str(), &buffer) ==
         1;
}

bool IsRepeatable(std::string_view name) {
  return name == "entry" || name == "operator";
}

// The Abseil flag that `--<name>` sets. `--operator` has another name in
// Abseil, because Abseil makes C++ identifiers of flag names and `operator` is
// a keyword.
absl::CommandLineFlag* FindFlag(std::string_view name) {
  return absl::FindCommandLineFlag(name == "operator" ? "operators"
                                                      : std::string(name));
}

// Parses command-line words and sets the Abseil flags.
class FlagParser {
 public:
  explicit FlagParser(const std::vector<std::string_view>& allowed)
      : allowed_(allowed) {}

  std::optional<UsageError> Parse(const std::vector<std::string>& words) {
    for (std::size_t i = 0; i < words.size(); ++i) {
      if (!words[i].starts_with("--")) {
        positional_.push_back(words[i]);
        continue;
      }
      const std::size_t equals = words[i].find('=');
      const std::string name = words[i].substr(2, equals - 2);
      if (std::ranges::find(allowed_, name) == allowed_.end()) {
        return UsageError{"unknown flag --" + name};
      }
      std::string value;
      if (equals != std::string::npos) {
        value = words[i].substr(equals + 1);
      } else if (FindFlag(name)->IsOfType<bool>()) {
        value = "true";
      } else if (i + 1 < words.size()) {
        value = words[++i];
      } else {
        return UsageError{"flag --" + name + " needs a value"};
      }
      if (auto error = Set(name, value)) {
        return error;
      }
    }
    return std::nullopt;
  }

  std::vector<std::string> positional() const { return positional_; }

 private:
  std::optional<UsageError> Set(const std::string& name,
                                const std::string& value) {
    const auto [it, is_first] = values_.try_emplace(name, value);
    if (!is_first && !IsRepeatable(name)) {
      return UsageError{"flag --" + name + " is repeated"};
    }
    if (!is_first) {
      it->second += ',';
      it->second += value;
    }
    std::string error;
    if (!FindFlag(name)->ParseFrom(it->second, &error)) {
      return UsageError{"flag --" + name + ": " + error};
    }
    return std::nullopt;
  }

  const std::vector<std::string_view>& allowed_;
  std::vector<std::string> positional_;
  std::map<std::string, std::string> values_;
};

std::optional<UsageError> ParseAddresses(const std::string& flag,
                                         const std::vector<std::string>& texts,
                                         std::vector<Address>& addresses) {
  for (const std::string& text : texts) {
    const auto address = ParseAddress(text);
    if (!address) {
      std::string message = "flag --" + flag + ": \"";
      message += text;
      message += "\" is not <ip>:<port>";
      return UsageError{std::move(message)};
    }
    addresses.push_back(*address);
  }
  return std::nullopt;
}

}  // namespace

std::optional<Address> ParseAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::string host(text.substr(0, colon));
  const bool is_v6 = host.starts_with('[') && host.ends_with(']');
  if (is_v6) {
    host = host.substr(1, host.size() - 2);
  }
  const auto port = ParseNumber<std::uint16_t>(text.substr(colon + 1));
  if (!port || *port == 0 || !IsIpAddress(host, is_v6)) {
    return std::nullopt;
  }
  return Address{.host = std::move(host), .port = *port};
}

std::variant<Arguments, UsageError> ParseArguments(
    const std::vector<std::string>& words,
    const std::vector<std::string_view>& allowed) {
  FlagParser parser(allowed);
  if (auto error = parser.Parse(words)) {
    return *error;
  }
  Arguments arguments{.entries = {},
                      .operators = {},
                      .token_file = absl::GetFlag(FLAGS_token_file),
                      .json = absl::GetFlag(FLAGS_json),
                      .owner = absl::GetFlag(FLAGS_owner),
                      .id = absl::GetFlag(FLAGS_id),
                      .wait = absl::GetFlag(FLAGS_wait),
                      .async = absl::GetFlag(FLAGS_async),
                      .wait_timeout = std::chrono::milliseconds(
                          absl::GetFlag(FLAGS_wait_timeout_ms)),
                      .author = absl::GetFlag(FLAGS_author),
                      .operation_id = absl::GetFlag(FLAGS_operation_id),
                      .base_version = std::nullopt,
                      .limit = absl::GetFlag(FLAGS_limit),
                      .logs = absl::GetFlag(FLAGS_logs),
                      .positional = parser.positional()};
  if (auto error = ParseAddresses("entry", absl::GetFlag(FLAGS_entry),
                                  arguments.entries)) {
    return *error;
  }
  if (auto error = ParseAddresses("operator", absl::GetFlag(FLAGS_operators),
                                  arguments.operators)) {
    return *error;
  }
  const std::string base = absl::GetFlag(FLAGS_base_version);
  if (!base.empty()) {
    arguments.base_version = ParseNumber<std::uint64_t>(base);
    if (!arguments.base_version) {
      return UsageError{"flag --base_version: not a whole number"};
    }
  }
  return arguments;
}

std::string FlagHelp(std::string_view name) {
  const absl::CommandLineFlag* const flag =
      absl::FindCommandLineFlag(std::string(name));
  return flag == nullptr ? "" : flag->Help();
}

}  // namespace jaypick::cli
