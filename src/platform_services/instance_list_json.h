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

// Parses a list and reports everything that is wrong with it.
//
// A list with any fault is refused as a whole, so that a half-written list
// never takes working upstreams out of use. `source` names the list in
// findings; the key of a finding is the JSON pointer of the field.
//
// The form is {"revision": 7, "instances": [{"name", "role": "entry" |
// "upstream", "state": "live" | "leaving", "generation", "address", "port",
// "failure_domain", and for upstreams "service", "slots", "offers": {"cpus",
// "memory_mb", "accelerators"}}]}. Unknown fields are ignored, because the
// platform may add some.
InstanceListResult ParseInstanceList(std::string_view text,
                                     std::string_view source);

// Writes the form that `ParseInstanceList` reads.
std::string WriteInstanceList(const InstanceList& list);

}  // namespace jaypick::platform_services

#endif  // JAYPICK_PLATFORM_SERVICES_INSTANCE_LIST_JSON_H_
