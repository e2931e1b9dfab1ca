// Rows and cells of a CSV text.
#ifndef JAYPICK_CONFIGURATION_CSV_TABLE_H_
#define JAYPICK_CONFIGURATION_CSV_TABLE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "jaypick/source_location.h"

namespace jaypick {

struct CsvRow {
  // Number of the row in the spreadsheet, from 1.
  std::uint32_t number = 0;
  std::vector<std::string> cells = {};
  // False: the row has a fault that is among the findings, and `cells` ends
  // before it.
  bool is_readable = true;

  bool IsBlank() const;
};

struct CsvTable {
  std::vector<CsvRow> rows;
  Findings findings;
};

// Reads CSV with quoted fields, separated by commas or semicolons.
//
// A byte-order mark is skipped. The separator is the one that occurs more often
// in the first line. No cell of a sheet has a line break, so each line is a row
// of its own and a fault in one row leaves the others readable. Space around
// fields is kept.
CsvTable ReadCsv(std::string_view text, std::string_view source);

}  // namespace jaypick

#endif  // JAYPICK_CONFIGURATION_CSV_TABLE_H_
