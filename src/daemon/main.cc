// jaypickd: the program of an entry instance.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdio>
#include <exception>
#include <iostream>
#include <string>
#include <variant>

#include "daemon/event_base.h"
#include "daemon/kernel.h"
#include "daemon/log.h"
#include "daemon/store.h"
#include "settings/settings.h"

ABSL_FLAG(std::string, settings, "", "path of the JSON settings file");
ABSL_FLAG(bool, check, false, "check the settings file and exit");

namespace {

constexpr int kExitFailed = 1;
constexpr int kExitInvalidSettings = 2;

int Run(const jaypick::Settings& settings) {
  using jaypick::daemon::LogEvent;
  using jaypick::daemon::LogLevel;
  jaypick::daemon::InitializeLog(
      jaypick::daemon::ParseLogLevel(settings.log_level));
  const auto base = jaypick::daemon::MakeEventBase();
  try {
    jaypick::daemon::Kernel kernel(base.get(), settings,
                                   jaypick::daemon::MakeEtcdStore);
    LogEvent(LogLevel::kInfo, "started",
             {{"entry", settings.entry},
              {"failure_domain", settings.failure_domain}});
    kernel.Run();
  } catch (const std::exception& error) {
    LogEvent(LogLevel::kError, "start_failed", {{"message", error.what()}});
    return kExitFailed;
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("jaypickd --settings=FILE [--check]");
  absl::ParseCommandLine(argc, argv);
  if (absl::GetFlag(FLAGS_settings).empty()) {
    std::cerr << "jaypickd: --settings=FILE is missing\n";
    return kExitInvalidSettings;
  }
  const auto result = jaypick::LoadSettings(absl::GetFlag(FLAGS_settings));
  if (const auto* const findings = std::get_if<jaypick::Findings>(&result)) {
    for (const jaypick::Finding& finding : *findings) {
      std::cerr << jaypick::ToString(finding) << '\n';
    }
    return kExitInvalidSettings;
  }
  if (absl::GetFlag(FLAGS_check)) {
    return 0;
  }
  return Run(std::get<jaypick::Settings>(result));
}
