// Messages between nodes: encoding and decoding, and rejection of malformed
// input.
#include "node/peer_messages.h"

#include <criterion/criterion.h>

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <variant>

namespace jaypick::node {
namespace {

const LeaderRecord kFrom{.instance = "n1",
                         .failure_domain = "ghent",
                         .incarnation = "1-2",
                         .address = {.host = "127.0.0.1", .port = 7001},
                         .processor_share = 0.25};
const LeaderRecord kTo{.instance = "n2",
                       .failure_domain = "antwerp",
                       .incarnation = "3-4",
                       .address = {.host = "127.0.0.1", .port = 7002},
                       .processor_share = 0.5};
const Delegation kDelegation{.failure_domain = "ghent",
                             .from = kFrom,
                             .to = kTo,
                             .token = (std::uint64_t{9} << 20U) + 131072,
                             .held_upstreams = {"u1", "u2"}};

Test(peer_messages, messages_are_decoded_as_encoded) {
  cr_assert(DecodeLeaderRecord(Encode(kFrom)) == kFrom);
  cr_assert(DecodeDelegation(Encode(kDelegation)) == kDelegation);
  const DelegationResponse accepted{.is_accepted = true};
  cr_assert(DecodeDelegationResponse(Encode(accepted)) == accepted);
  const Ping ping{
      .sender = kFrom, .is_draining = true, .requested_domains = {"ghent"}};
  cr_assert(DecodePing(Encode(ping)) == ping);
  Ping request = ping;
  request.losses_after = 17;
  cr_assert(DecodePing(Encode(request)) == request);
  const PingResponse response{
      .clock_us = 12,
      .incarnation = "1-2",
      .configuration_version = 3,
      .statuses = {{.failure_domain = "ghent",
                    .is_draining = true,
                    .held_upstreams = {"u1"},
                    .load = {.backlog_core_seconds = 1.5, .cores = 2}}},
      .delegations = {kDelegation},
      .store = {.is_connected = true,
                .configuration_revision = 4,
                .upstream_revision = 5,
                .leader_revision = 6},
      .relayed = {{.status = {.failure_domain = "antwerp"},
                   .incarnation = "3-4",
                   .age = Duration(70)}},
      .losses = {{.task = {.job = "5c0e7a21d94b36f8", .step = 1, .index = 2},
                  .upstream = {.id = "u1", .started_unix_ms = 9},
                  .cause = schedule::LossCause::kCrashed,
                  .age = Duration(80)}},
      .losses_until = 18};
  const auto read = DecodePingResponse(Encode(response));
  cr_assert(read.has_value());
  cr_assert(read->delegations == response.delegations);
  cr_assert(read->store == response.store);
  cr_assert(read->relayed == response.relayed);
  cr_assert(read->losses == response.losses);
  cr_assert_eq(read->losses_until, response.losses_until);
  cr_assert_eq(read->statuses.size(), 1);
  cr_assert(read->statuses[0].held_upstreams ==
            response.statuses[0].held_upstreams);
}

Test(peer_messages, snapshots_are_decoded_as_encoded) {
  const StoreSnapshot snapshot{
      .mirrors = {{.prefix = "op/",
                   .since = 6,
                   .revision = 8,
                   .age = Duration(1500),
                   .items = {{"op/config",
                              {.key = "op/config",
                               .value = R"({"version":3})",
                               .create_revision = 2,
                               .mod_revision = 8,
                               .lease = 5}}},
                   .removed = {{"op/old", 7}}}},
      .delegations = {kDelegation}};
  const auto read = DecodeStoreSnapshot(Encode(snapshot));
  cr_assert(read.has_value());
  cr_assert(read->delegations == snapshot.delegations);
  cr_assert(read->mirrors == snapshot.mirrors);
  cr_assert(!DecodeStoreSnapshot("[]"));
  cr_assert(!DecodeStoreSnapshot(R"({"mirrors":[{}],"delegations":[]})"));
}

// Guards against nodes that do not understand the messages of an earlier
// version.
Test(peer_messages, members_of_later_versions_are_optional) {
  const auto snapshot = DecodeStoreSnapshot(
      R"({"mirrors":[{"prefix":"op/","revision":8,"items":[]}],"delegations":[]})");
  cr_assert(snapshot.has_value());
  cr_assert_eq(snapshot->mirrors[0].since, 0);
  cr_assert(!snapshot->mirrors[0].age.has_value());
  const auto response = DecodePingResponse(
      R"({"clock_us":1,"incarnation":"a","configuration":2,"commands":[],"delegations":[]})");
  cr_assert(response.has_value());
  cr_assert(!response->store.is_connected);
  const auto offer = DecodeDelegationOffer(Encode(kDelegation));
  cr_assert(offer.has_value());
  cr_assert(offer->delegation == kDelegation);
  cr_assert(offer->upstreams.empty());
  const DelegationOffer whole{
      .delegation = kDelegation,
      .upstreams = {{"servers/a",
                     {.key = "servers/a", .value = "{}", .mod_revision = 9}}}};
  cr_assert(DecodeDelegationOffer(Encode(whole)) == whole);
}

constexpr char kJob[] = "5c0e7a21d94b36f8";

const JobLocation kLocation{
    .leadership = {.failure_domain = "antwerp",
                   .incarnation = "3-4",
                   .address = {.host = "127.0.0.1", .port = 7002}},
    .time_left = Duration(1'250'000)};
const RegistrationRequest kRegistration{.job = kJob,
                                        .failure_domain = "ghent",
                                        .owner = "1-2",
                                        .destination = kLocation,
                                        .inactive_at = "5-6"};
const RegistrationResponse kRegistered{.active = kLocation};
const Ping kTakeOverPing{
    .sender = kFrom,
    .taken_over = {{.failure_domain = "ghent",
                    .token = (std::uint64_t{9} << 20U) + 131072},
                   {.failure_domain = "antwerp", .token = 7}}};
const PingResponse kJobReport{
    .incarnation = "3-4",
    .jobs = {{.failure_domain = "ghent",
              .is_of_earlier_leader = true,
              .jobs = {{.job = kJob, .owner = "1-2", .location = kLocation},
                       {.job = "a1",
                        .is_located = true,
                        .location = {.leadership = kLocation.leadership,
                                     .time_left = Duration(7)}}}},
             {.failure_domain = "antwerp"}}};

// Guards against a forwarded job that loses on its way which process may accept
// it, or which one it came from and which has no run of it.
Test(peer_messages, forwarded_jobs_are_decoded_as_encoded) {
  const ForwardedJob job{
      .spec = {.id = kJob, .steps = {{.tasks = 2}}, .entry_domain = "ghent"},
      .failure_domain = "antwerp",
      .instance = "n1",
      .elapsed = Duration(5),
      .deadline_us = 6,
      .sent_us = 7,
      .sent_at_us = 8,
      .required_incarnation = "3-4",
      .entry_incarnation = "1-2",
      .inactive_at = "5-6"};
  const auto read = DecodeForwardedJob(Encode(job));
  cr_assert(read == job);
}

// Guards against a response that loses where the job may be active, or that its
// sender has no run of it.
Test(peer_messages, responses_to_forwarded_jobs_are_decoded_as_encoded) {
  for (const bool is_inactive : {false, true}) {
    for (const std::optional<JobLocation>& active :
         {std::optional<JobLocation>(), std::optional(kLocation)}) {
      const auto read = DecodeForwardedJobResponse(Encode(ForwardedJobResponse{
          .outcome =
              schedule::Refused{.reason = schedule::RefusalReason::kRunsLost},
          .is_not_leader = !is_inactive,
          .is_inactive = is_inactive,
          .active = active}));
      cr_assert(read.has_value());
      cr_assert_eq(read->is_not_leader, !is_inactive);
      cr_assert_eq(read->is_inactive, is_inactive);
      cr_assert(read->active == active);
      cr_assert(std::holds_alternative<schedule::Refused>(read->outcome));
    }
  }
}

// Guards against a registration, or its response, that changes on its way.
Test(peer_messages, registrations_are_decoded_as_encoded) {
  cr_assert(DecodeRegistrationRequest(Encode(kRegistration)) == kRegistration);
  const auto active = DecodeRegistrationResponse(Encode(kRegistered));
  cr_assert(active.has_value());
  cr_assert(!active->is_not_leader);
  cr_assert(active->active == kLocation);
  const auto refused = DecodeRegistrationResponse(
      Encode(RegistrationResponse{.is_not_leader = true}));
  cr_assert(refused.has_value());
  cr_assert(refused->is_not_leader);
  cr_assert(!refused->active.has_value());
}

// Guards against a new leader that does not ask for the jobs of its domain, or
// reads another report than its peer has sent.
Test(peer_messages, reports_of_jobs_are_decoded_as_encoded) {
  cr_assert(DecodePing(Encode(kTakeOverPing)) == kTakeOverPing);
  const auto read = DecodePingResponse(Encode(kJobReport));
  cr_assert(read.has_value());
  cr_assert(read->jobs == kJobReport.jobs);
}

// Guards against a node that cannot read the messages of an earlier version,
// which do not say where jobs are.
Test(peer_messages, locations_of_jobs_are_optional) {
  const auto response = DecodeForwardedJobResponse(
      R"({"outcome":"completed","elsewhere":false})");
  cr_assert(response.has_value());
  cr_assert(!response->is_inactive);
  cr_assert(!response->active.has_value());
  nlohmann::json value =
      nlohmann::json::parse(Encode(ForwardedJob{.spec = {.id = kJob}}));
  value.erase("entry_incarnation");
  value.erase("inactive_at");
  value.at("job").erase("entry_domain");
  const auto job = DecodeForwardedJob(value.dump());
  cr_assert(job.has_value());
  cr_assert_eq(job->spec.id, kJob);
  cr_assert(job->entry_incarnation.empty());
  cr_assert(job->inactive_at.empty());
  cr_assert(job->spec.entry_domain.empty());
}

// Guards against a cause of a loss that changes on its way to another node, or
// that a node of an earlier version takes for a certain crash.
Test(peer_messages, causes_of_losses_are_kept) {
  using schedule::LossCause;
  for (const auto& [cause, number] : {std::pair{LossCause::kSilent, 0},
                                      std::pair{LossCause::kLikelyCrashed, 0},
                                      std::pair{LossCause::kCrashed, 1},
                                      std::pair{LossCause::kRecovered, 2}}) {
    const PingResponse response{
        .losses = {{.task = {.job = "5c0e7a21d94b36f8"}, .cause = cause}}};
    const std::string text = Encode(response);
    cr_assert(
        text.find("\"cause\":" + std::to_string(number)) != std::string::npos,
        "%s", text.c_str());
    const auto read = DecodePingResponse(text);
    cr_assert(read.has_value());
    cr_assert(read->losses == response.losses, "%s", text.c_str());
  }
}

// Guards against malformed input that crashes a node or makes it lead a domain.
Test(peer_messages, malformed_texts_are_rejected) {
  const std::string whole = Encode(kDelegation);
  for (std::size_t length = 0; length < whole.size(); ++length) {
    cr_assert(!DecodeDelegation(whole.substr(0, length)));
  }
  for (const char* const text :
       {"", "[]", "null", "7", R"({"domain":"ghent"})",
        R"({"domain":"ghent","from":{},"to":{},"token":1})",
        R"({"domain":3,"from":null,"to":null,"token":"x"})"}) {
    cr_assert(!DecodeDelegation(text), "%s", text);
    cr_assert(!DecodeDelegationResponse(text), "%s", text);
    cr_assert(!DecodePing(text), "%s", text);
    cr_assert(!DecodePingResponse(text), "%s", text);
  }
}

// Replaces the first occurrence of `from`, which must exist.
std::string Replaced(std::string text,
                     const std::string& from,
                     const std::string& to) {
  const std::size_t position = text.find(from);
  cr_assert_neq(position, std::string::npos, "%s", from.c_str());
  return text.replace(position, from.size(), to);
}

// Guards against ports that are cut to 16 bits, so that a node calls another
// process.
Test(peer_messages, unusable_addresses_are_rejected) {
  const std::string sound = Encode(kFrom);
  cr_assert(DecodeLeaderRecord(sound));
  for (const char* const port : {"0", "65536", "72537", "-1", "7001.5", "1e300",
                                 "99999999999999999999", "\"7001\"", "null"}) {
    cr_expect(!DecodeLeaderRecord(Replaced(sound, "7001", port)), "%s", port);
  }
  for (const char* const host :
       {"", "localhost", "executor.example", "127.0.0.256"}) {
    cr_expect(!DecodeLeaderRecord(Replaced(sound, "127.0.0.1", host)), "%s",
              host);
  }
}

// Guards against a malformed location of a job that ends a node, or that is
// taken for the answer that the job is active nowhere.
Test(peer_messages, malformed_locations_are_rejected) {
  const std::string request = Encode(kRegistration);
  const std::string registered = Encode(kRegistered);
  const std::string forwarded = Encode(ForwardedJobResponse{
      .outcome = schedule::Completed(), .active = kLocation});
  const std::string report = Encode(kJobReport);
  cr_assert(DecodeRegistrationRequest(request));
  cr_assert(DecodeRegistrationResponse(registered));
  cr_assert(DecodeForwardedJobResponse(forwarded));
  cr_assert(DecodePingResponse(report));
  for (const auto& [from, to] :
       {std::pair{"\"port\":7002", "\"port\":0"},
        std::pair{"\"port\":7002", "\"port\":72538"},
        std::pair{"\"host\":\"127.0.0.1\"", "\"host\":\"localhost\""},
        std::pair{"\"left_us\":1250000", "\"left_us\":\"x\""},
        std::pair{"\"left_us\":1250000", "\"left\":1250000"},
        std::pair{"\"incarnation\":\"3-4\",\"left_us\"",
                  "\"incarnation\":3,\"left_us\""}}) {
    cr_expect(!DecodeRegistrationRequest(Replaced(request, from, to)), "%s",
              to);
    cr_expect(!DecodeRegistrationResponse(Replaced(registered, from, to)), "%s",
              to);
    cr_expect(!DecodeForwardedJobResponse(Replaced(forwarded, from, to)), "%s",
              to);
    cr_expect(!DecodePingResponse(Replaced(report, from, to)), "%s", to);
  }
  for (std::size_t length = 0; length < request.size(); ++length) {
    cr_expect(!DecodeRegistrationRequest(request.substr(0, length)));
  }
  for (const char* const text :
       {"", "[]", "null", "7", "{}", R"({"active":null,"elsewhere":false})",
        R"({"active":{},"elsewhere":false})", R"({"elsewhere":1})"}) {
    cr_expect(!DecodeRegistrationRequest(text), "%s", text);
    cr_expect(!DecodeRegistrationResponse(text), "%s", text);
  }
  for (const char* const jobs :
       {"7", "{\"a\":1}", "[null]", "[{}]",
        R"([{"domain":"ghent","earlier_leader":true,"jobs":[{}]}])",
        R"([{"domain":"ghent","earlier_leader":true}])"}) {
    nlohmann::json value = nlohmann::json::parse(report);
    value["jobs"] = nlohmann::json::parse(jobs);
    cr_expect(!DecodePingResponse(value.dump()), "%s", jobs);
  }
  for (const char* const domains :
       {"7", "[null]", "[{}]", R"([{"domain":"ghent"}])",
        R"([{"domain":"ghent","token":"x"}])"}) {
    nlohmann::json value = nlohmann::json::parse(Encode(kTakeOverPing));
    value["taken_over"] = nlohmann::json::parse(domains);
    cr_expect(!DecodePing(value.dump()), "%s", domains);
  }
}

// Guards against deeply nested texts that exhaust the stack or the memory of a
// process, or that are accepted.
Test(peer_messages, deeply_nested_texts_are_rejected) {
  const Ping ping{.sender = kFrom};
  const StoreSnapshot snapshot{.delegations = {kDelegation}};
  const ForwardedJob job{.spec = {.id = "5c0e7a21d94b36f8"}};
  for (const std::size_t depth : {100U, 200'000U}) {
    const std::string nested =
        "{\"a\":" + std::string(depth, '[') + std::string(depth, ']') + ",";
    const auto with_member = [&](const std::string& sound) {
      return nested + sound.substr(1);
    };
    cr_expect(!DecodePing(with_member(Encode(ping))));
    cr_expect(!DecodePingResponse(with_member(Encode(PingResponse()))));
    cr_expect(!DecodeStoreSnapshot(with_member(Encode(snapshot))));
    cr_expect(!DecodeDelegation(with_member(Encode(kDelegation))));
    cr_expect(!DecodeDelegationOffer(with_member(Encode(kDelegation))));
    cr_expect(
        !DecodeDelegationResponse(with_member(Encode(DelegationResponse()))));
    cr_expect(!DecodeLeaderRecord(with_member(Encode(kFrom))));
    cr_expect(!DecodeForwardedJob(with_member(Encode(job))));
    cr_expect(!DecodeForwardedJobResponse(
        with_member(Encode(ForwardedJobResponse()))));
    cr_expect(!DecodeRegistrationRequest(with_member(Encode(kRegistration))));
    cr_expect(!DecodeRegistrationResponse(with_member(Encode(kRegistered))));
    cr_expect(!DecodePing(std::string(depth, '[')));
    cr_expect(!DecodeStoreSnapshot(std::string(depth, '[')));
  }
}

// Guards against a value with bytes that cannot be read, which a peer could
// read after these bytes were replaced on the way.
Test(peer_messages, unreadable_values_are_unreadable_to_peers_too) {
  const std::string value = "{\"service\":\"s\",\"version\":\"\xff\"}";
  const MirroredItems items = {
      {"servers/a", {.key = "servers/a", .value = value, .mod_revision = 9}},
      {"servers/b",
       {.key = "servers/b",
        .value = "{\"zone\":\"\xc3\xa9\"}",
        .mod_revision = 8}}};
  const auto snapshot = DecodeStoreSnapshot(Encode(
      StoreSnapshot{.mirrors = {{.prefix = "servers/", .items = items}}}));
  const auto offer = DecodeDelegationOffer(
      Encode(DelegationOffer{.delegation = kDelegation, .upstreams = items}));
  cr_assert(snapshot && offer);
  for (const MirroredItems& read :
       {snapshot->mirrors.at(0).items, offer->upstreams}) {
    cr_assert_eq(read.at("servers/a").mod_revision, 9);
    cr_assert(!nlohmann::json::accept(read.at("servers/a").value), "%s",
              read.at("servers/a").value.c_str());
    cr_assert(read.at("servers/b") == items.at("servers/b"));
  }
}

}  // namespace
}  // namespace jaypick::node
