// Rules for names, and names that a reader could take for one another.
#ifndef JAYPICK_CONFIGURATION_NAME_RULES_H_
#define JAYPICK_CONFIGURATION_NAME_RULES_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace jaypick {

// The longest name, in code points.
inline constexpr std::size_t kMaxNameLength = 64;

bool IsValidUtf8(std::string_view text);

// Why `name` can't be a name, or nothing.
//
// A name has 1 to 64 printable characters, no space at its ends or twice in a
// row, and no mixture of scripts that share look-alike letters. `name` is valid
// UTF-8.
std::optional<std::string> ValidateName(std::string_view name);

// The form that all names which look like `name` have in common.
//
// Case, spaces, hyphens and underscores don't count, and look-alike letters are
// equal (Unicode Technical Standard 39, as ICU implements it). `name` is valid
// UTF-8.
std::string ConfusableSkeleton(std::string_view name);

}  // namespace jaypick

#endif  // JAYPICK_CONFIGURATION_NAME_RULES_H_
