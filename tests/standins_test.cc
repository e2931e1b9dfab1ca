// Tests of the stand-in upstream and relay. Other tests rely on their faults
// and on the record of started tasks to check the product.
#include <criterion/criterion.h>

#include <chrono>
#include <string>
#include <vector>

#include "standins/relay.h"
#include "standins/upstream_service.h"
#include "tests/process_harness.h"

namespace jaypick::standin {
namespace {

using testing::Answer;
using testing::Caller;

const std::string kAttempt = "e1.0000000000000001.1.0.0";

Caller::Pending StartTask(Caller& caller,
                          std::uint16_t port,
                          const Json& payload,
                          const char* deadline_ms = "5000") {
  return caller.Start(
      port, "/v1/tasks", Json{{"kind", "k"}, {"payload", payload}},
      {{"Jaypick-Attempt", kAttempt}, {"Jaypick-Deadline-Ms", deadline_ms}});
}

Json StartedCount(UpstreamService& upstream) {
  return upstream.Control("/stats", {})->at("started");
}

struct FaultCase {
  const char* mode;
  // HTTP status of the response; 0 if there is no valid response.
  int status;
  // Error in the response; empty if there is none.
  const char* error;
  int started;
};

// Guards against a fault that counts a start that did not happen, or misses one
// that did, and against a fault that applies to more than one task.
Test(standins, upstream_faults) {
  const std::vector<FaultCase> cases = {
      {"none", 200, "", 1},
      {"fail", 500, "injected fault", 1},
      {"slow", 200, "", 1},
      {"garbage", 0, "", 1},
      {"half", 0, "", 1},
      {"wrong_attempt", 200, "", 1},
      {"drop_before_start", 0, "", 0},
      {"drop_after_start", 0, "", 1},
      {"busy", 503, "busy", 0},
      {"leaving", 503, "leaving", 0},
  };
  for (const FaultCase& c : cases) {
    Caller caller;
    UpstreamService upstream(caller.loop().base(), {});
    upstream.Control("/fault", {{"mode", c.mode}, {"count", 1}});
    const Answer answer = caller.Wait(
        StartTask(caller, upstream.port(), {{"run_ms", 1}, {"result", 5}}));
    cr_assert_eq(answer.status, c.status, "%s: %d", c.mode, answer.status);
    cr_assert_eq(StartedCount(upstream), c.started, "%s", c.mode);
    if (c.status == 200) {
      cr_assert(answer.body["result"] == 5, "%s", c.mode);
      const bool same = answer.body["attempt"] == kAttempt;
      cr_assert_eq(same, std::string(c.mode) != "wrong_attempt", "%s", c.mode);
    } else if (c.status != 0) {
      cr_assert(answer.body["error"] == c.error, "%s", c.mode);
    }
    const Answer next =
        caller.Wait(StartTask(caller, upstream.port(), {{"run_ms", 1}}));
    cr_assert_eq(next.status, 200, "%s: the fault applies to one task only",
                 c.mode);
  }
}

// Guards against more concurrent tasks than slots, an unlimited backlog, and
// the start of a queued task after its deadline.
Test(standins, upstream_slots_and_backlog) {
  Caller caller;
  UpstreamService upstream(caller.loop().base(),
                           {.slots = 1, .backlog_limit = 1});
  const auto first = StartTask(caller, upstream.port(), {{"run_ms", 100}});
  cr_assert(caller.Until([&] { return StartedCount(upstream) == 1; }));
  const auto second = StartTask(caller, upstream.port(), {{"run_ms", 1}}, "10");
  cr_assert(caller.Until(
      [&] { return upstream.Control("/stats", {})->at("waiting") == 1; }));
  const Answer third =
      caller.Wait(StartTask(caller, upstream.port(), {{"run_ms", 1}}));
  cr_assert(third.body["error"] == "busy");
  cr_assert_eq(caller.Wait(first).status, 200);
  cr_assert(caller.Wait(second).body["error"] == "deadline");
  cr_assert_eq(StartedCount(upstream), 1);
}

// Guards against a relay that forwards bytes which its faults should drop, and
// against delays that are not applied in both directions.
Test(standins, relay_faults) {
  Caller caller;
  UpstreamService upstream(caller.loop().base(), {});
  Relay relay(caller.loop().base(), {.target_port = upstream.port()});
  const Json task = {{"run_ms", 1}};
  const auto open = StartTask(caller, relay.port(), task);
  cr_assert_eq(caller.Wait(open).status, 200);
  relay.Control("/fault", {{"swallow_to_client", true}});
  const auto unanswered = StartTask(caller, relay.port(), task);
  cr_assert(caller.Until([&] { return StartedCount(upstream) == 2; }));
  relay.Control("/fault",
                {{"swallow_to_client", false}, {"silence_open", true}});
  // The silenced connection is still in use, so this task opens a new one.
  cr_assert_eq(caller.Wait(StartTask(caller, relay.port(), task)).status, 200);
  cr_assert(!unanswered->has_value());
  relay.Control("/fault", {{"cut", true}});
  cr_assert_eq(caller.Wait(unanswered).status, 0);
  cr_assert_eq(caller.Wait(StartTask(caller, relay.port(), task)).status, 0);
  relay.Control("/fault", {{"cut", false}, {"delay_ms", 30}});
  const TimePoint start = MonotonicNow();
  cr_assert_eq(caller.Wait(StartTask(caller, relay.port(), task)).status, 200);
  cr_assert(MonotonicNow() - start >= std::chrono::milliseconds(60));
}

}  // namespace
}  // namespace jaypick::standin
