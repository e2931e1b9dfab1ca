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
#include "node/server_limits.h"

namespace jaypick::node {

// See docs/SETTINGS.md for the JSON form.
struct NodeSettings {
  std::string instance;
  std::string failure_domain;
  // All failure domains with upstreams, including that of this instance.
  std::vector<std::string> failure_domains;

  // Listening addresses, and the address of the store.
  Address callers;
  Address readiness;
  std::string readiness_path = "/readyz";
  Address peer;
  // Address at which other nodes reach `peer` if it differs from `peer`; not
  // set if its port is 0.
  Address advertised_peer;
  Address metrics;
  Address store;

  // Share of a processor that the instance may use. Instances with a larger
  // share are preferred as leaders.
  double processor_share = 1;
  // Memory and descriptors of the process.
  MachineLimits machine;

  // Longest lease of a run, on the upstream's clock.
  Duration run_lease = std::chrono::milliseconds(1000);
  // Shortest time for which an upstream accepts runs after it has announced its
  // shutdown in the service discovery.
  Duration upstream_notice = std::chrono::milliseconds(2000);
  // Time from SIGTERM to SIGKILL.
  Duration shutdown_limit = std::chrono::seconds(6);
  // Lease of a leader record in the store.
  Duration command_lease = std::chrono::milliseconds(1500);
  Duration ping_interval = std::chrono::milliseconds(200);
  std::string log_level = "info";

  friend bool operator==(const NodeSettings&, const NodeSettings&) = default;
};

using NodeSettingsResult = std::variant<NodeSettings, Findings>;

// Parses and checks JSON settings and returns all findings together. Unknown
// members are ignored for compatibility with newer platforms.
NodeSettingsResult ParseNodeSettings(std::string_view text,
                                     const std::string& source);

// Reads a file and parses it.
NodeSettingsResult LoadNodeSettings(const std::string& path);

}  // namespace jaypick::node

#endif  // JAYPICK_NODE_SETTINGS_H_
