// The node as a process: start-up, and signals during it.

// clang-format off
// Boost.Intrusive uses the name `Test`, which Criterion defines as a macro.
#include <boost/intrusive/list.hpp>
#include "standins/platform_service.h"
#include <criterion/criterion.h>
// clang-format on

#include <fcntl.h>
#include <signal.h>
#include <sys/stat.h>
#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <string>
#include <thread>
#include <vector>

#include "tests/process_harness.h"
#include "tests/support/platform_configuration.h"

namespace jaypick::testing {
namespace {

constexpr double kTestSeconds = 120;
// Far longer than a start takes, so that the test passes on a busy machine.
constexpr auto kStartLimit = std::chrono::seconds(30);

// Opens the write end of a named pipe as soon as a process has opened it for
// reading. The test fails if `process` exits first.
int OpenForReader(const std::string& path, Process& process) {
  const auto end = std::chrono::steady_clock::now() + kStartLimit;
  while (std::chrono::steady_clock::now() < end && !process.HasExited()) {
    const int pipe = open(path.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
    if (pipe >= 0) {
      return pipe;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  cr_assert(false, "no process reads %s", path.c_str());
  return -1;
}

// Guards against a node that is killed by a SIGHUP (reload request) while it
// reads its settings for the first time. It happened in a soak test with seed
// 313, in which the signal arrived 7 ms after the start.
Test(process,
     sighup_during_the_start_does_not_end_the_process,
     .timeout = kTestSeconds) {
  const TemporaryFolder folder;
  EventLoop loop;
  node::Runtime runtime(loop.base());
  standin::PlatformStore store(runtime);
  store.Put(kConfigurationKey, PlatformConfiguration({}));
  const std::string any = "127.0.0.1:0";
  const std::string settings =
      Json{{"instance", {{"name", "n0"}, {"failure_domain", "ghent"}}},
           {"failure_domains", {"ghent"}},
           {"listen",
            {{"callers", any},
             {"readiness", any},
             {"peer", any},
             {"metrics", any}}},
           {"store", "127.0.0.1:" + std::to_string(store.address().port)}}
          .dump();
  const std::string path = folder.Path("settings.json");
  cr_assert_eq(mkfifo(path.c_str(), 0600), 0);
  Process process("jaypick-node", {"--settings=" + path},
                  folder.Path("node.log"));
  const int pipe = OpenForReader(path, process);

  process.Signal(SIGHUP);
  // Later reads of the settings find a regular file.
  std::filesystem::rename(folder.Write("later.json", settings), path);
  cr_assert_eq(write(pipe, settings.data(), settings.size()),
               static_cast<ssize_t>(settings.size()));
  close(pipe);

  const auto end = std::chrono::steady_clock::now() + kStartLimit;
  while (process.Log().find("\"started\"") == std::string::npos) {
    cr_assert(!process.HasExited(), "ended by signal %d: %s",
              process.ending_signal(), process.Log().c_str());
    cr_assert(std::chrono::steady_clock::now() < end, "%s",
              process.Log().c_str());
    loop.RunFor(5);
  }
}

}  // namespace
}  // namespace jaypick::testing
