#include "daemon/exchange.h"

#include <array>
#include <charconv>
#include <cstdio>
#include <string_view>
#include <utility>

#include "daemon/raw_json.h"
#include "jaypick/configuration_codec.h"
#include "platform_services/instance_list_json.h"

namespace jaypick::daemon {
namespace {

constexpr int kHexBase = 16;
constexpr std::size_t kHexDigits = 16;

std::string Hex(std::uint64_t value) {
  std::array<char, kHexDigits + 1> digits{};
  std::snprintf(digits.data(), digits.size(), "%016llx",
                static_cast<unsigned long long>(value));
  return digits.data();
}

std::optional<std::uint64_t> ParseHex(std::string_view text) {
  std::uint64_t value = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, value, kHexBase);
  if (error != std::errc() || rest != end || text.size() != kHexDigits) {
    return std::nullopt;
  }
  return value;
}

std::optional<std::uint64_t> ReadVersion(const RawMembers& members,
                                         std::string_view key) {
  const RawMember* const member = FindMember(members, key);
  const auto value = member == nullptr ? std::nullopt : member->as_integer();
  if (!value || *value < 0) {
    return std::nullopt;
  }
  return static_cast<std::uint64_t>(*value);
}

}  // namespace

ExchangeMessage MakeExchange(const Dispatcher& dispatcher,
                             const ExchangeMessage* known) {
  const Configuration* const configuration = dispatcher.configuration();
  const InstanceList* const instances = dispatcher.instances();
  ExchangeMessage message{.entry = dispatcher.options().entry,
                          .incarnation = dispatcher.options().incarnation,
                          .configuration = std::nullopt,
                          .instances = std::nullopt};
  if (configuration != nullptr) {
    message.configuration_version = configuration->version();
    if (known != nullptr &&
        configuration->version() > known->configuration_version) {
      message.configuration = *configuration;
    }
  }
  if (instances != nullptr) {
    message.instances_revision = instances->revision;
    if (known != nullptr && instances->revision > known->instances_revision) {
      message.instances = *instances;
    }
  }
  return message;
}

std::string WriteExchange(const ExchangeMessage& message) {
  std::string json = "{\"entry\":";
  AppendJsonString(json, message.entry);
  json += ",\"incarnation\":\"" + Hex(message.incarnation.value) + '"';
  json +=
      ",\"config_version\":" + std::to_string(message.configuration_version);
  json +=
      ",\"instances_revision\":" + std::to_string(message.instances_revision);
  if (message.configuration) {
    json += ",\"config\":" + EncodeConfiguration(*message.configuration);
  }
  if (message.instances) {
    json += ",\"instances\":" +
            platform_services::WriteInstanceList(*message.instances);
  }
  return json + '}';
}

std::variant<ExchangeMessage, std::string> ReadExchange(
    const std::string& text) {
  const auto read = ReadMembers(text);
  if (const auto* const error = std::get_if<JsonSyntaxError>(&read)) {
    return error->message;
  }
  const auto& members = std::get<RawMembers>(read);
  const RawMember* const entry = FindMember(members, "entry");
  const RawMember* const incarnation = FindMember(members, "incarnation");
  const auto version = ReadVersion(members, "config_version");
  const auto revision = ReadVersion(members, "instances_revision");
  const auto number =
      incarnation == nullptr ? std::nullopt : ParseHex(incarnation->text);
  if (entry == nullptr || !number || !version || !revision) {
    return "entry, incarnation, config_version or instances_revision is "
           "missing or malformed";
  }
  ExchangeMessage message{.entry = entry->text,
                          .incarnation = {*number},
                          .configuration_version = *version,
                          .instances_revision = *revision,
                          .configuration = std::nullopt,
                          .instances = std::nullopt};
  if (const RawMember* const config = FindMember(members, "config")) {
    auto decoded = DecodeConfiguration(config->raw, "config");
    if (const auto* const findings = std::get_if<Findings>(&decoded)) {
      return ToString(findings->front());
    }
    message.configuration = std::get<Configuration>(std::move(decoded));
  }
  if (const RawMember* const list = FindMember(members, "instances")) {
    auto decoded = platform_services::ParseInstanceList(list->raw, "instances");
    if (const auto* const findings = std::get_if<Findings>(&decoded)) {
      return ToString(findings->front());
    }
    message.instances = std::get<InstanceList>(std::move(decoded));
  }
  return message;
}

void OfferExchange(MessageBus& message_bus, ExchangeMessage message) {
  message_bus.Send(
      PeerSeen{.entry = std::move(message.entry),
               .configuration_version = message.configuration_version});
  if (message.configuration) {
    message_bus.Send(Event(ConfigurationOffered{
        .configuration = *std::move(message.configuration)}));
  }
  if (message.instances) {
    message_bus.Send(
        Event(InstancesOffered{.list = *std::move(message.instances)}));
  }
}

}  // namespace jaypick::daemon
