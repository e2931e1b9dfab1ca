#include "jaypick/internal/interner.h"

namespace jaypick::internal {

std::uint32_t Interner::Intern(std::string_view name) {
  if (const auto number = Find(name)) {
    return *number;
  }
  const std::uint32_t number = size();
  names_.emplace_back(name);
  numbers_.emplace(name, number);
  return number;
}

std::optional<std::uint32_t> Interner::Find(std::string_view name) const {
  const auto it = numbers_.find(name);
  if (it == numbers_.end()) {
    return std::nullopt;
  }
  return it->second;
}

}  // namespace jaypick::internal
