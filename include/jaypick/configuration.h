// The operators' configuration: services, request kinds and owners' shares.
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

// What a task of a kind needs from an upstream.
struct ResourceSpec {
  std::uint32_t cpus = 0;
  std::uint64_t memory_mb = 0;
  std::uint32_t accelerators = 0;

  friend auto operator<=>(const ResourceSpec&, const ResourceSpec&) = default;
};

// True if something that offers `offer` has all that `needs` asks for.
constexpr bool Satisfies(const ResourceSpec& offer, const ResourceSpec& needs) {
  return offer.cpus >= needs.cpus && offer.memory_mb >= needs.memory_mb &&
         offer.accelerators >= needs.accelerators;
}

// A kind of request that a service accepts.
struct Kind {
  std::string service;
  std::string name;
  // False: a task of this kind runs at most once.
  bool idempotent = false;
  // Timeout of a job that names none.
  Duration default_timeout{0};
  // Run time that the operator declared; learned run times replace it.
  Duration declared_run_time{0};
  ResourceSpec needs;
  // Tasks of this kind that one owner may have queued at one entry.
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

// What an accepted change says about itself.
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

// The content of a configuration, as a sheet states it.
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

  // The kind `name` of `service`, or null.
  const Kind* FindKind(std::string_view service, std::string_view name) const;

  // The share of `owner` in `service`, or null.
  const Share* FindShare(std::string_view service,
                         std::string_view owner) const;

  // True if any service gives `owner` a share.
  bool HasOwner(std::string_view owner) const;

  friend bool operator==(const Configuration&, const Configuration&) = default;

 private:
  ConfigurationHeader header_;
  ConfigurationContent content_;
};

}  // namespace jaypick

#endif  // JAYPICK_CONFIGURATION_H_
