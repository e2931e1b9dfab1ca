#include "jaypick/operator_api.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "configuration/json_conversion.h"
#include "configuration/json_reader.h"
#include "configuration/name_rules.h"
#include "jaypick/audit.h"
#include "jaypick/configuration_codec.h"
#include "jaypick/sheet.h"

namespace jaypick {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kUnprocessable = 422;
constexpr int kUnavailable = 503;

// The next version must fit into the 12 digits of an audit key.
constexpr std::uint64_t kMaxBaseVersion = 999'999'999'998;
constexpr std::size_t kDefaultAuditLimit = 20;
constexpr std::size_t kMaxAuditLimit = 1000;

OperatorResponse Response(int status, const json& body) {
  return {.status = status, .body = Dump(body)};
}

OperatorResponse BadRequest(const Findings& findings) {
  return Response(kBadRequest,
                  {{"reason", "bad_request"}, {"findings", ToJson(findings)}});
}

struct ApplyBody {
  std::string sheet;
  std::uint64_t base_version = 0;
  std::string author;
  std::string operation_id;
};

// Reports an author or operation id that is not valid in an audit entry.
void CheckIdentity(const ApplyBody& body,
                   ObjectReader& reader,
                   const Findings& findings) {
  if (!findings.empty()) {
    return;
  }
  if (const auto error = ValidateName(body.author)) {
    reader.Report("author", *error);
  }
  if (!IsOperationId(body.operation_id)) {
    reader.Report("operation_id",
                  R"(must be 1 to 64 letters, digits, "-", "_" or ".")");
  }
}

std::variant<ApplyBody, Findings> ParseApplyBody(std::string_view text) {
  Findings findings;
  const auto value = ParseJson(text, "body", findings);
  if (!value) {
    return findings;
  }
  ObjectReader reader(*value, "", "body", findings);
  ApplyBody body{
      .sheet = reader.StringMember("sheet"),
      .base_version = reader.Uint64Member("base_version", kMaxBaseVersion),
      .author = reader.StringMember("author"),
      .operation_id = reader.StringMember("operation_id")};
  reader.Finish();
  CheckIdentity(body, reader, findings);
  if (!findings.empty()) {
    return findings;
  }
  return body;
}

std::variant<std::string, Findings> ParseCheckBody(std::string_view text) {
  Findings findings;
  const auto value = ParseJson(text, "body", findings);
  if (!value) {
    return findings;
  }
  ObjectReader reader(*value, "", "body", findings);
  std::string sheet = reader.StringMember("sheet");
  reader.Finish();
  if (!findings.empty()) {
    return findings;
  }
  return sheet;
}

// Parses the sheet and checks that the configuration fits into one value of the
// key-value service.
std::variant<ConfigurationContent, Findings> ParseStorableSheet(
    const std::string& sheet) {
  auto parsed = ParseSheet(sheet, "sheet");
  const auto* const content = std::get_if<ConfigurationContent>(&parsed);
  if (content == nullptr) {
    return parsed;
  }
  const std::size_t size =
      EncodeConfiguration(MakeConfiguration({}, *content)).size();
  if (size <= kMaxHeadBytes) {
    return parsed;
  }
  return Findings{{.location = {.source = "sheet"},
                   .key = "",
                   .message = "the configuration has " + std::to_string(size) +
                              " bytes; the platform accepts at most " +
                              std::to_string(kMaxHeadBytes)}};
}

std::string JoinFindings(const Findings& findings) {
  std::string text;
  for (const Finding& finding : findings) {
    text += ToString(finding) + '\n';
  }
  return text;
}

// Turns the result of a change into a response.
struct ChangeResponder {
  OperatorResponse operator()(const ChangeAccepted& accepted) const {
    return Response(kOk, {{"version", accepted.header.version},
                          {"digest", accepted.header.digest}});
  }
  OperatorResponse operator()(const ChangeStale& stale) const {
    return Response(kConflict, {{"reason", "stale_base"},
                                {"head_version", stale.head_version},
                                {"diff", ToJson(stale.diff)}});
  }
  OperatorResponse operator()(const OperationIdReused& reused) const {
    return Response(kConflict, {{"reason", "operation_id_reused"},
                                {"version", reused.version}});
  }
  OperatorResponse operator()(const ChangeUnavailable& unavailable) const {
    return Response(kUnavailable, {{"reason", "platform_unavailable"},
                                   {"message", unavailable.message}});
  }
  OperatorResponse operator()(const ChangeUnknown& unknown) const {
    return Response(kUnavailable, {{"reason", "outcome_unknown"},
                                   {"message", unknown.message}});
  }
};

std::optional<std::size_t> ParseLimit(std::string_view text) {
  if (text.empty()) {
    return kDefaultAuditLimit;
  }
  std::size_t limit = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, limit);
  if (error != std::errc() || rest != end || limit == 0 ||
      limit > kMaxAuditLimit) {
    return std::nullopt;
  }
  return limit;
}

json TrailToJson(const AuditTrail& trail) {
  json entries = json::array();
  for (const AuditEntry& entry : trail.entries) {
    entries.push_back(json::parse(EncodeAuditEntry(entry)));
  }
  json findings = json::array();
  for (const Finding& finding : trail.findings) {
    findings.push_back(ToString(finding));
  }
  return {{"entries", std::move(entries)}, {"findings", std::move(findings)}};
}

