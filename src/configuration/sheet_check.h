// Rules that concern several rows of a sheet.
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

// One row as far as it could be read. The names are empty where they were
// faulty.
struct SheetRecord {
  std::uint32_t row = 0;
  // Empty if the row doesn't say what it is.
  std::optional<RecordType> type = std::nullopt;
  std::optional<std::string> service = std::nullopt;
  // Of a kind.
  std::optional<std::string> kind = std::nullopt;
  // Of a share.
  std::optional<std::string> owner = std::nullopt;
  std::optional<std::uint32_t> percent = std::nullopt;
};

// Reports duplicate rows, names that look alike, rows of unknown services,
// services without kinds, and shares that do not add up to 100.
//
// A finding that could be a mere consequence of an unread cell elsewhere is
// left out.
void CheckRecords(const std::vector<SheetRecord>& records,
                  const SheetHeader& header,
                  Findings& findings);

}  // namespace jaypick

#endif  // JAYPICK_CONFIGURATION_SHEET_CHECK_H_
