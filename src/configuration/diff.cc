#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>

#include "jaypick/configuration_diff.h"

namespace jaypick {
namespace {

// A change of a share or run time by at least this factor is more likely a
// typing error than an intended adjustment.
constexpr std::uint64_t kSuspiciousShareFactor = 2;
constexpr std::uint64_t kSuspiciousRunTimeFactor = 10;

using Key = std::tuple<ChangeSubject, std::string, std::string>;
using Fields = std::vector<std::pair<std::string, FieldValue>>;
using Subjects = std::map<Key, Fields>;

std::uint64_t ToUnsignedMilliseconds(Duration duration) {
  return static_cast<std::uint64_t>(ToMilliseconds(duration));
}

Fields FieldsOf(const Kind& kind) {
  return {
      {"idempotent", kind.idempotent},
      {"default_timeout_ms", ToUnsignedMilliseconds(kind.default_timeout)},
      {"declared_run_time_ms", ToUnsignedMilliseconds(kind.declared_run_time)},
      {"cpus", std::uint64_t{kind.needs.cpus}},
      {"memory_mb", kind.needs.memory_mb},
      {"accelerators", std::uint64_t{kind.needs.accelerators}},
      {"queue_limit", std::uint64_t{kind.queue_limit}}};
}

Subjects SubjectsOf(const ConfigurationContent& content) {
  Subjects subjects;
  for (const Service& service : content.services) {
    subjects[{ChangeSubject::kService, service.name, ""}] = {};
  }
  for (const Kind& kind : content.kinds) {
    subjects[{ChangeSubject::kKind, kind.service, kind.name}] = FieldsOf(kind);
  }
  for (const Share& share : content.shares) {
    subjects[{ChangeSubject::kOwner, share.service, share.owner}] = {
        {"share_percent", std::uint64_t{share.percent}}};
  }
  return subjects;
}

Change MakeChange(ChangeType type, const Key& key) {
  return {.type = type,
          .subject = std::get<0>(key),
          .service = std::get<1>(key),
          .name = std::get<2>(key),
          .fields = {}};
}

Change AddedOrRemovedChange(ChangeType type,
                            const Key& key,
                            const Fields& fields) {
  Change change = MakeChange(type, key);
  for (const auto& [name, value] : fields) {
    change.fields.push_back({.field = name, .before = value, .after = value});
  }
  return change;
}

// The fields that differ. `before` and `after` have the same fields in the same
// order.
Change ModifiedChange(const Key& key,
                      const Fields& before,
                      const Fields& after) {
  Change change = MakeChange(ChangeType::kChanged, key);
  for (std::size_t i = 0; i < before.size(); ++i) {
    if (before[i] != after[i]) {
      change.fields.push_back({.field = before[i].first,
                               .before = before[i].second,
                               .after = after[i].second});
    }
  }
  return change;
}

std::string Quote(const std::string& name) {
  return "\"" + name + "\"";
}

std::string SubjectText(const Change& change) {
  switch (change.subject) {
    case ChangeSubject::kService:
      return "service " + Quote(change.service);
    case ChangeSubject::kKind:
      return "kind " + Quote(change.name) + " of " + Quote(change.service);
    case ChangeSubject::kOwner:
      return "owner " + Quote(change.name) + " in " + Quote(change.service);
  }
  return "";
}

std::string ValueText(const FieldValue& value) {
  if (const bool* const flag = std::get_if<bool>(&value)) {
    return *flag ? "yes" : "no";
  }
  return std::to_string(std::get<std::uint64_t>(value));
}

// The signed difference of two numbers in parentheses; empty for booleans.
std::string DeltaText(const FieldChange& field) {
  const auto* const before = std::get_if<std::uint64_t>(&field.before);
  const auto* const after = std::get_if<std::uint64_t>(&field.after);
  if (before == nullptr || after == nullptr) {
    return "";
  }
  return *after >= *before ? " (+" + std::to_string(*after - *before) + ")"
                           : " (-" + std::to_string(*before - *after) + ")";
}

std::string ChangeText(const Change& change) {
  std::string line = SubjectText(change);
  const bool is_changed = change.type == ChangeType::kChanged;
  if (!is_changed) {
    line += ' ';
    line += ToString(change.type);
  }
  std::string separator = ": ";
  for (const FieldChange& field : change.fields) {
    line += separator + field.field + " " + ValueText(field.before);
    if (is_changed) {
      line += " -> " + ValueText(field.after) + DeltaText(field);
    }
    separator = ", ";
  }
  return line;
}

// Collects warnings about risky changes in one comparison.
class WarningCollector {
 public:
  explicit WarningCollector(std::vector<std::string>& warnings)
      : warnings_(warnings) {}

