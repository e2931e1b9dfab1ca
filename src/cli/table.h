// Tables for people.
#ifndef JAYPICK_CLI_TABLE_H_
#define JAYPICK_CLI_TABLE_H_

#include <string>
#include <vector>

namespace jaypick::cli {

// Rows of cells under a header; columns are as wide as their widest cell.
class Table {
 public:
  explicit Table(std::vector<std::string> header);

  // Missing cells at the end are empty. Line breaks become spaces.
  void Add(std::vector<std::string> row);

  std::string ToText() const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

}  // namespace jaypick::cli

#endif  // JAYPICK_CLI_TABLE_H_
