// The sheet in which operators state a configuration.
#ifndef JAYPICK_SHEET_H_
#define JAYPICK_SHEET_H_

#include <string_view>
#include <variant>

#include "jaypick/configuration.h"
#include "jaypick/source_location.h"

namespace jaypick {

// Reads a sheet: CSV as spreadsheets export it, described in docs/SHEET.md.
//
// Returns the content exactly as stated, in the order of the rows, or all
// findings in the order of rows and columns. The line of a finding is the row
// of the spreadsheet and its column the number of the cell, both from 1;
// `source` names the sheet.
//
// Example:
//   const auto sheet = ParseSheet(text, "sheet.csv");
//   if (const auto* findings = std::get_if<Findings>(&sheet)) {
//     for (const Finding& finding : *findings) {
//       std::cerr << ToString(finding) << '\n';
//     }
//   }
std::variant<ConfigurationContent, Findings> ParseSheet(
    std::string_view text,
    std::string_view source);

}  // namespace jaypick

#endif  // JAYPICK_SHEET_H_
