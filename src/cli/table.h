// Tables as plain text.
#ifndef JAYPICK_CLI_TABLE_H_
#define JAYPICK_CLI_TABLE_H_

#include <string>
#include <vector>

namespace jaypick::cli {

// Table with a header row; each column is as wide as its widest cell.
class Table {
 public:
  explicit Table(std::vector<std::string> header);

  // Adds a row. Missing cells at the end become empty, line breaks become
  // spaces.
  void Add(std::vector<std::string> row);

  std::string ToText() const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

}  // namespace jaypick::cli

#endif  // JAYPICK_CLI_TABLE_H_
