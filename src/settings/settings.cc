#include "settings/settings.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <iterator>
#include <set>
#include <utility>

#include "settings/located_json.h"
#include "settings/schema.h"

namespace jaypick {
namespace {

using nlohmann::json;

// Reads values from a document that conforms to the schema. If a value is
// absent, the variable keeps its default.
class SettingsReader {
 public:
  explicit SettingsReader(const LocatedJson& document) : document_(document) {}

  template <typename Type>
  void Read(const char* pointer, Type& value) const {
    const json::json_pointer json_pointer(pointer);
    if (document_.value.contains(json_pointer)) {
      value = document_.value.at(json_pointer).get<Type>();
    }
  }

  template <typename Unit>
  void ReadDuration(const char* pointer, Duration& value) const {
    const json::json_pointer json_pointer(pointer);
    if (document_.value.contains(json_pointer)) {
      value = Unit(document_.value.at(json_pointer).get<std::int64_t>());
    }
  }

  void ReadAddress(const std::string& pointer, Address& address) const {
    Read((pointer + "/host").c_str(), address.host);
    Read((pointer + "/port").c_str(), address.port);
  }

 private:
  const LocatedJson& document_;
};

constexpr std::array<const char*, 6> kAddressPointers = {
    "/listen/caller",        "/listen/peer",        "/listen/operators",
    "/listen/observability", "/platform/key_value", "/platform/instances"};
constexpr std::size_t kListenAddressCount = 4;

bool IsIpAddress(const std::string& host) {
  std::array<unsigned char, sizeof(in6_addr)> number{};
  return inet_pton(AF_INET, host.c_str(), number.data()) == 1 ||
         inet_pton(AF_INET6, host.c_str(), number.data()) == 1;
}

using milliseconds = std::chrono::milliseconds;

Settings BuildSettings(const LocatedJson& document) {
  const SettingsReader reader(document);
  Settings settings;
  reader.Read("/entry/name", settings.entry);
  reader.Read("/entry/failure_domain", settings.failure_domain);
  reader.ReadAddress("/listen/caller", settings.caller);
  reader.ReadAddress("/listen/peer", settings.peer);
  reader.ReadAddress("/listen/operators", settings.operators);
  reader.ReadAddress("/listen/observability", settings.observability);
  reader.ReadAddress("/platform/key_value", settings.key_value);
  reader.ReadAddress("/platform/instances", settings.instance_list);
  reader.ReadDuration<milliseconds>("/platform/timeout_ms",
                                    settings.platform_timeout);
  reader.ReadDuration<milliseconds>("/platform/poll_ms",
                                    settings.poll_interval);
  reader.ReadDuration<milliseconds>("/peers/exchange_ms",
                                    settings.exchange_interval);
  reader.Read("/operators/token_file", settings.operator_token_file);
  reader.Read("/limits/body_bytes", settings.body_limit_bytes);
  reader.Read("/limits/connections", settings.connection_limit);
  reader.ReadDuration<milliseconds>("/placement/connect_timeout_ms",
                                    settings.upstream_connect_timeout);
  reader.ReadDuration<std::chrono::seconds>("/key_claims/window_s",
                                            settings.key_window);
  reader.ReadDuration<milliseconds>("/drain/notice_ms", settings.drain_notice);
  reader.Read("/log/level", settings.log_level);
  return settings;
}

void ReadDispatcherOptions(const LocatedJson& document,
                           DispatcherOptions& options) {
  const SettingsReader reader(document);
  reader.Read("/limits/tasks", options.admission.tasks_limit);
  reader.Read("/limits/bytes_per_owner",
              options.admission.bytes_per_owner_limit);
  reader.Read("/limits/ids_per_call", options.reserve_limit);
  reader.Read("/limits/id_window", options.id_window);
  reader.Read("/limits/answer_bytes", options.answer_bytes_limit);
  reader.ReadDuration<milliseconds>("/limits/answer_ms",
                                    options.answer_retention);
  std::string policy(ToString(options.placement.policy));
  reader.Read("/placement/policy", policy);
  if (auto parsed = ParsePlacementPolicy(policy)) {
    options.placement.policy = *parsed;
  }
  if (auto* const reported =
          std::get_if<ReportedLoadPlacement>(&options.placement.policy)) {
    reader.Read("/placement/overcommit", reported->overcommit);
  }
  reader.Read("/placement/connections_per_upstream",
              options.placement.connections_per_upstream);
  reader.Read("/retry/ratio", options.retry.ratio);
  reader.Read("/retry/burst", options.retry.burst);
  reader.Read("/retry/attempts", options.retry.max_attempts);
  reader.Read("/key_claims/per_second", options.key_claims_per_second);
}

// Checks that the schema cannot express. Values of the wrong type are skipped,
// so that these findings are reported together with those of the schema.
class SemanticCheck {
 public:
  explicit SemanticCheck(const LocatedJson& document) : document_(document) {}

