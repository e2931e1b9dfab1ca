// Members of a JSON object as raw text.
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

// The name of `type` in messages, for example "a string".
std::string_view ToString(JsonType type);

// One member of an object. Views point into the text that was read.
struct RawMember {
  std::string key;
  JsonType type = JsonType::kNull;
  std::string_view raw;
  // Strings only: the decoded text.
  std::string text;
  // Elements of the list that the reader was asked to split.
  std::vector<std::string_view> elements;

  bool is_true() const { return raw == "true"; }
  // The value, if it is a whole number that fits.
  std::optional<std::int64_t> as_integer() const;
};

struct JsonSyntaxError {
  std::string message;
};

using RawMembers = std::vector<RawMember>;

// Reads `text`, which must be one JSON object, and checks it as a whole.
//
// Payloads and results pass through the process as raw text: they are checked
// once, here, and never built as values. The elements of the member `list_key`
// are split if it is an array.
std::variant<RawMembers, JsonSyntaxError> ReadMembers(
    std::string_view text,
    std::string_view list_key = {});

// The member called `key`, or null.
const RawMember* FindMember(const RawMembers& members, std::string_view key);

// Appends `text` as a JSON string. Bytes that are not UTF-8 are replaced.
void AppendJsonString(std::string& json_text, std::string_view text);

}  // namespace jaypick::daemon

#endif  // JAYPICK_DAEMON_RAW_JSON_H_
