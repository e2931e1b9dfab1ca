// Configuration and instance list of a simulation.
#include <string>

#include "bench/simulation.h"

namespace jaypick::bench {
namespace {

constexpr char kFailureDomain[] = "ghent";
constexpr char kService[] = "fitting";

Kind MakeKind(const SimulationOptions& options, bool is_idempotent) {
  return {.service = kService,
          .name = is_idempotent ? "match" : "book",
          .idempotent = is_idempotent,
          .default_timeout = options.timeout,
          .declared_run_time = options.declared_run_time,
          .queue_limit = options.queue_limit};
}

}  // namespace

std::string OwnerName(std::uint32_t owner) {
  return "owner-" + std::to_string(owner);
}

Configuration SimulationConfiguration(const SimulationOptions& options) {
  ConfigurationContent content;
  content.services = {{.name = kService}};
  content.kinds = {MakeKind(options, true), MakeKind(options, false)};
  for (std::uint32_t i = 0; i < options.shares.size(); ++i) {
    content.shares.push_back({.service = kService,
                              .owner = OwnerName(i),
                              .percent = options.shares[i]});
  }
  return Configuration({.version = 1, .author = "bench"}, std::move(content));
}

InstanceList SimulationInstances(const SimulationOptions& options) {
  InstanceList list{.revision = 1};
  for (std::uint32_t i = 0; i < options.entries; ++i) {
    list.instances.push_back({.name = "entry-" + std::to_string(i),
                              .role = InstanceRole::kEntry,
                              .generation = 1,
                              .address = {.host = "127.0.0.1", .port = 1},
                              .failure_domain = kFailureDomain});
  }
  for (std::uint32_t i = 0; i < options.upstreams; ++i) {
    list.instances.push_back({.name = "upstream-" + std::to_string(i),
                              .role = InstanceRole::kUpstream,
                              .generation = 1,
                              .address = {.host = "127.0.0.1", .port = 2},
                              .failure_domain = kFailureDomain,
                              .service = kService,
                              .slots = options.upstream.slots});
  }
  return list;
}

}  // namespace jaypick::bench
