// Simulation of several dispatchers (the production code) and simulated
// upstreams in virtual time.
#ifndef BENCH_SIMULATION_H_
#define BENCH_SIMULATION_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "bench/fake_upstream.h"
#include "bench/outcome.h"
#include "bench/workload.h"
#include "jaypick/dispatcher.h"
#include "jaypick/time.h"

namespace jaypick::bench {

enum class UpstreamFault {
  // Answers every request immediately with a failure.
  kFailsEverything,
  // Refuses connections.
  kUnreachable,
};

// The first `count` upstreams have the fault from `from` (inclusive) until
// `until` (exclusive).
struct FaultPlan {
  UpstreamFault fault = UpstreamFault::kFailsEverything;
  std::uint32_t count = 1;
  Duration from{0};
  Duration until{0};
};

struct SimulationOptions {
  std::uint64_t seed = 1;
  std::uint32_t entries = 2;
  std::uint32_t upstreams = 17;
  FakeUpstreamOptions upstream;
  // Number of slow upstreams, the first ones; their run times are multiplied by
  // `slow_factor`.
  std::uint32_t slow_upstreams = 0;
  double slow_factor = 1;
  std::optional<FaultPlan> fault;
  Duration message_delay = std::chrono::microseconds(500);
  Duration timeout = std::chrono::seconds(20);
  Duration declared_run_time = std::chrono::milliseconds(380);
  std::uint32_t queue_limit = 5000;
  // Weights of the owners, in percent.
  std::vector<std::uint32_t> shares = {60, 40};
  // Duration of the run, from which the number of peer exchanges is computed.
  Duration length = std::chrono::seconds(60);
  // The simulation overwrites the name, failure domain, incarnation, seed and
  // observer.
  DispatcherOptions dispatcher;
};

// Name of an owner in the simulation.
std::string OwnerName(std::uint32_t owner);

// The configuration and instance list that the dispatchers are given.
Configuration SimulationConfiguration(const SimulationOptions& options);
InstanceList SimulationInstances(const SimulationOptions& options);

// Runs the simulation until all of `jobs` have ended and no event is left.
Outcome Simulate(const SimulationOptions& options,
                 const std::vector<JobPlan>& jobs);

}  // namespace jaypick::bench

#endif  // BENCH_SIMULATION_H_