  void Check(const Change& change) {
    if (change.type == ChangeType::kRemoved) {
      Warn(change, "is removed; it may still have queued or running work");
    }
    if (change.type == ChangeType::kChanged) {
      for (const FieldChange& field : change.fields) {
        CheckField(change, field);
      }
    }
  }

 private:
  void CheckField(const Change& change, const FieldChange& field) {
    if (const bool* const idempotent = std::get_if<bool>(&field.after)) {
      Warn(change, *idempotent
                       ? "becomes idempotent; a lost task may run twice"
                       : "is no longer idempotent; a lost task now fails its "
                         "job");
      return;
    }
    const auto before = std::get<std::uint64_t>(field.before);
    const auto after = std::get<std::uint64_t>(field.after);
    if (field.field == "share_percent" &&
        DiffersByFactor(before, after, kSuspiciousShareFactor)) {
      Warn(change, "gets a share that differs by a factor of 2 or more");
    }
    if (field.field == "declared_run_time_ms" &&
        DiffersByFactor(before, after, kSuspiciousRunTimeFactor)) {
      Warn(change, "gets a run time that differs by a factor of 10 or more");
    }
    if (field.field == "queue_limit" && after < before) {
      Warn(change,
           "gets a lower queue limit; new jobs are refused while more is "
           "queued");
    }
    if (IsResource(field.field) && after > before) {
      Warn(change, "needs more " + field.field +
                       "; upstreams that offer less no longer run it");
    }
  }

  static bool IsResource(const std::string& field) {
    return field == "cpus" || field == "memory_mb" || field == "accelerators";
  }

  static bool DiffersByFactor(std::uint64_t a,
                              std::uint64_t b,
                              std::uint64_t factor) {
    return std::max(a, b) >= factor * std::min(a, b);
  }

  void Warn(const Change& change, const std::string& what) {
    warnings_.push_back(SubjectText(change) + " " + what);
  }

  std::vector<std::string>& warnings_;
};

}  // namespace

std::string_view ToString(ChangeType type) {
  switch (type) {
    case ChangeType::kAdded:
      return "added";
    case ChangeType::kRemoved:
      return "removed";
    case ChangeType::kChanged:
      return "changed";
  }
  return "";
}

std::string_view ToString(ChangeSubject subject) {
  switch (subject) {
    case ChangeSubject::kService:
      return "service";
    case ChangeSubject::kKind:
      return "kind";
    case ChangeSubject::kOwner:
      return "owner";
  }
  return "";
}

ConfigurationDiff Compare(const ConfigurationContent& before,
                          const ConfigurationContent& after) {
  const Subjects old_subjects = SubjectsOf(before);
  const Subjects new_subjects = SubjectsOf(after);
  ConfigurationDiff diff;
  for (const auto& [key, fields] : old_subjects) {
    const auto it = new_subjects.find(key);
    if (it == new_subjects.end()) {
      diff.changes.push_back(
          AddedOrRemovedChange(ChangeType::kRemoved, key, fields));
    } else if (it->second != fields) {
      diff.changes.push_back(ModifiedChange(key, fields, it->second));
    }
  }
  for (const auto& [key, fields] : new_subjects) {
    if (!old_subjects.contains(key)) {
      diff.changes.push_back(
          AddedOrRemovedChange(ChangeType::kAdded, key, fields));
    }
  }
  std::ranges::sort(diff.changes, {}, [](const Change& change) {
    return std::tie(change.subject, change.service, change.name);
  });
  WarningCollector collector(diff.warnings);
  for (const Change& change : diff.changes) {
    collector.Check(change);
  }
  return diff;
}

std::string ToText(const ConfigurationDiff& diff) {
  if (diff.is_empty()) {
    return "no change\n";
  }
  std::string text;
  for (const Change& change : diff.changes) {
    text += ChangeText(change) + '\n';
  }
  for (const std::string& warning : diff.warnings) {
    text += "warning: " + warning + '\n';
  }
  return text;
}

}  // namespace jaypick
