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
  LogLevel lowest = LogLevel::kError;
  MonotonicClock clock;
  std::map<std::string, LogLimiter, std::less<>> limiters;
};

LogState& State() {
  static LogState state;
  return state;
}

std::string_view Name(LogLevel level) {
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

// Lines that wait for a slow reader.
constexpr std::size_t kPendingBytes = std::size_t{256} * 1024;

LogSink& Sink() {
  static LogSink sink(STDOUT_FILENO, kPendingBytes);
  return sink;
}

// Takes the place of easylogging++'s own output, which blocks.
class SinkDispatch : public el::LogDispatchCallback {
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
    if (Name(level) == name) {
      return level;
    }
  }
  return LogLevel::kError;
}

void InitializeLog(LogLevel lowest) {
  State().lowest = lowest;
  el::Configurations configuration;
  configuration.setGlobally(el::ConfigurationType::Format, "%msg");
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
  el::Loggers::reconfigureAllLoggers(configuration);
  el::Helpers::uninstallLogDispatchCallback<
      el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
  el::Helpers::installLogDispatchCallback<SinkDispatch>("jaypick");
}

void LogEvent(LogLevel level,
              std::string_view event,
              std::initializer_list<LogField> fields) {
  LogState& state = State();
  if (level < state.lowest) {
    return;
  }
  auto it = state.limiters.find(event);
  if (it == state.limiters.end()) {
    it = state.limiters.emplace(event, LogLimiter()).first;
  }
  const auto verdict = it->second.Admit(state.clock.Now());
  if (!verdict.is_admitted) {
    return;
  }
  nlohmann::ordered_json line = {{"time_unix_ms", UnixMilliseconds()},
                                 {"level", Name(level)},
                                 {"event", event}};
  for (const auto& [name, value] : fields) {
    line[std::string(name)] = value;
  }
  if (verdict.suppressed != 0) {
    line["suppressed"] = verdict.suppressed;
  }
  // Names from outside may hold bytes that are not UTF-8.
  Write(level,
        line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

LogLimiter::Verdict LogLimiter::Admit(TimePoint now) {
  if (now - window_ >= std::chrono::seconds(1)) {
    window_ = now;
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
