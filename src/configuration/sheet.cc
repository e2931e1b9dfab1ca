#include "jaypick/sheet.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "configuration/csv_table.h"
#include "configuration/name_rules.h"
#include "configuration/sheet_check.h"
#include "configuration/sheet_row.h"
#include "jaypick/job.h"

namespace jaypick {
namespace {

constexpr std::uint64_t kMaxTimeoutMs = ToMilliseconds(kMaxJobTimeout);
constexpr std::uint64_t kMaxCpus = 1024;
constexpr std::uint64_t kMaxMemoryMb = 16ULL * 1024 * 1024;
constexpr std::uint64_t kMaxAccelerators = 1024;
constexpr std::uint64_t kMaxQueueLimit = 10'000'000;
constexpr std::uint64_t kMaxPercent = 100;

std::optional<RecordType> ParseRecordType(std::string_view text) {
  for (const RecordType type :
       {RecordType::kService, RecordType::kKind, RecordType::kShare}) {
    if (ToString(type) == text) {
      return type;
    }
  }
  return std::nullopt;
}

class SheetReader {
 public:
  SheetReader(std::string_view text, std::string_view source)
      : table_(ReadCsv(text, source)), source_(source) {}

  std::variant<ConfigurationContent, Findings> Read() {
    ReadRows();
    std::ranges::stable_sort(findings_, {}, [](const Finding& finding) {
      return std::pair(finding.location.line, finding.location.column);
    });
    if (!findings_.empty()) {
      return std::move(findings_);
    }
    return std::move(content_);
  }

 private:
  void ReadRows() {
    findings_ = std::move(table_.findings);
    if (!findings_.empty() && findings_.front().location.line == 1) {
      return;
    }
    if (table_.rows.empty() || table_.rows.front().IsBlank()) {
      ReportSheet("the first row must name the columns");
      return;
    }
    if (table_.rows.front().cells.size() == 1) {
      ReportSheet("the columns must be separated by commas or semicolons");
      return;
    }
    const SheetHeader header(table_.rows.front(), source_, findings_);
    AddColumnNamesToFindings(header);
    if (!header.Position(Column::kRecord)) {
      return;
    }
    for (std::size_t i = 1; i < table_.rows.size(); ++i) {
      ReadRow(header, table_.rows[i]);
    }
    CheckRecords(records_, header, findings_);
  }

  void ReportSheet(std::string message) {
    findings_.push_back(
        {.location = {.source = std::string(source_), .line = 1, .column = 1},
         .key = "",
         .message = std::move(message)});
  }

  void AddColumnNamesToFindings(const SheetHeader& header) {
    for (Finding& finding : findings_) {
      if (finding.location.line > 1) {
        finding.key = header.NameAt(finding.location.column - 1);
      }
    }
  }

  void ReadRow(const SheetHeader& header, const CsvRow& row) {
    if (!row.is_well_formed) {
      ReadMalformedRow(header, row);
      return;
    }
    if (row.IsBlank()) {
      return;
    }
    RowReader reader(header, row, findings_);
    const auto text = reader.Text(Column::kRecord);
    const auto type = text ? ParseRecordType(*text) : std::nullopt;
    if (text && !type) {
      reader.Report(Column::kRecord,
                    Quoted(*text) + R"( must be "service", "kind" or "share")");
    }
    records_.push_back({.row = row.number, .type = type});
    if (type) {
      ReadRecord(reader, *type, records_.back());
    }
  }

  void ReadRecord(RowReader& reader, RecordType type, SheetRecord& record) {
    record.service = reader.Name(Column::kService);
    switch (type) {
      case RecordType::kService:
        content_.services.push_back({record.service.value_or("")});
        break;
      case RecordType::kKind:
        ReadKind(reader, record);
        break;
      case RecordType::kShare:
        ReadShare(reader, record);
        break;
    }
    reader.Finish(ToString(type));
  }

  void ReadKind(RowReader& reader, SheetRecord& record) {
    record.kind = reader.Name(Column::kKind);
    const auto idempotent = reader.YesOrNo(Column::kIdempotent);
    const auto timeout =
        reader.Number(Column::kDefaultTimeout, 1, kMaxTimeoutMs);
    const auto run_time =
        reader.Number(Column::kDeclaredRunTime, 1, kMaxTimeoutMs);
    const auto cpus = reader.Number(Column::kCpus, 0, kMaxCpus);
    const auto memory = reader.Number(Column::kMemory, 0, kMaxMemoryMb);
    const auto accelerators =
        reader.Number(Column::kAccelerators, 0, kMaxAccelerators);
    const auto queue_limit =
        reader.Number(Column::kQueueLimit, 1, kMaxQueueLimit);
    if (timeout && run_time && *run_time > *timeout) {
      reader.Report(
          Column::kDeclaredRunTime,
          std::to_string(*run_time) + " exceeds the default timeout of " +
              std::to_string(*timeout) + ", so that no job could end in time");
    }
    content_.kinds.push_back(
        {.service = record.service.value_or(""),
         .name = record.kind.value_or(""),
         .idempotent = idempotent.value_or(false),
         .default_timeout = std::chrono::milliseconds(timeout.value_or(0)),
         .declared_run_time = std::chrono::milliseconds(run_time.value_or(0)),
         .needs = {.cpus = static_cast<std::uint32_t>(cpus.value_or(0)),
                   .memory_mb = memory.value_or(0),
                   .accelerators =
                       static_cast<std::uint32_t>(accelerators.value_or(0))},
         .queue_limit = static_cast<std::uint32_t>(queue_limit.value_or(0))});
  }

  void ReadShare(RowReader& reader, SheetRecord& record) {
    record.owner = reader.Name(Column::kOwner);
    if (const auto percent =
            reader.Number(Column::kSharePercent, 1, kMaxPercent)) {
      record.percent = static_cast<std::uint32_t>(*percent);
    }
    content_.shares.push_back({.service = record.service.value_or(""),
                               .owner = record.owner.value_or(""),
                               .percent = record.percent.value_or(0)});
  }

  // Keeps the record type and service of a malformed row if they come before
  // the syntax error, so that later checks know which records may be missing.
  void ReadMalformedRow(const SheetHeader& header, const CsvRow& row) {
    const auto cell = [&](Column column) -> std::optional<std::string> {
      const auto position = header.Position(column);
      if (!position || *position >= row.cells.size() ||
          !IsValidUtf8(row.cells[*position]) ||
          ValidateName(row.cells[*position])) {
        return std::nullopt;
      }
      return row.cells[*position];
    };
    const auto type = cell(Column::kRecord);
    records_.push_back({.row = row.number,
                        .type = type ? ParseRecordType(*type) : std::nullopt,
                        .service = cell(Column::kService)});
  }

  CsvTable table_;
  std::string_view source_;
  Findings findings_;
  std::vector<SheetRecord> records_;
  ConfigurationContent content_;
};

}  // namespace

std::variant<ConfigurationContent, Findings> ParseSheet(
    std::string_view text,
    std::string_view source) {
  return SheetReader(text, source).Read();
}

}  // namespace jaypick
