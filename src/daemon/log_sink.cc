#include "daemon/log_sink.h"

#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

#include <utility>

namespace jaypick::daemon {
namespace {

// The last lines of a process are written within this time and number of tries.
constexpr int kFinalWaitMs = 50;
constexpr int kMaxFinalWaits = 20;

}  // namespace

LogSink::LogSink(int descriptor, std::size_t limit_bytes)
    : descriptor_(descriptor), limit_bytes_(limit_bytes) {
  const int flags = ::fcntl(descriptor, F_GETFL);
  if (flags >= 0) {
    // If this fails, writes to the descriptor may block.
    static_cast<void>(::fcntl(descriptor, F_SETFL, flags | O_NONBLOCK));
  }
}

LogSink::~LogSink() {
  Flush();
  for (int wait = 0; wait < kMaxFinalWaits && !pending_.empty(); ++wait) {
    pollfd writable{.fd = descriptor_, .events = POLLOUT, .revents = 0};
    if (::poll(&writable, 1, kFinalWaitMs) <= 0) {
      return;
    }
    Flush();
  }
}

void LogSink::Write(const std::string& line) {
  if (pending_.size() + line.size() + 1 > limit_bytes_) {
    Flush();
  }
  if (pending_.size() + line.size() + 1 > limit_bytes_) {
    ++dropped_;
    return;
  }
  if (dropped_ != reported_drops_) {
    pending_ +=
        "{\"level\":\"warning\",\"event\":\"log_lines_dropped\","
        "\"total\":" +
        std::to_string(dropped_) + "}\n";
    reported_drops_ = dropped_;
  }
  pending_ += line;
  pending_ += '\n';
  Flush();
}

void LogSink::Flush() {
  std::size_t written = 0;
  while (written < pending_.size()) {
    const ssize_t size = ::write(descriptor_, pending_.data() + written,
                                 pending_.size() - written);
    if (size <= 0) {
      break;
    }
    written += static_cast<std::size_t>(size);
  }
  pending_.erase(0, written);
}

}  // namespace jaypick::daemon
