#include "configuration/sheet_check.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>

#include "configuration/name_rules.h"

namespace jaypick {
namespace {

constexpr std::uint32_t kTotalPercent = 100;

// Set of names that finds the ones that look like a given name.
class ConfusableNameSet {
 public:
  struct Entry {
    std::string name;
    std::uint32_t row = 0;
  };

  // Adds `name`. Returns the first other name that looks like it, or null if
  // there is none or `name` was added before.
  const Entry* Add(const std::string& name, std::uint32_t row) {
    if (!names_.insert(name).second) {
      return nullptr;
    }
    const auto [it, is_new] =
        by_skeleton_.try_emplace(ConfusableSkeleton(name), Entry{name, row});
    return is_new ? nullptr : &it->second;
  }

  const Entry* FindConfusable(const std::string& name) const {
    const auto it = by_skeleton_.find(ConfusableSkeleton(name));
    return it == by_skeleton_.end() ? nullptr : &it->second;
  }

 private:
  std::set<std::string> names_;
  std::map<std::string, Entry> by_skeleton_;
};

std::string NameAndRow(const ConfusableNameSet::Entry& entry) {
  return Quoted(entry.name) + " in row " + std::to_string(entry.row);
}

class RecordCheck {
 public:
  RecordCheck(const std::vector<SheetRecord>& records,
              const SheetHeader& header,
              Findings& findings)
      : records_(records), header_(header), findings_(findings) {}

  void Run() {
    CheckServices();
    CheckKinds();
    CheckShares();
    CheckCompleteness();
  }

 private:
  template <typename Visitor>
  void ForEachRecord(RecordType type, Visitor visitor) const {
    for (const SheetRecord& record : records_) {
      if (record.type == type) {
        visitor(record);
      }
    }
  }

  void CheckServices() {
    std::map<std::string, std::uint32_t> rows;
    ForEachRecord(RecordType::kService, [&](const SheetRecord& record) {
      if (!record.service) {
        return;
      }
      const auto [it, is_new] = rows.try_emplace(*record.service, record.row);
      if (!is_new) {
        ReportDuplicate(record, Column::kService,
                        "service " + Quoted(*record.service), it->second);
      }
      ReportConfusable(record, Column::kService, *record.service,
                       services_.Add(*record.service, record.row));
      declared_.insert(*record.service);
    });
  }

  void CheckKinds() {
    std::map<std::pair<std::string, std::string>, std::uint32_t> rows;
    std::map<std::string, ConfusableNameSet> names;
    ForEachRecord(RecordType::kKind, [&](const SheetRecord& record) {
      CheckService(record);
      if (!record.service || !record.kind) {
        return;
      }
      const auto [it, is_new] =
          rows.try_emplace({*record.service, *record.kind}, record.row);
      if (!is_new) {
        ReportDuplicate(record, Column::kKind,
                        "kind " + Quoted(*record.kind) + " of service " +
                            Quoted(*record.service),
                        it->second);
      }
      ReportConfusable(record, Column::kKind, *record.kind,
                       names[*record.service].Add(*record.kind, record.row));
    });
  }

  void CheckShares() {
    std::map<std::pair<std::string, std::string>, std::uint32_t> rows;
    ConfusableNameSet owners;
    ForEachRecord(RecordType::kShare, [&](const SheetRecord& record) {
      CheckService(record);
      if (!record.owner) {
        return;
      }
      ReportConfusable(record, Column::kOwner, *record.owner,
                       owners.Add(*record.owner, record.row));
      if (!record.service) {
        return;
      }
      const auto [it, is_new] =
          rows.try_emplace({*record.service, *record.owner}, record.row);
      if (!is_new) {
        ReportDuplicate(record, Column::kOwner,
                        "share of " + Quoted(*record.owner) + " in service " +
                            Quoted(*record.service),
                        it->second);
      }
    });
  }

  // Reports a row that refers to a service without a service row.
  void CheckService(const SheetRecord& record) {
    if (!record.service || declared_.contains(*record.service) ||
        MayHaveUnreadRow(RecordType::kService, *record.service)) {
      return;
    }
    const auto* const confusable = services_.FindConfusable(*record.service);
    Report(record.row, Column::kService,
           "unknown service " + Quoted(*record.service) +
               (confusable == nullptr
                    ? ""
                    : "; it looks like " + NameAndRow(*confusable)));
  }

