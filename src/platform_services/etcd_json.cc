#include "platform_services/etcd_json.h"

#include <absl/strings/escaping.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <utility>

namespace jaypick::platform_services {
namespace {

using Json = nlohmann::json;

std::string Encode(const std::string& bytes) {
  return absl::Base64Escape(bytes);
}

Json ToJson(const RangeRequest& request) {
  Json json = {{"key", Encode(request.key)}};
  if (!request.range_end.empty()) {
    json["range_end"] = Encode(request.range_end);
  }
  if (request.limit != 0) {
    json["limit"] = std::to_string(request.limit);
  }
  if (request.keys_only) {
    json["keys_only"] = true;
  }
  if (request.descending) {
    json["sort_order"] = "DESCEND";
    json["sort_target"] = "KEY";
  }
  return json;
}

Json ToJson(const PutRequest& request) {
  Json json = {{"key", Encode(request.key)}, {"value", Encode(request.value)}};
  if (request.lease != 0) {
    json["lease"] = std::to_string(request.lease);
  }
  return json;
}

Json ToJson(const DeleteRequest& request) {
  return {{"key", Encode(request.key)}};
}

Json ToJson(const ModRevisionIs& condition) {
  return {{"key", Encode(condition.key)},
          {"target", "MOD"},
          {"result", "EQUAL"},
          {"mod_revision", std::to_string(condition.revision)}};
}

Json ToJson(const CreateRevisionIs& condition) {
  return {{"key", Encode(condition.key)},
          {"target", "CREATE"},
          {"result", "EQUAL"},
          {"create_revision", std::to_string(condition.revision)}};
}

const char* FieldName(const RangeRequest&) {
  return "request_range";
}
const char* FieldName(const PutRequest&) {
  return "request_put";
}
const char* FieldName(const DeleteRequest&) {
  return "request_delete_range";
}

Json ToJson(const std::vector<StoreOperation>& operations) {
  Json json = Json::array();
  for (const StoreOperation& operation : operations) {
    json.push_back(std::visit(
        [](const auto& request) {
          return Json{{FieldName(request), ToJson(request)}};
        },
        operation));
  }
  return json;
}

// Reads the fields of a response. If any field is malformed, the reader becomes
// invalid.
class ResponseReader {
 public:
  explicit ResponseReader(const Json& json)
      : json_(json), valid_(json.is_object()) {}

  std::int64_t Integer(const char* name) {
    const Json* field = Find(name);
    if (field == nullptr) {
      return 0;
    }
    if (field->is_number_integer()) {
      return field->get<std::int64_t>();
    }
    std::int64_t value = 0;
    valid_ = valid_ && field->is_string() &&
             ParseInteger(field->get_ref<const std::string&>(), value);
    return value;
  }

  std::string Bytes(const char* name) {
    const Json* field = Find(name);
    if (field == nullptr) {
      return {};
    }
    std::string bytes;
    valid_ = valid_ && field->is_string() &&
             absl::Base64Unescape(field->get_ref<const std::string&>(), &bytes);
    return bytes;
  }

  bool Bool(const char* name) {
    const Json* field = Find(name);
    valid_ = valid_ && (field == nullptr || field->is_boolean());
    return valid_ && field != nullptr && field->get<bool>();
  }

  // Returns the field as an array, which is empty if the field is omitted.
  const Json& Array(const char* name) {
    static const Json empty = Json::array();
    const Json* field = Find(name);
    valid_ = valid_ && (field == nullptr || field->is_array());
    return valid_ && field != nullptr ? *field : empty;
  }

  std::int64_t HeaderRevision() {
    const Json* field = Find("header");
    if (field == nullptr) {
      valid_ = false;
      return 0;
    }
    ResponseReader header(*field);
    const std::int64_t revision = header.Integer("revision");
    // The revision of an etcd store is never less than 1.
    valid_ = valid_ && header.valid() && revision > 0;
    return revision;
  }

  void Require(bool condition) { valid_ = valid_ && condition; }
  bool valid() const { return valid_; }

 private:
  static bool ParseInteger(const std::string& text, std::int64_t& value) {
    const char* const end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, value);
    return error == std::errc() && rest == end;
  }

  const Json* Find(const char* name) const {
    if (!valid_) {
      return nullptr;
    }
    const auto it = json_.find(name);
    return it == json_.end() ? nullptr : &*it;
  }

