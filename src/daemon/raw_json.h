// Parser that returns the members of a JSON object as raw text.
#ifndef JAYPICK_DAEMON_RAW_JSON_H_
#define JAYPICK_DAEMON_RAW_JSON_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace jaypick::daemon {

enum class JsonType { kNull, kBoolean, kNumber, kString, kArray, kObject };

// Returns the name of `type` for error messages, for example "a string".
std::string_view ToString(JsonType type);

// One member of an object. Views point into the text that was parsed.
struct RawMember {
  std::string key;
  JsonType type = JsonType::kNull;
  std::string_view raw;
  // The decoded text of a string; empty for other types.
  std::string text;
  // The raw elements, only for the array that `ReadMembers` was asked to split.
  std::vector<std::string_view> elements;

  bool is_true() const { return raw == "true"; }
  // The value, if it is an integer in the range of the type.
  std::optional<std::int64_t> as_integer() const;
};

struct JsonSyntaxError {
  std::string message;
};

using RawMembers = std::vector<RawMember>;

// Parses `text`, which must be one JSON object, and validates all of it.
//
// Payloads and results pass through the process as raw text: they are validated
// once, here, and never converted to values. If the member `list_key` is an
// array, its elements are returned separately.
std::variant<RawMembers, JsonSyntaxError> ReadMembers(
    std::string_view text,
    std::string_view list_key = {});

// Returns the member called `key`, or null.
const RawMember* FindMember(const RawMembers& members, std::string_view key);

// Appends `text` as a JSON string. Bytes that are not UTF-8 are replaced.
void AppendJsonString(std::string& json_text, std::string_view text);

}  // namespace jaypick::daemon

#endif  // JAYPICK_DAEMON_RAW_JSON_H_
