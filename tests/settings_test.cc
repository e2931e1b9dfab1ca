// Settings of jaypickd: values, places of faults, all faults at once.
#include <criterion/criterion.h>

#include <string>
#include <variant>

#include "settings/settings.h"

namespace jaypick {
namespace {

const char* const kSmallest = R"({
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
  const std::size_t place = text.find(from);
  cr_assert(place != std::string::npos);
  return text.replace(place, from.size(), to);
}

// The findings of `text`, one a line.
std::string Faults(const std::string& text) {
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

void ExpectFault(const std::string& text, const std::string& line) {
  const std::string faults = Faults(text);
  cr_assert(faults.find(line) != std::string::npos, "wanted %s\nfound %s",
            line.c_str(), faults.c_str());
}

// Guards against values that do not reach the process.
Test(settings, reads_values_and_keeps_defaults) {
  const auto result = ParseSettings(
      Replace(kSmallest, "\"operators\": {\"token",
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

// Guards against faults without a place, and against one fault hiding others.
Test(settings, reports_all_faults_with_their_places) {
  std::string text = Replace(kSmallest, "\"port\": 7001", "\"port\": 70010");
  text = Replace(text, "\"name\": \"ghent-1\"", "\"name\": \"a b\"");
  text = Replace(text, "\"token_file\": \"token\"", "\"tokens\": 1");
  ExpectFault(text, "s.json:2:21: /entry/name: may have letters");
  ExpectFault(text, "s.json:4:45: /listen/caller/port: ");
  ExpectFault(text, "s.json:13:16: /operators: ");
}

// Guards against each check that the schema cannot make being lost.
Test(settings, checks_meaning) {
  ExpectFault(Replace(kSmallest, "127.0.0.1\", \"port\": 7005",
                      "kv.example\", \"port\": 7005"),
              "s.json:10:27: /platform/key_value/host: must be an IP number");
  ExpectFault(Replace(kSmallest, "7002", "7001"),
              "s.json:5:13: /listen/peer: another interface");
  ExpectFault(Replace(kSmallest, "7006", "0"),
              "/platform/instances/port: must not be 0");
  ExpectFault(Replace(kSmallest, "\"platform\": {",
                      "\"platform\": {\"timeout_ms\": 2000,"),
              "/platform/timeout_ms: must not exceed");
  ExpectFault(Replace(kSmallest, "\"operators\": {\"token",
                      "\"key_claims\": {\"window_s\": 60},"
                      "\"placement\": {\"policy\": \"random\","
                      "\"overcommit\": 1}, \"operators\": {\"token"),
              "/key_claims/window_s: must be at least 120");
  ExpectFault(Replace(kSmallest, "\"operators\": {\"token",
                      "\"placement\": {\"policy\": \"random\","
                      "\"overcommit\": 1}, \"operators\": {\"token"),
              "/placement/overcommit: only the policy");
}

// Guards against a typing error in a key that silently selects a default.
Test(settings, refuses_unknown_and_repeated_keys) {
  ExpectFault(Replace(kSmallest, "\"entry\": {", "\"entry\": {\"nam\": 1,"),
              "s.json:2:12: /entry: ");
  ExpectFault(
      Replace(kSmallest, "\"entry\": {", "\"entry\": {\"name\": \"x\","),
      "/entry/name: the key occurs twice");
}

// Guards against a parser error without line and column.
Test(settings, locates_syntax_errors) {
  ExpectFault(Replace(kSmallest, "\"operators\": {\"token_file\": \"token\"}",
                      "\"operators\": {\"token_file\": }"),
              "s.json:13:31: ");
  ExpectFault("", "s.json:1:1: ");
  ExpectFault("[]", "s.json:1:1: ");
  const auto missing = LoadSettings("no/such/file");
  cr_assert(ToString(std::get<Findings>(missing).at(0)) ==
            "no/such/file: cannot be read");
}

}  // namespace
}  // namespace jaypick
