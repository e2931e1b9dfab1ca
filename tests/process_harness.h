// Starts programs from the build folder as processes, for end-to-end tests.
#ifndef JAYPICK_TESTS_PROCESS_HARNESS_H_
#define JAYPICK_TESTS_PROCESS_HARNESS_H_

#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "http/client.h"
#include "tests/event_loop.h"

namespace jaypick::testing {

using Json = nlohmann::json;

// A child process of the test. It is killed when the test ends or crashes.
class Process {
 public:
  // Starts `program` from the folder of the test runner. Standard output and
  // error are appended to `log_path`.
  Process(const std::string& program,
          std::vector<std::string> arguments,
          std::string log_path);
  // Kills the process if it is still running.
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  // Sends SIGKILL and waits until the process has ended.
  void Kill();
  void Signal(int signal);
  void Pause();
  void Resume();
  // Sends SIGTERM. Does not wait; see `HasExited`.
  void Terminate();
  bool HasExited();
  pid_t id() const { return id_; }
  // Exit code, or -1 if a signal ended the process. Valid after `HasExited`.
  int exit_code() const { return exit_code_; }
  // The signal that ended the process, or 0. Valid after `HasExited`.
  int ending_signal() const { return ending_signal_; }

  // Waits for a line of output that is a JSON object with `key`, and returns
  // the first one. Fails the test if there is none within the time limit.
  Json WaitForLine(const std::string& key);
  std::string Log() const;

 private:
  void Reap(bool wait);

  pid_t id_ = -1;
  int exit_code_ = -1;
  int ending_signal_ = 0;
  std::string log_path_;
};

// A folder in the system's temporary folder. The destructor removes it.
class TemporaryFolder {
 public:
  TemporaryFolder();
  ~TemporaryFolder();
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  std::string Path(const std::string& name) const { return path_ + "/" + name; }
  // Writes a file and returns its path.
  std::string Write(const std::string& name, const std::string& text) const;

 private:
  std::string path_;
};

// An HTTP response. `status` 0 means that there was none; then `error` says
// why.
struct Answer {
  int status = 0;
  Json body;
  std::string error;
};

// Sends HTTP requests to processes, one after another or concurrently.
class Caller {
 public:
  Caller();

  // A call in progress. `has_value()` is true once it has ended.
  using Pending = std::shared_ptr<std::optional<Answer>>;

  Pending Start(std::uint16_t port,
                const std::string& path,
                const std::optional<Json>& body,
                const std::vector<http::Header>& headers = {});
  Answer Post(std::uint16_t port,
              const std::string& path,
              const Json& body,
              const std::vector<http::Header>& headers = {});
  Answer Get(std::uint16_t port,
             const std::string& path,
             const std::vector<http::Header>& headers = {});
  Answer Wait(const Pending& pending);

  // Runs the event loop until `condition` holds or the time limit has passed,
  // and returns whether it holds. `condition` may make calls.
  bool Until(const std::function<bool()>& condition);
  void Sleep(int milliseconds) { loop_.RunFor(milliseconds); }

  EventLoop& loop() { return loop_; }

 private:
  EventLoop loop_;
  http::Client client_;
};

}  // namespace jaypick::testing

#endif  // JAYPICK_TESTS_PROCESS_HARNESS_H_
