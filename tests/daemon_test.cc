// Tests of an entry with stand-ins for its surroundings, over real sockets.
#include <criterion/criterion.h>

#include <string>

#include "jaypick/configuration_codec.h"
#include "jaypick/configuration_head.h"
#include "platform_services/etcd_client.h"
#include "tests/daemon_rig.h"

namespace jaypick {
namespace {

using http::Response;
using standin::Json;
using testing::DaemonRig;

bool Has(const Response& response, int status, const std::string& text) {
  const bool has = response.status == status &&
                   response.body.find(text) != std::string::npos;
  if (!has) {
    cr_log_error("expected %d %s, found %d %s", status, text.c_str(),
                 response.status, response.body.c_str());
  }
  return has;
}

std::string Id(const std::string& id) {
  return "\"id\":\"" + id + "\"";
}

// Guards against results that are altered, lost or returned in another order
// than the tasks.
Test(daemon, returns_results_unchanged_in_task_order) {
  DaemonRig rig({});
  const std::string tasks =
      R"([{"a": 1.50}, [1, 2] , "x\u00e9", null,true,-1e3, {"k":{"a":[{}]}}])";
  const auto response =
      rig.Post(rig.caller(0), "/v1/jobs",
               DaemonRig::Job(Id(rig.Reserve(0)), tasks, R"(,"reserve":2)"));
  cr_assert(response.status == 200);
  const auto json = Json::parse(response.body);
  cr_assert(json.at("results") == Json::parse(tasks));
  cr_assert(json.at("next_ids").size() == 2);
}

// Guards against a second start of a task when a job is submitted again, at the
// same entry or at another one.
Test(daemon, resubmission_starts_nothing) {
  DaemonRig rig({.entries = 2, .upstreams = 1});
  const std::string body = DaemonRig::Job(Id(rig.Reserve(0)), "[1,2]");
  const auto first = rig.Post(rig.caller(0), "/v1/jobs", body);
  const auto second = rig.Post(rig.caller(0), "/v1/jobs", body);
  const auto forwarded = rig.Post(rig.caller(1), "/v1/jobs", body);
  cr_assert(first.status == 200 && second.body == first.body);
  cr_assert(Json::parse(forwarded.body) == Json::parse(first.body));
  const auto starts = rig.upstreams[0]->Control("/starts", {});
  cr_assert(starts->at("starts").size() == 2);
}

// Guards against two jobs under one submission key.
Test(daemon, key_runs_once_over_all_entries) {
  DaemonRig rig({.entries = 2, .upstreams = 1});
  const std::string body = DaemonRig::Job(R"("key":"order-7")", "[1]");
  const auto first = rig.Post(rig.caller(0), "/v1/jobs", body);
  const auto second = rig.Post(rig.caller(1), "/v1/jobs", body);
  cr_assert(Has(first, 200, "complete"));
  cr_assert(Json::parse(first.body).at("id") ==
            Json::parse(second.body).at("id"));
  const auto starts = rig.upstreams[0]->Control("/starts", {});
  cr_assert(starts->at("starts").size() == 1);
}

// Guards against invalid input that is accepted, or reported without the JSON
// pointer of the field.
Test(daemon, reports_every_field_error) {
  DaemonRig rig({});
  const auto port = rig.caller(0);
  const auto submit = [&](const std::string& body) {
    return rig.Post(port, "/v1/jobs", body);
  };
  const auto job = [&](const std::string& tasks, const std::string& more = "") {
    return submit(DaemonRig::Job(Id(rig.Reserve(0)), tasks, more));
  };
  const auto named = [&](const std::string& owner, const std::string& kind) {
    return submit("{" + Id(rig.Reserve(0)) + ",\"owner\":\"" + owner +
                  R"(","service":"s","tasks":[1],"kind":")" + kind + "\"}");
  };
  std::string many = "[0";
  for (int i = 0; i < 410; ++i) {
    many += ",0";
  }
  cr_assert(Has(submit("{\"id\": "), 400, "line 1, column"));
  cr_assert(Has(submit("[]"), 400, "expected an object"));
  cr_assert(Has(job("[]"), 400, "\"place\":\"/tasks\""));
  cr_assert(Has(job(many + "]"), 400, "found 411"));
  cr_assert(Has(job("[1]", ",\"timeout_ms\":0"), 400,
                R"("/timeout_ms","message":"the deadline is in the past)"));
  cr_assert(Has(job("[1]", ",\"timeout_ms\":60001"), 400, "/timeout_ms"));
  cr_assert(Has(job("[1]", ",\"tiemout_ms\":1"), 400, "unknown field"));
  cr_assert(Has(job("[1]", ",\"wait\":true,\"wait\":1"), 400, "occurs twice"));
  cr_assert(Has(named("o", "nope"), 400, "\"place\":\"/kind\""));
  cr_assert(Has(named("o", "large"), 400, "no upstream has what"));
  cr_assert(Has(submit(DaemonRig::Job("\"id\":\"x\"", "[1]")), 400, "/id"));
  cr_assert(Has(rig.Post(port, "/v1/ids", R"({"owner":"p"})"), 400, "/owner"));
  cr_assert(Has(rig.Post(port, "/v1/ids", R"({"owner":"o","count":0})"), 400,
                "/count"));
  cr_assert(Has(submit(std::string(150'000, ' ')), 413, "at most 100000"));
  cr_assert(Has(submit(std::string(1'000'000, ' ')), 413, ""));
  // A body that cannot be parsed may name a running job.
  cr_assert(Has(submit("{\"id\": "), 400, "\"run\":\"unknown\""));
  // All errors are reported in one response, also for a request without an id
  // or key.
  const auto all = submit(R"({"owner":"p","service":"s","kind":"x","wait":3})");
  for (const char* place : {"/id", "/owner", "/kind", "/wait", "/tasks"}) {
    cr_assert(Has(all, 400, std::string("\"place\":\"") + place + "\""));
  }
}

// Guards against statuses that differ from docs/API.md.
Test(daemon, maps_refusals_to_statuses) {
  DaemonRig rig({.upstreams = 1});
  const auto port = rig.caller(0);
  const std::string id = rig.Reserve(0);
  const std::string unknown = id.substr(0, id.rfind('.')) + ".999999";
  const std::map<std::string, std::string> owner = {{"owner", "o"}};
  cr_assert(Has(rig.Get(port, "/v1/jobs/" + unknown, owner), 404, "not_run"));
  cr_assert(Has(rig.Get(port, "/v1/jobs/zzz", owner), 404, "id_never"));
  cr_assert(Has(rig.Get(port, "/v1/jobs/" + id, {}), 400, "?owner"));
  cr_assert(Has(rig.Post(port, "/v1/jobs", DaemonRig::Job(Id(id), "[1]")), 200,
                "complete"));
  cr_assert(Has(rig.Post(port, "/v1/jobs", DaemonRig::Job(Id(id), "[2]")), 409,
                "id_reused"));
  const auto failed =
      rig.Post(port, "/v1/jobs",
               DaemonRig::Job(Id(rig.Reserve(0)), R"([{"fail":"no wig"}])"));
  cr_assert(Has(failed, 502, "task_failed"));
  const auto late =
      rig.Post(port, "/v1/jobs",
               DaemonRig::Job(Id(rig.Reserve(0)), R"([{"run_ms":400}])",
                              ",\"timeout_ms\":200"));
  cr_assert(Has(late, 504, "deadline_exceeded"));
  const auto full = rig.Post(
      port, "/v1/jobs",
      "{" + Id(rig.Reserve(0)) +
          R"(,"owner":"o","service":"s","kind":"few","tasks":[1,2,3,4]})");
  cr_assert(Has(full, 429, "queue_full"));
  rig.upstreams[0]->Control("/fault", {{"mode", "drop_after_start"}});
  const auto lost =
      rig.Post(port, "/v1/jobs",
               "{" + Id(rig.Reserve(0)) +
                   R"(,"owner":"o","service":"s","kind":"once","tasks":[1]})");
  cr_assert(Has(lost, 502, "\"run\":\"unknown\""));
}

// Guards against jobs that an entry accepts before it has a configuration or an
// upstream.
Test(daemon, refuses_with_retry_after_while_not_ready) {
  DaemonRig bare({.is_configured = false});
  const auto none = bare.Post(bare.caller(0), "/v1/ids", R"({"owner":"o"})");
  cr_assert(Has(none, 503, "no_configuration"));
  cr_assert(http::FindHeader(none.headers, "Retry-After") == "1");
  cr_assert(bare.Get(bare.observability(0), "/readyz").status == 503);
  cr_assert(bare.Get(bare.observability(0), "/healthz").status == 200);
  DaemonRig empty({.upstreams = 0});
  const auto refused = empty.Post(empty.caller(0), "/v1/jobs",
                                  DaemonRig::Job(Id(empty.Reserve(0)), "[1]"));
  cr_assert(Has(refused, 503, "no_upstream"));
}

// Guards against invalid responses of upstreams that are accepted, and against
// a second start of a task that is not idempotent and may have run.
Test(daemon, invalid_upstream_responses_count_as_lost) {
  for (const char* mode : {"garbage", "half", "wrong_attempt"}) {
    DaemonRig rig({.upstreams = 1});
    rig.upstreams[0]->Control("/fault", {{"mode", mode}, {"count", 1}});
    const auto once = rig.Post(
        rig.caller(0), "/v1/jobs",
        "{" + Id(rig.Reserve(0)) +
            R"(,"owner":"o","service":"s","kind":"once","tasks":[1]})");
    cr_assert(Has(once, 502, "task_outcome_unknown"));
    rig.upstreams[0]->Control("/fault", {{"mode", mode}, {"count", 1}});
    const auto retried = rig.Post(rig.caller(0), "/v1/jobs",
                                  DaemonRig::Job(Id(rig.Reserve(0)), "[1]"));
    cr_assert(Has(retried, 200, "complete"));
    const auto starts = rig.upstreams[0]->Control("/starts", {});
    cr_assert(starts->at("starts").size() == 3);
  }
}

// Guards against tasks that keep waiting for an upstream that cannot be
// reached, and against treating them as possibly started.
Test(daemon, tasks_leave_unreachable_upstream) {
  DaemonRig rig({});
  rig.upstreams.pop_back();
  const auto response = rig.Post(
      rig.caller(0), "/v1/jobs",
      "{" + Id(rig.Reserve(0)) +
          R"(,"owner":"o","service":"s","kind":"once","tasks":[1,2,3,4,5,6]})");
  cr_assert(Has(response, 200, "complete"));
}

// Guards against reuse of a connection on which an upstream stopped responding.
Test(daemon, replaces_unresponsive_connection) {
  DaemonRig rig({.upstreams = 1});
  const auto submit = [&](const std::string& timeout) {
    return rig.Post(rig.caller(0), "/v1/jobs",
                    DaemonRig::Job(Id(rig.Reserve(0)), "[1]",
                                   ",\"timeout_ms\":" + timeout));
  };
  cr_assert(Has(submit("5000"), 200, "complete"));
  rig.upstreams[0]->Control("/fault", {{"mode", "silent_tasks"}, {"count", 1}});
  cr_assert(Has(submit("200"), 504, "deadline_exceeded"));
  cr_assert(Has(submit("5000"), 200, "complete"));
}

// Guards against a false run state for a job whose entry cannot be reached or
// has been replaced.
Test(daemon, unreachable_issuer_gives_run_state_unknown) {
  DaemonRig rig({.entries = 2});
  const std::string id = rig.Reserve(0);
  const std::string gone = "e1.00000000000000ff.3";
  cr_assert(
      Has(rig.Post(rig.caller(0), "/v1/jobs", DaemonRig::Job(Id(gone), "[1]")),
          410, "\"run\":\"failed\""));
  rig.entries[0].reset();
  cr_assert(
      Has(rig.Post(rig.caller(1), "/v1/jobs", DaemonRig::Job(Id(id), "[1]")),
          503, "\"run\":\"unknown\",\"reason\":\"issuer_unreachable\""));
}

// Guards against a job that is aborted, or a crash of the entry, when the
// caller disconnects.
Test(daemon, job_continues_after_caller_disconnects) {
  DaemonRig rig({});
  const std::string id = rig.Reserve(0);
  const std::string body = DaemonRig::Job(Id(id), R"([{"run_ms":200}])");
  {
    const testing::RawClient caller(
        rig.loop, rig.caller(0),
        "POST /v1/jobs HTTP/1.1\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body);
    cr_assert(rig.loop.RunUntil(
        [&] { return rig.entries[0]->dispatcher().running_tasks() == 1; }));
  }
  const auto response = rig.Get(rig.caller(0), "/v1/jobs/" + id,
                                {{"owner", "o"}, {"wait", "true"}});
  cr_assert(Has(response, 200, "complete"));
}

// Guards against a new head configuration that is never read because it has the
// revision of an earlier one. This happens after the key-value service has been
// restored from an older copy.
Test(daemon, reads_head_with_repeated_revision) {
  DaemonRig rig({});
  const auto version = [&] {
    return rig.entries[0]->dispatcher().configuration()->version();
  };
  platform_services::EtcdClient store(
      &rig.client, {.endpoints = {{"127.0.0.1", rig.kv.port()}}});
  const auto put = [&](std::uint64_t number) {
    const Configuration head = MakeConfiguration(
        {.version = number, .author = "a", .operation_id = "o", .digest = ""},
        rig.entries[0]->dispatcher().configuration()->content());
    store.Txn({.success = {PutRequest{.key = std::string(kHeadKey),
                                      .value = EncodeConfiguration(head)}}},
              [](const StoreResult<TxnResult>&) {});
  };
  rig.kv.Control("/snapshot", {});
  put(2);
  cr_assert(rig.loop.RunUntil([&] { return version() == 2; }));
  rig.kv.Control("/rollback", {});
  put(3);
  cr_assert(rig.loop.RunUntil([&] { return version() == 3; }));
}

// Guards against access to the operator API without the token.
Test(daemon, operator_api_requires_token) {
  DaemonRig rig({});
  const auto get = [&](std::uint16_t port, const std::string& header) {
    return rig
        .Call(port, {.method = http::Method::kGet,
                     .path = "/v1/operator/config",
                     .query = {},
                     .headers = {{"Authorization", header}},
                     .body = {}})
        .status;
  };
  const std::string token = testing::kToken;
  cr_assert(get(rig.operators(0), "Bearer " + token) == 200);
  cr_assert(get(rig.caller(0), "Bearer " + token) == 404);
  for (const std::string& wrong : std::vector<std::string>{
           "", "Bearer ", "Bearer " + token + "x", "Bearer " + token.substr(1),
           "Basic " + token, "Bearer x" + token.substr(1)}) {
    cr_assert(get(rig.operators(0), wrong) == 401);
  }
  cr_assert(rig.Get(rig.caller(0), "/metrics").status == 404);
}

// Guards against an entry that gets no configuration from its peers while the
// platform is unavailable.
Test(daemon, learns_configuration_from_peer) {
  DaemonRig rig({.entries = 2, .is_configured = false});
  cr_assert(rig.loop.RunUntil(
      [&] { return rig.entries[1]->dispatcher().instances() != nullptr; }));
  rig.kv.Control("/fault", {{"down", true}});
  const Configuration newer = MakeConfiguration(
      {.version = 9, .author = "a", .operation_id = "o", .digest = ""}, {});
  rig.entries[0]->message_bus().Send(
      Event(ConfigurationOffered{.configuration = newer}));
  cr_assert(rig.loop.RunUntil([&] {
    const Configuration* const learned =
        rig.entries[1]->dispatcher().configuration();
    return learned != nullptr && learned->version() == 9;
  }));
}

// Guards against a shutdown that aborts a request or never finishes.
Test(daemon, drain_answers_all_calls_before_exit) {
  DaemonRig rig({.drain_notice = std::chrono::milliseconds(50)});
  const std::string body =
      DaemonRig::Job(Id(rig.Reserve(0)), R"([{"run_ms":300}])");
  const std::string late = DaemonRig::Job(Id(rig.Reserve(0)), "[1]");
  std::optional<http::ClientResult> running;
  rig.client.Send({"127.0.0.1", rig.caller(0)},
                  {.method = http::Method::kPost,
                   .path = "/v1/jobs",
                   .query = {},
                   .headers = {},
                   .body = body},
                  [&](http::ClientResult result) { running = result; });
  cr_assert(rig.loop.RunUntil(
      [&] { return rig.entries[0]->dispatcher().running_tasks() == 1; }));
  rig.entries[0]->RequestShutdown();
  cr_assert(rig.loop.RunUntil(
      [&] { return rig.entries[0]->dispatcher().is_draining(); }));
  cr_assert(rig.Get(rig.observability(0), "/readyz").status == 503);
  cr_assert(Has(rig.Post(rig.caller(0), "/v1/ids", R"({"owner":"o"})"), 503,
                "draining"));
  rig.loop.RunFor(60);
  cr_assert(Has(rig.Post(rig.caller(0), "/v1/jobs", late), 503, "not_run"));
  cr_assert(!rig.entries[0]->has_ended());
  cr_assert(rig.loop.RunUntil([&] { return rig.entries[0]->has_ended(); }));
  rig.loop.RunFor(20);
  cr_assert(running.has_value());
  cr_assert(std::get<Response>(*running).status == 200);
}

// Guards against missing metrics that alerts rely on.
Test(daemon, counts_by_owner_and_kind) {
  DaemonRig rig({});
  rig.Post(rig.caller(0), "/v1/jobs",
           DaemonRig::Job(Id(rig.Reserve(0)), "[1,2,3]"));
  const auto metrics = rig.Get(rig.observability(0), "/metrics").body;
  for (const char* line :
       {"jaypick_tasks_started_total{kind=\"k\",owner=\"o\"} 3",
        "jaypick_jobs_admitted_total{kind=\"k\",owner=\"o\"} 1",
        "jaypick_configuration_version 1", "jaypick_tasks_queued 0",
        "jaypick_members{role=\"upstream\",state=\"live\"} 2",
        "jaypick_upstreams_ejected 0"}) {
    cr_assert(metrics.find(line) != std::string::npos, "%s", line);
  }
}

}  // namespace
}  // namespace jaypick
