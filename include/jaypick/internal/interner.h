// Small numbers in place of names.
#ifndef JAYPICK_INTERNAL_INTERNER_H_
#define JAYPICK_INTERNAL_INTERNER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jaypick::internal {

// Gives each distinct name a number, counted from 0.
//
// Numbers are never reused. Names come only from accepted configurations and
// instance lists, so their count stays bounded by what operators define.
class Interner {
 public:
  // The number of `name`; a new one if the name is new.
  std::uint32_t Intern(std::string_view name);

  // The number of `name`, if it has one.
  std::optional<std::uint32_t> Find(std::string_view name) const;

  const std::string& name(std::uint32_t number) const { return names_[number]; }

  std::uint32_t size() const {
    return static_cast<std::uint32_t>(names_.size());
  }

 private:
  std::map<std::string, std::uint32_t, std::less<>> numbers_;
  std::vector<std::string> names_;
};

}  // namespace jaypick::internal

#endif  // JAYPICK_INTERNAL_INTERNER_H_
