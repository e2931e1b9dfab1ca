// Command-line tool for callers and operators.
#include <iostream>
#include <string>
#include <vector>

#include "cli/commands.h"

int main(int argc, char** argv) {
  const std::vector<std::string> words(argv + 1, argv + argc);
  return static_cast<int>(
      jaypick::cli::RunCommandLine(words, std::cout, std::cerr));
}
