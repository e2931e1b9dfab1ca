// Configuration: services, kinds of requests, and owners' shares of services.
#ifndef JAYPICK_CONFIGURATION_H_
#define JAYPICK_CONFIGURATION_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jaypick/time.h"

namespace jaypick {

// A service that upstreams offer.
struct Service {
  std::string name;

  friend auto operator<=>(const Service&, const Service&) = default;
};

// Resources that a task needs or that an upstream offers to a task.
struct ResourceSpec {
  std::uint32_t cpus = 0;
  std::uint64_t memory_mb = 0;
  std::uint32_t accelerators = 0;

  friend auto operator<=>(const ResourceSpec&, const ResourceSpec&) = default;
};

// True if `offer` includes all resources in `needs`.
constexpr bool Satisfies(const ResourceSpec& offer, const ResourceSpec& needs) {
  return offer.cpus >= needs.cpus && offer.memory_mb >= needs.memory_mb &&
         offer.accelerators >= needs.accelerators;
}

// A kind of request that a service accepts.
struct Kind {
  std::string service;
  std::string name;
  // If false, a task of this kind runs at most once.
  bool idempotent = false;
  // Timeout of jobs that do not specify one.
  Duration default_timeout{0};
  // Run time expected by the operator; used until run times have been measured.
  Duration declared_run_time{0};
  ResourceSpec needs;
  // Maximum number of queued tasks of this kind per owner and entry.
  std::uint32_t queue_limit = 0;

  friend auto operator<=>(const Kind&, const Kind&) = default;
};

// An owner's share of a service's capacity, in percent.
struct Share {
  std::string service;
  std::string owner;
  std::uint32_t percent = 0;

  friend auto operator<=>(const Share&, const Share&) = default;
};

// Metadata of an accepted configuration change.
struct ConfigurationHeader {
  std::uint64_t version = 0;
  std::string author;
  std::string operation_id;
  // Wall-clock time of acceptance, milliseconds since the Unix epoch.
  std::int64_t created_unix_ms = 0;
  // Digest of the content, 16 hex digits.
  std::string digest;

  friend auto operator<=>(const ConfigurationHeader&,
                          const ConfigurationHeader&) = default;
};

// The content of a configuration, as read from a sheet.
struct ConfigurationContent {
  std::vector<Service> services;
  std::vector<Kind> kinds;
  std::vector<Share> shares;

  friend auto operator<=>(const ConfigurationContent&,
                          const ConfigurationContent&) = default;
};

// One accepted version of the operators' configuration; immutable.
class Configuration {
 public:
  Configuration() = default;
  Configuration(ConfigurationHeader header, ConfigurationContent content);

  const ConfigurationHeader& header() const { return header_; }
  const ConfigurationContent& content() const { return content_; }
  std::uint64_t version() const { return header_.version; }

  // Returns the kind `name` of `service`, or null.
  const Kind* FindKind(std::string_view service, std::string_view name) const;

  // Returns the share of `owner` in `service`, or null.
  const Share* FindShare(std::string_view service,
                         std::string_view owner) const;

  // True if `owner` has a share of any service.
  bool HasOwner(std::string_view owner) const;

  friend bool operator==(const Configuration&, const Configuration&) = default;

 private:
  ConfigurationHeader header_;
  ConfigurationContent content_;
};

}  // namespace jaypick

#endif  // JAYPICK_CONFIGURATION_H_