  void CheckCompleteness() {
    std::set<std::string> seen;
    ForEachRecord(RecordType::kService, [&](const SheetRecord& record) {
      if (record.service && seen.insert(*record.service).second) {
        CheckServiceHasKind(record);
        CheckShareSum(record);
      }
    });
    if (declared_.empty() &&
        !MayHaveUnreadRow(RecordType::kService, std::nullopt)) {
      Report(1, Column::kRecord, "the sheet has no service row");
    }
  }

  void CheckServiceHasKind(const SheetRecord& service) {
    bool has_kind = false;
    ForEachRecord(RecordType::kKind, [&](const SheetRecord& record) {
      has_kind = has_kind || record.service == service.service;
    });
    if (!has_kind && !MayHaveUnreadRow(RecordType::kKind, *service.service)) {
      Report(service.row, Column::kService,
             "service " + Quoted(*service.service) + " has no kind");
    }
  }

  void CheckShareSum(const SheetRecord& service) {
    if (MayHaveUnreadRow(RecordType::kShare, *service.service)) {
      return;
    }
    std::uint32_t sum = 0;
    std::uint32_t last_row = 0;
    std::string rows;
    ForEachRecord(RecordType::kShare, [&](const SheetRecord& record) {
      if (record.service != service.service) {
        return;
      }
      sum += *record.percent;
      last_row = record.row;
      rows += (rows.empty() ? "" : ", ") + std::to_string(record.row);
    });
    if (last_row == 0) {
      Report(service.row, Column::kService,
             "service " + Quoted(*service.service) + " has no share");
    } else if (sum != kTotalPercent) {
      Report(last_row, Column::kSharePercent,
             "shares of service " + Quoted(*service.service) + " add up to " +
                 std::to_string(sum) + ", not 100 (rows " + rows + ")");
    }
  }

  // True if there may be a row of `type` for `service` (for any service if it
  // is nullopt) that could not be read completely.
  bool MayHaveUnreadRow(RecordType type,
                        std::optional<std::string> service) const {
    return std::ranges::any_of(records_, [&](const SheetRecord& record) {
      const bool may_be_type = !record.type || record.type == type;
      const bool may_be_service =
          !service || !record.service || record.service == service;
      const bool lacks_percent = type == RecordType::kShare && !record.percent;
      return may_be_type && may_be_service &&
             (!record.type || !record.service || lacks_percent);
    });
  }

  void ReportDuplicate(const SheetRecord& record,
                       Column column,
                       const std::string& what,
                       std::uint32_t first_row) {
    Report(record.row, column,
           "duplicate " + what + ", also in row " + std::to_string(first_row));
  }

  void ReportConfusable(const SheetRecord& record,
                        Column column,
                        const std::string& name,
                        const ConfusableNameSet::Entry* confusable) {
    if (confusable != nullptr) {
      Report(record.row, column,
             Quoted(name) + " looks like " + NameAndRow(*confusable));
    }
  }

  void Report(std::uint32_t row, Column column, std::string message) {
    const auto position = header_.Position(column);
    findings_.push_back({.location = {.source = header_.source(),
                                      .line = row,
                                      .column = static_cast<std::uint32_t>(
                                          position ? *position + 1 : 0)},
                         .key = std::string(NameOf(column)),
                         .message = std::move(message)});
  }

  const std::vector<SheetRecord>& records_;
  const SheetHeader& header_;
  Findings& findings_;
  ConfusableNameSet services_;
  std::set<std::string> declared_;
};

}  // namespace

std::string_view ToString(RecordType type) {
  switch (type) {
    case RecordType::kService:
      return "service";
    case RecordType::kKind:
      return "kind";
    case RecordType::kShare:
      return "share";
  }
  return "";
}

void CheckRecords(const std::vector<SheetRecord>& records,
                  const SheetHeader& header,
                  Findings& findings) {
  RecordCheck(records, header, findings).Run();
}

}  // namespace jaypick
