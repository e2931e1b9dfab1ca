// Updates of the pool from instance lists, and slot assignment.
#include <algorithm>
#include <set>

#include "jaypick/internal/upstream_pool.h"

namespace jaypick::internal {
namespace {

// Maximum number of upstream names for which the newest leaving generation is
// remembered. At 100 replaced instances per day this covers several weeks.
constexpr std::size_t kMaxLeavingGenerations = 10'000;

}  // namespace

void UpstreamPool::ApplyList(const InstanceList& list,
                             const std::string& failure_domain,
                             std::uint32_t entries,
                             TimePoint now) {
  entries_ = std::max(1U, entries);
  std::set<std::string> listed;
  for (const Instance& instance : list.instances) {
    if (instance.role == InstanceRole::kUpstream &&
        instance.failure_domain == failure_domain) {
      AddOrUpdate(instance);
      listed.insert(instance.name);
    }
  }
  std::vector<UpstreamNumber> unlisted;
  for (const auto& [name, number] : by_name_) {
    if (!listed.contains(name)) {
      unlisted.push_back(number);
    }
  }
  for (const UpstreamNumber number : unlisted) {
    RemoveUpstream(number);
  }
  RebuildMembers();
  AssignOwnSlots(list, failure_domain);
  for (ServiceState& service : services_) {
    ReadmitExcess(service, now);
  }
}

void UpstreamPool::AddOrUpdate(const Instance& instance) {
  const ServiceNumber service = InternService(instance.service);
  auto it = by_name_.find(instance.name);
  if (it != by_name_.end()) {
    const UpstreamIdentity& known = identities_[it->second];
    if (instance.generation > known.generation || service != known.service) {
      RemoveUpstream(it->second);
      it = by_name_.end();
    }
  }
  if (it == by_name_.end()) {
    it = by_name_.emplace(instance.name, AllocateNumber()).first;
    identities_[it->second].generation = instance.generation;
  }
  const UpstreamNumber number = it->second;
  UpstreamIdentity& identity = identities_[number];
  identity.name = instance.name;
  identity.address = instance.address;
  identity.service = service;
  identity.is_listed = true;
  const auto leaving = leaving_generations_.find(instance.name);
  if (instance.state == InstanceState::kLeaving) {
    MarkLeaving(number);
  } else if (leaving != leaving_generations_.end() &&
             leaving->second >= identity.generation) {
    identity.is_leaving = true;
  }
  UpstreamLoad& load = loads_[number];
  load.slots = instance.slots;
  load.offers = instance.offers;
  if (load.state != HealthState::kSlowStart) {
    load.limit = FullLimit(load);
  }
}

void UpstreamPool::MarkLeaving(UpstreamNumber number) {
  UpstreamIdentity& identity = identities_[number];
  identity.is_leaving = true;
  const auto [it, is_new] =
      leaving_generations_.emplace(identity.name, identity.generation);
  if (is_new) {
    leaving_names_.push_back(identity.name);
  }
  it->second = std::max(it->second, identity.generation);
}

UpstreamNumber UpstreamPool::AllocateNumber() {
  if (free_numbers_.empty()) {
    loads_.emplace_back();
    healths_.emplace_back();
    identities_.emplace_back();
    return size() - 1;
  }
  const UpstreamNumber number = free_numbers_.back();
  free_numbers_.pop_back();
  loads_[number] = {};
  healths_[number] = {};
  identities_[number] = {};
  return number;
}

// Removes an upstream that is no longer listed, or whose name is now listed
// with a greater generation. Its number stays valid until its in-flight
// attempts have ended.
void UpstreamPool::RemoveUpstream(UpstreamNumber number) {
  identities_[number].is_listed = false;
  by_name_.erase(identities_[number].name);
  if (leaving_generations_.size() > kMaxLeavingGenerations) {
    leaving_generations_.erase(leaving_names_.front());
    leaving_names_.pop_front();
  }
  FreeNumberIfUnused(number);
}

void UpstreamPool::FreeNumberIfUnused(UpstreamNumber number) {
  const UpstreamLoad& load = loads_[number];
  if (!identities_[number].is_listed && load.in_flight == 0 &&
      load.penalties == 0) {
    free_numbers_.push_back(number);
  }
}

void UpstreamPool::RebuildMembers() {
  for (ServiceState& service : services_) {
    service.members.clear();
    service.ejected = 0;
  }
  for (const auto& [name, number] : by_name_) {
    const UpstreamIdentity& identity = identities_[number];
    if (identity.is_leaving) {
      continue;
    }
    ServiceState& service = services_[identity.service];
    service.members.push_back(number);
    if (loads_[number].state == HealthState::kEjected) {
      ++service.ejected;
    }
  }
  // Round-robin placement requires ascending numbers.
  for (ServiceState& service : services_) {
    std::sort(service.members.begin(), service.members.end());
  }
}

// Assigns the slots of all upstreams to the entries of the failure domain,
// round-robin in the order of names. All entries compute the same assignment
// from the instance list without communicating, so each can fill its own slots
// without knowing the load of the others.
void UpstreamPool::AssignOwnSlots(const InstanceList& list,
                                  const std::string& failure_domain) {
  std::set<std::string> names;
  for (const Instance& instance : list.instances) {
    if (instance.role == InstanceRole::kEntry &&
        instance.failure_domain == failure_domain) {
      names.insert(instance.name);
    }
  }
  const auto own = names.find(entry_);
  const bool is_listed = own != names.end();
  const auto rank =
      static_cast<std::uint32_t>(std::distance(names.begin(), own));
  const std::uint32_t count =
      is_listed ? static_cast<std::uint32_t>(names.size()) : entries_;
  std::uint32_t first_slot = 0;
  for (const auto& [name, number] : by_name_) {
    UpstreamLoad& load = loads_[number];
    load.own_slots = load.slots / count;
    for (std::uint32_t slot = load.own_slots * count; slot < load.slots;
         ++slot) {
      const bool is_own = (first_slot + slot) % count == rank;
      load.own_slots += is_listed && is_own ? 1 : 0;
    }
    first_slot += load.slots;
  }
}

void UpstreamPool::RemoveMember(UpstreamNumber number) {
  ServiceState& service = services_[identities_[number].service];
  const std::size_t removed = std::erase(service.members, number);
  if (removed > 0 && loads_[number].state == HealthState::kEjected) {
    --service.ejected;
  }
}

// Readmits ejected upstreams if a shorter list has raised the fraction of
// ejected ones above the permitted maximum.
void UpstreamPool::ReadmitExcess(ServiceState& service, TimePoint now) {
  while (service.ejected > options_.ejection.max_ejected_fraction *
                               static_cast<double>(service.members.size())) {
    std::optional<UpstreamNumber> earliest;
    for (const UpstreamNumber number : service.members) {
      const bool is_earlier = !earliest || loads_[number].blocked_until <
                                               loads_[*earliest].blocked_until;
      if (loads_[number].state == HealthState::kEjected && is_earlier) {
        earliest = number;
      }
    }
    StartSlowStart(*earliest, now);
  }
}

std::uint32_t UpstreamPool::FullLimit(const UpstreamLoad& load) const {
  return std::min(load.slots + Overcommit(options_.policy),
                  options_.connections_per_upstream / entries_);
}

ServiceNumber UpstreamPool::InternService(const std::string& service) {
  const ServiceNumber number = service_names_.Intern(service);
  if (number >= services_.size()) {
    services_.resize(number + 1);
  }
  return number;
}

std::optional<ServiceNumber> UpstreamPool::FindService(
    const std::string& service) const {
  return service_names_.Find(service);
}

}  // namespace jaypick::internal
