// Differences between two configurations.
#ifndef JAYPICK_CONFIGURATION_DIFF_H_
#define JAYPICK_CONFIGURATION_DIFF_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "jaypick/configuration.h"

namespace jaypick {

enum class ChangeType { kAdded, kRemoved, kChanged };

enum class ChangeSubject { kService, kKind, kOwner };

// The names in JSON: "added", "removed", "changed"; "service", "kind", "owner".
std::string_view ToString(ChangeType type);
std::string_view ToString(ChangeSubject subject);

// `true` and `false` correspond to "yes" and "no" in the sheet.
using FieldValue = std::variant<bool, std::uint64_t>;

// One value that differs. `field` is the name of the column in the sheet.
struct FieldChange {
  std::string field;
  // Equal to `after` if the row was added or removed.
  FieldValue before;
  FieldValue after;

  friend auto operator<=>(const FieldChange&, const FieldChange&) = default;
};

// What changes for one service, one kind, or one owner's share of a service.
struct Change {
  ChangeType type = ChangeType::kChanged;
  ChangeSubject subject = ChangeSubject::kService;
  std::string service;
  // Name of the kind or the owner; empty for a service.
  std::string name;
  // All fields if the row was added or removed, otherwise the fields that
  // differ.
  std::vector<FieldChange> fields;

  friend auto operator<=>(const Change&, const Change&) = default;
};

// The difference between two contents, sorted by subject, service and name.
struct ConfigurationDiff {
  std::vector<Change> changes;
  // Warnings for the operator before the change is applied, for example that a
  // removed kind may still have queued tasks.
  std::vector<std::string> warnings;

  bool is_empty() const { return changes.empty(); }

  friend bool operator==(const ConfigurationDiff&,
                         const ConfigurationDiff&) = default;
};

// Returns the difference between `before` and `after`. The order of rows is
// ignored.
ConfigurationDiff Compare(const ConfigurationContent& before,
                          const ConfigurationContent& after);

// One line for each change and each warning.
//
// Example:
//   owner "ghent-bank" in "fitting": share_percent 60 -> 55 (-5)
//   warning: kind "book-chair" of "fitting" is removed; ...
std::string ToText(const ConfigurationDiff& diff);

// {"changes": [...], "warnings": [...], "text": "..."} on one line.
std::string EncodeDiff(const ConfigurationDiff& diff);

}  // namespace jaypick

#endif  // JAYPICK_CONFIGURATION_DIFF_H_
