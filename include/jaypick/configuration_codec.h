// JSON encoding and digest of configurations.
#ifndef JAYPICK_CONFIGURATION_CODEC_H_
#define JAYPICK_CONFIGURATION_CODEC_H_

#include <string>
#include <string_view>
#include <variant>

#include "jaypick/configuration.h"
#include "jaypick/source_location.h"

namespace jaypick {

// The digest of `content`: xxHash of its canonical JSON, 16 hex digits.
//
// Canonical JSON has sorted members, sorted rows and no white space, so the
// order of rows in a sheet doesn't change the digest.
std::string ContentDigest(const ConfigurationContent& content);

// Returns a configuration of `content`, with the digest in `header` set to that
// of the content.
Configuration MakeConfiguration(ConfigurationHeader header,
                                ConfigurationContent content);

// The canonical JSON of `configuration`, on one line.
//
// Durations are written in whole milliseconds, as in sheets.
std::string EncodeConfiguration(const Configuration& configuration);

// Parses the output of `EncodeConfiguration`.
//
// Unknown, missing and duplicate members, values of a wrong type or out of
// range, and a digest that does not match the content are reported as findings,
// all at once. `source` names the text in findings; the key of a finding is a
// JSON pointer.
std::variant<Configuration, Findings> DecodeConfiguration(
    std::string_view text,
    std::string_view source = "configuration");

}  // namespace jaypick

#endif  // JAYPICK_CONFIGURATION_CODEC_H_
