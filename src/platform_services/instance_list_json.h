// JSON form of the platform's instance list.
#ifndef JAYPICK_PLATFORM_SERVICES_INSTANCE_LIST_JSON_H_
#define JAYPICK_PLATFORM_SERVICES_INSTANCE_LIST_JSON_H_

#include <string>
#include <string_view>
#include <variant>

#include "jaypick/instance.h"
#include "jaypick/source_location.h"

namespace jaypick::platform_services {

using InstanceListResult = std::variant<InstanceList, Findings>;

// Parses a list and returns all errors in it as findings.
//
// A list with any error is rejected as a whole, so that a partially written
// list never removes working upstreams. `source` names the list in findings;
// the key of a finding is the JSON pointer of the field.
//
// The format is {"revision": 7, "instances": [{"name", "role": "entry" |
// "upstream", "state": "live" | "leaving", "generation", "address", "port",
// "failure_domain", and for upstreams "service", "slots", "offers": {"cpus",
// "memory_mb", "accelerators"}}]}. Unknown fields are ignored, because the
// platform may add fields.
InstanceListResult ParseInstanceList(std::string_view text,
                                     std::string_view source);

// Writes the format that `ParseInstanceList` parses.
std::string WriteInstanceList(const InstanceList& list);

}  // namespace jaypick::platform_services

#endif  // JAYPICK_PLATFORM_SERVICES_INSTANCE_LIST_JSON_H_
