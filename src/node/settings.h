// Settings of a node.
#ifndef JAYPICK_NODE_SETTINGS_H_
#define JAYPICK_NODE_SETTINGS_H_

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "jaypick/instance.h"
#include "jaypick/source_location.h"
#include "jaypick/time.h"

namespace jaypick::node {

// See docs/SETTINGS.md for the JSON form.
struct NodeSettings {
  std::string instance;
  std::string failure_domain;
  // All domains that have upstreams, this one included.
  std::vector<std::string> failure_domains;

  // Interfaces. The last three are on the address of `peer`.
  Address callers;
  Address readiness;
  std::string readiness_path = "/readyz";
  Address peer;
  // Where other nodes reach `peer`, if not at the same address; port 0: there.
  Address advertised_peer;
  Address metrics;
  Address store;

  // Part of a processor that the instance has; instances with more of it take
  // commands first.
  double processor_share = 1;

  // Longest lease of a run, on the upstream's clock.
  Duration run_lease = std::chrono::milliseconds(1000);
  // Time from SIGTERM to SIGKILL.
  Duration shutdown_limit = std::chrono::seconds(6);
  // Lease of a command in the store.
  Duration command_lease = std::chrono::milliseconds(1500);
  Duration ping_interval = std::chrono::milliseconds(200);
  std::string log_level = "info";

  friend bool operator==(const NodeSettings&, const NodeSettings&) = default;
};

using NodeSettingsResult = std::variant<NodeSettings, Findings>;

// Parses and checks settings in JSON; all findings are returned together.
// Unknown members are ignored, since the form grows with the platform.
NodeSettingsResult ParseNodeSettings(std::string_view text,
                                     const std::string& source);

// Reads and parses a file.
NodeSettingsResult LoadNodeSettings(const std::string& path);

}  // namespace jaypick::node

#endif  // JAYPICK_NODE_SETTINGS_H_
