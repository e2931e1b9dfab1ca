#include <cmath>

#include "bench/oracle.h"
#include "bench/study.h"

namespace jaypick::bench {
namespace {

void UseRandom(DispatcherOptions& options) {
  options.placement.policy = RandomPlacement{};
}

void UseRoundRobin(DispatcherOptions& options) {
  options.placement.policy = RoundRobinPlacement{};
}

void UseLeastOutstanding(DispatcherOptions& options) {
  options.placement.policy = LeastOutstandingPlacement{};
}

void UseTwoChoices(DispatcherOptions& options) {
  options.placement.policy = TwoChoicesPlacement{};
}

template <std::uint32_t kOvercommit>
void UseOvercommit(DispatcherOptions& options) {
  options.placement.policy = ReportedLoadPlacement{.overcommit = kOvercommit};
}

template <int kRunTimes>
void UseAgeing(DispatcherOptions& options) {
  options.placement.policy =
      ReportedLoadPlacement{.report_decay_run_times = kRunTimes};
}

template <int kMargin>
void UseSpillMargin(DispatcherOptions& options) {
  options.placement.policy = ReportedLoadPlacement{.spill_margin = kMargin};
}

double Rounded(double value) {
  return std::round(value * 10'000) / 10'000;
}

}  // namespace

const std::vector<Variant>& AllVariants() {
  static const std::vector<Variant> variants = {
      {.name = "default", .apply = [](DispatcherOptions&) {}},
      {.name = "overcommit_0", .apply = UseOvercommit<0>},
      {.name = "overcommit_1", .apply = UseOvercommit<1>},
      {.name = "overcommit_2", .apply = UseOvercommit<2>},
      {.name = "overcommit_4", .apply = UseOvercommit<4>},
      {.name = "ageing_1", .apply = UseAgeing<1>},
      {.name = "ageing_2", .apply = UseAgeing<2>},
      {.name = "ageing_5", .apply = UseAgeing<5>},
      {.name = "ageing_20", .apply = UseAgeing<20>},
      {.name = "spill_margin_0", .apply = UseSpillMargin<0>},
      {.name = "spill_margin_2", .apply = UseSpillMargin<2>},
      {.name = "spill_margin_4", .apply = UseSpillMargin<4>},
      {.name = "random", .apply = UseRandom},
      {.name = "round_robin", .apply = UseRoundRobin},
      {.name = "least_outstanding", .apply = UseLeastOutstanding},
      {.name = "two_choices", .apply = UseTwoChoices},
  };
  return variants;
}

const Variant* FindVariant(const std::string& name) {
  for (const Variant& variant : AllVariants()) {
    if (variant.name == name) {
      return &variant;
    }
  }
  return nullptr;
}

MeasurementWindow Scenario::MeasuredWindow() const {
  return {.from = workload.length / 10, .until = workload.length};
}

Scenario ReferenceScenario(std::uint64_t seed,
                           double load,
                           std::uint32_t job_tasks,
                           std::uint32_t seconds) {
  const std::uint32_t factor = job_tasks > 1 ? 4 : 1;
  Scenario scenario;
  scenario.workload.seed = seed;
  scenario.workload.length = std::chrono::seconds(seconds * factor);
  scenario.workload.load = load;
  scenario.workload.job_tasks = job_tasks;
  scenario.simulation.seed = seed;
  scenario.simulation.length = scenario.workload.length;
  return scenario;
}

Outcome RunOracleFor(const Scenario& scenario,
                     const std::vector<JobPlan>& jobs) {
  const SimulationOptions& simulation = scenario.simulation;
  const OracleOptions options{
      .slots = simulation.upstreams * simulation.upstream.slots,
      .slow_slots = simulation.slow_upstreams * simulation.upstream.slots,
      .slow_factor = simulation.slow_factor,
      .message_delay = simulation.message_delay,
      .timeout = simulation.timeout,
      .shares = simulation.shares};
  return RunOracle(options, jobs);
}

nlohmann::json SummarizeRun(const Scenario& scenario,
                            const std::vector<JobPlan>& jobs,
                            const Outcome& outcome) {
  const MeasurementWindow window = scenario.MeasuredWindow();
  nlohmann::json line;
  for (std::uint32_t owner = 0; owner < scenario.simulation.shares.size();
       ++owner) {
    line["ratio"][OwnerName(owner)] = ToJson(PercentilesOf(ResponseRatios(
        outcome, jobs, owner, window, scenario.simulation.message_delay)));
  }
  line["jobs"] = CountJobEnds(outcome, jobs, window);
  line["goodput"] = Rounded(Goodput(outcome, jobs, window));
  line["wasted_per_start"] = Rounded(WastedMessagesPerStart(outcome));
  line["starts"] = outcome.first_starts;
  line["repeated_starts"] = outcome.repeated_starts;
  line["refused_starts"] = outcome.refused_starts;
  line["connections"] = outcome.connections;
  line["waited_at_upstream"] = outcome.waited_at_upstream;
  line["upstream_wait_ms"] = ToMilliseconds(outcome.upstream_wait);
  line["violations"] = outcome.violations;
  return line;
}

}  // namespace jaypick::bench
