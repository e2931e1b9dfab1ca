#include "configuration/json_reader.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace jaypick {
namespace {

using nlohmann::json;

// Line and column of byte `offset`, counted from 1, in `text`.
SourceLocation LocationOf(std::string_view text,
                          std::size_t offset,
                          std::string_view source) {
  const std::size_t prefix_length =
      std::min(offset == 0 ? 0 : offset - 1, text.size());
  const std::string_view before = text.substr(0, prefix_length);
  const std::size_t line_start = before.rfind('\n') + 1;
  return {.source = std::string(source),
          .line = static_cast<std::uint32_t>(
              1 + std::count(before.begin(), before.end(), '\n')),
          .column = static_cast<std::uint32_t>(prefix_length - line_start + 1)};
}

// Reports members that occur twice in one object, because nlohmann-json
// silently keeps the last one.
class DuplicateDetector {
 public:
  DuplicateDetector(std::string_view source, Findings& findings)
      : source_(source), findings_(findings) {}

  bool operator()(int /*depth*/, json::parse_event_t event, json& parsed) {
    if (event == json::parse_event_t::object_start) {
      open_object_members_.emplace_back();
    } else if (event == json::parse_event_t::object_end) {
      open_object_members_.pop_back();
    } else if (event == json::parse_event_t::key) {
      const auto& name = parsed.get_ref<const std::string&>();
      if (!open_object_members_.back().insert(name).second) {
        findings_.push_back({.location = {.source = std::string(source_)},
                             .key = name,
                             .message = "duplicate member"});
      }
    }
    return true;
  }

 private:
  std::string_view source_;
  Findings& findings_;
  std::vector<std::set<std::string>> open_object_members_;
};

const json& EmptyObject() {
  static const json empty = json::object();
  return empty;
}

const json& EmptyArray() {
  static const json empty = json::array();
  return empty;
}

}  // namespace

std::optional<json> ParseJson(std::string_view text,
                              std::string_view source,
                              Findings& findings) {
  DuplicateDetector detector(source, findings);
  try {
    return json::parse(text.begin(), text.end(), std::ref(detector));
  } catch (const json::parse_error& error) {
    findings.push_back({.location = LocationOf(text, error.byte, source),
                        .key = "",
                        .message = "not valid JSON"});
    return std::nullopt;
  }
}

ObjectReader::ObjectReader(const json& value,
                           std::string pointer,
                           std::string_view source,
                           Findings& findings)
    : value_(value),
      pointer_(std::move(pointer)),
      source_(source),
      findings_(findings) {
  if (!value_.is_object()) {
    findings_.push_back({.location = {.source = source_},
                         .key = pointer_,
                         .message = "must be an object"});
  }
}

bool ObjectReader::HasMember(const std::string& name) {
  known_.insert(name);
  return value_.is_object() && value_.contains(name);
}

std::string ObjectReader::StringMember(const std::string& name) {
  const json* const member = Find(name);
  if (member == nullptr) {
    return {};
  }
  if (!member->is_string()) {
    Report(name, "must be a string");
    return {};
  }
  return member->get<std::string>();
}

bool ObjectReader::BoolMember(const std::string& name) {
  const json* const member = Find(name);
  if (member == nullptr) {
    return false;
  }
  if (!member->is_boolean()) {
    Report(name, "must be true or false");
    return false;
  }
  return member->get<bool>();
}

std::int64_t ObjectReader::Int64Member(const std::string& name) {
  const json* const member = Find(name);
  if (member == nullptr) {
    return 0;
  }
  const bool is_int64 =
      member->is_number_integer() &&
      !(member->is_number_unsigned() &&
        member->get<std::uint64_t>() >
            std::uint64_t{std::numeric_limits<std::int64_t>::max()});
  if (!is_int64) {
    Report(name, "must be a whole number");
    return 0;
  }
  return member->get<std::int64_t>();
}

std::uint64_t ObjectReader::Uint64Member(const std::string& name,
                                         std::uint64_t maximum) {
  const json* const member = Find(name);
  if (member == nullptr) {
    return 0;
  }
  if (!member->is_number_unsigned() || member->get<std::uint64_t>() > maximum) {
    Report(name, "must be a whole number from 0 to " + std::to_string(maximum));
    return 0;
  }
  return member->get<std::uint64_t>();
}

const json& ObjectReader::ObjectMember(const std::string& name) {
  const json* const member = Find(name);
  if (member == nullptr) {
    return EmptyObject();
  }
  if (!member->is_object()) {
    Report(name, "must be an object");
    return EmptyObject();
  }
  return *member;
}

const json& ObjectReader::ArrayMember(const std::string& name) {
  const json* const member = Find(name);
  if (member == nullptr) {
    return EmptyArray();
  }
  if (!member->is_array()) {
    Report(name, "must be an array");
    return EmptyArray();
  }
  return *member;
}

void ObjectReader::Finish() {
  if (!value_.is_object()) {
    return;
  }
  for (const auto& [name, member] : value_.items()) {
    if (!known_.contains(name)) {
      Report(name, "unknown member");
    }
  }
}

std::string ObjectReader::PointerTo(const std::string& name) const {
  return pointer_ + "/" + name;
}

void ObjectReader::Report(const std::string& name, std::string message) {
  findings_.push_back({.location = {.source = source_},
                       .key = PointerTo(name),
                       .message = std::move(message)});
}

const json* ObjectReader::Find(const std::string& name) {
  known_.insert(name);
  if (!value_.is_object()) {
    return nullptr;
  }
  const auto it = value_.find(name);
  if (it == value_.end()) {
    Report(name, "missing member");
    return nullptr;
  }
  return &*it;
}

}  // namespace jaypick
