// What an entry does with the platform and its peers.
#include <memory>
#include <utility>

#include "tests/simulation/call_store.h"
#include "tests/simulation/entry.h"

namespace jaypick::simulation {
namespace {

struct Head {
  std::optional<Configuration> configuration;
  std::int64_t revision = 0;
};

}  // namespace

void Entry::Every(Duration period, void (Entry::*poll)()) {
  const Duration first = world_.random.Span(Duration(0), milliseconds(100));
  const auto repeat = std::make_shared<std::function<void()>>();
  *repeat = [this, period, poll, life = life_, weak = std::weak_ptr(repeat)] {
    if (life != life_ || !is_up()) {
      return;
    }
    world_.scheduler.After(period, [again = weak.lock()] { (*again)(); });
    if (!is_paused_) {
      (this->*poll)();
    }
  };
  world_.scheduler.After(first, [repeat] { (*repeat)(); });
}

void Entry::PollHead() {
  world_.CallStore<Head>(
      *this,
      [](Store& store) {
        return Head{store.head, store.head_revision};
      },
      [this](std::optional<Head> head) {
        if (!head) {
          head_disturbed_at_ = world_.scheduler.now();
          return;
        }
        if (head->configuration) {
          Handle(ConfigurationOffered{std::move(*head->configuration)});
        }
      });
}

void Entry::PollInstances() {
  const auto has_ended = std::make_shared<bool>(false);
  const auto end = [this, life = life_,
                    has_ended](const std::optional<InstanceList>& list) {
    Post(life, [this, has_ended, list] {
      if (std::exchange(*has_ended, true)) {
        return;
      }
      if (list) {
        OnInstances(*list);
      } else {
        list_disturbed_at_ = world_.scheduler.now();
      }
    });
  };
  world_.scheduler.After(kPlatformTimeout, [end] { end(std::nullopt); });
  world_.Send(domain_, kPlatform, [this, end] {
    if (!world_.registry.is_down) {
      world_.Send(kPlatform, domain_,
                  [end, list = world_.ServedInstances()] { end(list); });
    }
  });
}

void Entry::OnInstances(InstanceList list) {
  // What this process has been shown, as the promise about leaving upstreams
  // has it: only a greater generation takes it back.
  if (list.revision > list_revision_) {
    list_revision_ = list.revision;
    for (const Instance& instance : list.instances) {
      const auto seen = seen_leaving_.find(instance.name);
      if (instance.role == InstanceRole::kEntry) {
        continue;
      }
      if (instance.state == InstanceState::kLeaving) {
        seen_leaving_[instance.name] = instance.generation;
      } else if (seen != seen_leaving_.end() &&
                 instance.generation > seen->second) {
        seen_leaving_.erase(seen);
      }
    }
  }
  Handle(InstancesOffered{std::move(list)});
}

void Entry::Exchange() {
  const bool own_domain = world_.random.Chance(0.5);
  std::vector<Entry*> peers;
  for (const auto& entry : world_.entries) {
    if (entry.get() != this && (entry->domain() == domain_) == own_domain) {
      peers.push_back(entry.get());
    }
  }
  Entry& peer = *world_.random.Pick(peers);
  OfferTo(peer);
  world_.Send(domain_, peer.domain(), [this, &peer] {
    peer.Post(peer.life(), [this, &peer] { peer.OfferTo(*this); });
  });
}

// Offers also what the peer may have already: it is for the peer to keep the
// newer one.
void Entry::OfferTo(Entry& peer) {
  std::optional<Configuration> configuration;
  if (dispatcher_->configuration() != nullptr) {
    configuration = *dispatcher_->configuration();
  }
  std::optional<InstanceList> list;
  if (dispatcher_->instances() != nullptr) {
    list = *dispatcher_->instances();
  }
  world_.Send(domain_, peer.domain(), [&peer, configuration, list] {
    const std::uint64_t life = peer.life();
    if (configuration) {
      peer.Post(life, [&peer, configuration] {
        peer.Handle(ConfigurationOffered{*configuration});
      });
    }
    if (list) {
      peer.Post(life, [&peer, list] { peer.OnInstances(*list); });
    }
  });
}

void Entry::ApplyChange() {
  world_.CallStore<Head>(
      *this,
      [](Store& store) {
        return Head{store.head, store.head_revision};
      },
      [this](const std::optional<Head>& head) {
        if (head && head->configuration) {
          CommitChange(head->revision, head->configuration->version());
        }
      });
}

void Entry::CommitChange(std::int64_t revision, std::uint64_t head_version) {
  const Configuration* const in_force = dispatcher_->configuration();
  const std::uint64_t own_version =
      in_force == nullptr ? 0 : in_force->version();
  const Configuration change =
      world_.MakeConfiguration(std::max(head_version, own_version) + 1);
  world_.CallStore<bool>(
      *this,
      [this, revision, change](Store& store) {
        if (store.head_revision != revision) {
          return false;
        }
        store.older_head = std::exchange(store.head, change);
        ++store.head_revision;
        world_.OnAccepted(change);
        return true;
      },
      [this, change](std::optional<bool> is_accepted) {
        if (!is_accepted) {
          ConfirmChange(change);
        } else if (*is_accepted) {
          OnChangeApplied(change);
        }
      });
}

// The answer was lost: the head tells whether the change was made.
void Entry::ConfirmChange(const Configuration& change) {
  world_.CallStore<Head>(
      *this,
      [](Store& store) {
        return Head{store.head, store.head_revision};
      },
      [this, change](const std::optional<Head>& head) {
        if (head && head->configuration &&
            head->configuration->header().operation_id ==
                change.header().operation_id) {
          OnChangeApplied(change);
        }
      });
}

void Entry::OnChangeApplied(const Configuration& change) {
  Handle(ConfigurationOffered{change});
  for (const auto& peer : world_.entries) {
    if (peer.get() != this) {
      OfferTo(*peer);
    }
  }
}

}  // namespace jaypick::simulation
