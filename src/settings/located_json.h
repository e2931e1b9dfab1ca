// JSON documents with the line and column of each value.
#ifndef JAYPICK_SETTINGS_LOCATED_JSON_H_
#define JAYPICK_SETTINGS_LOCATED_JSON_H_

#include <map>
#include <string>
#include <string_view>
#include <variant>

#include <nlohmann/json.hpp>

#include "jaypick/source_location.h"

namespace jaypick {

// A parsed document, the location of each value by its JSON pointer, and the
// errors in the text.
struct LocatedJson {
  nlohmann::json value;
  // Key "" is the whole document. The location of a member is that of its
  // value.
  std::map<std::string, SourceLocation> locations;
  // Syntax errors and duplicate members.
  Findings findings;

  // The location of the value at `pointer`. If there is none, the location of
  // the innermost enclosing value that exists.
  const SourceLocation& LocationOf(const std::string& pointer) const;
};

// Returns the contents of a file, or a finding if it cannot be read.
std::variant<std::string, Findings> ReadText(const std::string& path);

// Parses `text`. `source` names the text in locations, for example a file name.
LocatedJson ParseLocated(std::string_view text, const std::string& source);

}  // namespace jaypick

#endif  // JAYPICK_SETTINGS_LOCATED_JSON_H_
