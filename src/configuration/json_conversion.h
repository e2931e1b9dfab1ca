// Conversion of configurations, differences and findings to JSON.
#ifndef JAYPICK_CONFIGURATION_JSON_CONVERSION_H_
#define JAYPICK_CONFIGURATION_JSON_CONVERSION_H_

#include <nlohmann/json.hpp>
#include <string>

#include "jaypick/configuration.h"
#include "jaypick/configuration_diff.h"
#include "jaypick/source_location.h"

namespace jaypick {

nlohmann::json ToJson(const ConfigurationContent& content);
nlohmann::json ToJson(const Configuration& configuration);
nlohmann::json ToJson(const ConfigurationDiff& diff);

// [{"row", "column", "key", "message"}]
nlohmann::json ToJson(const Findings& findings);

// Serializes `value` on one line, with sorted members. Bytes that are not valid
// UTF-8 become replacement characters.
std::string Dump(const nlohmann::json& value);

}  // namespace jaypick

#endif  // JAYPICK_CONFIGURATION_JSON_CONVERSION_H_
