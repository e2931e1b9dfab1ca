// Configuration, membership and draining.
#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

#include "dispatch/core.h"

namespace jaypick {

namespace {

// Sort key that decides which of two configurations is newer. Two changes can
// get the same version if the key-value service restarts with an older head;
// then all entries use the one that was accepted later.
auto PrecedenceOf(const Configuration& configuration) {
  const ConfigurationHeader& header = configuration.header();
  return std::tie(header.version, header.created_unix_ms, header.digest);
}

}  // namespace

void Dispatcher::Core::On(ConfigurationOffered& message) {
  const bool is_newer = !configuration_ || PrecedenceOf(message.configuration) >
                                               PrecedenceOf(*configuration_);
  const bool is_ignored =
      configuration_ &&
      (HasMutant(internal::Mutant::kKeepFirstConfiguration) ||
       (HasMutant(internal::Mutant::kCompareVersionOnly) &&
        message.configuration.version() == configuration_->version()));
  const bool is_adopted =
      is_newer || HasMutant(internal::Mutant::kConfigurationGoesBack);
  if (!is_adopted || is_ignored) {
    return;
  }
  if (!is_newer) {
    ReportViolation("a configuration never goes back",
                    std::to_string(message.configuration.version()));
  }
  configuration_ = std::move(message.configuration);
  catalogue_.Apply(*configuration_, [this](const std::string& service) {
    return pool_.InternService(service);
  });
  AssignWeights();
  observer_.OnConfiguration(configuration_->header());
}

void Dispatcher::Core::AssignWeights() {
  std::map<internal::ServiceNumber,
           std::map<internal::OwnerNumber, std::uint32_t>>
      weights;
  for (const Share& share : configuration_->content().shares) {
    const auto service = pool_.InternService(share.service);
    weights[service][catalogue_.InternOwner(share.owner)] = share.percent;
  }
  for (const auto& [service, owners] : weights) {
    QueueOf(service).AssignWeights(owners);
  }
}

void Dispatcher::Core::On(InstancesOffered& message) {
  const bool is_newer =
      !instances_ || message.list.revision > instances_->revision;
  const bool is_ignored =
      instances_ && HasMutant(internal::Mutant::kKeepFirstInstances);
  if (!is_newer || is_ignored) {
    return;
  }
  instances_ = std::move(message.list);
  if (HasMutant(internal::Mutant::kStartOnLeaving)) {
    for (Instance& instance : instances_->instances) {
      instance.state = InstanceState::kLive;
    }
  }
  std::uint32_t listed = 0;
  std::uint32_t in_domain = 0;
  for (const Instance& instance : instances_->instances) {
    if (instance.role != InstanceRole::kEntry) {
      continue;
    }
    ++listed;
    if (instance.failure_domain == options_.failure_domain) {
      ++in_domain;
    }
  }
  pool_.ApplyList(*instances_, options_.failure_domain, std::max(in_domain, 1U),
                  now_);
  const double rate = options_.key_claims_per_second / std::max(listed, 1U);
  claim_bucket_.SetRate(rate, std::max(rate, 1.0));
  observer_.OnInstanceList(instances_->revision);
}

void Dispatcher::Core::On(const DrainRequested& message) {
  if (!drain_) {
    drain_ = Drain{.refuse_from = now_ + message.notice};
  }
}

void Dispatcher::Core::FinishDrain() {
  const bool is_over =
      drain_ && !drain_->is_finished &&
      !HasMutant(internal::Mutant::kDrainNeverEnds) &&
      now_ >= drain_->refuse_from &&
      ((jobs_.active() == 0 && calls_.empty() && claims_.empty()) ||
       HasMutant(internal::Mutant::kDrainCutsOff));
  if (is_over) {
    drain_->is_finished = true;
    actions_->push_back(DrainFinished());
  }
}

internal::FairQueue& Dispatcher::Core::QueueOf(
    internal::ServiceNumber service) {
  while (queues_.size() <= service) {
    queues_.emplace_back();
  }
  return queues_[service];
}

const Instance* Dispatcher::Core::FindEntry(const std::string& name) const {
  if (!instances_) {
    return nullptr;
  }
  const auto it = std::ranges::find_if(
      instances_->instances, [&](const Instance& instance) {
        return instance.role == InstanceRole::kEntry && instance.name == name;
      });
  return it == instances_->instances.end() ? nullptr : &*it;
}

}  // namespace jaypick
