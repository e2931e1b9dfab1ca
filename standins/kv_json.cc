#include "standins/kv_json.h"

#include <absl/strings/escaping.h>

#include <chrono>
#include <stdexcept>

namespace jaypick::standin {
namespace {

using Json = nlohmann::json;

std::string BytesMember(const Json& json, const char* name) {
  const std::string text = json.value(name, std::string());
  std::string bytes;
  if (!absl::Base64Unescape(text, &bytes)) {
    throw std::invalid_argument(std::string(name) + ": illegal base64 data");
  }
  return bytes;
}

// The gateway accepts 64-bit integers as strings and as numbers.
std::int64_t IntegerMember(const Json& json, const char* name) {
  const auto it = json.find(name);
  if (it == json.end()) {
    return 0;
  }
  return it->is_string() ? std::stoll(it->get<std::string>())
                         : it->get<std::int64_t>();
}

Condition ParseCondition(const Json& json) {
  if (json.value("result", "EQUAL") != "EQUAL") {
    throw std::invalid_argument("result: only EQUAL is supported");
  }
  const std::string target = json.at("target").get<std::string>();
  if (target == "MOD") {
    return ModRevisionIs{.key = BytesMember(json, "key"),
                         .revision = IntegerMember(json, "mod_revision")};
  }
  if (target == "CREATE") {
    return CreateRevisionIs{.key = BytesMember(json, "key"),
                            .revision = IntegerMember(json, "create_revision")};
  }
  throw std::invalid_argument("target: only MOD and CREATE are supported");
}

StoreOperation ParseOperation(const Json& json) {
  if (json.contains("request_range")) {
    return ParseRangeRequest(json["request_range"]);
  }
  if (json.contains("request_put")) {
    return ParsePutRequest(json["request_put"]);
  }
  return DeleteRequest{.key =
                           BytesMember(json.at("request_delete_range"), "key")};
}

std::vector<StoreOperation> ParseOperations(const Json& json,
                                            const char* name) {
  std::vector<StoreOperation> operations;
  for (const Json& operation : json.value(name, Json::array())) {
    operations.push_back(ParseOperation(operation));
  }
  return operations;
}

Json Header(std::int64_t revision) {
  return {{"cluster_id", "1"},
          {"member_id", "1"},
          {"revision", std::to_string(revision)},
          {"raft_term", "1"}};
}

void SetInteger(Json& json, const char* name, std::int64_t value) {
  if (value != 0) {
    json[name] = std::to_string(value);
  }
}

Json KeyValueJson(const KeyValue& value) {
  Json json = {{"key", absl::Base64Escape(value.key)}};
  if (!value.value.empty()) {
    json["value"] = absl::Base64Escape(value.value);
  }
  SetInteger(json, "create_revision", value.create_revision);
  SetInteger(json, "mod_revision", value.mod_revision);
  SetInteger(json, "lease", value.lease);
  return json;
}

struct OperationWriter {
  Json operator()(const RangeResult& result) const {
    return {{"response_range", ToJson(result)}};
  }
  Json operator()(const PutResult&) const {
    return {{"response_put", Json::object()}};
  }
  Json operator()(const DeleteResult& result) const {
    Json json = Json::object();
    SetInteger(json, "deleted", result.deleted);
    return {{"response_delete_range", json}};
  }
};

}  // namespace

RangeRequest ParseRangeRequest(const Json& json) {
  return {.key = BytesMember(json, "key"),
          .range_end = BytesMember(json, "range_end"),
          .limit = IntegerMember(json, "limit"),
          .keys_only = json.value("keys_only", false),
          .descending = json.value("sort_order", "NONE") == "DESCEND"};
}

PutRequest ParsePutRequest(const Json& json) {
  return {.key = BytesMember(json, "key"),
          .value = BytesMember(json, "value"),
          .lease = IntegerMember(json, "lease")};
}

TxnRequest ParseTxnRequest(const Json& json) {
  TxnRequest request;
  for (const Json& condition : json.value("compare", Json::array())) {
    request.conditions.push_back(ParseCondition(condition));
  }
  request.success = ParseOperations(json, "success");
  request.failure = ParseOperations(json, "failure");
  return request;
}

Duration ParseLeaseGrantRequest(const Json& json) {
  return std::chrono::seconds(IntegerMember(json, "TTL"));
}

Json ToJson(const RangeResult& result) {
  Json json = {{"header", Header(result.revision)}};
  for (const KeyValue& value : result.values) {
    json["kvs"].push_back(KeyValueJson(value));
  }
  if (result.more) {
    json["more"] = true;
  }
  SetInteger(json, "count", static_cast<std::int64_t>(result.values.size()));
  return json;
}

Json ToJson(const TxnResult& result) {
  Json json = {{"header", Header(result.revision)}};
  if (result.succeeded) {
    json["succeeded"] = true;
  }
  for (const OperationResult& operation : result.results) {
    json["responses"].push_back(std::visit(OperationWriter{}, operation));
  }
  return json;
}

Json ToJson(const LeaseResult& result, std::int64_t revision) {
  const auto seconds =
      std::chrono::duration_cast<std::chrono::seconds>(result.time_to_live);
  return {{"header", Header(revision)},
          {"ID", std::to_string(result.lease)},
          {"TTL", std::to_string(seconds.count())}};
}

Json ToJson(const Rejection& rejection) {
  return {{"error", rejection.message},
          {"code", rejection.code},
          {"message", rejection.message}};
}

}  // namespace jaypick::standin
