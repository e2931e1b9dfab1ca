#include "tests/simulation/world.h"

#include <algorithm>
#include <utility>

#include "tests/simulation/callers.h"
#include "tests/simulation/entry.h"
#include "tests/simulation/faults.h"

namespace jaypick::simulation {
namespace {

constexpr Duration kShortestDelay{100};
constexpr Duration kLongestDelay{1500};
constexpr Duration kConfigurationBound = seconds(5);
constexpr Duration kLeavingBound = seconds(5);
constexpr Duration kSweepPeriod = seconds(1);
// Snapshots of the instance list that a lagging list can still serve.
constexpr std::size_t kKeptSnapshots = 200;
// After the load has ended, the longest job, claim and forward have ended.
constexpr Duration kSettleTime = seconds(150);

}  // namespace

std::string DomainName(int domain) {
  return "domain-" + std::to_string(domain);
}

World::World(const RunOptions& run_options)
    : options(run_options),
      random(run_options.seed),
      witness(scheduler),
      callers(std::make_unique<Callers>(*this)),
      faults(std::make_unique<Faults>(*this)) {
  for (int index = 0; index < kDomains * kUpstreamsPerDomain; ++index) {
    ListedUpstream& added = upstreams.emplace_back();
    added.domain = index % kDomains;
    added.upstream = std::make_unique<Upstream>(scheduler, random, witness,
                                                "u" + std::to_string(index), 8);
  }
  for (int index = 0; index < kDomains * kEntriesPerDomain; ++index) {
    entries.push_back(std::make_unique<Entry>(
        *this, "e" + std::to_string(index), index % kDomains,
        static_cast<std::uint16_t>(8000 + index)));
  }
  store.head = MakeConfiguration(1);
  store.older_head = store.head;
  PublishInstances();
  for (const auto& entry : entries) {
    entry->Start();
  }
}

World::~World() = default;

bool World::IsCut(int from, int to) const {
  return cut[static_cast<std::size_t>(from)][static_cast<std::size_t>(to)];
}

void World::Send(int from, int to, Scheduler::Callback deliver) {
  if (IsCut(from, to) || random.Chance(message_loss)) {
    return;
  }
  scheduler.After(random.Span(kShortestDelay, kLongestDelay),
                  [this, from, to, deliver = std::move(deliver)] {
                    if (!IsCut(from, to)) {
                      deliver();
                    }
                  });
}

void World::PublishInstances() {
  InstanceList list;
  list.revision =
      registry.history.empty() ? 1 : registry.history.back().list.revision + 1;
  for (const auto& entry : entries) {
    list.instances.push_back({.name = entry->name(),
                              .role = InstanceRole::kEntry,
                              .state = entry->is_draining()
                                           ? InstanceState::kLeaving
                                           : InstanceState::kLive,
                              .generation = entry->life(),
                              .address = entry->address(),
                              .failure_domain = DomainName(entry->domain())});
  }
  for (const ListedUpstream& listed : upstreams) {
    if (!listed.is_listed) {
      continue;
    }
    list.instances.push_back({.name = listed.upstream->name(),
                              .role = InstanceRole::kUpstream,
                              .state = listed.leaving_since
                                           ? InstanceState::kLeaving
                                           : InstanceState::kLive,
                              .generation = listed.generation,
                              .address = {.host = "127.0.0.1", .port = 9000},
                              .failure_domain = DomainName(listed.domain),
                              .service = "fitting",
                              .slots = 8,
                              .offers = {.cpus = 8, .memory_mb = 1024}});
  }
  if (registry.history.size() >= kKeptSnapshots) {
    registry.history.pop_front();
  }
  registry.history.push_back({scheduler.now(), std::move(list)});
}

const InstanceList& World::ServedInstances() const {
  const TimePoint shown = scheduler.now() - registry.lag;
  for (auto it = registry.history.rbegin(); it != registry.history.rend();
       ++it) {
    if (it->since <= shown) {
      return it->list;
    }
  }
  return registry.history.front().list;
}

void World::ReceiveStart(Entry& entry, std::uint64_t life, StartAttempt start) {
  const auto it = std::ranges::find_if(upstreams, [&](const auto& listed) {
    return listed.upstream->name() == start.upstream;
  });
  if (it->domain != entry.domain()) {
    witness.Fail(start.attempt.job, "a start in another failure domain");
  }
  if (it->leaving_since) {
    const TimePoint shown =
        std::max({*it->leaving_since, registry.LastDisturbed(scheduler.now()),
                  entry.list_disturbed_at()});
    if (scheduler.now() > shown + kLeavingBound) {
      witness.Fail(start.attempt.job,
                   "a start more than 5 s after the upstream was leaving");
    }
  }
  it->upstream->Receive(
      std::move(start), [this, &entry, life](AttemptEnded ended) {
        // Rarely, an answer reaches the next process at the same address.
        const std::uint64_t to = random.Chance(0.01) ? entry.life() : life;
        Send(entry.domain(), entry.domain(), [&entry, to, ended] {
          entry.Post(to, [&entry, ended] { entry.Handle(ended); });
        });
      });
}

void World::OnAccepted(const Configuration& configuration) {
  ++configurations;
  witness.Trace(0, "store", "configuration accepted",
                static_cast<std::int64_t>(configuration.version()));
  scheduler.After(kConfigurationBound,
                  [this, configuration, since = scheduler.now()] {
                    CheckInForce(configuration, since);
                  });
}

void World::CheckInForce(const Configuration& accepted, TimePoint since) {
  if (store.LastDisturbed(scheduler.now()) >= since) {
    return;
  }
  for (const auto& entry : entries) {
    const bool is_reachable = entry->is_up() && !entry->is_paused() &&
                              entry->head_disturbed_at() < since;
    if (!is_reachable) {
      continue;
    }
    const Configuration* const in_force = entry->dispatcher().configuration();
    if (in_force == nullptr || in_force->version() < accepted.version()) {
      witness.Fail(
          0, "an accepted configuration is not in force at " + entry->name());
    } else if (in_force->version() == accepted.version() &&
               in_force->header().digest != accepted.header().digest) {
      witness.Fail(0, "two configurations have one version");
    }
  }
}

Configuration World::MakeConfiguration(std::uint64_t version) {
  // Declared run times are right, or wrong by ten either way.
  const auto kind = [&](std::string name, bool idempotent, std::int64_t run_ms,
                        std::uint32_t cpus) {
    const std::int64_t factors[] = {1, 10, 100};
    return Kind{
        .service = "fitting",
        .name = std::move(name),
        .idempotent = idempotent,
        .default_timeout = seconds(5),
        .declared_run_time = milliseconds(run_ms * random.Pick(factors) / 10),
        .needs = {.cpus = cpus, .memory_mb = 64},
        .queue_limit = static_cast<std::uint32_t>(random.Between(100, 1000))};
  };
  const auto percent = static_cast<std::uint32_t>(random.Between(5, 95));
  const std::string unique = std::to_string(random.Next());
  return Configuration(
      {.version = version,
       .operation_id = unique,
       .created_unix_ms = ToMilliseconds(scheduler.now().time_since_epoch()),
       .digest = unique},
      {.services = {{.name = "fitting"}},
       .kinds = {kind("match", true, 160, 1), kind("book", false, 160, 1),
                 kind("long", true, 2500, 2), kind("huge", false, 160, 1000)},
       .shares = {{.service = "fitting", .owner = "north", .percent = percent},
                  {.service = "fitting",
                   .owner = "south",
                   .percent = 100 - percent}}});
}

Entry& World::EntryAt(std::uint16_t port) {
  return **std::ranges::find_if(entries, [&](const auto& entry) {
    return entry->address().port == port;
  });
}

RunResult Run(const RunOptions& options) {
  World world(options);
  world.callers->Begin();
  world.faults->Begin();
  Scheduler& scheduler = world.scheduler;
  TimePoint next_sweep = scheduler.now();
  const auto advance = [&] {
    scheduler.RunNext();
    if (scheduler.now() >= next_sweep) {
      next_sweep = scheduler.now() + kSweepPeriod;
      for (const auto& entry : world.entries) {
        entry->CheckCalls();
      }
    }
    return world.witness.violation().empty();
  };
  bool holds = true;
  while (holds && scheduler.step() < options.steps) {
    holds = advance();
  }
  world.is_draining_run = true;
  world.faults->EndAll();
  const TimePoint end = scheduler.now() + kSettleTime;
  while (holds && scheduler.now() < end) {
    holds = advance();
  }
  for (const auto& entry : world.entries) {
    if (holds) {
      entry->CheckIdle();
    }
  }
  RunResult result{.steps = scheduler.step(),
                   .submissions = world.witness.submissions(),
                   .tasks_started = world.witness.tasks_started(),
                   .completed = world.witness.completed(),
                   .refused = world.witness.refused(),
                   .entry_faults = world.entry_faults,
                   .configurations = world.configurations};
  if (!world.witness.violation().empty()) {
    result.violation = "seed " + std::to_string(options.seed) + ", " +
                       world.witness.violation();
  }
  return result;
}

}  // namespace jaypick::simulation
