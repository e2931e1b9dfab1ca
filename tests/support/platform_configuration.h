// The operators' configuration of the caller interface, as tests write it to
// the store.
#ifndef JAYPICK_TESTS_SUPPORT_PLATFORM_CONFIGURATION_H_
#define JAYPICK_TESTS_SUPPORT_PLATFORM_CONFIGURATION_H_

#include <string>

#include <nlohmann/json.hpp>

namespace jaypick::testing {

inline constexpr const char* kConfigurationKey = "op/config";

struct ConfigurationOptions {
  int version = 1;
  std::string prefix = "/fit/";
  int timeout_ms = 1500;
};

// One route, to the service `fitting`.
inline std::string PlatformConfiguration(const ConfigurationOptions& options) {
  return nlohmann::json{{"version", options.version},
                        {"routes",
                         {{{"name", "match"},
                           {"host", "fit.example"},
                           {"prefix", options.prefix},
                           {"timeout_ms", options.timeout_ms},
                           {"target_latency_ms", 60},
                           {"priority", 0},
                           {"service", "fitting"},
                           {"max_attempts", 3},
                           {"stretch", 1.6}}}},
                        {"services", {{{"name", "fitting"}}}},
                        {"limits", {{"max_body_bytes", 262144}}}}
      .dump();
}

}  // namespace jaypick::testing

#endif  // JAYPICK_TESTS_SUPPORT_PLATFORM_CONFIGURATION_H_