  Findings Run() {
    CheckAddresses();
    CheckName();
    CheckPolicy();
    CheckTimes();
    return std::move(findings_);
  }

 private:
  const json* Find(const std::string& pointer) const {
    const json::json_pointer json_pointer(pointer);
    return document_.value.contains(json_pointer)
               ? &document_.value.at(json_pointer)
               : nullptr;
  }

  void Report(const std::string& pointer, std::string message) {
    findings_.push_back({.location = document_.LocationOf(pointer),
                         .key = pointer,
                         .message = std::move(message)});
  }

  void CheckAddresses() {
    std::set<std::pair<std::string, std::int64_t>> used_addresses;
    for (std::size_t i = 0; i < kAddressPointers.size(); ++i) {
      const std::string pointer = kAddressPointers[i];
      const json* const host = Find(pointer + "/host");
      const json* const port = Find(pointer + "/port");
      if (host != nullptr && host->is_string() &&
          !IsIpAddress(host->get<std::string>())) {
        Report(pointer + "/host",
               "must be an IP address; host names are not resolved");
      }
      if (host == nullptr || port == nullptr || !host->is_string() ||
          !port->is_number_integer()) {
        continue;
      }
      const auto number = port->get<std::int64_t>();
      if (i < kListenAddressCount && number != 0 &&
          !used_addresses.emplace(host->get<std::string>(), number).second) {
        Report(pointer, "another interface already has this address");
      }
      if (i >= kListenAddressCount && number == 0) {
        Report(pointer + "/port", "must not be 0");
      }
    }
  }

  void CheckName() {
    const json* const name = Find("/entry/name");
    if (name != nullptr && name->is_string() &&
        !std::ranges::all_of(name->get<std::string>(), [](unsigned char c) {
          return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
        })) {
      Report(
          "/entry/name",
          "may have letters, digits, \"-\", \"_\" and \".\" only, because it "
          "is a part of job ids");
    }
  }

  void CheckPolicy() {
    const json* const overcommit = Find("/placement/overcommit");
    const json* const policy = Find("/placement/policy");
    if (overcommit != nullptr && policy != nullptr &&
        *policy != "reported_load") {
      Report("/placement/overcommit",
             "only the policy \"reported_load\" supports overcommit");
    }
  }

  void CheckTimes() {
    const json* const timeout = Find("/platform/timeout_ms");
    const json* const poll = Find("/platform/poll_ms");
    if (timeout != nullptr && timeout->is_number_integer() &&
        timeout->get<std::int64_t>() >
            (poll != nullptr && poll->is_number_integer()
                 ? poll->get<std::int64_t>()
                 : ToMilliseconds(Settings().poll_interval))) {
      Report("/platform/timeout_ms",
             "must not exceed platform.poll_ms: a read that times out would "
             "delay the next one");
    }
    const json* const window = Find("/key_claims/window_s");
    const auto min_window =
        std::chrono::duration_cast<std::chrono::seconds>(kMaxJobTimeout) * 2;
    if (window != nullptr && window->is_number_integer() &&
        window->get<std::int64_t>() < min_window.count()) {
      Report("/key_claims/window_s",
             "must be at least " + std::to_string(min_window.count()) +
                 ": a key claim must outlive the longest job");
    }
  }

  const LocatedJson& document_;
  Findings findings_;
};

}  // namespace

SettingsResult ParseSettings(std::string_view text, const std::string& source) {
  const LocatedJson document = ParseLocated(text, source);
  Findings findings = document.findings;
  const bool has_syntax_error = std::ranges::any_of(
      findings, [](const Finding& finding) { return finding.key.empty(); });
  if (!has_syntax_error) {
    Findings schema = CheckSettingsSchema(document);
    Findings semantic = SemanticCheck(document).Run();
    std::ranges::move(schema, std::back_inserter(findings));
    std::ranges::move(semantic, std::back_inserter(findings));
  }
  if (!findings.empty()) {
    std::ranges::sort(findings);
    return findings;
  }
  Settings settings = BuildSettings(document);
  ReadDispatcherOptions(document, settings.dispatch);
  return settings;
}

SettingsResult LoadSettings(const std::string& path) {
  const auto text = ReadText(path);
  if (const auto* const findings = std::get_if<Findings>(&text)) {
    return *findings;
  }
  return ParseSettings(std::get<std::string>(text), path);
}

}  // namespace jaypick
