// Columns of a sheet and the cells of one row.
#ifndef JAYPICK_CONFIGURATION_SHEET_ROW_H_
#define JAYPICK_CONFIGURATION_SHEET_ROW_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "configuration/csv_table.h"
#include "jaypick/source_location.h"

namespace jaypick {

enum class Column : std::size_t {
  kRecord,
  kService,
  kKind,
  kIdempotent,
  kDefaultTimeout,
  kDeclaredRunTime,
  kCpus,
  kMemory,
  kAccelerators,
  kQueueLimit,
  kOwner,
  kSharePercent,
};

inline constexpr std::array<std::string_view, 12> kColumnNames = {
    "record",
    "service",
    "kind",
    "idempotent",
    "default_timeout_ms",
    "declared_run_time_ms",
    "cpus",
    "memory_mb",
    "accelerators",
    "queue_limit",
    "owner",
    "share_percent",
};

constexpr std::string_view NameOf(Column column) {
  return kColumnNames[static_cast<std::size_t>(column)];
}

// `text` in quotes for a message, shortened if it is long.
std::string Quoted(std::string_view text);

// Where each column of a sheet is. Columns may come in any order.
class SheetHeader {
 public:
  // Reads the header row and reports unknown, missing and duplicate columns.
  SheetHeader(const CsvRow& row, std::string_view source, Findings& findings);

  std::optional<std::size_t> Position(Column column) const {
    return positions_[static_cast<std::size_t>(column)];
  }

  // The name of the column at `position`; empty if it has none.
  std::string_view NameAt(std::size_t position) const;

  const std::string& source() const { return source_; }

 private:
  std::string source_;
  std::vector<std::string> names_;
  std::array<std::optional<std::size_t>, kColumnNames.size()> positions_;
};

// Reads the cells of one row and reports their faults.
//
// A cell of a column that the sheet lacks reads as nothing without a further
// finding.
class RowReader {
 public:
  RowReader(const SheetHeader& header, const CsvRow& row, Findings& findings);

  // Each of these reports an empty cell and a cell of another form.
  std::optional<std::string> Name(Column column);
  std::optional<bool> YesOrNo(Column column);
  std::optional<std::uint64_t> Number(Column column,
                                      std::uint64_t smallest,
                                      std::uint64_t largest);
  // The cell as it is.
  std::optional<std::string> Text(Column column);

  // Reports values in cells that were not asked for; a row of kind `record`
  // has none there.
  void Finish(std::string_view record);

  void Report(Column column, std::string message);

  std::uint32_t number() const { return row_.number; }

 private:
  void ReportAt(std::size_t position, std::string message);

  const SheetHeader& header_;
  const CsvRow& row_;
  Findings& findings_;
  std::vector<bool> read_;
};

}  // namespace jaypick

#endif  // JAYPICK_CONFIGURATION_SHEET_ROW_H_
