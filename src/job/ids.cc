#include "jaypick/ids.h"

#include <charconv>
#include <cstdio>

namespace jaypick {
namespace {

constexpr int kHexBase = 16;
constexpr int kDecimalBase = 10;
constexpr std::size_t kIncarnationDigits = 16;

std::optional<std::uint64_t> ParseNumber(std::string_view text, int base) {
  std::uint64_t value = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, value, base);
  if (error != std::errc() || rest != end || text.empty()) {
    return std::nullopt;
  }
  return value;
}

void AppendIncarnation(Incarnation incarnation, std::string& text) {
  char digits[kIncarnationDigits + 1];
  std::snprintf(digits, sizeof(digits), "%016llx",
                static_cast<unsigned long long>(incarnation.value));
  text += digits;
}

}  // namespace

std::string ToString(const JobId& id) {
  std::string text = id.entry;
  text += '.';
  AppendIncarnation(id.incarnation, text);
  text += '.';
  text += std::to_string(id.counter);
  return text;
}

std::optional<JobId> ParseJobId(std::string_view text) {
  const std::size_t counter_dot = text.rfind('.');
  if (counter_dot == std::string_view::npos || counter_dot == 0) {
    return std::nullopt;
  }
  const std::size_t incarnation_dot = text.rfind('.', counter_dot - 1);
  if (incarnation_dot == std::string_view::npos || incarnation_dot == 0) {
    return std::nullopt;
  }
  const std::string_view hex =
      text.substr(incarnation_dot + 1, counter_dot - incarnation_dot - 1);
  const auto incarnation = ParseNumber(hex, kHexBase);
  const auto counter = ParseNumber(text.substr(counter_dot + 1), kDecimalBase);
  if (hex.size() != kIncarnationDigits || !incarnation || !counter) {
    return std::nullopt;
  }
  JobId id{.entry = std::string(text.substr(0, incarnation_dot)),
           .incarnation = {*incarnation},
           .counter = *counter};
  // Accepts the canonical form only, so that each id has exactly one spelling.
  if (ToString(id) != text) {
    return std::nullopt;
  }
  return id;
}

std::string ToString(const AttemptId& id) {
  std::string text = ToString(id.job);
  text += '.';
  text += std::to_string(id.task);
  text += '.';
  text += std::to_string(id.attempt);
  return text;
}

}  // namespace jaypick
