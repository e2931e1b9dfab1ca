// Runs one case: stand-3 CASE FOLDER. Exits with 1 if a rule was broken, 0 if
// all held, 2 if the case could not run.
#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>

#include "stand.h"

namespace {

using review::JobFacts;
using review::json;
using review::Stand;
using review::StandOptions;
using review::Worker;

// Traffic starts 10 s after the machines do.
constexpr int kLeadMs = 10'000;

bool HasTrouble() {
  const char* const trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

// Long chains of short tasks, some of which are cancelled.
void Cancelled(Stand& stand) {
  json steps = json::array();
  for (int step = 0; step < 9; ++step) {
    steps.push_back(
        {{"count", 2}, {"cpu", 2000}, {"mem_mb", 64}, {"estimate_ms", 900}});
    if (step > 0) {
      steps.back()["after"] = {step - 1};
    }
  }
  for (std::size_t node = 0; node < stand.nodes(); ++node) {
    const std::string job =
        stand.Submit(node, steps, 12'000, JobFacts{.cpu = 2000}, 900);
    if (HasTrouble()) {
      // Half of the cancels go to the node that has the job's request.
      stand.After(1000, [&stand, node, job] {
        stand.Cancel(node % 2 == 0 ? node : node + 1, job);
      });
    }
  }
  stand.RunFor(14'000);
}

// The first worker of each zone in turn crashes and comes back as another kind,
// again and again.
void CrashInTurn(Stand& stand,
                 const Worker::Kind& other,
                 int down_ms,
                 int gap_ms,
                 int count) {
  const Worker::Kind usual = stand.options().kind;
  const std::size_t zones = stand.options().zones.size();
  for (int crash = 0; HasTrouble() && crash < count; ++crash) {
    const std::size_t zone = static_cast<std::size_t>(crash) % zones;
    Worker& worker = *stand.workers()[zone * stand.workers().size() / zones];
    stand.After(2000 + crash * gap_ms,
                [&stand, &worker, usual, other, down_ms] {
                  worker.Crash();
                  const bool was_usual = worker.kind().labels == usual.labels;
                  stand.After(down_ms, [&worker, usual, other, was_usual] {
                    worker.Restart(was_usual ? other : usual);
                  });
                });
  }
}

// Workers that start whatever they are told to come back with half of their
// capacity.
void RebornSmaller(Stand& stand) {
  const Worker::Kind smaller{.cpu = 16000, .labels = {"b", "r1-1"}};
  const bool is_control = std::getenv("SAME_KIND") != nullptr;
  CrashInTurn(stand, is_control ? stand.options().kind : smaller, 300, 1500,
              22);
  for (int ms = 0; ms < 36'000; ms += 21) {
    stand.After(ms, [&stand] {
      stand.Submit(
          stand.random()(),
          {{{"count", 4}, {"cpu", 6000}, {"mem_mb", 64}, {"estimate_ms", 300}}},
          1500, JobFacts{.cpu = 6000}, 300);
    });
  }
  stand.RunFor(39'000);
}

// Idle workers come back with another label than the tasks require.
void RebornRelabelled(Stand& stand) {
  const Worker::Kind relabelled{.cpu = 32000, .labels = {"b", "r1-1"}};
  CrashInTurn(stand, relabelled, 200, 1000, 72);
  for (int ms = 0; ms < 76'000; ms += 100) {
    stand.After(ms + static_cast<int>(stand.random()() % 100), [&stand] {
      stand.Submit(stand.random()(),
                   {{{"count", 1},
                     {"cpu", 14000},
                     {"mem_mb", 64},
                     {"estimate_ms", 60},
                     {"requires", "a"}}},
                   1500, JobFacts{.cpu = 14000, .required_label = "a"}, 60);
    });
  }
  stand.RunFor(79'000);
}

int Run(const std::string& name, const std::string& folder) {
  StandOptions options{.folder = folder,
                       .admission_check = name != "reborn-smaller",
                       .kind = {.cpu = 32000, .labels = {"a", "r1-1"}}};
  Stand stand(options);
  stand.RunFor(kLeadMs);
  if (name == "cancelled") {
    Cancelled(stand);
  } else if (name == "reborn-smaller") {
    RebornSmaller(stand);
  } else if (name == "reborn-relabelled") {
    RebornRelabelled(stand);
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
