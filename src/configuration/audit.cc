#include "jaypick/audit.h"

#include <algorithm>
#include <cstdio>
#include <iterator>
#include <optional>
#include <utility>

#include "configuration/json_conversion.h"
#include "configuration/json_reader.h"

namespace jaypick {
namespace {

using nlohmann::json;

constexpr char kAuditPrefix[] = "jaypick/audit/";
constexpr char kRefusedPrefix[] = "jaypick/audit-refused/";
constexpr std::int64_t kMaxRefusedEntriesRead = 1000;

// Exclusive end of the range of all keys that start with `prefix`, which ends
// in "/".
std::string PrefixRangeEnd(std::string prefix) {
  ++prefix.back();
  return prefix;
}

// Truncates `text` to `kAuditSummaryBytes` at a UTF-8 character boundary.
std::string TruncateSummary(const std::string& text) {
  if (text.size() <= kAuditSummaryBytes) {
    return text;
  }
  std::size_t end = kAuditSummaryBytes;
  while (end > 0 && (static_cast<unsigned char>(text[end]) & 0xC0) == 0x80) {
    --end;
  }
  return text.substr(0, end) + "...";
}

RangeRequest RefusedEntriesRequest() {
  return {.key = kRefusedPrefix,
          .range_end = PrefixRangeEnd(kRefusedPrefix),
          .limit = kMaxRefusedEntriesRead};
}

RangeRequest NewestAcceptedRequest(std::size_t limit) {
  return {.key = kAuditPrefix,
          .range_end = PrefixRangeEnd(kAuditPrefix),
          .limit = static_cast<std::int64_t>(limit),
          .descending = true};
}

std::vector<AuditEntry> DecodeEntries(const RangeResult& range,
                                      Findings& findings) {
  std::vector<AuditEntry> entries;
  for (const KeyValue& value : range.values) {
    auto decoded = DecodeAuditEntry(value.value, value.key);
    if (auto* entry = std::get_if<AuditEntry>(&decoded)) {
      entries.push_back(std::move(*entry));
    } else {
      auto& entry_findings = std::get<Findings>(decoded);
      std::ranges::move(entry_findings, std::back_inserter(findings));
    }
  }
  return entries;
}

bool IsNewer(const AuditEntry& a, const AuditEntry& b) {
  return a.created_unix_ms > b.created_unix_ms;
}

// Merges both kinds of entries, newest first. Accepted changes stay in the
// order of their versions even if the clocks of the entries that accepted them
// differ.
AuditTrail MergeTrail(const RangeResult& accepted_range,
                      const RangeResult& refused_range,
                      std::size_t limit) {
  AuditTrail trail;
  auto accepted = DecodeEntries(accepted_range, trail.findings);
  auto refused = DecodeEntries(refused_range, trail.findings);
  std::ranges::sort(refused, IsNewer);
  std::ranges::merge(accepted, refused, std::back_inserter(trail.entries),
                     IsNewer);
  trail.entries.resize(std::min(limit, trail.entries.size()));
  return trail;
}

}  // namespace

std::string EncodeAuditEntry(const AuditEntry& entry) {
  return Dump({{"accepted", entry.is_accepted},
               {"version", entry.version},
               {"base_version", entry.base_version},
               {"author", entry.author},
               {"operation_id", entry.operation_id},
               {"created_unix_ms", entry.created_unix_ms},
               {"digest", entry.digest},
               {"reason", entry.reason},
               {"summary", TruncateSummary(entry.summary)}});
}

std::variant<AuditEntry, Findings> DecodeAuditEntry(std::string_view text,
                                                    std::string_view source) {
  Findings findings;
  const auto value = ParseJson(text, source, findings);
  if (!value) {
    return findings;
  }
  ObjectReader reader(*value, "", source, findings);
  AuditEntry entry{.is_accepted = reader.BoolMember("accepted"),
                   .version = reader.Uint64Member("version"),
                   .base_version = reader.Uint64Member("base_version"),
                   .author = reader.StringMember("author"),
                   .operation_id = reader.StringMember("operation_id"),
                   .created_unix_ms = reader.Int64Member("created_unix_ms"),
                   .digest = reader.StringMember("digest"),
                   .reason = reader.StringMember("reason"),
                   .summary = reader.StringMember("summary")};
  reader.Finish();
  if (!findings.empty()) {
    return findings;
  }
  return entry;
}

std::string AuditKey(std::uint64_t version) {
  char digits[32];
  std::snprintf(digits, sizeof(digits), "%012llu",
                static_cast<unsigned long long>(version));
  return std::string(kAuditPrefix) + digits;
}

std::string RefusedAuditKey(std::string_view operation_id) {
  return std::string(kRefusedPrefix) + std::string(operation_id);
}

void RecordRefusedChange(KeyValueStore* store,
                         AuditEntry entry,
                         std::function<void(bool)> callback) {
  store->GrantLease(kRefusedAuditLease, [store, entry = std::move(entry),
                                         callback = std::move(callback)](
                                            StoreResult<LeaseResult> result) {
    const auto* const lease = std::get_if<LeaseResult>(&result);
    if (lease == nullptr) {
      callback(false);
      return;
    }
    PutRequest put{.key = RefusedAuditKey(entry.operation_id),
                   .value = EncodeAuditEntry(entry),
                   .lease = lease->lease};
    store->Txn({.conditions = {}, .success = {std::move(put)}, .failure = {}},
               [callback](const StoreResult<TxnResult>& stored) {
                 callback(std::holds_alternative<TxnResult>(stored));
               });
  });
}

void ListAudit(KeyValueStore* store,
               std::size_t limit,
               StoreCallback<AuditTrail> callback) {
  store->Txn(
      {.conditions = {},
       .success = {NewestAcceptedRequest(limit), RefusedEntriesRequest()},
       .failure = {}},
      [limit, callback = std::move(callback)](StoreResult<TxnResult> result) {
        if (auto* error = std::get_if<StoreError>(&result)) {
          callback(std::move(*error));
          return;
        }
        const auto& ranges = std::get<TxnResult>(result).results;
        callback(MergeTrail(std::get<RangeResult>(ranges.at(0)),
                            std::get<RangeResult>(ranges.at(1)), limit));
      });
}

}  // namespace jaypick
