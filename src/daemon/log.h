// Structured logs: one JSON object per line.
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

// Name and value of a field. Logs with a submission id carry it as "id".
using LogField = std::pair<std::string_view, std::string>;

// The level called `name` ("debug", "info", "warning", "error").
LogLevel ParseLogLevel(std::string_view name);

// Prepares the logger; lines below `lowest` are dropped. Before it is called,
// only errors are written.
void InitializeLog(LogLevel lowest);

// Writes {"time", "level", "event", fields...} as one line.
//
// `event` is a stable name that alerts may rely on. Each event is limited to
// `kLinesPerSecond`; the next line after a suppression says how many lines are
// missing ("suppressed").
void LogEvent(LogLevel level,
              std::string_view event,
              std::initializer_list<LogField> fields);

inline constexpr unsigned kLinesPerSecond = 20;

// Lines that were dropped because their reader did not take them.
std::uint64_t DroppedLogLines();

// Counts lines per event and second.
class LogLimiter {
 public:
  struct Verdict {
    bool is_admitted = true;
    // Lines suppressed since the last admitted one.
    unsigned suppressed = 0;
  };

  Verdict Admit(TimePoint now);

 private:
  TimePoint window_;
  unsigned lines_ = 0;
  unsigned suppressed_ = 0;
};

}  // namespace jaypick::daemon

#endif  // JAYPICK_DAEMON_LOG_H_
