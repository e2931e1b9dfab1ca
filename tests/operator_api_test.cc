// Tests of the request and response bodies of the operator API.
#include <criterion/criterion.h>

#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

#include "jaypick/configuration_codec.h"
#include "jaypick/operator_api.h"
#include "standins/fake_key_value_store.h"

namespace jaypick {
namespace {

using nlohmann::json;

std::string Sheet() {
  std::ifstream file("examples/wig-banks/sheet.csv", std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

struct Fixture {
  standin::FakeKeyValueStore store{TimePoint{}};
  std::optional<Configuration> in_force;
  OperatorApi api{
      {.store = &store,
       .in_force = [this] { return in_force; },
       .unix_ms = [] { return std::int64_t{1000}; },
       .on_accepted = [this](const Configuration& c) { in_force = c; }}};
  int status = 0;

  using Call = void (OperatorApi::*)(std::string_view, OperatorReply);

  json Send(Call call, const std::string& body) {
    std::optional<json> result;
    (api.*call)(body, [&](const OperatorResponse& response) {
      status = response.status;
      result = json::parse(response.body);
    });
    store.AdvanceTo(store.now() + std::chrono::seconds(10));
    cr_assert(result, "no response");
    return *result;
  }
};

json Body(const std::string& sheet, int base, const std::string& id) {
  return {{"sheet", sheet},
          {"base_version", base},
          {"author", "ann"},
          {"operation_id", id}};
}

// Guards against response bodies of check, apply and audit that differ from
// docs/API.md.
Test(operator_api, check_apply_and_audit) {
  Fixture fixture;
  cr_assert(fixture.api.ShowConfiguration().status == 404);
  const json check =
      fixture.Send(&OperatorApi::Check, json{{"sheet", Sheet()}}.dump());
  cr_assert(fixture.status == 200 && check["findings"].empty());
  cr_assert(check["diff"]["changes"].size() == 6);
  cr_assert(check["base_version"] == 0 && check["head_read"] == true);

  const json applied =
      fixture.Send(&OperatorApi::Apply, Body(Sheet(), 0, "op-1").dump());
  cr_assert(fixture.status == 200 && applied["version"] == 1);
  cr_assert(fixture.in_force->header().digest == applied["digest"]);
  cr_assert(ContentDigest(fixture.in_force->content()) == applied["digest"]);
  cr_assert(fixture.api.ShowConfiguration().body ==
            EncodeConfiguration(*fixture.in_force));

  const json stale =
      fixture.Send(&OperatorApi::Apply, Body(Sheet(), 0, "op-2").dump());
  cr_assert(fixture.status == 409 && stale["reason"] == "stale_base");
  cr_assert(stale["head_version"] == 1 && stale["diff"]["changes"].empty());

  const json refused =
      fixture.Send(&OperatorApi::Apply, Body("record\n", 1, "op-3").dump());
  cr_assert(fixture.status == 422 && refused["findings"][0]["row"] == 1);

  const json trail = fixture.Send(&OperatorApi::Audit, "");
  cr_assert(fixture.status == 200 && trail["entries"].size() == 3);
  cr_assert(trail["findings"].empty());
  fixture.Send(&OperatorApi::Audit, "0");
  cr_assert(fixture.status == 400);
}

// Guards against applying a request with unknown, missing or invalid members.
Test(operator_api, bad_requests_are_refused) {
  Fixture fixture;
  json unknown = Body(Sheet(), 0, "op");
  unknown["force"] = true;
  json no_base = Body(Sheet(), 0, "op");
  no_base.erase("base_version");
  json no_author = Body(Sheet(), 0, "op");
  no_author["author"] = "";
  for (const std::string& body :
       {std::string("{"), std::string("[]"), unknown.dump(), no_base.dump(),
        no_author.dump(), Body(Sheet(), -1, "op").dump(),
        Body(Sheet(), 0, "a/b").dump(), Body(Sheet(), 0, "").dump()}) {
    const json refusal = fixture.Send(&OperatorApi::Apply, body);
    cr_assert(fixture.status == 400, "%s", body.c_str());
    cr_assert(!refusal["findings"].empty());
  }
  cr_assert(!fixture.in_force);
}

// Guards against an outage of the key-value service that is reported as a
// refusal.
Test(operator_api, outage_is_reported_as_unavailable) {
  Fixture fixture;
  fixture.store.faults().down = true;
  const json apply =
      fixture.Send(&OperatorApi::Apply, Body(Sheet(), 0, "op").dump());
  cr_assert(fixture.status == 503 && apply["reason"] == "platform_unavailable");
  fixture.Send(&OperatorApi::Audit, "5");
  cr_assert(fixture.status == 503);
  const json check =
      fixture.Send(&OperatorApi::Check, json{{"sheet", Sheet()}}.dump());
  cr_assert(fixture.status == 200 && check["head_read"] == false);
}

// Guards against an entry with an unknown version that appears to be up to
// date.
Test(operator_api, instances_show_unknown_versions_as_null) {
  InstancesView view;
  view.list.revision = 9;
  view.list.instances = {
      {.name = "e1", .role = InstanceRole::kEntry},
      {.name = "e2", .role = InstanceRole::kEntry},
      {.name = "u1", .state = InstanceState::kLeaving, .service = "fitting"}};
  view.config_versions["e1"] = 4;
  view.ejected_upstreams = {"u1"};
  const json body = json::parse(OperatorApi::ShowInstances(view).body);
  cr_assert(body["revision"] == 9);
  cr_assert(body["entries"][0]["config_version"] == 4);
  cr_assert(body["entries"][1]["config_version"].is_null());
  cr_assert(body["upstreams"][0]["state"] == "leaving");
  cr_assert(body["upstreams"][0]["ejected"] == true);
}

}  // namespace
}  // namespace jaypick
