// Settings of jaypickd.
#ifndef JAYPICK_SETTINGS_SETTINGS_H_
#define JAYPICK_SETTINGS_SETTINGS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "jaypick/dispatcher.h"
#include "jaypick/instance.h"
#include "jaypick/source_location.h"
#include "jaypick/time.h"

namespace jaypick {

// Settings that one entry process reads at startup. See docs/SETTINGS.md for
// the JSON form, which has the same defaults.
struct Settings {
  std::string entry;
  std::string failure_domain;

  // Listen addresses. Peers connect to the address in the instance list, so it
  // must be the address of `peer`.
  Address caller;
  Address peer;
  Address operators;
  Address observability;
  std::string operator_token_file;

  // Services of the platform.
  Address key_value;
  Address instance_list;
  Duration platform_timeout = std::chrono::milliseconds(800);
  Duration poll_interval = std::chrono::seconds(1);
  Duration exchange_interval = std::chrono::seconds(2);

  // Options of the dispatcher. Entry, domain, incarnation, seed and observer
  // are not set here.
  DispatcherOptions dispatch;
  // Lease duration of a claimed submission key.
  Duration key_window = std::chrono::hours(1);

  std::size_t body_limit_bytes = std::size_t{8} * 1024 * 1024;
  std::size_t connection_limit = 1024;
  Duration upstream_connect_timeout = std::chrono::seconds(1);
  Duration drain_notice = std::chrono::seconds(5);
  // "debug", "info", "warning" or "error".
  std::string log_level = "info";
};

using SettingsResult = std::variant<Settings, Findings>;

// Parses and checks settings in JSON.
//
// `source` names the text in findings, for example the file name.
//
// Returns all findings if there are any.
SettingsResult ParseSettings(std::string_view text, const std::string& source);

// Reads and parses a file. Returns a finding if it cannot be read.
SettingsResult LoadSettings(const std::string& path);

}  // namespace jaypick

#endif  // JAYPICK_SETTINGS_SETTINGS_H_
