// Validation of a JSON document against the settings schema.
#ifndef JAYPICK_SETTINGS_SCHEMA_H_
#define JAYPICK_SETTINGS_SCHEMA_H_

#include "jaypick/source_location.h"
#include "settings/located_json.h"

namespace jaypick {

// Returns all violations of the schema of jaypickd's settings in `document`.
Findings CheckSettingsSchema(const LocatedJson& document);

}  // namespace jaypick

#endif  // JAYPICK_SETTINGS_SCHEMA_H_
