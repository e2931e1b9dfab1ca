// Rules for names, and detection of names that are easily confused.
#ifndef JAYPICK_CONFIGURATION_NAME_RULES_H_
#define JAYPICK_CONFIGURATION_NAME_RULES_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace jaypick {

// Maximum length of a name, in code points.
inline constexpr std::size_t kMaxNameLength = 64;

bool IsValidUtf8(std::string_view text);

// Returns why `name` is not a valid name, or nullopt if it is valid.
//
// A name has 1 to 64 printable characters, no leading, trailing or repeated
// spaces, and no mixture of scripts with letters that look alike. `name` must
// be valid UTF-8.
std::optional<std::string> ValidateName(std::string_view name);

// Returns the same string for all names that look like `name`.
//
// Case, spaces, hyphens and underscores are ignored, and letters that look
// alike are mapped to the same letter (Unicode Technical Standard 39, as
// implemented by ICU). `name` must be valid UTF-8.
std::string ConfusableSkeleton(std::string_view name);

}  // namespace jaypick

#endif  // JAYPICK_CONFIGURATION_NAME_RULES_H_
