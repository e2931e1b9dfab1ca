// Columns of a sheet, and a reader of the cells of one row.
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

// Quotes `text` for a message and truncates it to 80 bytes.
std::string Quoted(std::string_view text);

// Position of each column in a sheet. Columns may come in any order.
class SheetHeader {
 public:
  // Reads the header row and reports unknown, missing and duplicate columns.
  SheetHeader(const CsvRow& row, std::string_view source, Findings& findings);

  // The column's index in the row, from 0; nullopt if the sheet lacks it.
  std::optional<std::size_t> Position(Column column) const {
    return positions_[static_cast<std::size_t>(column)];
  }

  // The name in the header row at `position`; empty if there is none.
  std::string_view NameAt(std::size_t position) const;

  const std::string& source() const { return source_; }

 private:
  std::string source_;
  std::vector<std::string> names_;
  std::array<std::optional<std::size_t>, kColumnNames.size()> positions_;
};

// Reads the cells of one row and reports errors in them.
//
// Reading a cell of a column that the sheet lacks returns nullopt without
// another finding, because `SheetHeader` has reported the missing column.
class RowReader {
 public:
  RowReader(const SheetHeader& header, const CsvRow& row, Findings& findings);

  // These report an empty or invalid cell and then return nullopt.
  std::optional<std::string> Name(Column column);
  std::optional<bool> YesOrNo(Column column);
  std::optional<std::uint64_t> Number(Column column,
                                      std::uint64_t minimum,
                                      std::uint64_t maximum);
  // The unmodified cell; only its UTF-8 encoding is checked.
  std::optional<std::string> Text(Column column);

  // Reports values in cells that were not read: they must be empty in a row of
  // type `record`.
  void Finish(std::string_view record);

  // Reports `message` about the cell in `column`, which the sheet must have.
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
