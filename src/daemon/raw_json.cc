#include "daemon/raw_json.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "settings/counting_iterator.h"

namespace jaypick::daemon {
namespace {

using nlohmann::json;

constexpr std::string_view kSeparators = " \t\r\n:,";
constexpr std::string_view kNumberCharacters = "+-.0123456789Ee";
constexpr int kMemberDepth = 1;
constexpr int kElementDepth = 2;
constexpr unsigned char kFirstPrintable = 0x20;
constexpr unsigned char kFirstNonAscii = 0x80;

// SAX handler that records the raw text of members and of array elements.
class MemberReader : public nlohmann::json_sax<json> {
 public:
  MemberReader(std::string_view text, std::string_view list_key)
      : text_(text), list_key_(list_key), cursor_(text.data()) {}

  CountingIterator begin() { return {text_.data(), &cursor_}; }
  CountingIterator end() { return {text_.data() + text_.size(), &cursor_}; }

  RawMembers TakeMembers() { return std::move(members_); }
  std::string TakeError() { return std::move(error_); }

  bool null() override { return Scalar(JsonType::kNull); }
  bool boolean(bool /*value*/) override { return Scalar(JsonType::kBoolean); }
  bool number_integer(number_integer_t /*value*/) override { return Number(); }
  bool number_unsigned(number_unsigned_t /*value*/) override {
    return Number();
  }
  bool number_float(number_float_t /*value*/,
                    const string_t& /*text*/) override {
    return Number();
  }
  bool string(string_t& value) override {
    if (depth_ == kMemberDepth) {
      members_.back().text = std::move(value);
    }
    return Scalar(JsonType::kString);
  }
  bool binary(binary_t& /*value*/) override { return false; }

  bool start_object(std::size_t /*elements*/) override {
    return Open(JsonType::kObject);
  }
  bool start_array(std::size_t /*elements*/) override {
    return Open(JsonType::kArray);
  }
  bool end_object() override { return Close(); }
  bool end_array() override { return Close(); }

  bool key(string_t& name) override {
    if (depth_ == kMemberDepth) {
      if (FindMember(members_, name) != nullptr) {
        error_ = "member \"" + name + "\" occurs twice";
        return false;
      }
      members_.emplace_back();
      members_.back().key = std::move(name);
    }
    last_end_ = cursor_;
    return true;
  }

  bool parse_error(std::size_t /*position*/,
                   const std::string& /*token*/,
                   const json::exception& exception) override {
    error_ = exception.what();
    // Strips the prefix with the error number of the library.
    const std::size_t number = error_.find("] ");
    error_.erase(0, number == std::string::npos ? 0 : number + 2);
    return false;
  }

 private:
  bool IsElement() const { return depth_ == kElementDepth && is_in_list_; }

  const char* NextBegin() const {
    const char* begin = last_end_ == nullptr ? text_.data() : last_end_;
    while (kSeparators.find(*begin) != std::string_view::npos) {
      ++begin;
    }
    return begin;
  }

  // The end of a number is searched in the text, because the lexer has already
  // read the character that follows the number.
  bool Number() {
    if (depth_ > kElementDepth) {
      return true;
    }
    const char* const begin = NextBegin();
    const char* const limit = text_.data() + text_.size();
    const char* end = begin;
    while (end != limit &&
           kNumberCharacters.find(*end) != std::string_view::npos) {
      ++end;
    }
    return AddValue(JsonType::kNumber, begin, end);
  }

  bool Scalar(JsonType type) {
    return depth_ > kElementDepth || AddValue(type, NextBegin(), cursor_);
  }

  bool AddValue(JsonType type, const char* begin, const char* end) {
    last_end_ = end;
    const std::string_view raw(begin, static_cast<std::size_t>(end - begin));
    if (depth_ == 0) {
      error_ = "expected an object, found " + std::string(ToString(type));
      return false;
    }
    if (depth_ == kMemberDepth) {
      members_.back().type = type;
      members_.back().raw = raw;
    } else if (IsElement()) {
      members_.back().elements.push_back(raw);
    }
    return true;
  }

  bool Open(JsonType type) {
    if (depth_ == 0 && type != JsonType::kObject) {
      error_ = "expected an object, found an array";
      return false;
    }
    if (depth_ == kMemberDepth) {
      member_begin_ = cursor_ - 1;
      members_.back().type = type;
      is_in_list_ = type == JsonType::kArray && !list_key_.empty() &&
                    members_.back().key == list_key_;
    } else if (IsElement()) {
      element_begin_ = cursor_ - 1;
    }
    ++depth_;
    last_end_ = cursor_;
    return true;
  }

  bool Close() {
    --depth_;
    last_end_ = cursor_;
    if (depth_ == kMemberDepth) {
      members_.back().raw = {member_begin_,
                             static_cast<std::size_t>(cursor_ - member_begin_)};
      is_in_list_ = false;
    } else if (IsElement()) {
      members_.back().elements.emplace_back(
          element_begin_, static_cast<std::size_t>(cursor_ - element_begin_));
    }
    return true;
  }

  std::string_view text_;
  std::string_view list_key_;
  const char* cursor_;
  const char* last_end_ = nullptr;
  const char* member_begin_ = nullptr;
  const char* element_begin_ = nullptr;
  int depth_ = 0;
  bool is_in_list_ = false;
  RawMembers members_;
  std::string error_;
};

bool NeedsNoEscape(char character) {
  const auto byte = static_cast<unsigned char>(character);
  return byte >= kFirstPrintable && byte < kFirstNonAscii && byte != '"' &&
         byte != '\\';
}

}  // namespace

std::string_view ToString(JsonType type) {
  switch (type) {
    case JsonType::kNull:
      return "null";
    case JsonType::kBoolean:
      return "a boolean";
    case JsonType::kNumber:
      return "a number";
    case JsonType::kString:
      return "a string";
    case JsonType::kArray:
      return "an array";
    case JsonType::kObject:
      return "an object";
  }
  return "null";
}

std::optional<std::int64_t> RawMember::as_integer() const {
  std::int64_t value = 0;
  const char* const end = raw.data() + raw.size();
  const auto [rest, error] = std::from_chars(raw.data(), end, value);
  if (type != JsonType::kNumber || error != std::errc() || rest != end) {
    return std::nullopt;
  }
  return value;
}

std::variant<RawMembers, JsonSyntaxError> ReadMembers(
    std::string_view text,
    std::string_view list_key) {
  MemberReader reader(text, list_key);
  const bool is_read = json::sax_parse(reader.begin(), reader.end(), &reader);
  if (!is_read) {
    return JsonSyntaxError{reader.TakeError()};
  }
  return reader.TakeMembers();
}

const RawMember* FindMember(const RawMembers& members, std::string_view key) {
  for (const RawMember& member : members) {
    if (member.key == key) {
      return &member;
    }
  }
  return nullptr;
}

void AppendJsonString(std::string& json_text, std::string_view text) {
  if (std::ranges::all_of(text, NeedsNoEscape)) {
    json_text += '"';
    json_text += text;
    json_text += '"';
    return;
  }
  json_text += json(text).dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace jaypick::daemon
