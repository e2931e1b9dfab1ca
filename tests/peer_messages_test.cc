// Messages between nodes: encoding and decoding, and rejection of malformed
// input.
#include "node/peer_messages.h"

#include <criterion/criterion.h>

#include <nlohmann/json.hpp>
#include <string>
#include <utility>

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
