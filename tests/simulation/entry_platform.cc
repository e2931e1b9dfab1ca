// Exchanges of an entry with the platform and with its peers.
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

void Entry::RunEvery(Duration period, void (Entry::*poll)()) {
  const Duration first = cluster_.random.Span(Duration(0), milliseconds(100));
  const auto repeat = std::make_shared<std::function<void()>>();
  *repeat = [this, period, poll, generation = generation_,
             weak = std::weak_ptr(repeat)] {
    if (generation != generation_ || !is_up()) {
      return;
    }
    cluster_.scheduler.After(period, [again = weak.lock()] { (*again)(); });
    if (!is_paused_) {
      (this->*poll)();
    }
  };
  cluster_.scheduler.After(first, [repeat] { (*repeat)(); });
}

void Entry::PollHead() {
  cluster_.CallStore<Head>(
      *this,
      [](Store& store) {
        return Head{store.head, store.head_revision};
      },
      [this](std::optional<Head> head) {
        if (!head) {
          last_head_read_failure_ = cluster_.scheduler.now();
          return;
        }
        if (head->configuration) {
          Handle(ConfigurationOffered{std::move(*head->configuration)});
        }
      });
}

void Entry::PollInstances() {
  const auto is_finished = std::make_shared<bool>(false);
  const auto finish = [this, generation = generation_,
                       is_finished](const std::optional<InstanceList>& list) {
    Post(generation, [this, is_finished, list] {
      if (std::exchange(*is_finished, true)) {
        return;
      }
      if (list) {
        OnInstances(*list);
      } else {
        last_list_read_failure_ = cluster_.scheduler.now();
      }
    });
  };
  cluster_.scheduler.After(kPlatformTimeout,
                           [finish] { finish(std::nullopt); });
  cluster_.Send(domain_, kPlatform, [this, finish] {
    if (!cluster_.registry.is_down) {
      cluster_.Send(
          kPlatform, domain_,
          [finish, list = cluster_.ServedInstances()] { finish(list); });
    }
  });
}

void Entry::OnInstances(InstanceList list) {
  // Records the upstreams that this process has seen as leaving. An upstream
  // may be used again only after a list shows it with a greater generation.
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
  const bool own_domain = cluster_.random.Chance(0.5);
  std::vector<Entry*> peers;
  for (const auto& entry : cluster_.entries) {
    if (entry.get() != this && (entry->domain() == domain_) == own_domain) {
      peers.push_back(entry.get());
    }
  }
  Entry& peer = *cluster_.random.Pick(peers);
  OfferStateTo(peer);
  cluster_.Send(domain_, peer.domain(), [this, &peer] {
    peer.Post(peer.generation(), [this, &peer] { peer.OfferStateTo(*this); });
  });
}

// Sends the state even if the peer may have it already; the peer keeps the
// newer one.
void Entry::OfferStateTo(Entry& peer) {
  std::optional<Configuration> configuration;
  if (dispatcher_->configuration() != nullptr) {
    configuration = *dispatcher_->configuration();
  }
  std::optional<InstanceList> list;
  if (dispatcher_->instances() != nullptr) {
    list = *dispatcher_->instances();
  }
  cluster_.Send(domain_, peer.domain(), [&peer, configuration, list] {
    const std::uint64_t generation = peer.generation();
    if (configuration) {
      peer.Post(generation, [&peer, configuration] {
        peer.Handle(ConfigurationOffered{*configuration});
      });
    }
    if (list) {
      peer.Post(generation, [&peer, list] { peer.OnInstances(*list); });
    }
  });
}

void Entry::ApplyChange() {
  cluster_.CallStore<Head>(
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
      cluster_.MakeConfiguration(std::max(head_version, own_version) + 1);
  cluster_.CallStore<bool>(
      *this,
      [this, revision, change](Store& store) {
        if (store.head_revision != revision) {
          return false;
        }
        store.previous_head = std::exchange(store.head, change);
        ++store.head_revision;
        cluster_.OnConfigurationAccepted(change);
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

// Called when the response to a write was lost. Reads the head to find out
// whether the change was made.
void Entry::ConfirmChange(const Configuration& change) {
  cluster_.CallStore<Head>(
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
  for (const auto& peer : cluster_.entries) {
    if (peer.get() != this) {
      OfferStateTo(*peer);
    }
  }
}

}  // namespace jaypick::simulation
