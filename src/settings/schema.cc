#include "settings/schema.h"

#include <algorithm>
#include <string>
#include <string_view>

#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace jaypick {
namespace {

using nlohmann::json;

constexpr const char* kSchema = R"json({
  "definitions": {
    "name": {"type": "string", "minLength": 1},
    "address": {
      "type": "object",
      "required": ["host", "port"],
      "additionalProperties": false,
      "properties": {
        "host": {"type": "string", "minLength": 1},
        "port": {"type": "integer", "minimum": 0, "maximum": 65535}
      }
    },
    "milliseconds": {"type": "integer", "minimum": 1, "maximum": 86400000}
  },
  "type": "object",
  "required": ["entry", "listen", "platform", "operators"],
  "additionalProperties": false,
  "properties": {
    "entry": {
      "type": "object",
      "required": ["name", "failure_domain"],
      "additionalProperties": false,
      "properties": {
        "name": {"$ref": "#/definitions/name"},
        "failure_domain": {"$ref": "#/definitions/name"}
      }
    },
    "listen": {
      "type": "object",
      "required": ["caller", "peer", "operators", "observability"],
      "additionalProperties": false,
      "properties": {
        "caller": {"$ref": "#/definitions/address"},
        "peer": {"$ref": "#/definitions/address"},
        "operators": {"$ref": "#/definitions/address"},
        "observability": {"$ref": "#/definitions/address"}
      }
    },
    "platform": {
      "type": "object",
      "required": ["key_value", "instances"],
      "additionalProperties": false,
      "properties": {
        "key_value": {"$ref": "#/definitions/address"},
        "instances": {"$ref": "#/definitions/address"},
        "timeout_ms": {"$ref": "#/definitions/milliseconds"},
        "poll_ms": {"$ref": "#/definitions/milliseconds"}
      }
    },
    "operators": {
      "type": "object",
      "required": ["token_file"],
      "additionalProperties": false,
      "properties": {"token_file": {"$ref": "#/definitions/name"}}
    },
    "peers": {
      "type": "object",
      "additionalProperties": false,
      "properties": {"exchange_ms": {"$ref": "#/definitions/milliseconds"}}
    },
    "limits": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "body_bytes": {"type": "integer", "minimum": 1024,
                       "maximum": 1073741824},
        "connections": {"type": "integer", "minimum": 1, "maximum": 60000},
        "tasks": {"type": "integer", "minimum": 1, "maximum": 10000000},
        "bytes_per_owner": {"type": "integer", "minimum": 1024},
        "ids_per_call": {"type": "integer", "minimum": 1, "maximum": 1000000},
        "id_window": {"type": "integer", "minimum": 1000,
                      "maximum": 100000000},
        "answer_bytes": {"type": "integer", "minimum": 0},
        "answer_ms": {"$ref": "#/definitions/milliseconds"}
      }
    },
    "placement": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "policy": {"enum": ["random", "round_robin", "least_outstanding",
                            "two_choices", "reported_load"]},
        "overcommit": {"type": "integer", "minimum": 0, "maximum": 1000},
        "connections_per_upstream": {"type": "integer", "minimum": 1,
                                     "maximum": 60000},
        "connect_timeout_ms": {"$ref": "#/definitions/milliseconds"}
      }
    },
    "retry": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "ratio": {"type": "number", "minimum": 0, "maximum": 1},
        "burst": {"type": "number", "minimum": 0, "maximum": 1000000},
        "attempts": {"type": "integer", "minimum": 1, "maximum": 100}
      }
    },
    "key_claims": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "per_second": {"type": "number", "minimum": 0, "maximum": 100000},
        "window_s": {"type": "integer", "minimum": 1, "maximum": 604800}
      }
    },
    "drain": {
      "type": "object",
      "additionalProperties": false,
      "properties": {"notice_ms": {"type": "integer", "minimum": 0,
                                   "maximum": 3600000}}
    },
    "log": {
      "type": "object",
      "additionalProperties": false,
      "properties": {"level": {"enum": ["debug", "info", "warning", "error"]}}
    }
  }
})json";

// Converts valijson's error context, such as "<root>", "[listen]", "[caller]",
// to a JSON pointer.
std::string PointerOf(const std::vector<std::string>& context) {
  std::string pointer;
  for (const std::string& part : context) {
    if (part.size() < 2 || part == "<root>") {
      continue;
    }
    pointer += "/" + part.substr(1, part.size() - 2);
  }
  return pointer;
}

// True for errors about an object that only repeat that one of its members is
// invalid.
bool RepeatsMemberError(std::string_view description) {
  return description.starts_with("Failed to validate against schema");
}

}  // namespace

Findings CheckSettingsSchema(const LocatedJson& document) {
  const json schema_text = json::parse(kSchema);
  valijson::Schema schema;
  valijson::SchemaParser().populateSchema(
      valijson::adapters::NlohmannJsonAdapter(schema_text), schema);
  valijson::ValidationResults results;
  valijson::Validator().validate(
      schema, valijson::adapters::NlohmannJsonAdapter(document.value),
      &results);
  Findings findings;
  valijson::ValidationResults::Error error;
  while (results.popError(error)) {
    if (RepeatsMemberError(error.description)) {
      continue;
    }
    const std::string pointer = PointerOf(error.context);
    findings.push_back({.location = document.LocationOf(pointer),
                        .key = pointer,
                        .message = std::move(error.description)});
  }
  return findings;
}

}  // namespace jaypick
