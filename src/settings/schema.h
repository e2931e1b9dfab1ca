// Check of a JSON document against the settings schema.
#ifndef JAYPICK_SETTINGS_SCHEMA_H_
#define JAYPICK_SETTINGS_SCHEMA_H_

#include "jaypick/source_location.h"
#include "settings/located_json.h"

namespace jaypick {

// All places at which `document` breaks the schema of jaypickd's settings.
Findings CheckSettingsSchema(const LocatedJson& document);

}  // namespace jaypick

#endif  // JAYPICK_SETTINGS_SCHEMA_H_
