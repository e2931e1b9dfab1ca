#include "settings/located_json.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <utility>
#include <vector>

#include "settings/counting_iterator.h"

namespace jaypick {
namespace {

using nlohmann::json;

constexpr std::string_view kSeparators = " \t\r\n:,";
// Each level stores its whole pointer, so the memory grows with the square of
// the depth.
constexpr std::size_t kMaxDepth = 64;

std::string EscapePointer(const std::string& key) {
  std::string escaped;
  for (const char character : key) {
    if (character == '~') {
      escaped += "~0";
    } else if (character == '/') {
      escaped += "~1";
    } else {
      escaped += character;
    }
  }
  return escaped;
}

// Builds the document from the parser's events and records the location at
// which each value begins.
class LocatedJsonBuilder : public nlohmann::json_sax<json> {
 public:
  LocatedJsonBuilder(std::string_view text, const std::string& source)
      : text_(text),
        source_(source),
        cursor_(text.data()),
        last_end_(text.data()) {}

  CountingIterator begin() { return {text_.data(), &cursor_}; }
  CountingIterator end() { return {text_.data() + text_.size(), &cursor_}; }
  LocatedJson TakeResult() { return std::move(result_); }

  bool null() override { return AddScalar(nullptr); }
  bool boolean(bool value) override { return AddScalar(value); }
  bool number_integer(number_integer_t value) override {
    return AddScalar(value);
  }
  bool number_unsigned(number_unsigned_t value) override {
    return AddScalar(value);
  }
  bool number_float(number_float_t value, const string_t& /*text*/) override {
    return AddScalar(value);
  }
  bool string(string_t& value) override { return AddScalar(std::move(value)); }
  bool binary(binary_t& /*value*/) override { return false; }

  bool start_object(std::size_t /*elements*/) override {
    return OpenContainer(json::object());
  }
  bool start_array(std::size_t /*elements*/) override {
    return OpenContainer(json::array());
  }
  bool end_object() override { return CloseContainer(); }
  bool end_array() override { return CloseContainer(); }

  bool key(string_t& name) override {
    Level& level = levels_.back();
    level.key = name;
    if (level.value->contains(name)) {
      result_.findings.push_back(
          {.location = LocationAt(NextValueBegin()),
           .key = level.pointer + "/" + EscapePointer(name),
           .message = "the key occurs twice"});
    }
    last_end_ = cursor_;
    return true;
  }

  bool parse_error(std::size_t position,
                   const std::string& /*token*/,
                   const json::exception& exception) override {
    std::string message = exception.what();
    // The prefix of the library's message repeats the location.
    const std::size_t prefix = message.find(": ");
    message.erase(0, prefix == std::string::npos ? 0 : prefix + 2);
    const std::size_t offset =
        std::min(position == 0 ? 0 : position - 1, text_.size());
    result_.findings.push_back({.location = LocationAt(text_.data() + offset),
                                .key = "",
                                .message = std::move(message)});
    return false;
  }

 private:
  struct Level {
    json* value = nullptr;
    std::string pointer;
    std::string key;
  };

  const char* NextValueBegin() const {
    const char* begin = last_end_;
    const char* const limit = text_.data() + text_.size();
    while (begin != limit &&
           kSeparators.find(*begin) != std::string_view::npos) {
      ++begin;
    }
    return begin;
  }

  SourceLocation LocationAt(const char* position) const {
    const std::string_view before(
        text_.data(), static_cast<std::size_t>(position - text_.data()));
    const auto lines = std::ranges::count(before, '\n');
    const std::size_t newline = before.rfind('\n');
    const std::size_t column = newline == std::string_view::npos
                                   ? before.size()
                                   : before.size() - newline - 1;
    return {.source = source_,
            .line = static_cast<std::uint32_t>(lines) + 1,
            .column = static_cast<std::uint32_t>(column) + 1};
  }

  // Inserts `value`, which begins at `begin`, at the parser's current position
  // in the document. Returns the inserted value and its JSON pointer.
  std::pair<json*, std::string> Insert(json value, const char* begin) {
    json* inserted = &result_.value;
    std::string pointer;
    if (!levels_.empty()) {
      Level& level = levels_.back();
      if (level.value->is_array()) {
        pointer = level.pointer + "/" + std::to_string(level.value->size());
        level.value->push_back(nullptr);
        inserted = &level.value->back();
      } else {
        pointer = level.pointer + "/" + EscapePointer(level.key);
        inserted = &(*level.value)[level.key];
      }
    }
    *inserted = std::move(value);
    result_.locations[pointer] = LocationAt(begin);
    return {inserted, pointer};
  }

  bool AddScalar(json value) {
    const bool is_number = value.is_number();
    Insert(std::move(value), NextValueBegin());
    // The lexer reads one character beyond a number to find its end.
    last_end_ = is_number ? cursor_ - 1 : cursor_;
    return true;
  }

  bool OpenContainer(json value) {
    if (levels_.size() == kMaxDepth) {
      result_.findings.push_back({.location = LocationAt(cursor_ - 1),
                                  .key = levels_.back().pointer,
                                  .message = "is nested too deeply"});
      return false;
    }
    auto [inserted, pointer] = Insert(std::move(value), cursor_ - 1);
    levels_.push_back(
        {.value = inserted, .pointer = std::move(pointer), .key = ""});
    last_end_ = cursor_;
    return true;
  }

  bool CloseContainer() {
    levels_.pop_back();
    last_end_ = cursor_;
    return true;
  }

  std::string_view text_;
  std::string source_;
  const char* cursor_;
  const char* last_end_;
  std::vector<Level> levels_;
  LocatedJson result_;
};

}  // namespace

std::string ToString(const Finding& finding) {
  std::string text = finding.location.source;
  if (finding.location.line != 0) {
    text += ':' + std::to_string(finding.location.line);
    text += ':' + std::to_string(finding.location.column);
  }
  if (!text.empty()) {
    text += ": ";
  }
  if (!finding.key.empty()) {
    text += finding.key + ": ";
  }
  return text + finding.message;
}

const SourceLocation& LocatedJson::LocationOf(
    const std::string& pointer) const {
  static const SourceLocation unknown;
  std::string enclosing = pointer;
  while (true) {
    const auto it = locations.find(enclosing);
    if (it != locations.end()) {
      return it->second;
    }
    if (enclosing.empty()) {
      return unknown;
    }
    enclosing.resize(enclosing.rfind('/'));
  }
}

LocatedJson ParseLocated(std::string_view text, const std::string& source) {
  LocatedJsonBuilder builder(text, source);
  json::sax_parse(builder.begin(), builder.end(), &builder);
  LocatedJson result = builder.TakeResult();
  if (result.locations.empty()) {
    result.locations[""] = {.source = source, .line = 1, .column = 1};
  }
  return result;
}

std::variant<std::string, Findings> ReadText(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    Finding finding;
    finding.location.source = path;
    finding.message = "cannot be read";
    return Findings{std::move(finding)};
  }
  const std::string text((std::istreambuf_iterator<char>(file)),
                         std::istreambuf_iterator<char>());
  return text;
}

}  // namespace jaypick
