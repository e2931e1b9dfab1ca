// Parser for the sheets in which operators write configurations.
#ifndef JAYPICK_SHEET_H_
#define JAYPICK_SHEET_H_

#include <string_view>
#include <variant>

#include "jaypick/configuration.h"
#include "jaypick/source_location.h"

namespace jaypick {

// Parses a sheet, which is CSV as exported by spreadsheet programs; see
// docs/SHEET.md.
//
// Returns the content in the order of the rows, or all findings in the order of
// rows and columns. The line of a finding is the row and its column the cell
// number in the spreadsheet, both counted from 1. `source` names the sheet in
// findings.
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
