// Structured logging: one JSON object per line.
#ifndef JAYPICK_DAEMON_LOG_H_
#define JAYPICK_DAEMON_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

#include "jaypick/time.h"

namespace jaypick::daemon {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

// Name and value of a field. The field "id" is a job or attempt id.
using LogField = std::pair<std::string_view, std::string>;

// Returns the level called `name` ("debug", "info", "warning" or "error"), or
// `kError` for any other name.
LogLevel ParseLogLevel(std::string_view name);

// Initializes the logger. Lines below `min_level` are dropped. Until this is
// called, only errors are written.
void InitializeLog(LogLevel min_level);

// Returns true if lines of `level` are written.
bool IsLogged(LogLevel level);

// Writes {"time_unix_ms", "level", "event", fields...} as one line.
//
// `event` is a stable name that alerts may rely on. Each event above the level
// "debug" is limited to `kLinesPerSecond`. The first line after suppressed ones
// has the field "suppressed" with their number.
void LogEvent(LogLevel level,
              std::string_view event,
              std::initializer_list<LogField> fields);

inline constexpr unsigned kLinesPerSecond = 20;

// Number of lines that were dropped because the reader was too slow.
std::uint64_t DroppedLogLines();

// Limits the lines of one event per second.
class LogLimiter {
 public:
  struct Decision {
    bool is_admitted = true;
    // Number of lines suppressed since the last admitted one.
    unsigned suppressed = 0;
  };

  Decision Admit(TimePoint now);

 private:
  TimePoint window_start_;
  unsigned lines_ = 0;
  unsigned suppressed_ = 0;
};

}  // namespace jaypick::daemon

#endif  // JAYPICK_DAEMON_LOG_H_
