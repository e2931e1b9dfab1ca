// Checks across the rows of a sheet.
#ifndef JAYPICK_CONFIGURATION_SHEET_CHECK_H_
#define JAYPICK_CONFIGURATION_SHEET_CHECK_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "configuration/sheet_row.h"
#include "jaypick/configuration.h"
#include "jaypick/source_location.h"

namespace jaypick {

enum class RecordType { kService, kKind, kShare };

// The name of `type` in the column `record`.
std::string_view ToString(RecordType type);

// The valid cells of one row that the checks need. A missing or invalid cell is
// nullopt.
struct SheetRecord {
  std::uint32_t row = 0;
  // Nullopt if the cell `record` is missing or invalid.
  std::optional<RecordType> type = std::nullopt;
  std::optional<std::string> service = std::nullopt;
  // Kind rows only.
  std::optional<std::string> kind = std::nullopt;
  // Share rows only.
  std::optional<std::string> owner = std::nullopt;
  std::optional<std::uint32_t> percent = std::nullopt;
};

// Reports duplicate rows, names that look alike, rows of unknown services,
// services without kinds or shares, and shares that do not add up to 100.
//
// A finding is not reported if it may be only a consequence of an invalid cell
// in another row, which has its own finding.
void CheckRecords(const std::vector<SheetRecord>& records,
                  const SheetHeader& header,
                  Findings& findings);

}  // namespace jaypick

#endif  // JAYPICK_CONFIGURATION_SHEET_CHECK_H_
