#include "node/settings.h"

#include <charconv>
#include <cmath>
#include <utility>

#include "settings/located_json.h"

namespace jaypick::node {
namespace {

using nlohmann::json;

// Reads members of the document and collects findings.
class Reader {
 public:
  explicit Reader(const LocatedJson& document)
      : document_(document), findings_(document.findings) {}

  void String(const char* pointer, std::string& value, bool is_required) {
    const json* const member = Find(pointer, is_required);
    if (member == nullptr) {
      return;
    }
    if (!member->is_string() || member->get<std::string>().empty()) {
      Add(pointer, "must be a non-empty string");
      return;
    }
    value = member->get<std::string>();
  }

  void StringArray(const char* pointer, std::vector<std::string>& values) {
    const json* const member = Find(pointer, true);
    if (member == nullptr) {
      return;
    }
    const bool is_list =
        member->is_array() && !member->empty() &&
        std::all_of(member->begin(), member->end(),
                    [](const json& item) { return item.is_string(); });
    if (!is_list) {
      Add(pointer, "must be a non-empty array of strings");
      return;
    }
    values = member->get<std::vector<std::string>>();
  }

  void Endpoint(const char* pointer, Address& address, bool is_required) {
    std::string text;
    String(pointer, text, is_required);
    if (text.empty()) {
      return;
    }
    const std::size_t colon = text.rfind(':');
    std::uint16_t port = 0;
    const char* const begin = text.data() + colon + 1;
    const char* const end = text.data() + text.size();
    const auto [parsed_end, error] = std::from_chars(begin, end, port);
    const bool is_valid = colon != std::string::npos && colon > 0 &&
                          error == std::errc() && parsed_end == end;
    if (!is_valid) {
      Add(pointer, "must be an IP address and a port, like 10.0.0.1:80");
      return;
    }
    address = {.host = text.substr(0, colon), .port = port};
  }

  void Milliseconds(const char* pointer, Duration& value) {
    const auto number = Number(pointer, 1, 86'400'000);
    if (number) {
      value = std::chrono::milliseconds(std::llround(*number));
    }
  }

  void Seconds(const char* pointer, Duration& value) {
    const auto number = Number(pointer, 0.1, 86'400);
    if (number) {
      value = std::chrono::milliseconds(std::llround(*number * 1000));
    }
  }

  std::optional<double> Number(const char* pointer,
                               double minimum,
                               double maximum) {
    const json* const member = Find(pointer, false);
    if (member == nullptr) {
      return std::nullopt;
    }
    if (!member->is_number() || member->get<double>() < minimum ||
        member->get<double>() > maximum) {
      Add(pointer, "must be a number from " + std::to_string(minimum) + " to " +
                       std::to_string(maximum));
      return std::nullopt;
    }
    return member->get<double>();
  }

  Findings Take() { return std::move(findings_); }

 private:
  const json* Find(const char* pointer, bool is_required) {
    const json::json_pointer location(pointer);
    if (document_.value.contains(location) &&
        !document_.value.at(location).is_null()) {
      return &document_.value.at(location);
    }
    if (is_required) {
      Add(pointer, "is missing");
    }
    return nullptr;
  }

  void Add(const char* pointer, std::string message) {
    findings_.push_back({.location = document_.LocationOf(pointer),
                         .key = pointer,
                         .message = std::move(message)});
  }

  const LocatedJson& document_;
  Findings findings_;
};

}  // namespace

NodeSettingsResult ParseNodeSettings(std::string_view text,
                                     const std::string& source) {
  const LocatedJson document = ParseLocated(text, source);
  Reader reader(document);
  NodeSettings settings;
  reader.String("/instance/name", settings.instance, true);
  reader.String("/instance/failure_domain", settings.failure_domain, true);
  reader.StringArray("/failure_domains", settings.failure_domains);
  reader.Endpoint("/listen/callers", settings.callers, true);
  reader.Endpoint("/listen/readiness", settings.readiness, true);
  reader.String("/listen/readiness_path", settings.readiness_path, false);
  reader.Endpoint("/listen/peer", settings.peer, true);
  reader.Endpoint("/listen/advertised_peer", settings.advertised_peer, false);
  reader.Endpoint("/listen/metrics", settings.metrics, true);
  reader.Endpoint("/store", settings.store, true);
  settings.processor_share = reader.Number("/limits/processor_share", 0.001, 64)
                                 .value_or(settings.processor_share);
  if (const auto megabytes =
          reader.Number("/limits/memory_mb", 16, 1'048'576)) {
    settings.machine.memory_bytes =
        static_cast<std::size_t>(*megabytes * 1024 * 1024);
  }
  if (const auto number = reader.Number("/limits/descriptors", 64, 1'048'576)) {
    settings.machine.descriptors = static_cast<std::size_t>(*number);
  }
  reader.Milliseconds("/times/run_lease_ms", settings.run_lease);
  reader.Milliseconds("/times/upstream_notice_ms", settings.upstream_notice);
  reader.Seconds("/times/shutdown_limit_s", settings.shutdown_limit);
  reader.Milliseconds("/times/command_lease_ms", settings.command_lease);
  reader.Milliseconds("/times/ping_ms", settings.ping_interval);
  reader.String("/log/level", settings.log_level, false);
  Findings findings = reader.Take();
  if (!findings.empty()) {
    return findings;
  }
  return settings;
}

NodeSettingsResult LoadNodeSettings(const std::string& path) {
  const auto text = ReadText(path);
  if (const auto* const findings = std::get_if<Findings>(&text)) {
    return *findings;
  }
  return ParseNodeSettings(std::get<std::string>(text), path);
}

}  // namespace jaypick::node
