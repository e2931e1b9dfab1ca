// Strict reader of JSON objects.
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

// Parses `text` and reports syntax errors and duplicate members.
//
// Returns nullopt if `text` is not valid JSON.
std::optional<nlohmann::json> ParseJson(std::string_view text,
                                        std::string_view source,
                                        Findings& findings);

// Reads the members of one JSON object by name and reports all errors.
//
// A member that is missing or has the wrong type is reported and read as an
// empty value. `Finish` reports the members that were never read.
//
// Example:
//   ObjectReader reader(value, "", "body", findings);
//   const std::string author = reader.StringMember("author");
//   reader.Finish();
class ObjectReader {
 public:
  // `pointer` is the JSON pointer of `value` in the document; `source` names
  // the document in findings.
  ObjectReader(const nlohmann::json& value,
               std::string pointer,
               std::string_view source,
               Findings& findings);

  // True if the object has a member `name`. `Finish` no longer reports that
  // member as unknown.
  bool HasMember(const std::string& name);

  std::string StringMember(const std::string& name);
  bool BoolMember(const std::string& name);
  std::int64_t Int64Member(const std::string& name);
  std::uint64_t Uint64Member(
      const std::string& name,
      std::uint64_t maximum = std::numeric_limits<std::uint64_t>::max());

  // The member as an object or array; an empty one if it is missing or has the
  // wrong type.
  const nlohmann::json& ObjectMember(const std::string& name);
  const nlohmann::json& ArrayMember(const std::string& name);

  // Reports the unknown members, which are those that were not read.
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
