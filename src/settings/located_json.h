// JSON documents whose values know their place in the text.
#ifndef JAYPICK_SETTINGS_LOCATED_JSON_H_
#define JAYPICK_SETTINGS_LOCATED_JSON_H_

#include <map>
#include <string>
#include <string_view>
#include <variant>

#include <nlohmann/json.hpp>

#include "jaypick/source_location.h"

namespace jaypick {

// A parsed document, the region of each value by its JSON pointer, and what was
// wrong with the text.
struct LocatedJson {
  nlohmann::json value;
  // Key "" is the whole document. A member's region is that of its value.
  std::map<std::string, SourceLocation> locations;
  // Syntax errors and members that occur twice.
  Findings findings;

  // The region of the value at `pointer`, or of the nearest value around it
  // that exists.
  const SourceLocation& LocationOf(const std::string& pointer) const;
};

// The whole text of a file, or a finding if it cannot be read.
std::variant<std::string, Findings> ReadText(const std::string& path);

// Parses `text`. `source` names it in regions.
LocatedJson ParseLocated(std::string_view text, const std::string& source);

}  // namespace jaypick

#endif  // JAYPICK_SETTINGS_LOCATED_JSON_H_
