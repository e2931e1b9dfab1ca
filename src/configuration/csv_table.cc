#include "configuration/csv_table.h"

#include <csv.h>

#include <algorithm>
#include <cstddef>
#include <new>
#include <utility>

namespace jaypick {
namespace {

constexpr std::string_view kUtf8ByteOrderMark = "\xEF\xBB\xBF";
constexpr std::string_view kUtf16ByteOrderMarks[] = {"\xFF\xFE", "\xFE\xFF"};

// libcsv trims the characters around a field that this function classifies as
// spaces. Leading and trailing spaces of names must be reported, so nothing is
// trimmed.
int IsSpace(unsigned char /*character*/) {
  return 0;
}

void AppendCell(void* data, std::size_t length, void* row) {
  static_cast<CsvRow*>(row)->cells.emplace_back(static_cast<const char*>(data),
                                                length);
}

void EndRow(int /*character*/, void* /*row*/) {}

// Splits at CRLF, LF and CR. A trailing line break does not start another line.
std::vector<std::string_view> SplitLines(std::string_view text) {
  std::vector<std::string_view> lines;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find_first_of("\r\n"), text.size());
    lines.push_back(text.substr(0, end));
    const bool is_crlf = text.substr(end, 2) == "\r\n";
    text.remove_prefix(std::min(end + (is_crlf ? 2 : 1), text.size()));
  }
  return lines;
}

char DetectSeparator(std::string_view line) {
  const auto commas = std::ranges::count(line, ',');
  const auto semicolons = std::ranges::count(line, ';');
  return semicolons > commas ? ';' : ',';
}

class LineReader {
 public:
  LineReader(char separator, std::string_view source, Findings& findings)
      : separator_(separator), source_(source), findings_(findings) {}

  CsvRow Read(std::string_view line, std::uint32_t number) {
    CsvRow row{.number = number};
    csv_parser parser;
    if (csv_init(&parser, CSV_STRICT | CSV_STRICT_FINI) != 0) {
      throw std::bad_alloc();
    }
    csv_set_delim(&parser, static_cast<unsigned char>(separator_));
    csv_set_space_func(&parser, IsSpace);
    const std::size_t parsed_bytes =
        csv_parse(&parser, line.data(), line.size(), AppendCell, EndRow, &row);
    if (parsed_bytes != line.size()) {
      Report(row, line[parsed_bytes] == '"' ? "quote inside an unquoted field"
                                            : "text after a quoted field");
    } else if (csv_fini(&parser, AppendCell, EndRow, &row) != 0) {
      Report(row, "quoted field does not end on its line");
    }
    csv_free(&parser);
    return row;
  }

 private:
  // Reports a syntax error in the cell after the last complete one.
  void Report(CsvRow& row, std::string message) {
    row.is_well_formed = false;
    findings_.push_back({.location = {.source = std::string(source_),
                                      .line = row.number,
                                      .column = static_cast<std::uint32_t>(
                                          row.cells.size() + 1)},
                         .key = "",
                         .message = std::move(message)});
  }

  char separator_;
  std::string_view source_;
  Findings& findings_;
};

}  // namespace

bool CsvRow::IsBlank() const {
  return std::ranges::all_of(
      cells, [](const std::string& cell) { return cell.empty(); });
}

CsvTable ReadCsv(std::string_view text, std::string_view source) {
  CsvTable table;
  for (const std::string_view mark : kUtf16ByteOrderMarks) {
    if (text.starts_with(mark)) {
      table.findings.push_back(
          {.location = {.source = std::string(source), .line = 1, .column = 1},
           .key = "",
           .message = "the text is UTF-16; export the sheet as UTF-8"});
      return table;
    }
  }
  if (text.starts_with(kUtf8ByteOrderMark)) {
    text.remove_prefix(kUtf8ByteOrderMark.size());
  }
  const auto lines = SplitLines(text);
  if (lines.empty()) {
    return table;
  }
  LineReader reader(DetectSeparator(lines.front()), source, table.findings);
  for (const std::string_view line : lines) {
    const auto number = static_cast<std::uint32_t>(table.rows.size() + 1);
    table.rows.push_back(reader.Read(line, number));
  }
  return table;
}

}  // namespace jaypick