json InstanceToJson(const Instance& instance) {
  return {
      {"name", instance.name},
      {"state", instance.state == InstanceState::kLive ? "live" : "leaving"},
      {"failure_domain", instance.failure_domain},
      {"address",
       instance.address.host + ":" + std::to_string(instance.address.port)}};
}

json EntryToJson(const Instance& entry, const InstancesView& view) {
  json value = InstanceToJson(entry);
  const auto version = view.config_versions.find(entry.name);
  value["config_version"] = version == view.config_versions.end()
                                ? json(nullptr)
                                : json(version->second);
  return value;
}

json UpstreamToJson(const Instance& upstream, const InstancesView& view) {
  json value = InstanceToJson(upstream);
  value["service"] = upstream.service;
  value["slots"] = upstream.slots;
  value["generation"] = upstream.generation;
  value["ejected"] = std::ranges::find(view.ejected_upstreams, upstream.name) !=
                     view.ejected_upstreams.end();
  return value;
}

}  // namespace

OperatorApi::OperatorApi(Environment environment)
    : OperatorApi(std::move(environment), ConfigurationHead::Options{}) {}

OperatorApi::OperatorApi(Environment environment,
                         ConfigurationHead::Options options)
    : environment_(std::move(environment)),
      head_(environment_.store, options) {}

void OperatorApi::Check(std::string_view body, OperatorReply reply) {
  const auto parsed = ParseCheckBody(body);
  if (const auto* const findings = std::get_if<Findings>(&parsed)) {
    reply(BadRequest(*findings));
    return;
  }
  auto sheet = ParseStorableSheet(std::get<std::string>(parsed));
  if (const auto* const findings = std::get_if<Findings>(&sheet)) {
    reply(Response(kOk, {{"findings", ToJson(*findings)}, {"diff", nullptr}}));
    return;
  }
  head_.Check(std::get<ConfigurationContent>(std::move(sheet)),
              environment_.in_force(),
              [reply = std::move(reply)](const ChangePreview& preview) {
                reply(Response(kOk, {{"findings", json::array()},
                                     {"diff", ToJson(preview.diff)},
                                     {"base_version", preview.version},
                                     {"head_read", preview.is_head_read}}));
              });
}

void OperatorApi::Apply(std::string_view body, OperatorReply reply) {
  auto parsed = ParseApplyBody(body);
  if (const auto* const findings = std::get_if<Findings>(&parsed)) {
    reply(BadRequest(*findings));
    return;
  }
  auto& request = std::get<ApplyBody>(parsed);
  auto sheet = ParseStorableSheet(request.sheet);
  if (auto* const findings = std::get_if<Findings>(&sheet)) {
    AuditEntry entry{.base_version = request.base_version,
                     .author = std::move(request.author),
                     .operation_id = std::move(request.operation_id),
                     .created_unix_ms = environment_.unix_ms(),
                     .digest = "",
                     .reason = "findings",
                     .summary = JoinFindings(*findings)};
    RecordRefusedChange(
        environment_.store, std::move(entry),
        [reply = std::move(reply), findings = *findings](bool /*is_recorded*/) {
          reply(Response(kUnprocessable, {{"reason", "findings"},
                                          {"findings", ToJson(findings)}}));
        });
    return;
  }
  ChangeRequest change{
      .content = std::get<ConfigurationContent>(std::move(sheet)),
      .base_version = request.base_version,
      .author = std::move(request.author),
      .operation_id = std::move(request.operation_id),
      .created_unix_ms = environment_.unix_ms()};
  ConfigurationContent content = change.content;
  head_.Apply(
      std::move(change), environment_.in_force(),
      [reply = std::move(reply), content = std::move(content),
       on_accepted = environment_.on_accepted](const ChangeResult& result) {
        const auto* const accepted = std::get_if<ChangeAccepted>(&result);
        if (accepted != nullptr && on_accepted) {
          on_accepted(Configuration(accepted->header, content));
        }
        reply(std::visit(ChangeResponder{}, result));
      });
}

OperatorResponse OperatorApi::ShowConfiguration() const {
  const auto in_force = environment_.in_force();
  if (!in_force) {
    return Response(kNotFound, {{"reason", "no_configuration"}});
  }
  return {.status = kOk, .body = EncodeConfiguration(*in_force)};
}

void OperatorApi::Audit(std::string_view limit, OperatorReply reply) {
  const auto parsed = ParseLimit(limit);
  if (!parsed) {
    reply(BadRequest({{.location = {.source = "query"},
                       .key = "limit",
                       .message = "must be a whole number from 1 to " +
                                  std::to_string(kMaxAuditLimit)}}));
    return;
  }
  ListAudit(
      environment_.store, *parsed,
      [reply = std::move(reply)](const StoreResult<AuditTrail>& result) {
        if (const auto* const error = std::get_if<StoreError>(&result)) {
          reply(Response(kUnavailable, {{"reason", "platform_unavailable"},
                                        {"message", error->message}}));
          return;
        }
        reply(Response(kOk, TrailToJson(std::get<AuditTrail>(result))));
      });
}

OperatorResponse OperatorApi::ShowInstances(const InstancesView& view) {
  json entries = json::array();
  json upstreams = json::array();
  for (const Instance& instance : view.list.instances) {
    if (instance.role == InstanceRole::kEntry) {
      entries.push_back(EntryToJson(instance, view));
    } else {
      upstreams.push_back(UpstreamToJson(instance, view));
    }
  }
  return Response(kOk, {{"revision", view.list.revision},
                        {"entries", std::move(entries)},
                        {"upstreams", std::move(upstreams)}});
}

}  // namespace jaypick
