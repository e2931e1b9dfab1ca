#include "tests/simulation/faults.h"

#include <utility>

#include "tests/simulation/callers.h"
#include "tests/simulation/entry.h"

namespace jaypick::simulation {
namespace {

constexpr Duration kMaxIntervalHigh = milliseconds(1200);
constexpr Duration kMaxIntervalLow = milliseconds(150);

}  // namespace

void Faults::Start() {
  max_interval_ = cluster_.random.Span(kMaxIntervalLow, kMaxIntervalHigh);
  ScheduleNextFault();
}

void Faults::ScheduleNextFault() {
  cluster_.scheduler.After(cluster_.random.Span(Duration(0), max_interval_),
                           [this] {
                             if (!cluster_.has_load_ended) {
                               InjectFault();
                               ScheduleNextFault();
                             }
                           });
}

void Faults::EndAll() {
  cluster_.cut = {};
  cluster_.message_loss = 0;
  cluster_.store.is_down = false;
  cluster_.store.max_delay = Duration(0);
  cluster_.store.response_loss = 0;
  cluster_.registry.is_down = false;
  cluster_.registry.lag = Duration(0);
  cluster_.registry.last_fault_at = cluster_.scheduler.now();
  for (const auto& entry : cluster_.entries) {
    if (entry->is_paused()) {
      entry->Resume();
    }
    if (!entry->is_up()) {
      entry->Start();
    }
  }
  // Rolls back the head as the last fault of each run, after which all entries
  // must converge on one configuration.
  RollBackHead();
}

void Faults::InjectFault() {
  const std::int64_t choice = cluster_.random.Between(0, 99);
  if (choice < 35) {
    InjectEntryFault();
  } else if (choice < 60) {
    InjectUpstreamFault();
  } else if (choice < 67) {
    InjectLinkCut();
  } else if (choice < 74) {
    InjectStoreFault();
  } else if (choice < 79) {
    InjectInstanceListFault();
  } else if (choice < 83) {
    InjectMessageLoss();
  } else if (choice < 88) {
    InjectCallerFault();
  } else {
    ChangeConfiguration();
  }
}

void Faults::InjectEntryFault() {
  Random& random = cluster_.random;
  Entry& entry = *random.Pick(cluster_.entries);
  if (!entry.is_up() || entry.is_paused()) {
    return;
  }
  ++cluster_.entry_faults;
  const std::int64_t choice = random.Between(0, 9);
  if (choice < 4) {
    entry.Kill();
    ScheduleRestart(entry);
  } else if (choice < 8) {
    entry.Pause();
    // Most pauses are short; some last longer than any deadline or key claim.
    const Duration longest = random.Chance(0.1) ? seconds(70) : seconds(6);
    ScheduleResume(entry, random.Span(milliseconds(10), longest));
  } else {
    entry.Drain(random.Span(Duration(0), seconds(2)));
  }
}

void Faults::ScheduleResume(Entry& entry, Duration pause) {
  cluster_.scheduler.After(pause, [&entry, generation = entry.generation()] {
    if (entry.generation() == generation && entry.is_paused()) {
      entry.Resume();
    }
  });
}

void Faults::ScheduleRestart(Entry& entry) {
  cluster_.scheduler.After(
      cluster_.random.Span(milliseconds(50), seconds(3)),
      [&entry, generation = entry.generation()] {
        if (entry.generation() == generation && !entry.is_up()) {
          entry.Start();
        }
      });
}

void Faults::InjectUpstreamFault() {
  Random& random = cluster_.random;
  ListedUpstream& listed = random.Pick(cluster_.upstreams);
  Upstream& upstream = *listed.upstream;
  if (!upstream.is_up() || listed.leaving_since) {
    return;
  }
  const std::int64_t choice = random.Between(0, 9);
  if (choice < 2) {
    cluster_.checker.Trace(0, upstream.name(), "upstream killed");
    upstream.Kill();
    cluster_.scheduler.After(random.Span(milliseconds(50), seconds(6)),
                             [&upstream] { upstream.Restart(); });
  } else if (choice < 4) {
    ReplaceUpstream(listed);
  } else {
    const auto mode =
        static_cast<UpstreamMode>(random.Between(1, kUpstreamModes - 1));
    upstream.SetMode(mode);
    cluster_.scheduler.After(
        random.Span(milliseconds(100), seconds(10)),
        [&upstream] { upstream.SetMode(UpstreamMode::kHealthy); });
  }
}

void Faults::ReplaceUpstream(ListedUpstream& listed) {
  Random& random = cluster_.random;
  listed.leaving_since = cluster_.scheduler.now();
  listed.upstream->Leave(random.Chance(0.3));
  cluster_.PublishInstances();
  cluster_.scheduler.After(random.Span(seconds(3), seconds(20)), [this,
                                                                  &listed] {
    listed.upstream->Kill();
    listed.is_listed = false;
    cluster_.PublishInstances();
    cluster_.scheduler.After(
        cluster_.random.Span(milliseconds(100), seconds(4)), [this, &listed] {
          listed.upstream->Restart();
          listed.is_listed = true;
          listed.leaving_since.reset();
          ++listed.generation;
          cluster_.PublishInstances();
        });
  });
}

void Faults::InjectLinkCut() {
  Random& random = cluster_.random;
  const int from = static_cast<int>(random.Between(0, kDomains - 1));
  // Isolates one domain from all others and the platform, or cuts one link.
  const int single_target = static_cast<int>(random.Between(-3, kPlatform));
  for (int to = 0; to <= kPlatform; ++to) {
    const bool is_affected =
        to != from && (single_target < 0 || to == single_target);
    if (!is_affected) {
      continue;
    }
    const auto set = [this, from, to](bool value) {
      cluster_
          .cut[static_cast<std::size_t>(from)][static_cast<std::size_t>(to)] =
          value;
      cluster_
          .cut[static_cast<std::size_t>(to)][static_cast<std::size_t>(from)] =
          value;
    };
    cluster_.checker.Trace(0, DomainName(from), "link cut", to);
    set(true);
    cluster_.scheduler.After(random.Span(milliseconds(200), seconds(8)),
                             [set] { set(false); });
  }
}

void Faults::InjectStoreFault() {
  Random& random = cluster_.random;
  Store& store = cluster_.store;
  const std::int64_t choice = random.Between(0, 3);
  const auto end = [this](bool rolls_back) {
    Store& faulty_store = cluster_.store;
    faulty_store.is_down = false;
    faulty_store.max_delay = Duration(0);
    faulty_store.response_loss = 0;
    if (rolls_back) {
      RollBackHead();
    }
    faulty_store.last_fault_at = cluster_.scheduler.now();
  };
  store.last_fault_at = cluster_.scheduler.now();
  store.is_down = choice == 0 || choice == 3;
  store.max_delay = choice == 1 ? seconds(3) : Duration(0);
  store.response_loss = choice == 2 ? 0.5 : 0;
  cluster_.checker.Trace(0, "store", "disturbed", choice);
  cluster_.scheduler.After(
      random.Span(milliseconds(200), seconds(8)),
      [end, rolls_back = choice == 3] { end(rolls_back); });
}

// Restarts the store with an older head. Then an operator makes a change
// through an entry that has just started and knows no configuration but this
// head.
void Faults::RollBackHead() {
  cluster_.store.head = cluster_.store.previous_head;
  ++cluster_.store.head_revision;
  cluster_.store.last_fault_at = cluster_.scheduler.now();
  cluster_.checker.Trace(0, "store", "restarts with an older head");
  Entry& entry = *cluster_.random.Pick(cluster_.entries);
  if (!entry.is_up() || entry.is_paused()) {
    return;
  }
  ++cluster_.entry_faults;
  entry.Kill();
  entry.Start();
  cluster_.scheduler.After(cluster_.random.Span(Duration(0), milliseconds(100)),
                           [&entry, generation = entry.generation()] {
                             entry.Post(generation,
                                        [&entry] { entry.ApplyChange(); });
                           });
}

void Faults::InjectInstanceListFault() {
  Random& random = cluster_.random;
  InstanceRegistry& registry = cluster_.registry;
  registry.last_fault_at = cluster_.scheduler.now();
  if (random.Chance(0.4)) {
    registry.is_down = true;
  } else {
    // With a long lag, entries read lists older than those they read before.
    registry.lag = random.Span(milliseconds(500), seconds(15));
  }
  cluster_.scheduler.After(random.Span(milliseconds(200), seconds(8)), [this] {
    cluster_.registry.is_down = false;
    cluster_.registry.lag = Duration(0);
    cluster_.registry.last_fault_at = cluster_.scheduler.now();
  });
}

void Faults::InjectMessageLoss() {
  Random& random = cluster_.random;
  cluster_.message_loss = static_cast<double>(random.Between(1, 30)) / 100;
  cluster_.scheduler.After(random.Span(milliseconds(100), seconds(4)),
                           [this] { cluster_.message_loss = 0; });
}

void Faults::InjectCallerFault() {
  if (cluster_.random.Chance(0.5)) {
    cluster_.callers->CancelHalf();
  } else {
    cluster_.callers->Burst(static_cast<int>(cluster_.random.Between(20, 150)));
  }
}

void Faults::ChangeConfiguration() {
  // Up to three operators make changes concurrently.
  for (std::int64_t left = cluster_.random.Between(1, 3); left > 0; --left) {
    Entry& entry = *cluster_.random.Pick(cluster_.entries);
    if (entry.is_up() && !entry.is_paused()) {
      entry.ApplyChange();
    }
  }
}

}  // namespace jaypick::simulation
