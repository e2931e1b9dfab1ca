// Tests of parsing the settings of jaypickd: values, and the locations and
// completeness of findings.
#include <criterion/criterion.h>

#include <string>
#include <variant>

#include "node/settings.h"
#include "settings/settings.h"

namespace jaypick {
namespace {

const char* const kMinimalSettings = R"({
  "entry": {"name": "ghent-1", "failure_domain": "ghent"},
  "listen": {
    "caller": {"host": "127.0.0.1", "port": 7001},
    "peer": {"host": "127.0.0.1", "port": 7002},
    "operators": {"host": "127.0.0.1", "port": 7003},
    "observability": {"host": "127.0.0.1", "port": 7004}
  },
  "platform": {
    "key_value": {"host": "127.0.0.1", "port": 7005},
    "instances": {"host": "127.0.0.1", "port": 7006}
  },
  "operators": {"token_file": "token"}
})";

std::string Replace(std::string text,
                    const std::string& from,
                    const std::string& to) {
  const std::size_t position = text.find(from);
  cr_assert(position != std::string::npos);
  return text.replace(position, from.size(), to);
}

// Returns the findings in `text`, one per line.
std::string FindingsText(const std::string& text) {
  const auto result = ParseSettings(text, "s.json");
  if (!std::holds_alternative<Findings>(result)) {
    return "";
  }
  std::string lines;
  for (const Finding& finding : std::get<Findings>(result)) {
    lines += ToString(finding) + "\n";
  }
  return lines;
}

void ExpectFinding(const std::string& text, const std::string& line) {
  const std::string findings = FindingsText(text);
  cr_assert(findings.find(line) != std::string::npos, "expected %s\nfound %s",
            line.c_str(), findings.c_str());
}

// Guards against values that are parsed but not stored in `Settings`.
Test(settings, reads_values_and_keeps_defaults) {
  const auto result = ParseSettings(
      Replace(kMinimalSettings, "\"operators\": {\"token",
              R"("retry": {"attempts": 2}, "drain": {"notice_ms": 70},
                 "placement": {"policy": "random"},
                 "operators": {"token)"),
      "s.json");
  cr_assert(std::holds_alternative<Settings>(result));
  const auto& settings = std::get<Settings>(result);
  cr_assert(settings.entry == "ghent-1");
  const Address peer{"127.0.0.1", 7002};
  cr_assert(settings.peer == peer);
  cr_assert(settings.dispatch.retry.max_attempts == 2);
  cr_assert(settings.drain_notice == std::chrono::milliseconds(70));
  cr_assert(std::holds_alternative<RandomPlacement>(
      settings.dispatch.placement.policy));
  cr_assert(settings.poll_interval == std::chrono::seconds(1));
}

// Guards against findings without a location, and against reporting only the
// first finding.
Test(settings, reports_all_findings_with_their_locations) {
  std::string text =
      Replace(kMinimalSettings, "\"port\": 7001", "\"port\": 70010");
  text = Replace(text, "\"name\": \"ghent-1\"", "\"name\": \"a b\"");
  text = Replace(text, "\"token_file\": \"token\"", "\"tokens\": 1");
  ExpectFinding(text, "s.json:2:21: /entry/name: may have letters");
  ExpectFinding(text, "s.json:4:45: /listen/caller/port: ");
  ExpectFinding(text, "s.json:13:16: /operators: ");
}

// Guards against the loss of a check that the schema cannot express.
Test(settings, checks_rules_beyond_the_schema) {
  ExpectFinding(
      Replace(kMinimalSettings, "127.0.0.1\", \"port\": 7005",
              "kv.example\", \"port\": 7005"),
      "s.json:10:27: /platform/key_value/host: must be an IP address");
  ExpectFinding(Replace(kMinimalSettings, "7002", "7001"),
                "s.json:5:13: /listen/peer: another interface");
  ExpectFinding(Replace(kMinimalSettings, "7006", "0"),
                "/platform/instances/port: must not be 0");
  ExpectFinding(Replace(kMinimalSettings, "\"platform\": {",
                        "\"platform\": {\"timeout_ms\": 2000,"),
                "/platform/timeout_ms: must not exceed");
  ExpectFinding(Replace(kMinimalSettings, "\"operators\": {\"token",
                        "\"key_claims\": {\"window_s\": 60},"
                        "\"placement\": {\"policy\": \"random\","
                        "\"overcommit\": 1}, \"operators\": {\"token"),
                "/key_claims/window_s: must be at least 120");
  ExpectFinding(Replace(kMinimalSettings, "\"operators\": {\"token",
                        "\"placement\": {\"policy\": \"random\","
                        "\"overcommit\": 1}, \"operators\": {\"token"),
                "/placement/overcommit: only the policy");
}

// Guards against a misspelled key that silently selects the default.
Test(settings, refuses_unknown_and_duplicate_keys) {
  ExpectFinding(
      Replace(kMinimalSettings, "\"entry\": {", "\"entry\": {\"nam\": 1,"),
      "s.json:2:12: /entry: ");
  ExpectFinding(
      Replace(kMinimalSettings, "\"entry\": {", "\"entry\": {\"name\": \"x\","),
      "/entry/name: the key occurs twice");
}

// Guards against a syntax error without line and column.
Test(settings, locates_syntax_errors) {
  ExpectFinding(
      Replace(kMinimalSettings, "\"operators\": {\"token_file\": \"token\"}",
              "\"operators\": {\"token_file\": }"),
      "s.json:13:31: ");
  ExpectFinding("", "s.json:1:1: ");
  ExpectFinding("[]", "s.json:1:1: ");
  const auto missing = LoadSettings("no/such/file");
  cr_assert(ToString(std::get<Findings>(missing).at(0)) ==
            "no/such/file: cannot be read");
}

// Guards against a port that wraps around or counts as 0, and against a notice
// of upstreams that is not taken over.
Test(settings, ports_and_times_of_a_node_are_checked) {
  const std::string text = R"({
  "instance": {"name": "n1", "failure_domain": "ghent"},
  "failure_domains": ["ghent"],
  "listen": {
    "callers": "127.0.0.1:7001",
    "readiness": "127.0.0.1:7002",
    "peer": "127.0.0.1:7003",
    "metrics": "127.0.0.1:7004"
  },
  "store": "127.0.0.1:7005",
  "times": {"upstream_notice_ms": 4000}
})";
  const auto good = node::ParseNodeSettings(text, "n.json");
  const auto* const settings = std::get_if<node::NodeSettings>(&good);
  cr_assert_not_null(settings);
  cr_assert(settings->upstream_notice == std::chrono::milliseconds(4000));
  for (const char* const port : {"70010", "-1", "", "7001x", "65536"}) {
    const auto bad = node::ParseNodeSettings(
        Replace(text, "127.0.0.1:7001", std::string("127.0.0.1:") + port),
        "n.json");
    cr_assert(std::holds_alternative<Findings>(bad), "%s", port);
  }
}

}  // namespace
}  // namespace jaypick
