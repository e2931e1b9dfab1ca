// Tests of the platform's instance list: parsing, validation and the client.
#include <criterion/criterion.h>

#include <algorithm>
#include <optional>
#include <string>
#include <variant>

#include "http/client.h"
#include "platform_services/instance_list_client.h"
#include "platform_services/instance_list_json.h"
#include "standins/instances_service.h"
#include "tests/event_loop.h"

namespace jaypick::platform_services {
namespace {

using standin::Json;

constexpr const char* kLoopback = "127.0.0.1";

Json Upstream(const char* name) {
  return {
      {"name", name},
      {"role", "upstream"},
      {"state", "live"},
      {"generation", 1},
      {"address", kLoopback},
      {"port", 8001},
      {"failure_domain", "d1"},
      {"service", "fitting"},
      {"slots", 8},
      {"offers", {{"cpus", 32}, {"memory_mb", 65536}, {"accelerators", 0}}}};
}

Json Entry(const char* name) {
  return {{"name", name},          {"role", "entry"},  {"state", "leaving"},
          {"generation", 3},       {"address", "::1"}, {"port", 8000},
          {"failure_domain", "d1"}};
}

Json List(Json instances) {
  return {{"revision", 7}, {"instances", std::move(instances)}};
}

InstanceListResult Parse(const Json& json) {
  return ParseInstanceList(json.dump(), "list");
}

// Guards against fields that are lost when a list is parsed and serialized
// again, as when it is passed on to a peer.
Test(instance_list, json_form_round_trips) {
  const auto parsed = Parse(List({Upstream("u1"), Entry("e1")}));
  cr_assert(std::holds_alternative<InstanceList>(parsed));
  const auto& list = std::get<InstanceList>(parsed);
  cr_assert_eq(list.revision, 7u);
  const Instance& upstream = list.instances.at(0);
  cr_assert_eq(upstream.offers.memory_mb, 65536u);
  cr_assert_eq(upstream.slots, 8u);
  cr_assert(list.instances.at(1).state == InstanceState::kLeaving);
  const auto again = ParseInstanceList(WriteInstanceList(list), "list");
  cr_assert(std::get<InstanceList>(again) == list);
}

// Guards against accepting a list with an invalid field, and against reporting
// only the first error.
Test(instance_list, invalid_lists_are_rejected_with_all_errors) {
  const auto with = [](const char* key, const Json& value) {
    Json upstream = Upstream("u1");
    upstream[key] = value;
    return List({Upstream("u0"), upstream});
  };
  struct Case {
    Json list;
    std::vector<std::string> keys;
  };
  Json three_errors = with("slots", 0);
  three_errors["instances"][0]["offers"]["cpus"] = -1;
  three_errors["revision"] = 0;
  Json no_port = List({Entry("e1")});
  no_port["instances"][0].erase("port");
  const std::vector<Case> cases = {
      {Json::array(), {""}},
      {Json::object(), {"/revision", "/instances"}},
      {{{"revision", 1}, {"instances", 5}}, {"/instances"}},
      {List({5}), {"/instances/0"}},
      {with("name", "u0"), {"/instances/1/name"}},
      {with("role", "cook"), {"/instances/1/role"}},
      {with("state", "asleep"), {"/instances/1/state"}},
      {with("address", "localhost"), {"/instances/1/address"}},
      {with("port", 65536), {"/instances/1/port"}},
      {with("port", "80"), {"/instances/1/port"}},
      {with("generation", 1.5), {"/instances/1/generation"}},
      {with("service", ""), {"/instances/1/service"}},
      {no_port, {"/instances/0/port"}},
      {three_errors,
       {"/revision", "/instances/0/offers/cpus", "/instances/1/slots"}},
  };
  for (const Case& c : cases) {
    const auto result = Parse(c.list);
    cr_assert(std::holds_alternative<Findings>(result), "%s",
              c.list.dump().c_str());
    std::vector<std::string> keys;
    for (const Finding& finding : std::get<Findings>(result)) {
      keys.push_back(finding.key);
    }
    cr_assert(keys == c.keys, "%s", c.list.dump().c_str());
  }
  cr_assert(std::holds_alternative<Findings>(
      ParseInstanceList("{\"revision\":1", "list")));
}

struct Platform {
  std::variant<InstanceList, InstanceListError> Fetch() {
    std::optional<std::variant<InstanceList, InstanceListError>> result;
    list.Fetch([&](auto fetched) { result = std::move(fetched); });
    cr_assert(loop.RunUntil([&] { return result.has_value(); }));
    return *result;
  }

  testing::EventLoop loop;
  standin::InstancesService service{loop.base(), {}};
  http::Client client{loop.base(), {}};
  InstanceListClient list{&client,
                          {.endpoints = {{kLoopback, service.port()}}}};
};

// Guards against faults of the platform that the client returns as a list
// instead of an error.
Test(instance_list, client_reports_faults) {
  Platform platform;
  platform.service.Control("/put", Upstream("u1"));
  platform.service.Control("/put", Entry("e1"));
  platform.service.Control("/put", {{"name", "u1"}, {"state", "leaving"}});
  const auto fetched = platform.Fetch();
  cr_assert(std::holds_alternative<InstanceList>(fetched));
  const auto& list = std::get<InstanceList>(fetched);
  cr_assert_eq(list.revision, 4u);
  cr_assert(list.instances.at(0).state == InstanceState::kLeaving);
  for (const char* fault : {"down", "silent", "garbage"}) {
    platform.service.Control("/fault", {{fault, true}});
    const auto failed = platform.Fetch();
    cr_assert(std::holds_alternative<InstanceListError>(failed), "%s", fault);
    platform.service.Control("/fault", {{fault, false}});
  }
  cr_assert(std::holds_alternative<InstanceList>(platform.Fetch()));
}

// Guards against sending an unchanged list again with every read.
Test(instance_list, unchanged_list_is_not_sent_again) {
  Platform platform;
  platform.service.Control("/put", Upstream("u1"));
  const auto first = std::get<InstanceList>(platform.Fetch());
  cr_assert(std::get<InstanceList>(platform.Fetch()) == first);
  const auto stats = platform.service.Control("/stats", Json::object());
  cr_assert_eq((*stats)["reads"], 2);
  cr_assert_eq((*stats)["lists_sent"], 1);
  platform.service.Control("/put", Upstream("u2"));
  cr_assert_eq(std::get<InstanceList>(platform.Fetch()).instances.size(), 2u);
}

// Guards against `back` and `lag_ms` faults that do not serve an older list.
Test(instance_list, standin_serves_older_lists) {
  Platform platform;
  platform.service.Control("/put", Upstream("u1"));
  platform.service.Control("/put", Upstream("u2"));
  platform.service.Control("/fault", {{"back", 1}});
  cr_assert_eq(std::get<InstanceList>(platform.Fetch()).revision, 2u);
  platform.service.Control("/fault", {{"back", 0}, {"lag_ms", 600'000}});
  cr_assert_eq(std::get<InstanceList>(platform.Fetch()).revision, 1u);
}

}  // namespace
}  // namespace jaypick::platform_services
