// Connections of a caller, between nodes and to upstreams are reset at each
// step of a submission, and the job is submitted again.

// clang-format off
// Boost.Intrusive uses the name `Test`, which Criterion defines as a macro.
#include <boost/intrusive/list.hpp>
#include "tests/platform_rig.h"
#include <criterion/criterion.h>
// clang-format on

#include <memory>
#include <string>
#include <vector>

#include "standins/relay.h"

namespace jaypick::testing {
namespace {

using std::chrono::milliseconds;

// Time from a submission to the reset: before the job is read, while it is
// forwarded, while its starts are sent, while it runs and while it ends.
constexpr int kSteps[] = {0, 1, 2, 3, 5, 8, 13, 21, 34, 55, 89, 144};

std::string Id(std::size_t number) {
  const std::string digits = std::to_string(number);
  return std::string(16 - digits.size(), '0') + digits;
}

// Two domains. The own domain has a leader and another entry instance, which
// reaches the leader and the upstreams through relays.
struct ResetRig : PlatformRig {
  ResetRig() : peer_relay(loop.base(), {}) {
    AddUpstream("a1", "antwerp");
    for (const auto& upstream : upstreams) {
      upstream_relays.push_back(std::make_unique<standin::Relay>(
          loop.base(),
          standin::RelayOptions{.target_port = upstream->address().port}));
      upstream->RegisterAt(upstream_relays.back()->port());
    }
    leader = AddNodeAdvertisedAt(peer_relay.port());
    peer_relay.Control("/target", {{"port", PeerPort(leader)}});
    cr_assert(WaitUntilReady());
    entry = AddNode("ghent");
    AddNode("antwerp");
    cr_assert(loop.RunUntil([&] { return LeaderOf("antwerp") >= 0; }));
    loop.RunFor(1000);
  }

  void ResetUpstreams() {
    for (const auto& relay : upstream_relays) {
      relay->Control("/reset_open", {});
    }
  }

  standin::Relay peer_relay;
  std::vector<std::unique_ptr<standin::Relay>> upstream_relays;
  std::size_t leader = 0;
  std::size_t entry = 0;
};

// Submits one job for each step, and calls `reset` with the job's id that long
// after its submission.
template <typename Reset>
void ResetAtEachStep(ResetRig& rig, Reset reset) {
  std::size_t number = 0;
  for (const int step : kSteps) {
    const std::string id = Id(++number);
    rig.Submit(rig.entry, id, 2, "120");
    if (step > 0) {
      rig.loop.RunFor(step);
    }
    reset(id);
    rig.loop.RunFor(150);
  }
  cr_assert(rig.WaitForResponses());
  cr_assert(rig.run_monitor.violations.empty(), "%s",
            rig.run_monitor.violations.empty()
                ? ""
                : rig.run_monitor.violations.front().c_str());
}

void AssertAllCompleted(const ResetRig& rig) {
  for (std::size_t number = 1; number <= std::size(kSteps); ++number) {
    cr_expect_eq(rig.StatusOf(Id(number)), 200, "after %d ms: %d %s",
                 kSteps[number - 1], rig.StatusOf(Id(number)),
                 rig.BodyOf(Id(number)).c_str());
  }
}

// Guards against two runs of a task (TWICE) after the caller's connection was
// reset and the job came again at once.
Test(connection_reset, of_a_caller_that_returns_at_once) {
  ResetRig rig;
  ResetAtEachStep(rig, [&](const std::string& id) {
    if (rig.StatusOf(id) == 0) {
      rig.Disconnect(id);
    }
    rig.Submit(rig.entry, id, 2, "120");
  });
  AssertAllCompleted(rig);
}

// The same at another instance of the domain.
Test(connection_reset, of_a_caller_that_returns_to_another_instance) {
  ResetRig rig;
  ResetAtEachStep(rig, [&](const std::string& id) {
    if (rig.StatusOf(id) == 0) {
      rig.Disconnect(id);
    }
    rig.Submit(rig.leader, id, 2, "120");
  });
  AssertAllCompleted(rig);
}

// Guards against two runs of a task, and against a job that is given up, after
// the connections between two nodes were reset.
Test(connection_reset, between_nodes) {
  ResetRig rig;
  ResetAtEachStep(rig, [&](const std::string& /*id*/) {
    rig.peer_relay.Control("/reset_open", {});
  });
  AssertAllCompleted(rig);
}

// Guards against two runs of a task after the connections to upstreams were
// reset.
Test(connection_reset, to_upstreams) {
  ResetRig rig;
  ResetAtEachStep(rig,
                  [&](const std::string& /*id*/) { rig.ResetUpstreams(); });
  AssertAllCompleted(rig);
}

// Guards against two runs of a task when all connections are reset at once and
// the caller returns.
Test(connection_reset, of_all_at_once) {
  ResetRig rig;
  ResetAtEachStep(rig, [&](const std::string& id) {
    rig.ResetUpstreams();
    rig.peer_relay.Control("/reset_open", {});
    if (rig.StatusOf(id) == 0) {
      rig.Disconnect(id);
    }
    rig.Submit(rig.entry, id, 2, "120");
  });
  AssertAllCompleted(rig);
}

}  // namespace
}  // namespace jaypick::testing
