// Instances in the platform's instance list.
#ifndef JAYPICK_INSTANCE_H_
#define JAYPICK_INSTANCE_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "jaypick/configuration.h"

namespace jaypick {

// A TCP address; `host` is a numeric IP address.
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
  // Increases when another instance takes over the name. A leaving upstream is
  // considered leaving until a greater generation is listed.
  std::uint64_t generation = 0;
  Address address;
  std::string failure_domain;
  // Upstreams only: the service, the number of tasks that run in parallel, and
  // the resources available to a task.
  std::string service;
  std::uint32_t slots = 0;
  ResourceSpec offers;

  friend auto operator<=>(const Instance&, const Instance&) = default;
};

// One revision of the platform's instance list.
struct InstanceList {
  std::uint64_t revision = 0;
  std::vector<Instance> instances;

  friend auto operator<=>(const InstanceList&, const InstanceList&) = default;
};

}  // namespace jaypick

#endif  // JAYPICK_INSTANCE_H_
