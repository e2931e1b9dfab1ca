// Changes of the head configuration in the platform's key-value service.
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

// The largest head value; the platform takes values of up to 1 MB.
inline constexpr std::size_t kMaxHeadBytes = 1'000'000;

// A change that an operator asks for.
struct ChangeRequest {
  ConfigurationContent content;
  // The version that the operator has seen; 0 if there was none.
  std::uint64_t base_version = 0;
  std::string author;
  // Names the change; a repeated request with the same id is the same change.
  // 1 to 64 letters, digits, "-", "_" and ".".
  std::string operation_id;
  // Wall-clock time of the request, milliseconds since the Unix epoch.
  std::int64_t created_unix_ms = 0;
};

// Whether `text` can be an operation id.
bool IsOperationId(std::string_view text);

// The change is the head, or was before a later one.
struct ChangeAccepted {
  ConfigurationHeader header;
};

// The base is not the present version. Nothing was changed.
struct ChangeStale {
  std::uint64_t head_version = 0;
  // From the present content to the requested one.
  ConfigurationDiff diff;
};

// Another change has the same operation id. Nothing was changed.
struct OperationIdReused {
  std::uint64_t version = 0;
};

// The platform can't be reached or refused the call. Nothing was changed.
struct ChangeUnavailable {
  std::string message;
};

// The change may or may not be the head. Repeating it with the same operation
// id settles it.
struct ChangeUnknown {
  std::string message;
};

using ChangeResult = std::variant<ChangeAccepted,
                                  ChangeStale,
                                  OperationIdReused,
                                  ChangeUnavailable,
                                  ChangeUnknown>;

// What a change would do.
struct ChangePreview {
  // The version to base the change on.
  std::uint64_t version = 0;
  ConfigurationDiff diff;
  // False: the head could not be read, and the preview is against the version
  // in force.
  bool is_head_read = false;
};

// Reads and changes the head. Does no I/O but through the port, and reads no
// clock.
//
// The present version is the greater of the head and the version in force at
// the entry, because a restart of the platform may bring back an older head. A
// change is based on the present version and takes the next one, so a version
// names one change only.
//
// Example:
//   ConfigurationHead head(&store);
//   head.Apply(request, in_force, [](ChangeResult result) { ... });
class ConfigurationHead {
 public:
  struct Options {
    // The audit entry this many versions back is deleted with each change.
    std::uint64_t audit_retention = 100'000;
    // A transaction whose answer is lost is repeated up to this many times in
    // all. It takes effect once at most, because it is conditional on the head.
    std::uint32_t attempts = 3;
  };

  // `store` outlives this object and all calls.
  explicit ConfigurationHead(KeyValueStore* store);
  ConfigurationHead(KeyValueStore* store, Options options);

  // Compares `content` with the present version. `in_force` is the
  // configuration in force at this entry, if any.
  void Check(ConfigurationContent content,
             const std::optional<Configuration>& in_force,
             std::function<void(ChangePreview)> callback);

  // Makes the change, its audit entry and the deletion of an old one in one
  // transaction. Refused changes are recorded before the callback runs.
  void Apply(ChangeRequest request,
             const std::optional<Configuration>& in_force,
             std::function<void(ChangeResult)> callback);

 private:
  KeyValueStore* store_;
  Options options_;
};

}  // namespace jaypick

#endif  // JAYPICK_CONFIGURATION_HEAD_H_
