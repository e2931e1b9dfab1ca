#include "configuration/sheet_row.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "configuration/name_rules.h"

namespace jaypick {
namespace {

constexpr std::size_t kMaxQuotedBytes = 80;

// Decimal and grouping separators of various locales. The escaped ones are the
// no-break space, the narrow no-break space and the right single quotation
// mark.
constexpr std::string_view kNumberSeparators[] = {
    ".", ",", " ", "'", "_", "\xC2\xA0", "\xE2\x80\xAF", "\xE2\x80\x99"};

bool IsDigit(char character) {
  return character >= '0' && character <= '9';
}

bool IsDigits(std::string_view text) {
  return !text.empty() && std::ranges::all_of(text, IsDigit);
}

std::string WithoutNumberSeparators(std::string text) {
  for (const std::string_view separator : kNumberSeparators) {
    for (std::size_t at = text.find(separator); at != std::string::npos;
         at = text.find(separator, at)) {
      text.erase(at, separator.size());
    }
  }
  return text;
}

std::string DescribeInvalidNumber(const std::string& text) {
  if (IsDigits(WithoutNumberSeparators(text))) {
    return Quoted(text) +
           " has a separator, whose meaning depends on the locale; write a "
           "whole number in digits only";
  }
  return Quoted(text) + " is not a whole number in digits only";
}

// Returns nullopt if the value does not fit into 64 bits.
std::optional<std::uint64_t> ParseDigits(std::string_view digits) {
  std::uint64_t value = 0;
  const auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), value);
  if (error != std::errc()) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

std::string Quoted(std::string_view text) {
  std::string truncated(text.substr(0, kMaxQuotedBytes));
  if (text.size() > kMaxQuotedBytes) {
    truncated += "...";
  }
  return nlohmann::json(truncated).dump(
      -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

SheetHeader::SheetHeader(const CsvRow& row,
                         std::string_view source,
                         Findings& findings)
    : source_(source), names_(row.cells) {
  const auto report = [&](std::size_t column, std::string key,
                          std::string message) {
    findings.push_back(
        {.location = {.source = source_,
                      .line = row.number,
                      .column = static_cast<std::uint32_t>(column)},
         .key = std::move(key),
         .message = std::move(message)});
  };
  for (std::size_t i = 0; i < names_.size(); ++i) {
    if (names_[i].empty()) {
      continue;
    }
    if (!IsValidUtf8(names_[i])) {
      report(i + 1, "", "not valid UTF-8");
      continue;
    }
    const auto known = std::ranges::find(kColumnNames, names_[i]);
    if (known == kColumnNames.end()) {
      const auto confusable = std::ranges::find(
          kColumnNames, ConfusableSkeleton(names_[i]),
          [](std::string_view name) { return ConfusableSkeleton(name); });
      const std::string hint = confusable == kColumnNames.end()
                                   ? ""
                                   : "; it looks like " + Quoted(*confusable);
      report(i + 1, "", "unknown column " + Quoted(names_[i]) + hint);
      continue;
    }
    auto& position =
        positions_[static_cast<std::size_t>(known - kColumnNames.begin())];
    if (position) {
      report(i + 1, names_[i],
             "duplicate column, also column " + std::to_string(*position + 1));
      continue;
    }
    position = i;
  }
  for (std::size_t i = 0; i < kColumnNames.size(); ++i) {
    if (!positions_[i]) {
      report(0, std::string(kColumnNames[i]), "missing column");
    }
  }
}

std::string_view SheetHeader::NameAt(std::size_t position) const {
  return position < names_.size() ? std::string_view(names_[position])
                                  : std::string_view();
}

RowReader::RowReader(const SheetHeader& header,
                     const CsvRow& row,
                     Findings& findings)
    : header_(header),
      row_(row),
      findings_(findings),
      read_(row.cells.size(), false) {}

std::optional<std::string> RowReader::Text(Column column) {
  const auto position = header_.Position(column);
  if (!position) {
    return std::nullopt;
  }
  // Some spreadsheets do not export empty cells at the end of a row.
  if (*position >= row_.cells.size() || row_.cells[*position].empty()) {
    Report(column, "required cell is empty");
    return std::nullopt;
  }
  read_[*position] = true;
  const std::string& cell = row_.cells[*position];
  if (!IsValidUtf8(cell)) {
    Report(column, "not valid UTF-8");
    return std::nullopt;
  }
  return cell;
}

std::optional<std::string> RowReader::Name(Column column) {
  auto text = Text(column);
  if (!text) {
    return std::nullopt;
  }
  if (const auto error = ValidateName(*text)) {
    Report(column, Quoted(*text) + " " + *error);
    return std::nullopt;
  }
  return text;
}

std::optional<bool> RowReader::YesOrNo(Column column) {
  const auto text = Text(column);
  if (!text) {
    return std::nullopt;
  }
  if (*text != "yes" && *text != "no") {
    Report(column, Quoted(*text) + R"( must be "yes" or "no")");
    return std::nullopt;
  }
  return *text == "yes";
}

std::optional<std::uint64_t> RowReader::Number(Column column,
                                               std::uint64_t minimum,
                                               std::uint64_t maximum) {
  const auto text = Text(column);
  if (!text) {
    return std::nullopt;
  }
  if (!IsDigits(*text)) {
    Report(column, DescribeInvalidNumber(*text));
    return std::nullopt;
  }
  if (text->size() > 1 && text->front() == '0') {
    Report(column, Quoted(*text) + " has leading zeros");
    return std::nullopt;
  }
  const auto value = ParseDigits(*text);
  if (!value || *value < minimum || *value > maximum) {
    Report(column, *text + " is out of range, which is " +
                       std::to_string(minimum) + " to " +
                       std::to_string(maximum));
    return std::nullopt;
  }
  return value;
}

void RowReader::Finish(std::string_view record) {
  for (std::size_t i = 0; i < row_.cells.size(); ++i) {
    if (read_[i] || row_.cells[i].empty()) {
      continue;
    }
    if (!IsValidUtf8(row_.cells[i])) {
      ReportAt(i, "not valid UTF-8");
    } else if (header_.NameAt(i).empty()) {
      ReportAt(
          i, "value " + Quoted(row_.cells[i]) + " in a column without a name");
    } else if (std::ranges::find(kColumnNames, header_.NameAt(i)) !=
               kColumnNames.end()) {
      ReportAt(i, "must be empty in a " + std::string(record) + " row, has " +
                      Quoted(row_.cells[i]));
    }
  }
}

void RowReader::Report(Column column, std::string message) {
  ReportAt(*header_.Position(column), std::move(message));
}

void RowReader::ReportAt(std::size_t position, std::string message) {
  findings_.push_back(
      {.location = {.source = header_.source(),
                    .line = row_.number,
                    .column = static_cast<std::uint32_t>(position + 1)},
       .key = std::string(header_.NameAt(position)),
       .message = std::move(message)});
}

}  // namespace jaypick
