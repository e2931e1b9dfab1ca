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

constexpr Duration kRetryInterval = std::chrono::milliseconds(300);
// Maximum number of attempts for a change whose outcome is unknown.
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

// Prints a response whose status is not 200 and returns the exit code for it.
ExitCode PrintErrorResponse(Session& session,
                            const http::Response& response,
                            const std::string& source) {
  const json body = ParseBody(response);
  if (session.arguments().json) {
    session.out() << ToJsonLine(body) << '\n';
  } else {
    PrintFindings(session, body.value("findings", json::array()), source);
    const auto diff = body.value("diff", json::object());
    if (body.contains("head_version")) {
      session.out() << "the current version is "
                    << MemberText(body, "head_version")
                    << "; compared with it, the sheet would change:\n"
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

// Sends a read-only request to the entries and returns the JSON body. Prints an
// error and returns its exit code if there is no successful response.
std::variant<json, ExitCode> FetchJson(Session& session,
                                       http::Request request) {
  if (!session.CheckOperatorFlags()) {
    return ExitCode::kInvalid;
  }
  const auto response = session.SendToOperators(std::move(request));
  if (!response) {
    return session.Fail(ExitCode::kUnreachable, "no entry responded");
  }
  if (response->status != kOk) {
    return PrintErrorResponse(session, *response, "");
  }
  return ParseBody(*response);
}

// Reads and checks the sheet that is the command's argument. Prints findings
// and returns an exit code if there are any.
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

// Requests from an entry what `sheet` would change. Prints findings and returns
// an exit code if there are any.
std::variant<json, ExitCode> RequestPreview(Session& session,
                                            const std::string& sheet) {
  auto result =
      FetchJson(session, Post("/v1/operator/config/check", {{"sheet", sheet}}));
  const auto* const body = std::get_if<json>(&result);
  if (body == nullptr || body->value("findings", json::array()).empty()) {
    return result;
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
  session.out() << "compared with version " << MemberText(body, "base_version")
                << ":\n"
                << MemberText(body.value("diff", json::object()), "text");
  if (!body.value("head_read", false)) {
    session.err() << "jaypick: the platform did not respond; compared with "
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

// Describes the live entries that do not report `version` or a later one.
std::vector<std::string> EntriesWithoutVersion(const json& instances,
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

// Waits until every live entry reports `version` or a later one. Prints the
// entries that did not when the wait has timed out.
ExitCode WaitForEntries(Session& session, std::uint64_t version) {
  const auto deadline = Clock::now() + session.arguments().wait_timeout;
  std::vector<std::string> outdated;
  bool is_list_known = false;
  while (true) {
    const auto response =
        session.SendToOperators(Get("/v1/operator/instances"));
    is_list_known = response && response->status == kOk;
    if (is_list_known) {
      outdated = EntriesWithoutVersion(ParseBody(*response), version);
      if (outdated.empty()) {
        session.err() << "jaypick: every live entry reports version " << version
                      << '\n';
        return ExitCode::kOk;
      }
    }
    if (Clock::now() + kRetryInterval >= deadline) {
      break;
    }
    session.client().Sleep(kRetryInterval);
  }
  if (!is_list_known) {
    return session.Fail(
        ExitCode::kUnreachable,
        "accepted, but no entry reported which entries have the "
        "version");
  }
  for (const std::string& name : outdated) {
    session.Fail(ExitCode::kRefused, "not yet in force at entry " + name);
  }
  return ExitCode::kRefused;
}

// Sends a change and retries it if its outcome is unknown. All attempts have
// the same operation id, so that the change is made at most once.
std::optional<http::Response> SendChangeWithRetries(Session& session,
                                                    const json& body) {
  std::optional<http::Response> response;
  for (int attempt = 0; attempt < kApplyAttempts; ++attempt) {
    if (attempt > 0) {
      session.client().Sleep(kRetryInterval);
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
    const auto body = RequestPreview(session, std::get<std::string>(sheet));
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
  const auto preview = RequestPreview(session, std::get<std::string>(sheet));
  if (const auto* const code = std::get_if<ExitCode>(&preview)) {
    return *code;
  }
  const json& preview_body = std::get<json>(preview);
  if (!arguments.json) {
    PrintPreview(session, preview_body);
  }
  const std::uint64_t base = arguments.base_version.value_or(
      preview_body.value("base_version", std::uint64_t{0}));
  const std::string operation = arguments.operation_id.empty()
                                    ? RandomOperationId()
                                    : arguments.operation_id;
  session.err() << "jaypick: applying the change as operation " << operation
                << " based on version " << base << '\n';
  const auto response =
      SendChangeWithRetries(session, {{"sheet", std::get<std::string>(sheet)},
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
    return PrintErrorResponse(session, *response, arguments.positional[0]);
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
  const auto result = FetchJson(session, Get("/v1/operator/config"));
  if (const auto* const code = std::get_if<ExitCode>(&result)) {
    return *code;
  }
  const std::string text = ToJsonLine(std::get<json>(result));
  const auto decoded = DecodeConfiguration(text);
  if (const auto* const findings = std::get_if<Findings>(&decoded)) {
    for (const Finding& finding : *findings) {
      session.err() << ToString(finding) << '\n';
    }
    return session.Fail(ExitCode::kRefused,
                        "the entry's response is not a valid configuration");
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
  const auto result = FetchJson(session, std::move(request));
  if (const auto* const code = std::get_if<ExitCode>(&result)) {
    return *code;
  }
  const json& body = std::get<json>(result);
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
  const auto result = FetchJson(session, Get("/v1/operator/instances"));
  if (const auto* const code = std::get_if<ExitCode>(&result)) {
    return *code;
  }
  const json& body = std::get<json>(result);
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
