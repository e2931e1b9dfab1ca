// Audit trail of configuration changes.
#ifndef JAYPICK_AUDIT_H_
#define JAYPICK_AUDIT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "jaypick/key_value_store.h"
#include "jaypick/source_location.h"
#include "jaypick/time.h"

namespace jaypick {

// Audit record of one accepted or refused configuration change.
struct AuditEntry {
  bool is_accepted = false;
  // 0 for a refused change.
  std::uint64_t version = 0;
  std::uint64_t base_version = 0;
  std::string author;
  std::string operation_id;
  // Wall-clock time, milliseconds since the Unix epoch.
  std::int64_t created_unix_ms = 0;
  // Digest of the content; empty if a sheet had findings.
  std::string digest;
  // Why the change was refused, for example "stale_base"; empty if it was
  // accepted.
  std::string reason;
  // The differences or the findings as text, truncated to `kAuditSummaryBytes`.
  std::string summary;

  friend auto operator<=>(const AuditEntry&, const AuditEntry&) = default;
};

// Maximum size of a summary in bytes. Limits the audit trail to about 200 MB
// for 100,000 entries.
inline constexpr std::size_t kAuditSummaryBytes = 2000;

// Lease with which refused changes are stored: they are kept for 30 days.
inline constexpr Duration kRefusedAuditLease = std::chrono::hours(30 * 24);

std::string EncodeAuditEntry(const AuditEntry& entry);

// Parses the output of `EncodeAuditEntry`, as strictly as `DecodeConfiguration`
// does. `source` names the text in findings.
std::variant<AuditEntry, Findings> DecodeAuditEntry(std::string_view text,
                                                    std::string_view source);

// Key of an accepted change: `jaypick/audit/<version, 12 digits>`.
std::string AuditKey(std::uint64_t version);

// Key of a refused change: `jaypick/audit-refused/<operation id>`.
std::string RefusedAuditKey(std::string_view operation_id);

struct AuditTrail {
  // Newest first; accepted changes are in the order of their versions.
  std::vector<AuditEntry> entries;
  // Errors in stored values that could not be parsed.
  Findings findings;
};

// Stores `entry`, which describes a refused change, with a lease of
// `kRefusedAuditLease`.
//
// `callback` receives true if the entry is known to be stored. `store` must
// exist until then.
void RecordRefusedChange(KeyValueStore* store,
                         AuditEntry entry,
                         std::function<void(bool)> callback);

// Reads the newest `limit` entries. At most 1,000 refused changes are
// considered, because their keys are not ordered by time.
void ListAudit(KeyValueStore* store,
               std::size_t limit,
               StoreCallback<AuditTrail> callback);

}  // namespace jaypick

#endif  // JAYPICK_AUDIT_H_
