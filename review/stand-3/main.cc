// Runs one case: stand-3 CASE FOLDER. Exits with 1 if a rule was broken, 0 if
// all held, 2 if the case could not run.
#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>

#include "stand.h"

namespace {

using review::json;
using review::Stand;

// Traffic starts 10 s after the machines do.
constexpr int kLeadMs = 10'000;

bool HasTrouble() {
  const char* const trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

// Twelve jobs, two at each node, each a chain of short tasks. Four of them are
// cancelled after a second, two at the node that has the job and two at a node
// of another zone.
void Cancelled(Stand& stand) {
  constexpr std::size_t kJobs = 12;
  constexpr std::size_t kCancels = 4;
  constexpr std::size_t kOffsets[kCancels] = {0, 1, 0, 2};
  json steps = json::array();
  for (int step = 0; step < 9; ++step) {
    steps.push_back(
        {{"count", 2}, {"cpu", 2000}, {"mem_mb", 64}, {"estimate_ms", 900}});
    if (step > 0) {
      steps.back()["after"] = {step - 1};
    }
  }
  for (std::size_t number = 0; number < kJobs; ++number) {
    const std::string job = stand.Submit(number, steps, 12'000, 900);
    if (HasTrouble() && number < kCancels) {
      stand.After(1000, [&stand, number, job, offset = kOffsets[number]] {
        stand.Cancel(number + offset, job);
      });
    }
  }
  stand.RunFor(14'000);
}

int Run(const std::string& name, const std::string& folder) {
  Stand stand({.folder = folder});
  stand.RunFor(kLeadMs);
  if (name == "cancelled") {
    Cancelled(stand);
  } else {
    throw std::runtime_error("no such case: " + name);
  }
  const std::string summary = std::to_string(stand.sent()) + " jobs sent, " +
                              std::to_string(stand.completed()) +
                              " answered with 200, rules broken " +
                              std::to_string(stand.broken()) + " times";
  stand.Record(summary);
  std::cout << summary << std::endl;
  if (stand.broken() > 0) {
    return 1;
  }
  return stand.completed() > 0 ? 0 : 2;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) {
    std::cerr << "usage: stand-3 CASE FOLDER\n";
    return 2;
  }
  try {
    return Run(argv[1], argv[2]);
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return 2;
  }
}
