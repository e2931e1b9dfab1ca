#include "tests/simulation/cluster.h"

#include <algorithm>
#include <utility>

#include "tests/simulation/callers.h"
#include "tests/simulation/entry.h"
#include "tests/simulation/faults.h"

namespace jaypick::simulation {
namespace {

constexpr Duration kMinMessageDelay{100};
constexpr Duration kMaxMessageDelay{1500};
constexpr Duration kConfigurationLimit = seconds(5);
constexpr Duration kLeavingLimit = seconds(5);
constexpr Duration kCallCheckPeriod = seconds(1);
// Number of past snapshots of the instance list kept, so that a list with a lag
// can serve old ones.
constexpr std::size_t kMaxSnapshots = 200;
// Time after the end of the load in which the longest job, key claim and
// forwarded call must have finished.
constexpr Duration kSettleTime = seconds(150);

}  // namespace

std::string DomainName(int domain) {
  return "domain-" + std::to_string(domain);
}

Cluster::Cluster(const RunOptions& run_options)
    : options(run_options),
      random(run_options.seed),
      checker(scheduler),
      callers(std::make_unique<Callers>(*this)),
      faults(std::make_unique<Faults>(*this)) {
  for (int index = 0; index < kDomains * kUpstreamsPerDomain; ++index) {
    ListedUpstream& added = upstreams.emplace_back();
    added.domain = index % kDomains;
    added.upstream = std::make_unique<Upstream>(scheduler, random, checker,
                                                "u" + std::to_string(index), 8);
  }
  for (int index = 0; index < kDomains * kEntriesPerDomain; ++index) {
    entries.push_back(std::make_unique<Entry>(
        *this, "e" + std::to_string(index), index % kDomains,
        static_cast<std::uint16_t>(8000 + index)));
  }
  store.head = MakeConfiguration(1);
  store.previous_head = store.head;
  PublishInstances();
  for (const auto& entry : entries) {
    entry->Start();
  }
}

Cluster::~Cluster() = default;

bool Cluster::IsCut(int from, int to) const {
  return cut[static_cast<std::size_t>(from)][static_cast<std::size_t>(to)];
}

void Cluster::Send(int from, int to, Scheduler::Callback deliver) {
  if (IsCut(from, to) || random.Chance(message_loss)) {
    return;
  }
  scheduler.After(random.Span(kMinMessageDelay, kMaxMessageDelay),
                  [this, from, to, deliver = std::move(deliver)] {
                    if (!IsCut(from, to)) {
                      deliver();
                    }
                  });
}

void Cluster::PublishInstances() {
  InstanceList list;
  list.revision =
      registry.history.empty() ? 1 : registry.history.back().list.revision + 1;
  for (const auto& entry : entries) {
    list.instances.push_back({.name = entry->name(),
                              .role = InstanceRole::kEntry,
                              .state = entry->is_draining()
                                           ? InstanceState::kLeaving
                                           : InstanceState::kLive,
                              .generation = entry->generation(),
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
  if (registry.history.size() >= kMaxSnapshots) {
    registry.history.pop_front();
  }
  registry.history.push_back({scheduler.now(), std::move(list)});
}

const InstanceList& Cluster::ServedInstances() const {
  const TimePoint shown = scheduler.now() - registry.lag;
  for (auto it = registry.history.rbegin(); it != registry.history.rend();
       ++it) {
    if (it->since <= shown) {
      return it->list;
    }
  }
  return registry.history.front().list;
}

void Cluster::ReceiveStart(Entry& entry,
                           std::uint64_t generation,
                           StartAttempt start) {
  const auto it = std::ranges::find_if(upstreams, [&](const auto& listed) {
    return listed.upstream->name() == start.upstream;
  });
  if (it->domain != entry.domain()) {
    checker.Fail(start.attempt.job,
                 "task sent to an upstream in another failure domain");
  }
  if (it->leaving_since) {
    const TimePoint shown =
        std::max({*it->leaving_since, registry.LastFaultTime(scheduler.now()),
                  entry.last_list_read_failure()});
    if (scheduler.now() > shown + kLeavingLimit) {
      checker.Fail(start.attempt.job,
                   "task sent more than 5 s after the upstream began to leave");
    }
  }
  it->upstream->Receive(
      std::move(start), [this, &entry, generation](AttemptEnded ended) {
        // Occasionally a response reaches the process that replaced the sender
        // of the request at the same address.
        const std::uint64_t to =
            random.Chance(0.01) ? entry.generation() : generation;
        Send(entry.domain(), entry.domain(), [&entry, to, ended] {
          entry.Post(to, [&entry, ended] { entry.Handle(ended); });
        });
      });
}

void Cluster::OnConfigurationAccepted(const Configuration& configuration) {
  ++configurations;
  checker.Trace(0, "store", "configuration accepted",
                static_cast<std::int64_t>(configuration.version()));
  scheduler.After(kConfigurationLimit,
                  [this, configuration, since = scheduler.now()] {
                    CheckConfigurationInForce(configuration, since);
                  });
}

void Cluster::CheckConfigurationInForce(const Configuration& accepted,
                                        TimePoint since) {
  if (store.LastFaultTime(scheduler.now()) >= since) {
    return;
  }
  for (const auto& entry : entries) {
    const bool is_reachable = entry->is_up() && !entry->is_paused() &&
                              entry->last_head_read_failure() < since;
    if (!is_reachable) {
      continue;
    }
    const Configuration* const in_force = entry->dispatcher().configuration();
    if (in_force == nullptr || in_force->version() < accepted.version()) {
      checker.Fail(
          0, "accepted configuration is not in force at " + entry->name());
    } else if (in_force->version() == accepted.version() &&
               in_force->header().digest != accepted.header().digest) {
      checker.Fail(0, "two different configurations have the same version");
    }
  }
}

Configuration Cluster::MakeConfiguration(std::uint64_t version) {
  // Declared run times are right, or wrong by a factor of ten either way.
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

Entry& Cluster::EntryAt(std::uint16_t port) {
  return **std::ranges::find_if(entries, [&](const auto& entry) {
    return entry->address().port == port;
  });
}

RunResult Run(const RunOptions& options) {
  Cluster cluster(options);
  cluster.callers->Start();
  cluster.faults->Start();
  Scheduler& scheduler = cluster.scheduler;
  TimePoint next_call_check = scheduler.now();
  const auto advance = [&] {
    scheduler.RunNext();
    if (scheduler.now() >= next_call_check) {
      next_call_check = scheduler.now() + kCallCheckPeriod;
      for (const auto& entry : cluster.entries) {
        entry->CheckCalls();
      }
    }
    return cluster.checker.violation().empty();
  };
  bool is_valid = true;
  while (is_valid && scheduler.step() < options.steps) {
    is_valid = advance();
  }
  cluster.has_load_ended = true;
  cluster.faults->EndAll();
  const TimePoint end = scheduler.now() + kSettleTime;
  while (is_valid && scheduler.now() < end) {
    is_valid = advance();
  }
  for (const auto& entry : cluster.entries) {
    if (is_valid) {
      entry->CheckIdle();
    }
  }
  RunResult result{.steps = scheduler.step(),
                   .submissions = cluster.checker.submissions(),
                   .tasks_started = cluster.checker.tasks_started(),
                   .completed = cluster.checker.completed(),
                   .refused = cluster.checker.refused(),
                   .entry_faults = cluster.entry_faults,
                   .configurations = cluster.configurations};
  if (!cluster.checker.violation().empty()) {
    result.violation = "seed " + std::to_string(options.seed) + ", " +
                       cluster.checker.violation();
  }
  return result;
}

}  // namespace jaypick::simulation
