#include "daemon/api_request.h"

#include <algorithm>
#include <array>
#include <limits>
#include <string_view>
#include <utility>

#include "daemon/raw_json.h"

namespace jaypick::daemon {
namespace {

constexpr std::size_t kMaxKeyBytes = 256;

// Reads the members of a JSON object and collects field errors.
class FieldReader {
 public:
  FieldReader(const std::string& body, std::string_view list_key) {
    auto read = ReadMembers(body, list_key);
    if (auto* const error = std::get_if<JsonSyntaxError>(&read)) {
      Add("", error->message);
      is_readable_ = false;
      return;
    }
    members_ = std::get<RawMembers>(std::move(read));
    was_looked_up_.resize(members_.size());
  }

  bool is_readable() const { return is_readable_; }

  void Add(std::string json_pointer, std::string message) {
    faults_.push_back({.json_pointer = std::move(json_pointer),
                       .message = std::move(message)});
  }

  const RawMember* Find(std::string_view key) {
    const RawMember* const member = FindMember(members_, key);
    if (member != nullptr) {
      was_looked_up_[static_cast<std::size_t>(member - members_.data())] = true;
    }
    return member;
  }

  // Returns the member if it has the type. Otherwise returns null, and adds a
  // field error if the member exists.
  const RawMember* Find(std::string_view key, JsonType type) {
    const RawMember* const member = Find(key);
    if (member == nullptr || member->type == type) {
      return member;
    }
    Add("/" + std::string(key), "expected " + std::string(ToString(type)) +
                                    ", found " +
                                    std::string(ToString(member->type)));
    return nullptr;
  }

  std::string RequiredString(std::string_view key) {
    const RawMember* const any = FindMember(members_, key);
    const RawMember* const member = Find(key, JsonType::kString);
    if (any == nullptr) {
      Add("/" + std::string(key), "missing");
    } else if (member != nullptr && member->text.empty()) {
      Add("/" + std::string(key), "must not be empty");
    }
    return member == nullptr ? std::string() : member->text;
  }

  std::optional<std::int64_t> Integer(std::string_view key,
                                      std::int64_t minimum,
                                      std::int64_t maximum) {
    const RawMember* const member = Find(key, JsonType::kNumber);
    if (member == nullptr) {
      return std::nullopt;
    }
    const auto value = member->as_integer();
    if (!value || *value < minimum || *value > maximum) {
      Add("/" + std::string(key),
          "must be a whole number from " + std::to_string(minimum) + " to " +
              std::to_string(maximum) + ", found " + std::string(member->raw));
      return std::nullopt;
    }
    return value;
  }

  // Adds an error for each member that was never looked up, and returns all
  // field errors.
  std::vector<FieldError> Finish() {
    for (std::size_t i = 0; i < members_.size(); ++i) {
      if (!was_looked_up_[i]) {
        Add("/" + members_[i].key, "unknown field");
      }
    }
    return std::move(faults_);
  }

