// Tests of the command-line tool with scripted entries.
#include <criterion/criterion.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include "cli/commands.h"

namespace jaypick::cli {
namespace {

using nlohmann::json;

struct Exchange {
  // First line of the request.
  std::string line;
  std::string body;
};

// Response to the next request. With status 0 the connection is closed without
// a response.
struct Reply {
  int status = 0;
  json body;
};

// HTTP server on a loopback port that accepts one connection for each reply.
class ScriptedEntry {
 public:
  explicit ScriptedEntry(std::vector<Reply> replies) {
    socket_ = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* const generic = reinterpret_cast<sockaddr*>(&address);
    cr_assert(bind(socket_, generic, size) == 0);
    cr_assert(listen(socket_, 8) == 0);
    getsockname(socket_, generic, &size);
    port_ = ntohs(address.sin_port);
    thread_ = std::thread([this, replies = std::move(replies)] {
      for (const Reply& reply : replies) {
        ServeConnection(reply);
      }
      // Refuse further connections.
      close(socket_);
    });
  }
  ~ScriptedEntry() {
    shutdown(socket_, SHUT_RDWR);
    thread_.join();
  }
  ScriptedEntry(const ScriptedEntry&) = delete;
  ScriptedEntry& operator=(const ScriptedEntry&) = delete;

  std::string flag(const std::string& name) const {
    return "--" + name + "=127.0.0.1:" + std::to_string(port_);
  }
  std::vector<Exchange> exchanges() {
    const std::lock_guard lock(mutex_);
    return exchanges_;
  }

 private:
  void ServeConnection(const Reply& reply) {
    const int connection = accept(socket_, nullptr, nullptr);
    if (connection < 0) {
      return;
    }
    std::string text;
    while (!IsComplete(text)) {
      char buffer[4096];
      const ssize_t size = read(connection, buffer, sizeof(buffer));
      if (size <= 0) {
        break;
      }
      text.append(buffer, static_cast<std::size_t>(size));
    }
    {
      const std::lock_guard lock(mutex_);
      exchanges_.push_back({.line = text.substr(0, text.find("\r\n")),
                            .body = text.substr(text.find("\r\n\r\n") + 4)});
    }
    if (reply.status != 0) {
      const std::string body = reply.body.dump();
      const std::string response =
          "HTTP/1.1 " + std::to_string(reply.status) +
          " X\r\nConnection: close\r\nContent-Length: " +
          std::to_string(body.size()) + "\r\n\r\n" + body;
      cr_assert(write(connection, response.data(), response.size()) > 0);
    }
    close(connection);
  }

  static bool IsComplete(const std::string& text) {
    const std::size_t end = text.find("\r\n\r\n");
    if (end == std::string::npos) {
      return false;
    }
    const std::size_t header = text.find("Content-Length: ");
    const std::size_t length =
        header > end ? 0 : std::stoul(text.substr(header + 16));
    return text.size() >= end + 4 + length;
  }

  int socket_ = -1;
  int port_ = 0;
  std::mutex mutex_;
  std::vector<Exchange> exchanges_;
  std::thread thread_;
};

struct Outcome {
  ExitCode code = ExitCode::kOk;
  std::string out;
  std::string err;
};

Outcome Run(const std::vector<std::string>& words) {
  std::ostringstream out;
  std::ostringstream err;
  const ExitCode code = RunCommandLine(words, out, err);
  return {.code = code, .out = out.str(), .err = err.str()};
}

// A file that the destructor removes.
struct TemporaryFile {
  TemporaryFile(const std::string& name, const std::string& text)
      : path(std::filesystem::temp_directory_path() /
             ("jaypick-" + std::to_string(getpid()) + "-" + name)) {
    std::ofstream(path, std::ios::binary) << text;
  }
  ~TemporaryFile() { std::filesystem::remove(path); }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;

