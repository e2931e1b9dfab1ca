#include "tests/simulation/faults.h"

#include <utility>

#include "tests/simulation/callers.h"
#include "tests/simulation/entry.h"

namespace jaypick::simulation {
namespace {

constexpr Duration kCalmSpacing = milliseconds(1200);
constexpr Duration kRoughSpacing = milliseconds(150);

}  // namespace

void Faults::Begin() {
  spacing_ = world_.random.Span(kRoughSpacing, kCalmSpacing);
  Next();
}

void Faults::Next() {
  world_.scheduler.After(world_.random.Span(Duration(0), spacing_), [this] {
    if (!world_.is_draining_run) {
      Inject();
      Next();
    }
  });
}

void Faults::EndAll() {
  world_.cut = {};
  world_.message_loss = 0;
  world_.store.is_down = false;
  world_.store.slowness = Duration(0);
  world_.store.answer_loss = 0;
  world_.registry.is_down = false;
  world_.registry.lag = Duration(0);
  world_.registry.disturbed_at = world_.scheduler.now();
  for (const auto& entry : world_.entries) {
    if (entry->is_paused()) {
      entry->Resume();
    }
    if (!entry->is_up()) {
      entry->Start();
    }
  }
  // Once more, so that each run ends with it and all entries must agree.
  RollBackHead();
}

void Faults::Inject() {
  const std::int64_t choice = world_.random.Between(0, 99);
  if (choice < 35) {
    DisturbEntry();
  } else if (choice < 60) {
    DisturbUpstream();
  } else if (choice < 67) {
    CutLinks();
  } else if (choice < 74) {
    DisturbStore();
  } else if (choice < 79) {
    DisturbInstances();
  } else if (choice < 83) {
    LoseMessages();
  } else if (choice < 88) {
    DisturbCallers();
  } else {
    ChangeConfiguration();
  }
}

void Faults::DisturbEntry() {
  Random& random = world_.random;
  Entry& entry = *random.Pick(world_.entries);
  if (!entry.is_up() || entry.is_paused()) {
    return;
  }
  ++world_.entry_faults;
  const std::int64_t choice = random.Between(0, 9);
  if (choice < 4) {
    entry.Kill();
    RestartLater(entry);
  } else if (choice < 8) {
    entry.Pause();
    // Most pauses are short; some outlast every deadline and claim.
    const Duration longest = random.Chance(0.1) ? seconds(70) : seconds(6);
    ResumeLater(entry, random.Span(milliseconds(10), longest));
  } else {
    entry.Drain(random.Span(Duration(0), seconds(2)));
  }
}

void Faults::ResumeLater(Entry& entry, Duration pause) {
  world_.scheduler.After(pause, [&entry, life = entry.life()] {
    if (entry.life() == life && entry.is_paused()) {
      entry.Resume();
    }
  });
}

void Faults::RestartLater(Entry& entry) {
  world_.scheduler.After(world_.random.Span(milliseconds(50), seconds(3)),
                         [&entry, life = entry.life()] {
                           if (entry.life() == life && !entry.is_up()) {
                             entry.Start();
                           }
                         });
}

void Faults::DisturbUpstream() {
  Random& random = world_.random;
  ListedUpstream& listed = random.Pick(world_.upstreams);
  Upstream& upstream = *listed.upstream;
  if (!upstream.is_up() || listed.leaving_since) {
    return;
  }
  const std::int64_t choice = random.Between(0, 9);
  if (choice < 2) {
    world_.witness.Trace(0, upstream.name(), "upstream killed");
    upstream.Kill();
    world_.scheduler.After(random.Span(milliseconds(50), seconds(6)),
                           [&upstream] { upstream.Restart(); });
  } else if (choice < 4) {
    LeaveUpstream(listed);
  } else {
    const auto mode =
        static_cast<UpstreamMode>(random.Between(1, kUpstreamModes - 1));
    upstream.SetMode(mode);
    world_.scheduler.After(
        random.Span(milliseconds(100), seconds(10)),
        [&upstream] { upstream.SetMode(UpstreamMode::kHealthy); });
  }
}

void Faults::LeaveUpstream(ListedUpstream& listed) {
  Random& random = world_.random;
  listed.leaving_since = world_.scheduler.now();
  listed.upstream->Leave(random.Chance(0.3));
  world_.PublishInstances();
  world_.scheduler.After(random.Span(seconds(3), seconds(20)), [this, &listed] {
    listed.upstream->Kill();
    listed.is_listed = false;
    world_.PublishInstances();
    world_.scheduler.After(world_.random.Span(milliseconds(100), seconds(4)),
                           [this, &listed] {
                             listed.upstream->Restart();
                             listed.is_listed = true;
                             listed.leaving_since.reset();
                             ++listed.generation;
                             world_.PublishInstances();
                           });
  });
}

void Faults::CutLinks() {
  Random& random = world_.random;
  const int from = static_cast<int>(random.Between(0, kDomains - 1));
  // One domain from all others and the platform, or one link.
  const int only = static_cast<int>(random.Between(-3, kPlatform));
  for (int to = 0; to <= kPlatform; ++to) {
    const bool is_meant = to != from && (only < 0 || to == only);
    if (!is_meant) {
      continue;
    }
    const auto set = [this, from, to](bool value) {
      world_.cut[static_cast<std::size_t>(from)][static_cast<std::size_t>(to)] =
          value;
      world_.cut[static_cast<std::size_t>(to)][static_cast<std::size_t>(from)] =
          value;
    };
    world_.witness.Trace(0, DomainName(from), "link cut", to);
    set(true);
    world_.scheduler.After(random.Span(milliseconds(200), seconds(8)),
                           [set] { set(false); });
  }
}

void Faults::DisturbStore() {
  Random& random = world_.random;
  Store& store = world_.store;
  const std::int64_t choice = random.Between(0, 3);
  const auto end = [this](bool rolls_back) {
    Store& disturbed = world_.store;
    disturbed.is_down = false;
    disturbed.slowness = Duration(0);
    disturbed.answer_loss = 0;
    if (rolls_back) {
      RollBackHead();
    }
    disturbed.disturbed_at = world_.scheduler.now();
  };
  store.disturbed_at = world_.scheduler.now();
  store.is_down = choice == 0 || choice == 3;
  store.slowness = choice == 1 ? seconds(3) : Duration(0);
  store.answer_loss = choice == 2 ? 0.5 : 0;
  world_.witness.Trace(0, "store", "disturbed", choice);
  world_.scheduler.After(random.Span(milliseconds(200), seconds(8)),
                         [end, rolls_back = choice == 3] { end(rolls_back); });
}

// The store restarts with an older head, and an operator makes a change through
// an entry that has just started and knows nothing but this head.
void Faults::RollBackHead() {
  world_.store.head = world_.store.older_head;
  ++world_.store.head_revision;
  world_.store.disturbed_at = world_.scheduler.now();
  world_.witness.Trace(0, "store", "restarts with an older head");
  Entry& entry = *world_.random.Pick(world_.entries);
  if (!entry.is_up() || entry.is_paused()) {
    return;
  }
  ++world_.entry_faults;
  entry.Kill();
  entry.Start();
  world_.scheduler.After(world_.random.Span(Duration(0), milliseconds(100)),
                         [&entry, life = entry.life()] {
                           entry.Post(life, [&entry] { entry.ApplyChange(); });
                         });
}

void Faults::DisturbInstances() {
  Random& random = world_.random;
  InstanceRegistry& registry = world_.registry;
  registry.disturbed_at = world_.scheduler.now();
  if (random.Chance(0.4)) {
    registry.is_down = true;
  } else {
    // A long lag also shows lists older than the ones shown before.
    registry.lag = random.Span(milliseconds(500), seconds(15));
  }
  world_.scheduler.After(random.Span(milliseconds(200), seconds(8)), [this] {
    world_.registry.is_down = false;
    world_.registry.lag = Duration(0);
    world_.registry.disturbed_at = world_.scheduler.now();
  });
}

void Faults::LoseMessages() {
  Random& random = world_.random;
  world_.message_loss = static_cast<double>(random.Between(1, 30)) / 100;
  world_.scheduler.After(random.Span(milliseconds(100), seconds(4)),
                         [this] { world_.message_loss = 0; });
}

void Faults::DisturbCallers() {
  if (world_.random.Chance(0.5)) {
    world_.callers->CancelHalf();
  } else {
    world_.callers->Burst(static_cast<int>(world_.random.Between(20, 150)));
  }
}

void Faults::ChangeConfiguration() {
  // Up to three operators at once.
  for (std::int64_t left = world_.random.Between(1, 3); left > 0; --left) {
    Entry& entry = *world_.random.Pick(world_.entries);
    if (entry.is_up() && !entry.is_paused()) {
      entry.ApplyChange();
    }
  }
}

}  // namespace jaypick::simulation
