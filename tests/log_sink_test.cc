// Tests of log output with a slow reader, and of searching logs.
#include "daemon/log_sink.h"

#include <criterion/criterion.h>
#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <fstream>
#include <sstream>
#include <string>
#include <thread>

#include "cli/commands.h"

namespace jaypick::daemon {
namespace {

// Guards against log output that blocks the process, or that buffers without
// limit, if nobody reads it.
Test(log_sink, stalled_reader_does_not_block) {
  std::array<int, 2> pipe_ends{};
  cr_assert_eq(::pipe(pipe_ends.data()), 0);
  constexpr std::size_t kLimit = 4096;
  LogSink sink(pipe_ends[1], kLimit);
  const std::string line(100, 'x');
  for (int i = 0; i < 5000; ++i) {
    sink.Write(line);
  }
  cr_assert_gt(sink.dropped(), 0);
  cr_assert_leq(sink.pending_bytes(), kLimit);
  // When the reader continues, the sink reports how many lines it dropped.
  std::string read(1 << 20, '\0');
  ::fcntl(pipe_ends[0], F_SETFL, O_NONBLOCK);
  while (::read(pipe_ends[0], read.data(), read.size()) > 0) {
  }
  sink.Write("next");
  cr_assert_eq(sink.pending_bytes(), 0);
}

// Guards against losing the last lines of a process, which show why it ended,
// because its reader was slow until then.
Test(log_sink, last_lines_are_written_at_the_end) {
  std::array<int, 2> pipe_ends{};
  cr_assert_eq(::pipe(pipe_ends.data()), 0);
  std::string text;
  std::thread reader;
  {
    LogSink sink(pipe_ends[1], std::size_t{1} << 20);
    const std::string line(100, 'x');
    while (sink.pending_bytes() == 0) {
      sink.Write(line);
    }
    sink.Write("the last line");
    reader = std::thread([&] {
      std::string buffer(1 << 16, '\0');
      while (text.find("the last line") == std::string::npos) {
        const ssize_t size = ::read(pipe_ends[0], buffer.data(), buffer.size());
        if (size <= 0) {
          return;
        }
        text.append(buffer, 0, static_cast<std::size_t>(size));
      }
    });
  }
  ::close(pipe_ends[1]);
  reader.join();
  cr_assert(text.find("the last line") != std::string::npos);
}

// Guards against lines of other jobs in the output, and against an order by
// file instead of by time.
Test(log_sink, explain_joins_the_lines_of_one_job) {
  const std::string name = "explain_test_" + std::to_string(::getpid());
  {
    std::ofstream first(name + ".1");
    first
        << R"({"time_unix_ms":20,"event":"job_not_completed","id":"a1",)"
        << R"("outcome":"refused:overloaded","trace":"0ms admit; 3ms refuse"})"
        << "\nnot JSON a1\n"
        << R"({"time_unix_ms":21,"event":"job_not_completed","id":"a2"})"
        << '\n';
    std::ofstream second(name + ".2");
    second
        << "host {\"time_unix_ms\":10,\"event\":\"caller_left\",\"id\":\"a1\"}"
        << '\n';
  }
  std::ostringstream out;
  std::ostringstream err;
  const auto code = cli::RunCommandLine(
      {"explain", "a1", "--logs=" + name + ".1," + name + ".2"}, out, err);
  const std::string text = out.str();
  cr_assert(code == cli::ExitCode::kOk, "%s", err.str().c_str());
  cr_assert_lt(text.find("caller_left"), text.find("job_not_completed"));
  cr_assert(text.find("refused:overloaded") != std::string::npos);
  cr_assert(text.find("a2") == std::string::npos);
  std::ostringstream nothing;
  cr_assert(cli::RunCommandLine({"explain", "b9", "--logs=" + name + ".1"},
                                nothing, err) == cli::ExitCode::kRefused);
  ::unlink((name + ".1").c_str());
  ::unlink((name + ".2").c_str());
}

}  // namespace
}  // namespace jaypick::daemon
