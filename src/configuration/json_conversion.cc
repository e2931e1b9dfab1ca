#include "configuration/json_conversion.h"

#include <algorithm>
#include <utility>
#include <variant>
#include <vector>

namespace jaypick {
namespace {

using nlohmann::json;

json ToJson(const ResourceSpec& needs) {
  return {{"cpus", needs.cpus},
          {"memory_mb", needs.memory_mb},
          {"accelerators", needs.accelerators}};
}

json ToJson(const Kind& kind) {
  return {{"service", kind.service},
          {"name", kind.name},
          {"idempotent", kind.idempotent},
          {"default_timeout_ms", ToMilliseconds(kind.default_timeout)},
          {"declared_run_time_ms", ToMilliseconds(kind.declared_run_time)},
          {"needs", ToJson(kind.needs)},
          {"queue_limit", kind.queue_limit}};
}

json ToJson(const Service& service) {
  return json::object({{"name", service.name}});
}

json ToJson(const Share& share) {
  return {{"service", share.service},
          {"owner", share.owner},
          {"percent", share.percent}};
}

template <typename Row>
json ToSortedArray(std::vector<Row> rows) {
  std::ranges::sort(rows);
  json array = json::array();
  for (const Row& row : rows) {
    array.push_back(ToJson(row));
  }
  return array;
}

json ToJson(const FieldValue& value) {
  return std::visit([](auto alternative) { return json(alternative); }, value);
}

json ToJson(const Change& change) {
  json fields = json::array();
  for (const FieldChange& field : change.fields) {
    fields.push_back({{"field", field.field},
                      {"before", ToJson(field.before)},
                      {"after", ToJson(field.after)}});
  }
  return {{"type", ToString(change.type)},
          {"subject", ToString(change.subject)},
          {"service", change.service},
          {"name", change.name},
          {"fields", std::move(fields)}};
}

}  // namespace

json ToJson(const ConfigurationContent& content) {
  return {{"services", ToSortedArray(content.services)},
          {"kinds", ToSortedArray(content.kinds)},
          {"shares", ToSortedArray(content.shares)}};
}

json ToJson(const Configuration& configuration) {
  const ConfigurationHeader& header = configuration.header();
  json value = ToJson(configuration.content());
  value["version"] = header.version;
  value["author"] = header.author;
  value["operation_id"] = header.operation_id;
  value["created_unix_ms"] = header.created_unix_ms;
  value["digest"] = header.digest;
  return value;
}

json ToJson(const ConfigurationDiff& diff) {
  json changes = json::array();
  for (const Change& change : diff.changes) {
    changes.push_back(ToJson(change));
  }
  return {{"changes", std::move(changes)},
          {"warnings", diff.warnings},
          {"text", ToText(diff)}};
}

json ToJson(const Findings& findings) {
  json array = json::array();
  for (const Finding& finding : findings) {
    array.push_back({{"row", finding.location.line},
                     {"column", finding.location.column},
                     {"key", finding.key},
                     {"message", finding.message}});
  }
  return array;
}

std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string EncodeDiff(const ConfigurationDiff& diff) {
  return Dump(ToJson(diff));
}

}  // namespace jaypick