  const Json& json_;
  bool valid_;
};

std::optional<KeyValue> ParseKeyValue(const Json& json) {
  ResponseReader reader(json);
  KeyValue value{.key = reader.Bytes("key"),
                 .value = reader.Bytes("value"),
                 .create_revision = reader.Integer("create_revision"),
                 .mod_revision = reader.Integer("mod_revision"),
                 .lease = reader.Integer("lease")};
  const bool complete = !value.key.empty() && value.create_revision > 0 &&
                        value.mod_revision >= value.create_revision;
  if (!reader.valid() || !complete) {
    return std::nullopt;
  }
  return value;
}

std::optional<RangeResult> ParseRange(const Json& json, std::int64_t revision) {
  ResponseReader reader(json);
  RangeResult result{.revision = revision, .values = {}, .more = false};
  result.more = reader.Bool("more");
  for (const Json& element : reader.Array("kvs")) {
    auto value = ParseKeyValue(element);
    if (!value) {
      return std::nullopt;
    }
    result.values.push_back(std::move(*value));
  }
  if (!reader.valid()) {
    return std::nullopt;
  }
  return result;
}

// Parses the result of one operation of a transaction.
struct OperationParser {
  const Json& json;
  std::int64_t revision;

  std::optional<OperationResult> operator()(const RangeRequest&) const {
    const auto field = json.find("response_range");
    if (field == json.end()) {
      return std::nullopt;
    }
    auto range = ParseRange(*field, revision);
    if (!range) {
      return std::nullopt;
    }
    return std::move(*range);
  }

  std::optional<OperationResult> operator()(const PutRequest&) const {
    if (!json.contains("response_put")) {
      return std::nullopt;
    }
    return PutResult{};
  }

  std::optional<OperationResult> operator()(const DeleteRequest&) const {
    const auto field = json.find("response_delete_range");
    if (field == json.end()) {
      return std::nullopt;
    }
    ResponseReader reader(*field);
    const DeleteResult result{.deleted = reader.Integer("deleted")};
    if (!reader.valid()) {
      return std::nullopt;
    }
    return result;
  }
};

// Returns a discarded value for invalid text; a `ResponseReader` of it is
// invalid.
Json Parse(std::string_view text) {
  return Json::parse(text, nullptr, /*allow_exceptions=*/false);
}

}  // namespace

std::string WriteRangeRequest(const RangeRequest& request) {
  return ToJson(request).dump();
}

std::string WriteTxnRequest(const TxnRequest& request) {
  Json compare = Json::array();
  for (const Condition& condition : request.conditions) {
    compare.push_back(
        std::visit([](const auto& typed) { return ToJson(typed); }, condition));
  }
  return Json{{"compare", std::move(compare)},
              {"success", ToJson(request.success)},
              {"failure", ToJson(request.failure)}}
      .dump();
}

std::string WriteLeaseGrantRequest(Duration time_to_live) {
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(time_to_live);
  return Json{{"TTL", std::to_string(seconds.count())}}.dump();
}

std::optional<RangeResult> ParseRangeResponse(std::string_view text) {
  const Json json = Parse(text);
  ResponseReader reader(json);
  const std::int64_t revision = reader.HeaderRevision();
  if (!reader.valid()) {
    return std::nullopt;
  }
  return ParseRange(json, revision);
}

std::optional<TxnResult> ParseTxnResponse(std::string_view text,
                                          const TxnRequest& request) {
  const Json json = Parse(text);
  ResponseReader reader(json);
  TxnResult result;
  result.revision = reader.HeaderRevision();
  result.succeeded = reader.Bool("succeeded");
  const Json& responses = reader.Array("responses");
  const auto& operations = result.succeeded ? request.success : request.failure;
  reader.Require(responses.size() == operations.size());
  if (!reader.valid()) {
    return std::nullopt;
  }
  for (std::size_t i = 0; i < operations.size(); ++i) {
    auto operation = std::visit(
        OperationParser{.json = responses[i], .revision = result.revision},
        operations[i]);
    if (!operation) {
      return std::nullopt;
    }
    result.results.push_back(std::move(*operation));
  }
  return result;
}

std::optional<LeaseResult> ParseLeaseGrantResponse(std::string_view text) {
  const Json json = Parse(text);
  ResponseReader reader(json);
  const LeaseResult result{
      .lease = reader.Integer("ID"),
      .time_to_live = std::chrono::seconds(reader.Integer("TTL"))};
  reader.Require(result.lease != 0 && result.time_to_live > Duration{0});
  if (!reader.valid()) {
    return std::nullopt;
  }
  return result;
}

std::optional<std::string> ParseErrorResponse(std::string_view text) {
  const Json json = Parse(text);
  if (!json.is_object()) {
    return std::nullopt;
  }
  for (const char* name : {"message", "error"}) {
    const auto field = json.find(name);
    if (field != json.end() && field->is_string()) {
      return field->get<std::string>();
    }
  }
  return std::nullopt;
}

}  // namespace jaypick::platform_services
