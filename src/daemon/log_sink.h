// Non-blocking log output with a bounded buffer.
#ifndef JAYPICK_DAEMON_LOG_SINK_H_
#define JAYPICK_DAEMON_LOG_SINK_H_

#include <cstddef>
#include <cstdint>
#include <string>

namespace jaypick::daemon {

// Writes lines to a descriptor without blocking. Lines that a slow reader has
// not taken yet are buffered up to a limit. Further lines are dropped and
// counted.
class LogSink {
 public:
  // Makes `descriptor` non-blocking.
  LogSink(int descriptor, std::size_t limit_bytes);
  // Writes what is left. Waits for a slow reader, but not for a stalled one.
  ~LogSink();
  LogSink(const LogSink&) = delete;
  LogSink& operator=(const LogSink&) = delete;

  // Appends `line` to the buffer and writes as much as the descriptor accepts.
  void Write(const std::string& line);

  std::uint64_t dropped() const { return dropped_; }
  std::size_t pending_bytes() const { return pending_.size(); }

 private:
  void Flush();

  int descriptor_;
  std::size_t limit_bytes_;
  std::string pending_;
  std::uint64_t dropped_ = 0;
  std::uint64_t reported_drops_ = 0;
};

}  // namespace jaypick::daemon

#endif  // JAYPICK_DAEMON_LOG_SINK_H_
