// The audit trail of configuration changes.
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

// One accepted or refused change.
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
  // Why a change was refused, for example "stale_base"; empty if it was not.
  std::string reason;
  // The differences or the findings as text, cut at `kAuditSummaryBytes`.
  std::string summary;

  friend auto operator<=>(const AuditEntry&, const AuditEntry&) = default;
};

// At 100,000 kept entries this bounds the trail to about 200 MB.
inline constexpr std::size_t kAuditSummaryBytes = 2000;

// Refused changes are kept for 30 days.
inline constexpr Duration kRefusedAuditLease = std::chrono::hours(30 * 24);

std::string EncodeAuditEntry(const AuditEntry& entry);

// Reads what `EncodeAuditEntry` writes, as strictly as `DecodeConfiguration`.
std::variant<AuditEntry, Findings> DecodeAuditEntry(std::string_view text,
                                                    std::string_view source);

// `jaypick/audit/<version, 12 digits>`.
std::string AuditKey(std::uint64_t version);

// `jaypick/audit-refused/<operation id>`.
std::string RefusedAuditKey(std::string_view operation_id);

struct AuditTrail {
  // Newest first; accepted changes are in the order of their versions.
  std::vector<AuditEntry> entries;
  // Stored values that could not be read.
  Findings findings;
};

// Records `entry` of a refused change on a lease of `kRefusedAuditLease`.
//
// `callback` receives whether the record is known to be stored. `store`
// outlives the call.
void RecordRefusedChange(KeyValueStore* store,
                         AuditEntry entry,
                         std::function<void(bool)> callback);

// Reads the newest `limit` entries. Of refused changes at most 1,000 are
// considered, because their keys are not ordered by time.
void ListAudit(KeyValueStore* store,
               std::size_t limit,
               StoreCallback<AuditTrail> callback);

}  // namespace jaypick

#endif  // JAYPICK_AUDIT_H_
