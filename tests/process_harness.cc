#include "tests/process_harness.h"

#include <criterion/criterion.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>
#include <utility>

namespace jaypick::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Far longer than any step takes, so that tests do not fail on a busy machine.
constexpr auto kTimeLimit = std::chrono::seconds(30);
constexpr auto kPollInterval = milliseconds(5);

std::string BuildFolder() {
  return std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
}

// Runs in the child, so it only makes calls that are safe after a fork.
[[noreturn]] void Execute(const std::vector<char*>& arguments, int log) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  // The child must not inherit listening sockets of stand-ins in this process.
  close_range(STDERR_FILENO + 1, ~0U, 0);
  execv(arguments[0], arguments.data());
  _exit(127);
}

}  // namespace

Process::Process(const std::string& program,
                 std::vector<std::string> arguments,
                 std::string log_path)
    : log_path_(std::move(log_path)) {
  arguments.insert(arguments.begin(), BuildFolder() + "/" + program);
  std::vector<char*> pointers;
  for (std::string& argument : arguments) {
    pointers.push_back(argument.data());
  }
  pointers.push_back(nullptr);
  const int log =
      open(log_path_.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0600);
  cr_assert(log >= 0, "%s", log_path_.c_str());
  id_ = fork();
  if (id_ == 0) {
    Execute(pointers, log);
  }
  close(log);
  cr_assert(id_ > 0);
}

Process::~Process() {
  Kill();
}

void Process::Reap(bool wait) {
  int status = 0;
  if (id_ > 0 && waitpid(id_, &status, wait ? 0 : WNOHANG) == id_) {
    exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    ending_signal_ = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
    id_ = -1;
  }
}

void Process::Kill() {
  if (id_ > 0) {
    kill(id_, SIGKILL);
    Reap(/*wait=*/true);
  }
}

void Process::Signal(int signal) {
  kill(id_, signal);
}

void Process::Pause() {
  kill(id_, SIGSTOP);
}

void Process::Resume() {
  kill(id_, SIGCONT);
}

void Process::Terminate() {
  kill(id_, SIGTERM);
}

bool Process::HasExited() {
  Reap(/*wait=*/false);
  return id_ < 0;
}

std::string Process::Log() const {
  std::ifstream file(log_path_);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

Json Process::WaitForLine(const std::string& key) {
  const auto end = steady_clock::now() + kTimeLimit;
  while (steady_clock::now() < end && !HasExited()) {
    std::istringstream lines(Log());
    for (std::string line; std::getline(lines, line);) {
      Json json = Json::parse(line, nullptr, /*allow_exceptions=*/false);
      // A line without a line break may be incomplete.
      if (!lines.eof() && json.is_object() && json.contains(key)) {
        return json;
      }
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  cr_assert(false, "no line with \"%s\" in: %s", key.c_str(), Log().c_str());
  return {};
}

TemporaryFolder::TemporaryFolder() {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "jaypick-test-XXXXXX").string();
  cr_assert(mkdtemp(pattern.data()) != nullptr);
  path_ = pattern;
}

TemporaryFolder::~TemporaryFolder() {
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

std::string TemporaryFolder::Write(const std::string& name,
                                   const std::string& text) const {
  std::ofstream(Path(name)) << text;
  return Path(name);
}

Caller::Caller()
    : client_(loop_.base(),
              {.timeout = kTimeLimit, .connections_per_address = 256}) {}

Caller::Pending Caller::Start(std::uint16_t port,
                              const std::string& path,
                              const std::optional<Json>& body,
                              const std::vector<http::Header>& headers) {
  http::Request request;
  request.method = body ? http::Method::kPost : http::Method::kGet;
  const std::size_t query = path.find('?');
  request.path = path.substr(0, query);
  if (query != std::string::npos) {
    std::istringstream parameters(path.substr(query + 1));
    for (std::string parameter; std::getline(parameters, parameter, '&');) {
      const std::size_t equals = parameter.find('=');
      request.query[parameter.substr(0, equals)] = parameter.substr(equals + 1);
    }
  }
  request.headers = headers;
  request.body = body ? body->dump() : std::string();
  auto pending = std::make_shared<std::optional<Answer>>();
  client_.Send({"127.0.0.1", port}, std::move(request),
               [pending](http::ClientResult result) {
                 Answer answer;
                 if (auto* error = std::get_if<http::ClientError>(&result)) {
                   answer.error = error->message;
                 } else {
                   auto& response = std::get<http::Response>(result);
                   answer.status = response.status;
                   answer.body = Json::parse(response.body, nullptr, false);
                 }
                 *pending = std::move(answer);
               });
  return pending;
}

Answer Caller::Wait(const Pending& pending) {
  cr_assert(loop_.RunUntil([&] { return pending->has_value(); }));
  return **pending;
}

Answer Caller::Post(std::uint16_t port,
                    const std::string& path,
                    const Json& body,
                    const std::vector<http::Header>& headers) {
  return Wait(Start(port, path, body, headers));
}

Answer Caller::Get(std::uint16_t port,
                   const std::string& path,
                   const std::vector<http::Header>& headers) {
  return Wait(Start(port, path, std::nullopt, headers));
}

bool Caller::Until(const std::function<bool()>& condition) {
  const auto end = steady_clock::now() + kTimeLimit;
  while (!condition()) {
    if (steady_clock::now() > end) {
      return false;
    }
    loop_.RunFor(static_cast<int>(kPollInterval.count()));
  }
  return true;
}

}  // namespace jaypick::testing
