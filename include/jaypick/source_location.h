// Source locations and findings that refer to them.
#ifndef JAYPICK_SOURCE_LOCATION_H_
#define JAYPICK_SOURCE_LOCATION_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace jaypick {

// A location in a settings file, a sheet or a request body.
//
// Lines and columns count from 1; 0 means unknown. Columns count bytes in JSON
// text and cells in a sheet.
struct SourceLocation {
  std::string source;
  std::uint32_t line = 0;
  std::uint32_t column = 0;

  friend auto operator<=>(const SourceLocation&,
                          const SourceLocation&) = default;
};

// An error found in a source, with its location.
struct Finding {
  SourceLocation location;
  // Key or column name that the finding refers to; empty if it refers to the
  // whole source.
  std::string key;
  std::string message;

  friend auto operator<=>(const Finding&, const Finding&) = default;
};

// All findings of one check, in source order.
using Findings = std::vector<Finding>;

// Formats `finding` as `<source>:<line>:<column>: <key>: <message>`.
//
// Unknown parts are omitted.
std::string ToString(const Finding& finding);

}  // namespace jaypick

#endif  // JAYPICK_SOURCE_LOCATION_H_