 private:
  RawMembers members_;
  std::vector<bool> was_looked_up_;
  std::vector<FieldError> faults_;
  bool is_readable_ = true;
};

std::optional<SubmissionIdentity> ReadIdentity(FieldReader& fields) {
  const RawMember* const id = fields.Find("id", JsonType::kString);
  const RawMember* const key = fields.Find("key", JsonType::kString);
  if (id != nullptr && key != nullptr) {
    fields.Add("/key", "give either id or key");
  }
  if (id != nullptr) {
    if (auto parsed = ParseJobId(id->text)) {
      return SubmissionIdentity(*std::move(parsed));
    }
    fields.Add("/id", "not a job id");
    return std::nullopt;
  }
  if (key == nullptr) {
    if (fields.Find("id") == nullptr && fields.Find("key") == nullptr) {
      fields.Add("/id", "missing; give id or key");
    }
    return std::nullopt;
  }
  if (key->text.empty() || key->text.size() > kMaxKeyBytes) {
    fields.Add("/key",
               "must have 1 to " + std::to_string(kMaxKeyBytes) + " bytes");
    return std::nullopt;
  }
  return SubmissionIdentity(SubmissionKey{key->text});
}

std::vector<std::string> ReadTasks(FieldReader& fields) {
  const RawMember* const tasks = fields.Find("tasks", JsonType::kArray);
  if (tasks == nullptr) {
    if (fields.Find("tasks") == nullptr) {
      fields.Add("/tasks", "missing");
    }
    return {};
  }
  const std::size_t count = tasks->elements.size();
  if (count == 0 || count > kMaxTasksPerJob) {
    fields.Add("/tasks", "must have 1 to " + std::to_string(kMaxTasksPerJob) +
                             " tasks, found " + std::to_string(count));
    return {};
  }
  return {tasks->elements.begin(), tasks->elements.end()};
}

void ReadTimeout(FieldReader& fields, JobRequest& request) {
  const RawMember* const member = fields.Find("timeout_ms");
  const auto value = member == nullptr ? std::nullopt : member->as_integer();
  if (value && *value <= 0) {
    fields.Add("/timeout_ms", "the deadline is in the past");
    return;
  }
  const auto timeout =
      fields.Integer("timeout_ms", 1, ToMilliseconds(kMaxJobTimeout));
  if (timeout) {
    request.timeout = std::chrono::milliseconds(*timeout);
  }
}

bool IsOffered(const Kind& kind,
               const InstanceList& instances,
               const std::string& failure_domain) {
  bool has_upstream = false;
  for (const Instance& instance : instances.instances) {
    if (instance.role == InstanceRole::kUpstream &&
        instance.service == kind.service &&
        instance.failure_domain == failure_domain) {
      has_upstream = true;
      if (Satisfies(instance.offers, kind.needs)) {
        return true;
      }
    }
  }
  // If the service has no upstream at all, the kind's resource needs are not
  // the cause; the dispatcher then refuses the job with "no_upstream".
  return !has_upstream;
}

}  // namespace

SubmitRequest ReadSubmit(const std::string& body) {
  FieldReader fields(body, "tasks");
  if (!fields.is_readable()) {
    return {.request = {},
            .has_identity = false,
            .is_readable = false,
            .faults = fields.Finish()};
  }
  auto identity = ReadIdentity(fields);
  JobRequest request;
  request.owner = fields.RequiredString("owner");
  request.service = fields.RequiredString("service");
  request.kind = fields.RequiredString("kind");
  ReadTimeout(fields, request);
  const RawMember* const wait = fields.Find("wait", JsonType::kBoolean);
  request.wait = wait == nullptr || wait->is_true();
  request.reserve = static_cast<std::uint32_t>(
      fields.Integer("reserve", 0, std::numeric_limits<std::uint32_t>::max())
          .value_or(0));
  request.tasks = ReadTasks(fields);
  SubmitRequest result{.request = {},
                       .has_identity = identity.has_value(),
                       .faults = fields.Finish()};
  if (identity) {
    request.identity = *std::move(identity);
  }
  if (!result.faults.empty()) {
    request.tasks.clear();
  }
  result.request = std::move(request);
  return result;
}

std::vector<FieldError> CheckNames(const JobRequest& request,
                                   const Configuration* configuration,
                                   const InstanceList* instances,
                                   const std::string& failure_domain) {
  std::vector<FieldError> faults;
  if (configuration == nullptr) {
    return faults;
  }
  const Kind* const kind =
      configuration->FindKind(request.service, request.kind);
  const bool has_names = !request.service.empty() && !request.kind.empty();
  if (kind == nullptr && has_names) {
    faults.push_back({"/kind", "no service \"" + request.service +
                                   "\" with kind \"" + request.kind +
                                   "\" is configured"});
  }
  const bool is_known =
      kind == nullptr
          ? configuration->HasOwner(request.owner)
          : configuration->FindShare(request.service, request.owner) != nullptr;
  if (!is_known && !request.owner.empty()) {
    faults.push_back({"/owner", "the owner has no share of the service"});
  }
  if (kind != nullptr && instances != nullptr &&
      !IsOffered(*kind, *instances, failure_domain)) {
    faults.push_back({"/kind", "no upstream has what this kind needs"});
  }
  return faults;
}

std::variant<ReserveRequest, std::vector<FieldError>> ReadReserve(
    const std::string& body) {
  FieldReader fields(body, {});
  if (!fields.is_readable()) {
    return fields.Finish();
  }
  ReserveRequest request;
  request.owner = fields.RequiredString("owner");
  request.count = static_cast<std::uint32_t>(
      fields.Integer("count", 1, std::numeric_limits<std::uint32_t>::max())
          .value_or(1));
  auto faults = fields.Finish();
  if (!faults.empty()) {
    return faults;
  }
  return request;
}

std::variant<std::string, std::vector<FieldError>> ReadCancel(
    const std::string& body) {
  FieldReader fields(body, {});
  if (!fields.is_readable()) {
    return fields.Finish();
  }
  std::string owner = fields.RequiredString("owner");
  auto faults = fields.Finish();
  if (!faults.empty()) {
    return faults;
  }
  return owner;
}

std::variant<QueryRequest, std::vector<FieldError>> ReadQuery(
    const http::Request& request) {
  QueryRequest query;
  std::vector<FieldError> faults;
  for (const auto& [name, value] : request.query) {
    if (name == "owner") {
      query.owner = value;
    } else if (name == "wait" && (value == "true" || value == "1")) {
      query.wait = true;
    } else if (name == "wait" && value != "false" && value != "0") {
      faults.push_back({"?wait", "must be true or false"});
    } else if (name != "wait") {
      faults.push_back({"?" + name, "unknown parameter"});
    }
  }
  if (query.owner.empty()) {
    faults.push_back({"?owner", "missing"});
  }
  if (!faults.empty()) {
    return faults;
  }
  return query;
}

std::string WriteSubmit(const JobRequest& request) {
  std::string json = "{";
  if (const auto* const id = std::get_if<JobId>(&request.identity)) {
    json += "\"id\":";
    AppendJsonString(json, ToString(*id));
  } else {
    json += "\"key\":";
    AppendJsonString(json, std::get<SubmissionKey>(request.identity).value);
  }
  const std::array<std::pair<std::string_view, const std::string*>, 3> names = {
      {{"owner", &request.owner},
       {"service", &request.service},
       {"kind", &request.kind}}};
  for (const auto& [name, value] : names) {
    json += ",\"" + std::string(name) + "\":";
    AppendJsonString(json, *value);
  }
  if (request.timeout) {
    json +=
        ",\"timeout_ms\":" + std::to_string(ToMilliseconds(*request.timeout));
  }
  json += request.wait ? ",\"wait\":true" : ",\"wait\":false";
  json += ",\"reserve\":" + std::to_string(request.reserve) + ",\"tasks\":[";
  for (std::size_t i = 0; i < request.tasks.size(); ++i) {
    json += i == 0 ? "" : ",";
    json += request.tasks[i];
  }
  return json + "]}";
}

}  // namespace jaypick::daemon
