// Strict reading of JSON objects.
#ifndef JAYPICK_CONFIGURATION_JSON_READER_H_
#define JAYPICK_CONFIGURATION_JSON_READER_H_

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "jaypick/source_location.h"

namespace jaypick {

// Parses `text`; syntax errors and duplicate members become findings.
//
// Returns nothing if the text is not JSON.
std::optional<nlohmann::json> ParseJson(std::string_view text,
                                        std::string_view source,
                                        Findings& findings);

// Reads the members of one JSON object and reports all faults.
//
// Each member is asked for by name. A member that is missing or has another
// type is reported and read as an empty value. `Finish` reports the members
// that nobody asked for.
//
// Example:
//   ObjectReader reader(value, "", "body", findings);
//   const std::string author = reader.Text("author");
//   reader.Finish();
class ObjectReader {
 public:
  // `pointer` is the JSON pointer of `value` in its text.
  ObjectReader(const nlohmann::json& value,
               std::string pointer,
               std::string_view source,
               Findings& findings);

  // True if the object has a member `name`; the member then counts as known.
  bool Has(const std::string& name);

  std::string Text(const std::string& name);
  bool Boolean(const std::string& name);
  std::int64_t Integer(const std::string& name);
  std::uint64_t Number(
      const std::string& name,
      std::uint64_t largest = std::numeric_limits<std::uint64_t>::max());

  // The member as an object or array; an empty one after a fault.
  const nlohmann::json& Object(const std::string& name);
  const nlohmann::json& Array(const std::string& name);

  // Reports members that were not asked for.
  void Finish();

  // The JSON pointer of member `name`.
  std::string PointerTo(const std::string& name) const;

  // Reports `message` about member `name`.
  void Report(const std::string& name, std::string message);

 private:
  const nlohmann::json* Find(const std::string& name);

  const nlohmann::json& value_;
  std::string pointer_;
  std::string source_;
  Findings& findings_;
  std::set<std::string> known_;
};

}  // namespace jaypick

#endif  // JAYPICK_CONFIGURATION_JSON_READER_H_
