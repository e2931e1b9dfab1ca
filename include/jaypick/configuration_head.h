// Reading and changing the head configuration in the key-value service.
#ifndef JAYPICK_CONFIGURATION_HEAD_H_
#define JAYPICK_CONFIGURATION_HEAD_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "jaypick/configuration.h"
#include "jaypick/configuration_diff.h"
#include "jaypick/key_value_store.h"

namespace jaypick {

// Key of the head configuration.
inline constexpr std::string_view kHeadKey = "jaypick/config/head";

// Maximum size of the head's value; the platform accepts values of up to 1 MB.
inline constexpr std::size_t kMaxHeadBytes = 1'000'000;

// A configuration change requested by an operator.
struct ChangeRequest {
  ConfigurationContent content;
  // The version on which the change is based; 0 if there was none.
  std::uint64_t base_version = 0;
  std::string author;
  // Idempotency key: requests with the same id are the same change. 1 to 64
  // letters, digits, "-", "_" and ".".
  std::string operation_id;
  // Wall-clock time of the request, milliseconds since the Unix epoch.
  std::int64_t created_unix_ms = 0;
};

// True if `text` is a valid operation id.
bool IsOperationId(std::string_view text);

// The change took effect. A later change may already have replaced it.
struct ChangeAccepted {
  ConfigurationHeader header;
};

// `base_version` is not the current version. Nothing was changed.
struct ChangeStale {
  std::uint64_t head_version = 0;
  // From the current content to the requested one.
  ConfigurationDiff diff;
};

// Another change has the same operation id. Nothing was changed.
struct OperationIdReused {
  std::uint64_t version = 0;
};

// The platform could not be reached or rejected the request. Nothing was
// changed.
struct ChangeUnavailable {
  std::string message;
};

// The outcome is unknown: the change may or may not have taken effect.
// Repeating the request with the same operation id resolves this.
struct ChangeUnknown {
  std::string message;
};

using ChangeResult = std::variant<ChangeAccepted,
                                  ChangeStale,
                                  OperationIdReused,
                                  ChangeUnavailable,
                                  ChangeUnknown>;

// Effect that a change would have.
struct ChangePreview {
  // The version to base the change on.
  std::uint64_t version = 0;
  ConfigurationDiff diff;
  // False if the head could not be read; the preview is then relative to the
  // configuration in force at this entry.
  bool is_head_read = false;
};

// Reads and changes the head configuration. All I/O goes through
// `KeyValueStore`; no clock is read.
//
// The current version is the greater of the head and the version in force at
// this entry, because the platform may have an older head after a restart. A
// change must be based on the current version and gets the next version number,
// so each version identifies a single change.
//
// Example:
//   ConfigurationHead head(&store);
//   head.Apply(request, in_force, [](ChangeResult result) { ... });
class ConfigurationHead {
 public:
  struct Options {
    // Number of versions whose audit entries are kept. Each change deletes the
    // entry that is this many versions older.
    std::uint64_t audit_retention = 100'000;
    // Maximum number of attempts of a transaction whose response was lost. It
    // takes effect at most once, because it is conditional on the head.
    std::uint32_t attempts = 3;
  };

  // `store` must outlive this object and all pending calls.
  explicit ConfigurationHead(KeyValueStore* store);
  ConfigurationHead(KeyValueStore* store, Options options);

  // Compares `content` with the current version. `in_force` is the
  // configuration in force at this entry, if any.
  void Check(ConfigurationContent content,
             const std::optional<Configuration>& in_force,
             std::function<void(ChangePreview)> callback);

  // Stores the change and its audit entry and deletes an old audit entry, all
  // in one transaction. A refused change is recorded in the audit trail before
  // `callback` runs.
  void Apply(ChangeRequest request,
             const std::optional<Configuration>& in_force,
             std::function<void(ChangeResult)> callback);

 private:
  KeyValueStore* store_;
  Options options_;
};

}  // namespace jaypick

#endif  // JAYPICK_CONFIGURATION_HEAD_H_
