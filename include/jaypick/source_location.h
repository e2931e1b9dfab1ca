// Places in a source text, and findings that name them.
#ifndef JAYPICK_SOURCE_LOCATION_H_
#define JAYPICK_SOURCE_LOCATION_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace jaypick {

// A place in a settings file, a sheet or a request body.
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

// A fault found in a source: what, and where.
struct Finding {
  SourceLocation location;
  // Key or column name the finding is about; empty if it is about the whole.
  std::string key;
  std::string message;

  friend auto operator<=>(const Finding&, const Finding&) = default;
};

// All findings of one check, in source order.
using Findings = std::vector<Finding>;

// Formats `finding` as `<source>:<line>:<column>: <key>: <message>`.
//
// Parts that are unknown are left out.
std::string ToString(const Finding& finding);

}  // namespace jaypick

#endif  // JAYPICK_SOURCE_LOCATION_H_