  std::filesystem::path path;
};

constexpr char kId[] = "e1.0000000000000abc.7";
constexpr char kJob[] =
    R"({"owner":"ghent-bank","service":"fitting","kind":"match-wig",)"
    R"("timeout_ms":1000,"tasks":[1.50,123456789012345678901]})";
const Reply kReserved{200, {{"status", "reserved"}, {"ids", {kId}}}};
const Reply kComplete{
    200,
    {{"status", "complete"}, {"id", kId}, {"results", {"a", 2}}}};

// Guards against a job that runs twice: after a lost connection the tool must
// submit again under the same id, even at another entry, and must not alter the
// payloads.
Test(cli, submit_retries_under_the_same_id) {
  ScriptedEntry first({kReserved, Reply{}});
  ScriptedEntry second({kComplete});
  const TemporaryFile job("job.json", kJob);
  const auto outcome =
      Run({"submit", job.path, first.flag("entry"), second.flag("entry")});
  cr_assert(outcome.code == ExitCode::kOk, "%s", outcome.err.c_str());
  cr_assert(outcome.out.find("complete") != std::string::npos);
  const auto lost = first.exchanges().at(1);
  const auto retried = second.exchanges().at(0);
  cr_assert(lost.line == "POST /v1/jobs HTTP/1.1" && lost.line == retried.line);
  cr_assert(lost.body == retried.body);
  cr_assert(json::parse(lost.body)["id"] == kId);
  cr_assert(lost.body.find("[1.50,123456789012345678901]") !=
            std::string::npos);
}

// Guards against a command that fails because the first entry is unreachable.
Test(cli, submit_tries_the_next_entry) {
  ScriptedEntry entry({kReserved, kComplete});
  const TemporaryFile job("job.json", kJob);
  const auto outcome = Run({"submit", job.path, "--entry=127.0.0.1:1",
                            entry.flag("entry"), "--json"});
  cr_assert(outcome.code == ExitCode::kOk, "%s", outcome.err.c_str());
  cr_assert(json::parse(outcome.out)["results"].size() == 2);
}

// Guards against a command that fails because one entry is draining although
// others are ready.
Test(cli, submit_skips_a_draining_entry) {
  const json refusal = {{"run", "not_run"}, {"reason", "draining"}};
  ScriptedEntry draining({Reply{503, refusal}});
  ScriptedEntry ready({kReserved, kComplete});
  const TemporaryFile job("job.json", kJob);
  const auto outcome =
      Run({"submit", job.path, draining.flag("entry"), ready.flag("entry")});
  cr_assert(outcome.code == ExitCode::kOk, "%s", outcome.err.c_str());
  cr_assert(draining.exchanges().size() == 1);
}

// Guards against exit codes that differ from the documented ones.
Test(cli, exit_codes_distinguish_refused_invalid_and_unreachable) {
  const TemporaryFile job("job.json", kJob);
  const json refusal = {{"status", "refused"},
                        {"run", "not_run"},
                        {"reason", "queue_full"},
                        {"message", "full"},
                        {"retry_after_ms", 50}};
  ScriptedEntry full({kReserved, Reply{429, refusal}});
  const auto refused = Run({"submit", job.path, full.flag("entry")});
  cr_assert(refused.code == ExitCode::kRefused);
  cr_assert(refused.out.find("queue_full") != std::string::npos);

  ScriptedEntry rejecting(
      {kReserved, Reply{400, {{"run", "not_run"}, {"reason", "bad_request"}}}});
  cr_assert(Run({"submit", job.path, rejecting.flag("entry")}).code ==
            ExitCode::kInvalid);
  cr_assert(Run({"submit", job.path, "--entry=127.0.0.1:1"}).code ==
            ExitCode::kUnreachable);
  const TemporaryFile bad("bad.json", R"({"owner":"x","tasks":{}})");
  const auto invalid = Run({"submit", bad.path, "--entry=127.0.0.1:1"});
  cr_assert(invalid.code == ExitCode::kInvalid);
  cr_assert(invalid.err.find("/tasks: must be an array") != std::string::npos);
  cr_assert(invalid.err.find("/kind: missing member") != std::string::npos);
}

// Guards against wrong arguments that are silently ignored.
Test(cli, wrong_usage_is_refused) {
  for (const std::vector<std::string>& words :
       std::vector<std::vector<std::string>>{
           {},
           {"frobnicate"},
           {"config"},
           {"version", "extra"},
           {"version", "--entry=127.0.0.1:1"},
           {"status", kId},
           {"status", kId, "--entry=localhost:1", "--owner=x"},
           {"status", "x", "--entry=127.0.0.1:1", "--owner=x"},
           {"audit", "--limit=many"},
           {"audit", "--limit=1", "--limit=2"},
           {"instances", "--operator=127.0.0.1:1"}}) {
    cr_assert(Run(words).code == ExitCode::kInvalid);
  }
  cr_assert(Run({"config", "apply", "--help"}).code == ExitCode::kOk);
}

json Instances(int second_version) {
  return {
      {"revision", 1},
      {"entries",
       {{{"name", "e1"}, {"state", "live"}, {"config_version", 2}},
        {{"name", "e2"}, {"state", "live"}, {"config_version", second_version}},
        {{"name", "e3"}, {"state", "leaving"}, {"config_version", 1}}}},
      {"upstreams", json::array()}};
}

// Guards against a change that is made twice after a lost response, and against
// "--wait" returning while an entry still has an older version.
Test(cli, apply_retries_the_operation_and_waits) {
  const Reply preview{200,
                      {{"findings", json::array()},
                       {"diff", {{"text", "x -> y\n"}}},
                       {"base_version", 1},
                       {"head_read", true}}};
  const Reply unknown{503, {{"reason", "outcome_unknown"}, {"message", ""}}};
  const Reply accepted{200, {{"version", 2}, {"digest", "d"}}};
  const TemporaryFile token("token", "secret\n");
  for (const bool is_late : {false, true}) {
    ScriptedEntry entry({preview, unknown, Reply{}, accepted,
                         Reply{200, Instances(1)},
                         Reply{200, Instances(is_late ? 1 : 2)}});
    const auto outcome = Run(
        {"config", "apply", "examples/wig-banks/sheet.csv", "--author=ann",
         "--wait", is_late ? "--wait_timeout_ms=500" : "--wait_timeout_ms=5000",
         "--token_file", token.path, entry.flag("operator")});
    cr_assert(outcome.code == (is_late ? ExitCode::kRefused : ExitCode::kOk),
              "%s", outcome.err.c_str());
    const bool is_named =
        outcome.err.find("entry e2 (version 1)") != std::string::npos;
    cr_assert(is_named == is_late);
    cr_assert(outcome.err.find("entry e3") == std::string::npos);
    const auto exchanges = entry.exchanges();
    cr_assert(exchanges[1].body == exchanges[2].body);
    cr_assert(exchanges[1].body == exchanges[3].body);
    cr_assert(json::parse(exchanges[1].body)["base_version"] == 1);
  }
}

// Guards against a refused change without its reason in the output.
Test(cli, apply_shows_why_it_is_refused) {
  const Reply preview{
      200,
      {{"findings", json::array()}, {"diff", nullptr}, {"base_version", 1}}};
  const Reply stale{409,
                    {{"reason", "stale_base"},
                     {"head_version", 3},
                     {"diff", {{"text", "owner x\n"}}}}};
  ScriptedEntry entry({preview, stale});
  const auto outcome =
      Run({"config", "apply", "examples/wig-banks/sheet.csv", "--author=ann",
           "--token_file=/dev/null", entry.flag("operator")});
  cr_assert(outcome.code == ExitCode::kRefused);
  cr_assert(outcome.out.find("owner x") != std::string::npos);
  cr_assert(outcome.err.find("stale_base") != std::string::npos);
}

}  // namespace
}  // namespace jaypick::cli
