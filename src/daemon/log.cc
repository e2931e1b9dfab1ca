#include "daemon/log.h"

#include <easylogging++.h>
#include <unistd.h>

#include <chrono>
#include <map>
#include <nlohmann/json.hpp>

#include "daemon/clock.h"
#include "daemon/log_sink.h"

INITIALIZE_EASYLOGGINGPP

namespace jaypick::daemon {
namespace {

struct LogState {
  LogLevel min_level = LogLevel::kError;
  MonotonicClock clock;
  std::map<std::string, LogLimiter, std::less<>> limiters;
};

LogState& State() {
  static LogState state;
  return state;
}

std::string_view LevelName(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "error";
}

std::int64_t UnixMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void Write(LogLevel level, const std::string& line) {
  switch (level) {
    case LogLevel::kDebug:
      LOG(DEBUG) << line;
      return;
    case LogLevel::kInfo:
      LOG(INFO) << line;
      return;
    case LogLevel::kWarning:
      LOG(WARNING) << line;
      return;
    case LogLevel::kError:
      LOG(ERROR) << line;
      return;
  }
}

// Limit of the buffer for lines that a slow reader has not taken yet.
constexpr std::size_t kMaxPendingBytes = std::size_t{256} * 1024;

LogSink& Sink() {
  static LogSink sink(STDOUT_FILENO, kMaxPendingBytes);
  return sink;
}

LogLimiter::Decision Admit(std::string_view event) {
  LogState& state = State();
  auto it = state.limiters.find(event);
  if (it == state.limiters.end()) {
    it = state.limiters.emplace(event, LogLimiter()).first;
  }
  return it->second.Admit(state.clock.Now());
}

// Replaces easylogging++'s own output, which blocks.
class LogSinkDispatch : public el::LogDispatchCallback {
 protected:
  void handle(const el::LogDispatchData* data) override {
    Sink().Write(data->logMessage()->message());
  }
};

}  // namespace

std::uint64_t DroppedLogLines() {
  return Sink().dropped();
}

LogLevel ParseLogLevel(std::string_view name) {
  for (const LogLevel level :
       {LogLevel::kDebug, LogLevel::kInfo, LogLevel::kWarning}) {
    if (LevelName(level) == name) {
      return level;
    }
  }
  return LogLevel::kError;
}

void InitializeLog(LogLevel min_level) {
  State().min_level = min_level;
  el::Configurations configuration;
  configuration.setGlobally(el::ConfigurationType::Format, "%msg");
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
  el::Loggers::reconfigureAllLoggers(configuration);
  el::Helpers::uninstallLogDispatchCallback<
      el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
  el::Helpers::installLogDispatchCallback<LogSinkDispatch>("jaypick");
}

bool IsLogged(LogLevel level) {
  return level >= State().min_level;
}

void LogEvent(LogLevel level,
              std::string_view event,
              std::initializer_list<LogField> fields) {
  if (!IsLogged(level)) {
    return;
  }
  const LogLimiter::Decision decision =
      level == LogLevel::kDebug ? LogLimiter::Decision{} : Admit(event);
  if (!decision.is_admitted) {
    return;
  }
  nlohmann::ordered_json line = {{"time_unix_ms", UnixMilliseconds()},
                                 {"level", LevelName(level)},
                                 {"event", event}};
  for (const auto& [name, value] : fields) {
    line[std::string(name)] = value;
  }
  if (decision.suppressed != 0) {
    line["suppressed"] = decision.suppressed;
  }
  // Fields may contain names from requests with bytes that are not UTF-8.
  Write(level,
        line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

LogLimiter::Decision LogLimiter::Admit(TimePoint now) {
  if (now - window_start_ >= std::chrono::seconds(1)) {
    window_start_ = now;
    lines_ = 0;
  }
  if (lines_ >= kLinesPerSecond) {
    ++suppressed_;
    return {.is_admitted = false, .suppressed = 0};
  }
  ++lines_;
  return {.is_admitted = true, .suppressed = std::exchange(suppressed_, 0)};
}

}  // namespace jaypick::daemon
