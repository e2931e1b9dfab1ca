// Numbers in place of names.
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

// Assigns consecutive numbers, starting at 0, to distinct names.
//
// Numbers are never reused. Memory use stays bounded because names come only
// from accepted configurations and instance lists, which operators control.
class Interner {
 public:
  // Returns the number of `name`, assigning one if it has none.
  std::uint32_t Intern(std::string_view name);

  // Returns the number of `name`, or nothing if it has none.
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
