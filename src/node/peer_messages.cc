#include "node/peer_messages.h"

#include <algorithm>
#include <array>
#include <exception>
#include <utility>

#include <nlohmann/json.hpp>

#include "node/address.h"
#include "node/bounded_json.h"

namespace jaypick::node {
namespace {

using nlohmann::json;

std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

// Thrown for a member that has the right type, but no usable value.
class InvalidMember : public std::exception {};

// Decodes with the checked accessors of the JSON library, which throw if a
// member is missing or has the wrong type, also if the text cannot be read.
// Returns nullopt in that case.
template <typename Value, typename Decoder>
std::optional<Value> DecodeWith(std::string_view text, const Decoder& decoder) {
  try {
    const json value = ParseBounded(text);
    return decoder(value);
  } catch (const json::exception&) {
    return std::nullopt;
  } catch (const InvalidMember&) {
    return std::nullopt;
  }
}

Address AddressFrom(const json& value) {
  const json& port = value.at("port");
  auto address = ToConnectableAddress(
      value.at("host"),
      port.is_number_unsigned() ? port.get<std::uint64_t>() : 0);
  if (!address) {
    throw InvalidMember();
  }
  return *std::move(address);
}

json ToJson(const schedule::Step& step) {
  return {{"tasks", step.tasks},
          {"milli_cpus", step.needs.milli_cpus},
          {"memory_mb", step.needs.memory_mb},
          {"accelerators", step.needs.accelerators},
          {"declared_us", step.declared_run_time.count()},
          {"after", step.after},
          {"required_label", step.required_label},
          {"preferred_rack", step.preferred_rack},
          {"tasks_per_upstream", step.tasks_per_upstream}};
}

schedule::Step StepFrom(const json& value) {
  return {.tasks = value.at("tasks"),
          .needs = {.milli_cpus = value.at("milli_cpus"),
                    .memory_mb = value.at("memory_mb"),
                    .accelerators = value.at("accelerators")},
          .declared_run_time = Duration(value.at("declared_us")),
          .after = value.at("after"),
          .required_label = value.at("required_label"),
          .preferred_rack = value.at("preferred_rack"),
          .tasks_per_upstream = value.at("tasks_per_upstream")};
}

json ToJson(const schedule::JobSpec& spec) {
  json steps = json::array();
  for (const schedule::Step& step : spec.steps) {
    steps.push_back(ToJson(step));
  }
  return {{"id", spec.id},
          {"kind", spec.kind.name},
          {"service", spec.kind.service},
          {"priority", spec.kind.priority},
          {"max_attempts", spec.kind.max_attempts},
          {"stretch", spec.kind.stretch},
          {"target_us", spec.kind.target_latency.count()},
          {"payload", spec.payload},
          {"entry_domain", spec.entry_domain},
          {"steps", std::move(steps)}};
}

schedule::JobSpec SpecFrom(const json& value) {
  schedule::JobSpec spec{
      .id = value.at("id"),
      .kind = {.name = value.at("kind"),
               .service = value.at("service"),
               .priority = value.at("priority"),
               .max_attempts = value.at("max_attempts"),
               .stretch = value.at("stretch"),
               .target_latency = Duration(value.at("target_us"))},
      .payload = value.at("payload"),
      // Nodes of earlier versions do not send it.
      .entry_domain = value.value("entry_domain", "")};
  for (const json& step : value.at("steps")) {
    spec.steps.push_back(StepFrom(step));
  }
  return spec;
}

json ToJson(const LeadershipStatus& status) {
  return {{"domain", status.failure_domain},
          {"draining", status.is_draining},
          {"held", status.held_upstreams},
          {"successor", status.successor},
          {"backlog", status.load.backlog_core_seconds},
          {"cores", status.load.cores},
          {"wait_us", status.load.wait.count()}};
}

LeadershipStatus StatusFrom(const json& value) {
  return {.failure_domain = value.at("domain"),
          .is_draining = value.at("draining"),
          .held_upstreams = value.at("held"),
          // Nodes of earlier versions do not report it.
          .successor = value.value("successor", ""),
          .load = {.backlog_core_seconds = value.at("backlog"),
                   .cores = value.at("cores"),
                   .wait = Duration(value.at("wait_us"))}};
}

json ToJson(const LeaderRecord& record) {
  return {{"instance", record.instance},
          {"domain", record.failure_domain},
          {"incarnation", record.incarnation},
          {"host", record.address.host},
          {"port", record.address.port},
          {"processor_share", record.processor_share}};
}

LeaderRecord RecordFrom(const json& value) {
  return {.instance = value.at("instance"),
          .failure_domain = value.at("domain"),
          .incarnation = value.at("incarnation"),
          .address = AddressFrom(value),
          .processor_share = value.at("processor_share")};
}

json ToJson(const Delegation& delegation) {
  return {{"domain", delegation.failure_domain},
          {"from", ToJson(delegation.from)},
          {"to", ToJson(delegation.to)},
          {"token", delegation.token},
          {"held", delegation.held_upstreams}};
}

Delegation DelegationFrom(const json& value) {
  return {.failure_domain = value.at("domain"),
          .from = RecordFrom(value.at("from")),
          .to = RecordFrom(value.at("to")),
          .token = value.at("token"),
          .held_upstreams = value.at("held")};
}

json ToJson(const std::vector<Delegation>& delegations) {
  json values = json::array();
  for (const Delegation& delegation : delegations) {
    values.push_back(ToJson(delegation));
  }
  return values;
}

std::vector<Delegation> DelegationsFrom(const json& values) {
  std::vector<Delegation> delegations;
  for (const json& value : values) {
    delegations.push_back(DelegationFrom(value));
  }
  return delegations;
}

bool IsUtf8(const std::string& text) {
  const auto is_ascii = [](char character) {
    return static_cast<unsigned char>(character) < 0x80U;
  };
  if (std::ranges::all_of(text, is_ascii)) {
    return true;
  }
  try {
    json(text).dump();
    return true;
  } catch (const json::exception&) {
    return false;
  }
}

// A value with bytes that are not UTF-8 cannot be read. It is sent as an empty
// text: with these bytes replaced, the receiver could read it.
json ToJson(const MirroredItems& items) {
  json values = json::array();
  for (const auto& [key, item] : items) {
    values.push_back({{"key", key},
                      {"value", IsUtf8(item.value) ? item.value : ""},
                      {"created", item.create_revision},
                      {"modified", item.mod_revision},
                      {"lease", item.lease}});
  }
  return values;
}

MirroredItems ItemsFrom(const json& values) {
  MirroredItems items;
  for (const json& value : values) {
    KeyValue item{.key = value.at("key"),
                  .value = value.at("value"),
                  .create_revision = value.at("created"),
                  .mod_revision = value.at("modified"),
                  .lease = value.at("lease")};
    std::string key = item.key;
    items.emplace(std::move(key), std::move(item));
  }
  return items;
}

json ToJson(const StoreStatus& store) {
  return {{"connected", store.is_connected},
          {"configuration", store.configuration_revision},
          {"upstreams", store.upstream_revision},
          {"leaders", store.leader_revision}};
}

StoreStatus StoreStatusFrom(const json& value) {
  return {.is_connected = value.at("connected"),
          .configuration_revision = value.at("configuration"),
          .upstream_revision = value.at("upstreams"),
          .leader_revision = value.at("leaders")};
}

// Nodes of earlier versions know the causes 0 to 2, and take a loss of cause 0
// for a crash once a later incarnation responds.
constexpr std::array kLossCauses = {schedule::LossCause::kSilent,
                                    schedule::LossCause::kCrashed,
                                    schedule::LossCause::kRecovered};

json ToJson(const schedule::UpstreamLoss& loss) {
  json value = {{"job", loss.task.job},
                {"step", loss.task.step},
                {"index", loss.task.index},
                {"upstream", loss.upstream.id},
                {"started_ms", loss.upstream.started_unix_ms},
                {"cause", 0},
                {"age_us", loss.age.count()}};
  if (loss.cause == schedule::LossCause::kLikelyCrashed) {
    value["likely_crashed"] = true;
  } else {
    value["cause"] =
        std::ranges::find(kLossCauses, loss.cause) - kLossCauses.begin();
  }
  return value;
}

schedule::UpstreamLoss LossFrom(const json& value) {
  const auto number = static_cast<std::size_t>(
      std::clamp(value.at("cause").get<int>(), 0,
                 static_cast<int>(kLossCauses.size()) - 1));
  schedule::LossCause cause = kLossCauses.at(number);
  if (cause == schedule::LossCause::kSilent &&
      value.value("likely_crashed", false)) {
    cause = schedule::LossCause::kLikelyCrashed;
  }
  return {.task = {.job = value.at("job"),
                   .step = value.at("step"),
                   .index = value.at("index")},
          .upstream = {.id = value.at("upstream"),
                       .started_unix_ms = value.at("started_ms")},
          .cause = cause,
          .age = Duration(value.at("age_us"))};
}

std::optional<std::int64_t> OptionalIntegerFrom(const json& value,
                                                const char* member) {
  return value.contains(member)
             ? std::optional(value.at(member).get<std::int64_t>())
             : std::nullopt;
}

json ToJson(const JobLocation& location) {
  return {{"domain", location.leadership.failure_domain},
          {"incarnation", location.leadership.incarnation},
          {"host", location.leadership.address.host},
          {"port", location.leadership.address.port},
          {"left_us", location.time_left.count()}};
}

JobLocation LocationFrom(const json& value) {
  return {.leadership = {.failure_domain = value.at("domain"),
                         .incarnation = value.at("incarnation"),
                         .address = AddressFrom(value)},
          .time_left = Duration(value.at("left_us"))};
}

std::optional<JobLocation> ActiveFrom(const json& value) {
  return value.contains("active")
             ? std::optional(LocationFrom(value.at("active")))
             : std::nullopt;
}

json ToJson(const DomainJobs& domain) {
  json jobs = json::array();
  for (const ReportedJob& job : domain.jobs) {
    jobs.push_back({{"id", job.job},
                    {"owner", job.owner},
                    {"located", job.is_located},
                    {"location", ToJson(job.location)}});
  }
  return {{"domain", domain.failure_domain},
          {"earlier_leader", domain.is_of_earlier_leader},
          {"token", domain.token},
          {"jobs", std::move(jobs)}};
}

DomainJobs DomainJobsFrom(const json& value) {
  DomainJobs domain{.failure_domain = value.at("domain"),
                    .is_of_earlier_leader = value.at("earlier_leader"),
                    // Nodes of earlier versions do not send it.
                    .token = value.value("token", std::uint64_t{0})};
  for (const json& job : value.at("jobs")) {
    domain.jobs.push_back({.job = job.at("id"),
                           .owner = job.at("owner"),
                           .is_located = job.at("located"),
                           .location = LocationFrom(job.at("location"))});
  }
  return domain;
}

struct OutcomeToJson {
  json operator()(const schedule::Completed&) const {
    return {{"outcome", "completed"}};
  }
  json operator()(const schedule::Refused& refused) const {
    return {{"outcome", "refused"},
            {"reason", static_cast<int>(refused.reason)},
            {"retry_us", refused.retry_after.count()},
            {"may_have_run", refused.may_have_run}};
  }
  json operator()(const schedule::Failed& failed) const {
    return {{"outcome", "failed"}, {"reason", static_cast<int>(failed.reason)}};
  }
};

schedule::JobOutcome OutcomeFrom(const json& value) {
  const std::string outcome = value.at("outcome");
  if (outcome == "completed") {
    return schedule::Completed{};
  }
  const auto reason =
      static_cast<schedule::RefusalReason>(value.at("reason").get<int>());
  if (outcome == "refused") {
    return schedule::Refused{
        .reason = reason,
        .retry_after = Duration(value.at("retry_us")),
        .may_have_run = value.value("may_have_run", false)};
  }
  return schedule::Failed{.reason = reason};
}

}  // namespace

std::string Encode(const ForwardedJob& message) {
  json value = {{"job", ToJson(message.spec)},
                {"domain", message.failure_domain},
                {"instance", message.instance},
                {"elapsed_us", message.elapsed.count()},
                {"deadline_us", message.deadline_us},
                {"number", message.number},
                {"sent_us", message.sent_us},
                {"required_incarnation", message.required_incarnation},
                {"entry_incarnation", message.entry_incarnation},
                {"inactive_at", message.inactive_at},
                {"registrar_token", message.registrar_token}};
  if (message.sent_at_us) {
    value["sent_at_us"] = *message.sent_at_us;
  }
  return Dump(value);
}

std::optional<ForwardedJob> DecodeForwardedJob(std::string_view text) {
  return DecodeWith<ForwardedJob>(text, [](const json& value) {
    return ForwardedJob{
        .spec = SpecFrom(value.at("job")),
        .failure_domain = value.at("domain"),
        .instance = value.at("instance"),
        .elapsed = Duration(value.at("elapsed_us")),
        .deadline_us = value.at("deadline_us"),
        .number = value.value("number", control::ForwardNumber{0}),
        .sent_us = value.value("sent_us", std::int64_t{0}),
        .sent_at_us = OptionalIntegerFrom(value, "sent_at_us"),
        .required_incarnation = value.value("required_incarnation", ""),
        // Nodes of earlier versions do not send the following.
        .entry_incarnation = value.value("entry_incarnation", ""),
        .inactive_at = value.value("inactive_at", ""),
        .registrar_token = value.value("registrar_token", std::uint64_t{0})};
  });
}

std::string Encode(const ForwardedJobResponse& message) {
  json value = std::visit(OutcomeToJson(), message.outcome);
  value["elsewhere"] = message.is_not_leader;
  value["inactive"] = message.is_inactive;
  if (message.active) {
    value["active"] = ToJson(*message.active);
  }
  return Dump(value);
}

std::optional<ForwardedJobResponse> DecodeForwardedJobResponse(
    std::string_view text) {
  return DecodeWith<ForwardedJobResponse>(text, [](const json& value) {
    return ForwardedJobResponse{.outcome = OutcomeFrom(value),
                                .is_not_leader = value.at("elsewhere"),
                                .is_inactive = value.value("inactive", false),
                                .active = ActiveFrom(value)};
  });
}

std::string Encode(const RegistrationRequest& message) {
  return Dump({{"id", message.job},
               {"domain", message.failure_domain},
               {"owner", message.owner},
               {"destination", ToJson(message.destination)},
               {"inactive_at", message.inactive_at}});
}

std::optional<RegistrationRequest> DecodeRegistrationRequest(
    std::string_view text) {
  return DecodeWith<RegistrationRequest>(text, [](const json& value) {
    return RegistrationRequest{
        .job = value.at("id"),
        .failure_domain = value.at("domain"),
        .owner = value.at("owner"),
        .destination = LocationFrom(value.at("destination")),
        .inactive_at = value.at("inactive_at")};
  });
}

std::string Encode(const RegistrationResponse& message) {
  json value = {{"elsewhere", message.is_not_leader}, {"token", message.token}};
  if (message.active) {
    value["active"] = ToJson(*message.active);
  }
  return Dump(value);
}

std::optional<RegistrationResponse> DecodeRegistrationResponse(
    std::string_view text) {
  return DecodeWith<RegistrationResponse>(text, [](const json& value) {
    return RegistrationResponse{.is_not_leader = value.at("elsewhere"),
                                .active = ActiveFrom(value),
                                .token = value.at("token")};
  });
}

std::string Encode(const Ping& message) {
  json value = {{"sender", ToJson(message.sender)},
                {"draining", message.is_draining},
                {"wanted", message.requested_domains}};
  if (message.losses_after) {
    value["losses_after"] = *message.losses_after;
  }
  if (!message.taken_over.empty()) {
    json& domains = value["taken_over"] = json::array();
    for (const TakenOverDomain& domain : message.taken_over) {
      domains.push_back(
          {{"domain", domain.failure_domain}, {"token", domain.token}});
    }
  }
  if (message.sent) {
    value["sent"] = {{"incarnation", message.sent->incarnation},
                     {"clock_us", message.sent->clock_us}};
  }
  if (!message.withdrawn.empty()) {
    value["withdrawn"] = message.withdrawn;
  }
  return Dump(value);
}

std::optional<Ping> DecodePing(std::string_view text) {
  return DecodeWith<Ping>(text, [](const json& value) {
    Ping ping{.sender = RecordFrom(value.at("sender")),
              .is_draining = value.at("draining"),
              .requested_domains = value.at("wanted")};
    if (value.contains("losses_after")) {
      ping.losses_after = value.at("losses_after").get<std::uint64_t>();
    }
    if (value.contains("taken_over")) {
      for (const json& domain : value.at("taken_over")) {
        ping.taken_over.push_back({.failure_domain = domain.at("domain"),
                                   .token = domain.at("token")});
      }
    }
    if (value.contains("sent")) {
      const json& sent = value.at("sent");
      ping.sent = ProcessTime{.incarnation = sent.at("incarnation"),
                              .clock_us = sent.at("clock_us")};
    }
    if (value.contains("withdrawn")) {
      value.at("withdrawn").get_to(ping.withdrawn);
    }
    return ping;
  });
}

std::string Encode(const PingResponse& message) {
  json statuses = json::array();
  for (const LeadershipStatus& status : message.statuses) {
    statuses.push_back(ToJson(status));
  }
  json relayed = json::array();
  for (const RelayedStatus& each : message.relayed) {
    relayed.push_back({{"status", ToJson(each.status)},
                       {"incarnation", each.incarnation},
                       {"age_us", each.age.count()}});
  }
  json value = {{"clock_us", message.clock_us},
                {"incarnation", message.incarnation},
                {"configuration", message.configuration_version},
                {"commands", std::move(statuses)},
                {"delegations", ToJson(message.delegations)},
                {"store", ToJson(message.store)},
                {"relayed", std::move(relayed)},
                {"losses_until", message.losses_until}};
  if (!message.losses.empty()) {
    json& losses = value["losses"] = json::array();
    for (const schedule::UpstreamLoss& loss : message.losses) {
      losses.push_back(ToJson(loss));
    }
  }
  if (!message.jobs.empty()) {
    json& domains = value["jobs"] = json::array();
    for (const DomainJobs& domain : message.jobs) {
      domains.push_back(ToJson(domain));
    }
  }
  if (!message.withdrawn.empty()) {
    value["withdrawn"] = message.withdrawn;
  }
  return Dump(value);
}

std::optional<PingResponse> DecodePingResponse(std::string_view text) {
  return DecodeWith<PingResponse>(text, [](const json& value) {
    PingResponse response{.clock_us = value.at("clock_us"),
                          .incarnation = value.at("incarnation"),
                          .configuration_version = value.at("configuration")};
    for (const json& status : value.at("commands")) {
      response.statuses.push_back(StatusFrom(status));
    }
    response.delegations = DelegationsFrom(value.at("delegations"));
    // Nodes of earlier versions do not report the following.
    if (value.contains("store")) {
      response.store = StoreStatusFrom(value.at("store"));
    }
    if (value.contains("relayed")) {
      for (const json& each : value.at("relayed")) {
        response.relayed.push_back({.status = StatusFrom(each.at("status")),
                                    .incarnation = each.at("incarnation"),
                                    .age = Duration(each.at("age_us"))});
      }
    }
    if (value.contains("losses_until")) {
      response.losses_until = value.at("losses_until");
    }
    if (value.contains("losses")) {
      for (const json& loss : value.at("losses")) {
        response.losses.push_back(LossFrom(loss));
      }
    }
    if (value.contains("jobs")) {
      for (const json& domain : value.at("jobs")) {
        response.jobs.push_back(DomainJobsFrom(domain));
      }
    }
    if (value.contains("withdrawn")) {
      value.at("withdrawn").get_to(response.withdrawn);
    }
    return response;
  });
}

std::string Encode(const LeaderRecord& record) {
  return Dump(ToJson(record));
}

std::optional<LeaderRecord> DecodeLeaderRecord(std::string_view text) {
  return DecodeWith<LeaderRecord>(text, RecordFrom);
}

std::string Encode(const Delegation& delegation) {
  return Dump(ToJson(delegation));
}

std::optional<Delegation> DecodeDelegation(std::string_view text) {
  return DecodeWith<Delegation>(text, DelegationFrom);
}

std::string Encode(const DelegationOffer& offer) {
  json value = ToJson(offer.delegation);
  value["upstreams"] = ToJson(offer.upstreams);
  return Dump(value);
}

std::optional<DelegationOffer> DecodeDelegationOffer(std::string_view text) {
  return DecodeWith<DelegationOffer>(text, [](const json& value) {
    DelegationOffer offer{.delegation = DelegationFrom(value)};
    // Nodes of earlier versions do not send them.
    if (value.contains("upstreams")) {
      offer.upstreams = ItemsFrom(value.at("upstreams"));
    }
    return offer;
  });
}

std::string Encode(const DelegationResponse& response) {
  return Dump({{"accepted", response.is_accepted}});
}

std::optional<DelegationResponse> DecodeDelegationResponse(
    std::string_view text) {
  return DecodeWith<DelegationResponse>(text, [](const json& value) {
    return DelegationResponse{.is_accepted = value.at("accepted")};
  });
}

std::string Encode(const StoreSnapshot& snapshot) {
  json prefixes = json::array();
  for (const MirrorChanges& mirror : snapshot.mirrors) {
    json prefix = {{"prefix", mirror.prefix},
                   {"since", mirror.since},
                   {"revision", mirror.revision},
                   {"items", ToJson(mirror.items)},
                   {"removed", mirror.removed}};
    if (mirror.age) {
      prefix["age_us"] = mirror.age->count();
    }
    prefixes.push_back(std::move(prefix));
  }
  return Dump({{"mirrors", std::move(prefixes)},
               {"delegations", ToJson(snapshot.delegations)}});
}

std::optional<StoreSnapshot> DecodeStoreSnapshot(std::string_view text) {
  return DecodeWith<StoreSnapshot>(text, [](const json& value) {
    StoreSnapshot snapshot{.delegations =
                               DelegationsFrom(value.at("delegations"))};
    for (const json& prefix : value.at("mirrors")) {
      MirrorChanges mirror{.prefix = prefix.at("prefix"),
                           .revision = prefix.at("revision"),
                           .items = ItemsFrom(prefix.at("items"))};
      // Nodes of earlier versions send all items, without the other members.
      if (prefix.contains("since")) {
        mirror.since = prefix.at("since");
        mirror.removed = prefix.at("removed");
      }
      if (prefix.contains("age_us")) {
        mirror.age = Duration(prefix.at("age_us"));
      }
      snapshot.mirrors.push_back(std::move(mirror));
    }
    return snapshot;
  });
}

}  // namespace jaypick::node
