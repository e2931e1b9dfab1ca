// Runs one scenario: review-stand NAME ROOT RECORD FOLDER
// Exit code: 0 the rule held, 1 it was broken, 2 the scenario could not run.
#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>

#include "bed.h"
#include "scenarios.h"

int main(int argc, char** argv) {
  if (argc != 5) {
    std::cerr << "usage: review-stand SCENARIO ROOT RECORD FOLDER\n";
    return 2;
  }
  const char* const variable = std::getenv("TROUBLE");
  const bool trouble = variable == nullptr || std::string(variable) != "0";
  try {
    return review::RunScenario(argv[1],
                               {.root = argv[2],
                                .record = argv[3],
                                .folder = argv[4],
                                .nodes = {{"front-shah-alam-1", "shah-alam"},
                                          {"front-shah-alam-2", "shah-alam"},
                                          {"front-shah-alam-3", "shah-alam"},
                                          {"front-klang-port-1", "klang-port"},
                                          {"front-klang-port-2", "klang-port"},
                                          {"front-rawang-1", "rawang"}},
                                .zones = {"shah-alam", "klang-port", "rawang"}},
                               trouble);
  } catch (const std::exception& error) {
    std::cerr << "could not run: " << error.what() << '\n';
    return 2;
  }
}
