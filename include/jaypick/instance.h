// Instances as the platform's list shows them.
#ifndef JAYPICK_INSTANCE_H_
#define JAYPICK_INSTANCE_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "jaypick/configuration.h"

namespace jaypick {

// A TCP address; `host` is an IP number.
struct Address {
  std::string host;
  std::uint16_t port = 0;

  friend auto operator<=>(const Address&, const Address&) = default;
};

enum class InstanceRole { kEntry, kUpstream };
enum class InstanceState { kLive, kLeaving };

// One entry or upstream instance.
struct Instance {
  std::string name;
  InstanceRole role = InstanceRole::kUpstream;
  InstanceState state = InstanceState::kLive;
  // Grows when another instance takes over the name. A leaving upstream stays
  // leaving until a greater generation is listed.
  std::uint64_t generation = 0;
  Address address;
  std::string failure_domain;
  // Upstreams only: service offered, tasks that run at once, and what a task
  // may use.
  std::string service;
  std::uint32_t slots = 0;
  ResourceSpec offers;

  friend auto operator<=>(const Instance&, const Instance&) = default;
};

// One revision of the platform's list.
struct InstanceList {
  std::uint64_t revision = 0;
  std::vector<Instance> instances;

  friend auto operator<=>(const InstanceList&, const InstanceList&) = default;
};

}  // namespace jaypick

#endif  // JAYPICK_INSTANCE_H_
