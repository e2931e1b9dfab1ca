#include "platform_services/instance_list_json.h"

#include <arpa/inet.h>

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <utility>

namespace jaypick::platform_services {
namespace {

using Json = nlohmann::json;

constexpr std::uint64_t kMaxPort = 65535;
constexpr std::uint64_t kMaxUint32 = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t kMaxUint64 = std::numeric_limits<std::uint64_t>::max();

bool IsIpAddress(const std::string& text) {
  in6_addr buffer{};
  return inet_pton(AF_INET, text.c_str(), &buffer) == 1 ||
         inet_pton(AF_INET6, text.c_str(), &buffer) == 1;
}

// Reads the fields of one JSON object and reports errors as findings.
class ObjectReader {
 public:
  ObjectReader(const Json& json,
               std::string pointer,
               std::string_view source,
               Findings& findings)
      : json_(json),
        pointer_(std::move(pointer)),
        source_(source),
        findings_(findings) {
    if (!json_.is_object()) {
      Report("", "is not an object");
    }
  }

  std::uint64_t Number(const char* name,
                       std::uint64_t minimum,
                       std::uint64_t maximum) {
    const Json* field = Find(name);
    if (field == nullptr) {
      return 0;
    }
    const std::uint64_t value =
        field->is_number_unsigned() ? field->get<std::uint64_t>() : 0;
    if (!field->is_number_unsigned() || value < minimum || value > maximum) {
      Report(name, "is not a whole number from " + std::to_string(minimum) +
                       " to " + std::to_string(maximum));
    }
    return value;
  }

  std::string Text(const char* name) {
    const Json* field = Find(name);
    if (field == nullptr) {
      return {};
    }
    std::string value = field->is_string() ? field->get<std::string>() : "";
    if (value.empty()) {
      Report(name, "is not a non-empty string");
    }
    return value;
  }

  // Returns the field as an object or array, or null if it is missing.
  const Json* Member(const char* name) { return Find(name); }

  void Report(std::string_view name, std::string message) {
    std::string key = pointer_;
    if (!name.empty()) {
      key += '/';
      key += name;
    }
    findings_.push_back({.location = {.source = std::string(source_)},
                         .key = std::move(key),
                         .message = std::move(message)});
  }

 private:
  const Json* Find(const char* name) {
    if (!json_.is_object()) {
      return nullptr;
    }
    const auto it = json_.find(name);
    if (it == json_.end()) {
      Report(name, "is missing");
      return nullptr;
    }
    return &*it;
  }

  const Json& json_;
  std::string pointer_;
  std::string_view source_;
  Findings& findings_;
};

InstanceRole ReadRole(ObjectReader& reader) {
  const std::string role = reader.Text("role");
  if (!role.empty() && role != "entry" && role != "upstream") {
    reader.Report("role", "is neither \"entry\" nor \"upstream\"");
  }
  return role == "entry" ? InstanceRole::kEntry : InstanceRole::kUpstream;
}

InstanceState ReadState(ObjectReader& reader) {
  const std::string state = reader.Text("state");
  if (!state.empty() && state != "live" && state != "leaving") {
    reader.Report("state", "is neither \"live\" nor \"leaving\"");
  }
  return state == "leaving" ? InstanceState::kLeaving : InstanceState::kLive;
}

Address ReadAddress(ObjectReader& reader) {
  Address address;
  address.host = reader.Text("address");
  if (!address.host.empty() && !IsIpAddress(address.host)) {
    reader.Report("address", "is not an IP address");
  }
  address.port = static_cast<std::uint16_t>(reader.Number("port", 1, kMaxPort));
  return address;
}

class ListReader {
 public:
  explicit ListReader(std::string_view source) : source_(source) {}

  InstanceListResult Read(const Json& json) {
    ObjectReader reader(json, "", source_, findings_);
    InstanceList list;
    list.revision = reader.Number("revision", 1, kMaxUint64);
    if (const Json* instances = reader.Member("instances")) {
      ReadInstances(*instances, reader, list);
    }
    if (!findings_.empty()) {
      return std::move(findings_);
    }
    return list;
  }

 private:
  void ReadInstances(const Json& json,
                     ObjectReader& outer,
                     InstanceList& list) {
    if (!json.is_array()) {
      return outer.Report("instances", "is not an array");
    }
    std::set<std::string> names;
    for (std::size_t i = 0; i < json.size(); ++i) {
      const std::string pointer = "/instances/" + std::to_string(i);
      ObjectReader reader(json[i], pointer, source_, findings_);
      Instance instance = ReadInstance(json[i], pointer, reader);
      if (!instance.name.empty() && !names.insert(instance.name).second) {
        reader.Report("name", "is used twice: " + instance.name);
      }
      list.instances.push_back(std::move(instance));
    }
  }

  Instance ReadInstance(const Json& json,
                        const std::string& pointer,
                        ObjectReader& reader) {
    Instance instance;
    if (!json.is_object()) {
      return instance;
    }
    instance.name = reader.Text("name");
    instance.role = ReadRole(reader);
    instance.state = ReadState(reader);
    instance.generation = reader.Number("generation", 0, kMaxUint64);
    instance.address = ReadAddress(reader);
    instance.failure_domain = reader.Text("failure_domain");
    if (instance.role == InstanceRole::kUpstream) {
      ReadUpstream(pointer, reader, instance);
    }
    return instance;
  }

  void ReadUpstream(const std::string& pointer,
                    ObjectReader& reader,
                    Instance& instance) {
    instance.service = reader.Text("service");
    instance.slots =
        static_cast<std::uint32_t>(reader.Number("slots", 1, kMaxUint32));
    const Json* offers = reader.Member("offers");
    if (offers == nullptr) {
      return;
    }
    ObjectReader needs(*offers, pointer + "/offers", source_, findings_);
    instance.offers.cpus =
        static_cast<std::uint32_t>(needs.Number("cpus", 0, kMaxUint32));
    instance.offers.memory_mb = needs.Number("memory_mb", 0, kMaxUint64);
    instance.offers.accelerators =
        static_cast<std::uint32_t>(needs.Number("accelerators", 0, kMaxUint32));
  }

  std::string_view source_;
  Findings findings_;
};

Json ToJson(const Instance& instance) {
  const bool is_entry = instance.role == InstanceRole::kEntry;
  const bool is_live = instance.state == InstanceState::kLive;
  Json json = {{"name", instance.name},
               {"role", is_entry ? "entry" : "upstream"},
               {"state", is_live ? "live" : "leaving"},
               {"generation", instance.generation},
               {"address", instance.address.host},
               {"port", instance.address.port},
               {"failure_domain", instance.failure_domain}};
  if (!is_entry) {
    json["service"] = instance.service;
    json["slots"] = instance.slots;
    json["offers"] = {{"cpus", instance.offers.cpus},
                      {"memory_mb", instance.offers.memory_mb},
                      {"accelerators", instance.offers.accelerators}};
  }
  return json;
}

}  // namespace

InstanceListResult ParseInstanceList(std::string_view text,
                                     std::string_view source) {
  const Json json = Json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (json.is_discarded()) {
    return Findings{{.location = {.source = std::string(source)},
                     .key = "",
                     .message = "is not valid JSON"}};
  }
  return ListReader(source).Read(json);
}

std::string WriteInstanceList(const InstanceList& list) {
  Json instances = Json::array();
  for (const Instance& instance : list.instances) {
    instances.push_back(ToJson(instance));
  }
  return Json{{"revision", list.revision}, {"instances", std::move(instances)}}
      .dump();
}

}  // namespace jaypick::platform_services
