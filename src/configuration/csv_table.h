// Parser of CSV text into rows of cells.
#ifndef JAYPICK_CONFIGURATION_CSV_TABLE_H_
#define JAYPICK_CONFIGURATION_CSV_TABLE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "jaypick/source_location.h"

namespace jaypick {

struct CsvRow {
  // Row number in the spreadsheet, starting at 1.
  std::uint32_t number = 0;
  std::vector<std::string> cells = {};
  // False if the row has a syntax error. The error is in `CsvTable::findings`,
  // and `cells` holds only the cells before it.
  bool is_well_formed = true;

  // True if all cells are empty.
  bool IsBlank() const;
};

struct CsvTable {
  std::vector<CsvRow> rows;
  Findings findings;
};

// Parses CSV with quoted fields, separated by commas or semicolons.
//
// A UTF-8 byte-order mark is skipped; UTF-16 text is reported as a finding. The
// separator is whichever of the two occurs more often in the first line. Cells
// cannot contain line breaks: each line is one row, so that a syntax error in
// one row does not affect the others. Spaces around fields are kept.
CsvTable ReadCsv(std::string_view text, std::string_view source);

}  // namespace jaypick

#endif  // JAYPICK_CONFIGURATION_CSV_TABLE_H_
