// Which connection is closed when clients fill a server, without sockets.

// clang-format off
// Boost.Intrusive uses the name `Test`, which Criterion defines as a macro.
#include <boost/intrusive/list.hpp>
#include "http/connection_budget.h"
#include <criterion/criterion.h>
// clang-format on

#include <deque>
#include <memory>

#include "node/server_limits.h"

namespace jaypick::http {
namespace {

constexpr std::size_t kLarge = 2 * ConnectionBudget::kLargeBytes;

struct BudgetRig {
  explicit BudgetRig(ConnectionLimits limits) : budget(limits) {}

  ConnectionBudget::Connection& Add(
      ConnectionPhase phase = ConnectionPhase::kIdle,
      std::size_t bytes = 0) {
    ConnectionBudget::Connection& connection = connections.emplace_back();
    budget.Add(connection);
    budget.SetPhase(connection, phase);
    budget.SetBytes(connection, bytes);
    return connection;
  }

  ConnectionBudget budget;
  std::deque<ConnectionBudget::Connection> connections;
};

// Many unfinished bodies: guards against a crowd that is closed one small
// connection after another while its largest ones stay.
Test(connection_budget, largest_unfinished_request_goes_first) {
  BudgetRig rig({.connections = 10, .buffered_bytes = 4 * kLarge});
  rig.Add();
  rig.Add(ConnectionPhase::kReceiving, kLarge);
  auto& largest = rig.Add(ConnectionPhase::kReceiving, 3 * kLarge);
  cr_assert(!rig.budget.is_over_memory());
  rig.Add(ConnectionPhase::kSending, 1);
  cr_assert(rig.budget.is_over_memory());
  cr_assert_eq(rig.budget.ChooseForMemory(), &largest);
  // Its request has arrived, so closing it could cut off a job at work.
  rig.budget.SetPhase(largest, ConnectionPhase::kHandling);
  cr_assert_eq(rig.budget.ChooseForMemory(), &rig.connections[1]);
}

// Connections that are opened and left, or get a byte now and then: guards
// against ordinary callers that are kept out by them.
Test(connection_budget, oldest_connection_makes_room_for_a_new_one) {
  BudgetRig rig({.connections = 3});
  auto& trickle = rig.Add(ConnectionPhase::kReceiving, 1);
  auto& busy = rig.Add(ConnectionPhase::kHandling);
  auto& idle = rig.Add();
  cr_assert(rig.budget.is_full());
  rig.budget.SetPhase(trickle, ConnectionPhase::kReceiving);
  rig.budget.SetBytes(trickle, 2);
  cr_assert_eq(rig.budget.ChooseForNewcomer(), &trickle);
  rig.budget.SetPhase(trickle, ConnectionPhase::kHandling);
  cr_assert_eq(rig.budget.ChooseForNewcomer(), &idle);
  rig.budget.SetPhase(busy, ConnectionPhase::kSending);
  rig.budget.SetPhase(idle, ConnectionPhase::kHandling);
  cr_assert_eq(rig.budget.ChooseForNewcomer(), &busy);
  rig.budget.SetPhase(busy, ConnectionPhase::kHandling);
  cr_assert_null(rig.budget.ChooseForNewcomer());
  cr_assert_null(rig.budget.ChooseForMemory());
}

// Guards against memory of closed connections that counts for good.
Test(connection_budget, closed_connections_count_no_longer) {
  ConnectionBudget budget({.connections = 1, .buffered_bytes = kLarge});
  {
    ConnectionBudget::Connection connection;
    budget.Add(connection);
    budget.SetBytes(connection, kLarge);
    cr_assert(budget.is_full());
    cr_assert(!budget.HasRoomFor(kLarge));
    cr_assert(budget.HasRoomFor(ConnectionBudget::kLargeBytes));
  }
  cr_assert(!budget.is_full());
  cr_assert_eq(budget.bytes(), 0);
  cr_assert_null(budget.ChooseForMemory());
}

// Guards against limits that together exceed what the machine has, and against
// ones that callers inside the pages' limits meet: all of a domain's callers on
// kept connections, and the largest body that a configuration allows.
Test(connection_budget, servers_share_what_the_machine_has) {
  constexpr std::size_t kMegabyte = std::size_t{1024} * 1024;
  for (const std::size_t descriptors :
       {std::size_t{3075}, std::size_t{10250}}) {
    const node::MachineLimits machine{.memory_bytes = 120 * kMegabyte,
                                      .descriptors = descriptors};
    const node::ServerLimits limits = node::ShareLimits(machine);
    cr_assert_lt(limits.callers.connections + limits.peers.connections +
                     limits.readiness.connections + limits.metrics.connections,
                 descriptors);
    cr_assert_lt(
        2 * (limits.callers.buffered_bytes + limits.peers.buffered_bytes),
        machine.memory_bytes);
    cr_assert_geq(limits.callers.connections, 1000);
    cr_assert_geq(limits.callers.buffered_bytes, 16 * kMegabyte);
  }
}

}  // namespace
}  // namespace jaypick::http
