#include "cli/table.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace jaypick::cli {
namespace {

// Number of code points of UTF-8 text.
std::size_t CodePointCount(const std::string& text) {
  return static_cast<std::size_t>(std::ranges::count_if(text, [](char byte) {
    return (static_cast<unsigned char>(byte) & 0xC0) != 0x80;
  }));
}

}  // namespace

Table::Table(std::vector<std::string> header) {
  rows_.push_back(std::move(header));
}

void Table::Add(std::vector<std::string> row) {
  row.resize(rows_.front().size());
  for (std::string& cell : row) {
    std::ranges::replace(cell, '\n', ' ');
  }
  rows_.push_back(std::move(row));
}

std::string Table::ToText() const {
  std::vector<std::size_t> widths(rows_.front().size());
  for (const auto& row : rows_) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], CodePointCount(row[i]));
    }
  }
  std::string text;
  for (const auto& row : rows_) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i] + std::string(widths[i] - CodePointCount(row[i]) + 2, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + '\n';
  }
  return text;
}

}  // namespace jaypick::cli
