// The commands `config ...`, `audit` and `instances`.
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <ctime>
#include <random>
#include <utility>
#include <variant>

#include "cli/commands.h"
#include "cli/table.h"
#include "configuration/json_conversion.h"
#include "jaypick/configuration_codec.h"
#include "jaypick/sheet.h"

namespace jaypick::cli {
namespace {

using Clock = std::chrono::steady_clock;
using nlohmann::json;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kUnprocessable = 422;

constexpr Duration kPause = std::chrono::milliseconds(300);
// A change of unknown outcome is repeated this many times in all.
constexpr int kApplyAttempts = 3;

http::Request Get(std::string path) {
  return {.method = http::Method::kGet,
          .path = std::move(path),
          .query = {},
          .headers = {},
          .body = ""};
}

http::Request Post(std::string path, const json& body) {
  return {.method = http::Method::kPost,
          .path = std::move(path),
          .query = {},
          .headers = {{.name = "Content-Type", .value = "application/json"}},
          .body = ToJsonLine(body)};
}

// Prints findings as `<source>:<row>:<column>: <column name>: <message>`.
void PrintFindings(Session& session,
                   const json& findings,
                   const std::string& source) {
  for (const json& value : findings) {
    const Finding finding{
        .location = {.source = source,
                     .line = value.value("row", std::uint32_t{0}),
                     .column = value.value("column", std::uint32_t{0})},
        .key = value.value("key", ""),
        .message = value.value("message", "")};
    session.out() << ToString(finding) << '\n';
  }
}

// Prints a response that isn't 200 and returns what it means.
ExitCode PrintRefusal(Session& session,
                      const http::Response& response,
                      const std::string& source) {
  const json body = ParseBody(response);
  if (session.arguments().json) {
    session.out() << ToJsonLine(body) << '\n';
  } else {
    PrintFindings(session, body.value("findings", json::array()), source);
    const auto diff = body.value("diff", json::object());
    if (body.contains("head_version")) {
      session.out() << "the present version is "
                    << MemberText(body, "head_version")
                    << "; from it the sheet would change:\n"
                    << MemberText(diff, "text");
    }
    std::string message = "refused with status ";
    message += std::to_string(response.status);
    message += ": " + MemberText(body, "reason");
    if (body.contains("message")) {
      message += ": " + MemberText(body, "message");
    }
    session.Fail(ExitCode::kRefused, message);
  }
  const bool is_invalid =
      response.status == kBadRequest || response.status == kUnprocessable;
  return is_invalid ? ExitCode::kInvalid : ExitCode::kRefused;
}

// Sends a request that reads, and prints why there is no usable answer.
std::variant<json, ExitCode> Read(Session& session, http::Request request) {
  if (!session.CheckOperatorFlags()) {
    return ExitCode::kInvalid;
  }
  const auto response = session.SendToOperators(std::move(request));
  if (!response) {
    return session.Fail(ExitCode::kUnreachable, "no entry answered");
  }
  if (response->status != kOk) {
    return PrintRefusal(session, *response, "");
  }
  return ParseBody(*response);
}

// Reads the sheet that the command names. Findings are printed.
std::variant<std::string, ExitCode> ReadSheet(Session& session) {
  const std::string& path = session.arguments().positional[0];
  auto text = ReadFile(path);
  if (!text) {
    return session.Fail(ExitCode::kInvalid, "cannot read \"" + path + "\"");
  }
  const auto sheet = ParseSheet(*text, path);
  const auto* const findings = std::get_if<Findings>(&sheet);
  if (findings == nullptr) {
    return std::move(*text);
  }
  if (session.arguments().json) {
    session.out() << ToJsonLine(
                         {{"findings", ToJson(*findings)}, {"diff", nullptr}})
                  << '\n';
  } else {
    PrintFindings(session, ToJson(*findings), path);
  }
  return ExitCode::kInvalid;
}

// Asks an entry what `sheet` would change. Findings are printed.
std::variant<json, ExitCode> Preview(Session& session,
                                     const std::string& sheet) {
  auto answer =
      Read(session, Post("/v1/operator/config/check", {{"sheet", sheet}}));
  const auto* const body = std::get_if<json>(&answer);
  if (body == nullptr || body->value("findings", json::array()).empty()) {
    return answer;
  }
  if (session.arguments().json) {
    session.out() << ToJsonLine(*body) << '\n';
  } else {
    PrintFindings(session, (*body)["findings"],
                  session.arguments().positional[0]);
  }
  return ExitCode::kInvalid;
}

void PrintPreview(Session& session, const json& body) {
  if (session.arguments().json) {
    session.out() << ToJsonLine(body) << '\n';
    return;
  }
  session.out() << "against version " << MemberText(body, "base_version")
                << ":\n"
                << MemberText(body.value("diff", json::object()), "text");
  if (!body.value("head_read", false)) {
    session.err() << "jaypick: the platform did not answer; this is against "
                     "the version in force at the entry\n";
  }
}

// 16 random hex digits.
std::string RandomOperationId() {
  std::random_device random;
  char digits[17];
  std::snprintf(digits, sizeof(digits), "%08x%08x", random(), random());
  return digits;
}

// Entries that are live and don't report `version` or a later one.
std::vector<std::string> EntriesWithout(const json& instances,
                                        std::uint64_t version) {
  std::vector<std::string> names;
  for (const json& entry : instances.value("entries", json::array())) {
    const auto reported = entry.find("config_version");
    const bool has_version = reported != entry.end() &&
                             reported->is_number_unsigned() &&
                             reported->get<std::uint64_t>() >= version;
    if (entry.value("state", "") == "live" && !has_version) {
      names.push_back(MemberText(entry, "name") + " (version " +
                      MemberText(entry, "config_version") + ")");
    }
  }
  return names;
}

// Waits until every live entry reports `version`, and names those that don't.
ExitCode WaitForEntries(Session& session, std::uint64_t version) {
  const auto end = Clock::now() + session.arguments().wait_timeout;
  std::vector<std::string> missing;
  bool is_known = false;
  while (true) {
    const auto response =
        session.SendToOperators(Get("/v1/operator/instances"));
    is_known = response && response->status == kOk;
    if (is_known) {
      missing = EntriesWithout(ParseBody(*response), version);
      if (missing.empty()) {
        session.err() << "jaypick: every live entry reports version " << version
                      << '\n';
        return ExitCode::kOk;
      }
    }
    if (Clock::now() + kPause >= end) {
      break;
    }
    session.client().Sleep(kPause);
  }
  if (!is_known) {
    return session.Fail(ExitCode::kUnreachable,
                        "accepted, but no entry told who has the version");
  }
  for (const std::string& name : missing) {
    session.Fail(ExitCode::kRefused, "not yet in force at entry " + name);
  }
  return ExitCode::kRefused;
}

// A change of unknown outcome is repeated with the same operation id, which
// makes it once at most.
std::optional<http::Response> SendChange(Session& session, const json& body) {
  std::optional<http::Response> response;
  for (int attempt = 0; attempt < kApplyAttempts; ++attempt) {
    if (attempt > 0) {
      session.client().Sleep(kPause);
    }
    response = session.SendToOperators(Post("/v1/operator/config/apply", body));
    if (response &&
        MemberText(ParseBody(*response), "reason") != "outcome_unknown") {
      return response;
    }
  }
  return response;
}

std::string FormatTime(std::int64_t unix_ms) {
  constexpr std::int64_t ms_per_second = 1000;
  const std::time_t seconds = unix_ms / ms_per_second;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char text[32];
  std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%SZ", &parts);
  return text;
}

void PrintConfiguration(Session& session, const Configuration& configuration) {
  const ConfigurationHeader& header = configuration.header();
  session.out() << "version " << header.version << ", digest " << header.digest
                << ", by " << header.author << " at "
                << FormatTime(header.created_unix_ms) << ", operation "
                << header.operation_id << "\n\n";
  Table kinds({"SERVICE", "KIND", "IDEMPOTENT", "TIMEOUT MS", "RUN TIME MS",
               "CPUS", "MEMORY MB", "ACCELERATORS", "QUEUE LIMIT"});
  for (const Kind& kind : configuration.content().kinds) {
    kinds.Add({kind.service, kind.name, kind.idempotent ? "yes" : "no",
               std::to_string(ToMilliseconds(kind.default_timeout)),
               std::to_string(ToMilliseconds(kind.declared_run_time)),
               std::to_string(kind.needs.cpus),
               std::to_string(kind.needs.memory_mb),
               std::to_string(kind.needs.accelerators),
               std::to_string(kind.queue_limit)});
  }
  Table shares({"SERVICE", "OWNER", "SHARE %"});
  for (const Share& share : configuration.content().shares) {
    shares.Add({share.service, share.owner, std::to_string(share.percent)});
  }
  session.out() << kinds.ToText() << '\n' << shares.ToText();
}

}  // namespace

ExitCode ConfigCheck(Session& session) {
  const auto sheet = ReadSheet(session);
  if (const auto* const code = std::get_if<ExitCode>(&sheet)) {
    return *code;
  }
  if (!session.arguments().operators.empty()) {
    const auto body = Preview(session, std::get<std::string>(sheet));
    if (const auto* const code = std::get_if<ExitCode>(&body)) {
      return *code;
    }
    PrintPreview(session, std::get<json>(body));
    return ExitCode::kOk;
  }
  if (session.arguments().json) {
    session.out() << ToJsonLine(
                         {{"findings", json::array()}, {"diff", nullptr}})
                  << '\n';
  } else {
    session.out() << "no findings\n";
  }
  return ExitCode::kOk;
}

ExitCode ConfigDiff(Session& session) {
  if (!session.CheckOperatorFlags()) {
    return ExitCode::kInvalid;
  }
  return ConfigCheck(session);
}

ExitCode ConfigApply(Session& session) {
  const Arguments& arguments = session.arguments();
  if (arguments.author.empty()) {
    return session.Fail(ExitCode::kInvalid, "--author is required");
  }
  const auto sheet = ReadSheet(session);
  if (const auto* const code = std::get_if<ExitCode>(&sheet)) {
    return *code;
  }
  const auto preview = Preview(session, std::get<std::string>(sheet));
  if (const auto* const code = std::get_if<ExitCode>(&preview)) {
    return *code;
  }
  const json& shown = std::get<json>(preview);
  if (!arguments.json) {
    PrintPreview(session, shown);
  }
  const std::uint64_t base = arguments.base_version.value_or(
      shown.value("base_version", std::uint64_t{0}));
  const std::string operation = arguments.operation_id.empty()
                                    ? RandomOperationId()
                                    : arguments.operation_id;
  session.err() << "jaypick: applying as operation " << operation
                << " on version " << base << '\n';
  const auto response =
      SendChange(session, {{"sheet", std::get<std::string>(sheet)},
                           {"base_version", base},
                           {"author", arguments.author},
                           {"operation_id", operation}});
  if (!response ||
      MemberText(ParseBody(*response), "reason") == "outcome_unknown") {
    return session.Fail(
        ExitCode::kUnreachable,
        "the outcome is not known; repeat with --operation_id=" + operation +
            " --base_version=" + std::to_string(base));
  }
  if (response->status != kOk) {
    return PrintRefusal(session, *response, arguments.positional[0]);
  }
  const json body = ParseBody(*response);
  if (arguments.json) {
    session.out() << ToJsonLine(body) << '\n';
  } else {
    session.out() << "accepted as version " << MemberText(body, "version")
                  << ", digest " << MemberText(body, "digest") << '\n';
  }
  return arguments.wait
             ? WaitForEntries(session, body.value("version", std::uint64_t{0}))
             : ExitCode::kOk;
}

ExitCode ConfigShow(Session& session) {
  const auto answer = Read(session, Get("/v1/operator/config"));
  if (const auto* const code = std::get_if<ExitCode>(&answer)) {
    return *code;
  }
  const std::string text = ToJsonLine(std::get<json>(answer));
  const auto decoded = DecodeConfiguration(text);
  if (const auto* const findings = std::get_if<Findings>(&decoded)) {
    for (const Finding& finding : *findings) {
      session.err() << ToString(finding) << '\n';
    }
    return session.Fail(ExitCode::kRefused, "the entry's answer has faults");
  }
  if (session.arguments().json) {
    session.out() << text << '\n';
  } else {
    PrintConfiguration(session, std::get<Configuration>(decoded));
  }
  return ExitCode::kOk;
}

ExitCode Audit(Session& session) {
  http::Request request = Get("/v1/operator/audit");
  request.query["limit"] = std::to_string(session.arguments().limit);
  const auto answer = Read(session, std::move(request));
  if (const auto* const code = std::get_if<ExitCode>(&answer)) {
    return *code;
  }
  const json& body = std::get<json>(answer);
  if (session.arguments().json) {
    session.out() << ToJsonLine(body) << '\n';
    return ExitCode::kOk;
  }
  Table table(
      {"TIME", "RESULT", "VERSION", "BASE", "AUTHOR", "OPERATION", "DIGEST"});
  for (const json& entry : body.value("entries", json::array())) {
    const bool is_accepted = entry.value("accepted", false);
    table.Add({FormatTime(entry.value("created_unix_ms", std::int64_t{0})),
               is_accepted ? "accepted" : MemberText(entry, "reason"),
               is_accepted ? MemberText(entry, "version") : "-",
               MemberText(entry, "base_version"), MemberText(entry, "author"),
               MemberText(entry, "operation_id"), MemberText(entry, "digest")});
  }
  session.out() << table.ToText();
  for (const json& finding : body.value("findings", json::array())) {
    session.err() << "jaypick: " << ToJsonLine(finding) << '\n';
  }
  return ExitCode::kOk;
}

ExitCode Instances(Session& session) {
  const auto answer = Read(session, Get("/v1/operator/instances"));
  if (const auto* const code = std::get_if<ExitCode>(&answer)) {
    return *code;
  }
  const json& body = std::get<json>(answer);
  if (session.arguments().json) {
    session.out() << ToJsonLine(body) << '\n';
    return ExitCode::kOk;
  }
  Table entries({"ENTRY", "STATE", "DOMAIN", "CONFIG VERSION", "ADDRESS"});
  for (const json& entry : body.value("entries", json::array())) {
    entries.Add({MemberText(entry, "name"), MemberText(entry, "state"),
                 MemberText(entry, "failure_domain"),
                 MemberText(entry, "config_version"),
                 MemberText(entry, "address")});
  }
  Table upstreams({"UPSTREAM", "STATE", "DOMAIN", "SERVICE", "SLOTS", "EJECTED",
                   "ADDRESS"});
  for (const json& upstream : body.value("upstreams", json::array())) {
    upstreams.Add(
        {MemberText(upstream, "name"), MemberText(upstream, "state"),
         MemberText(upstream, "failure_domain"),
         MemberText(upstream, "service"), MemberText(upstream, "slots"),
         MemberText(upstream, "ejected"), MemberText(upstream, "address")});
  }
  session.out() << "revision " << MemberText(body, "revision") << "\n\n"
                << entries.ToText() << '\n'
                << upstreams.ToText();
  return ExitCode::kOk;
}

}  // namespace jaypick::cli
