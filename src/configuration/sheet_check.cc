#include "configuration/sheet_check.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>

#include "configuration/name_rules.h"

namespace jaypick {
namespace {

constexpr std::uint32_t kWholePercent = 100;

// Names of one kind of thing, found again by what they look like.
class NameRegister {
 public:
  struct Entry {
    std::string name;
    std::uint32_t row = 0;
  };

  // The first other name that looks like `name`, or null. Registers `name`.
  const Entry* Add(const std::string& name, std::uint32_t row) {
    if (!names_.insert(name).second) {
      return nullptr;
    }
    const auto [it, is_new] =
        by_form_.try_emplace(ConfusableSkeleton(name), Entry{name, row});
    return is_new ? nullptr : &it->second;
  }

  const Entry* FindAlike(const std::string& name) const {
    const auto it = by_form_.find(ConfusableSkeleton(name));
    return it == by_form_.end() ? nullptr : &it->second;
  }

 private:
  std::set<std::string> names_;
  std::map<std::string, Entry> by_form_;
};

std::string Place(const NameRegister::Entry& entry) {
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
  void Visit(RecordType type, Visitor visitor) const {
    for (const SheetRecord& record : records_) {
      if (record.type == type) {
        visitor(record);
      }
    }
  }

  void CheckServices() {
    std::map<std::string, std::uint32_t> rows;
    Visit(RecordType::kService, [&](const SheetRecord& record) {
      if (!record.service) {
        return;
      }
      const auto [it, is_new] = rows.try_emplace(*record.service, record.row);
      if (!is_new) {
        ReportDuplicate(record, Column::kService,
                        "service " + Quoted(*record.service), it->second);
      }
      ReportAlike(record, Column::kService, *record.service,
                  services_.Add(*record.service, record.row));
      declared_.insert(*record.service);
    });
  }

  void CheckKinds() {
    std::map<std::pair<std::string, std::string>, std::uint32_t> rows;
    std::map<std::string, NameRegister> names;
    Visit(RecordType::kKind, [&](const SheetRecord& record) {
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
      ReportAlike(record, Column::kKind, *record.kind,
                  names[*record.service].Add(*record.kind, record.row));
    });
  }

  void CheckShares() {
    std::map<std::pair<std::string, std::string>, std::uint32_t> rows;
    NameRegister owners;
    Visit(RecordType::kShare, [&](const SheetRecord& record) {
      CheckService(record);
      if (!record.owner) {
        return;
      }
      ReportAlike(record, Column::kOwner, *record.owner,
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

  // Reports a row whose service has no row of its own.
  void CheckService(const SheetRecord& record) {
    if (!record.service || declared_.contains(*record.service) ||
        IsUnread(RecordType::kService, *record.service)) {
      return;
    }
    const auto* const alike = services_.FindAlike(*record.service);
    Report(record.row, Column::kService,
           "unknown service " + Quoted(*record.service) +
               (alike == nullptr ? "" : "; it looks like " + Place(*alike)));
  }

  void CheckCompleteness() {
    std::set<std::string> seen;
    Visit(RecordType::kService, [&](const SheetRecord& record) {
      if (record.service && seen.insert(*record.service).second) {
        CheckHasKind(record);
        CheckSum(record);
      }
    });
    if (declared_.empty() && !IsUnread(RecordType::kService, std::nullopt)) {
      Report(1, Column::kRecord, "the sheet has no service row");
    }
  }

  void CheckHasKind(const SheetRecord& service) {
    bool has_kind = false;
    Visit(RecordType::kKind, [&](const SheetRecord& record) {
      has_kind = has_kind || record.service == service.service;
    });
    if (!has_kind && !IsUnread(RecordType::kKind, *service.service)) {
      Report(service.row, Column::kService,
             "service " + Quoted(*service.service) + " has no kind");
    }
  }

  void CheckSum(const SheetRecord& service) {
    if (IsUnread(RecordType::kShare, *service.service)) {
      return;
    }
    std::uint32_t sum = 0;
    std::uint32_t last_row = 0;
    std::string rows;
    Visit(RecordType::kShare, [&](const SheetRecord& record) {
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
    } else if (sum != kWholePercent) {
      Report(last_row, Column::kSharePercent,
             "shares of service " + Quoted(*service.service) + " add up to " +
                 std::to_string(sum) + ", not 100 (rows " + rows + ")");
    }
  }

  // True if a row of `type` about `service`, or about any service if there is
  // none, may exist but could not be read.
  bool IsUnread(RecordType type, std::optional<std::string> service) const {
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

  void ReportAlike(const SheetRecord& record,
                   Column column,
                   const std::string& name,
                   const NameRegister::Entry* alike) {
    if (alike != nullptr) {
      Report(record.row, column, Quoted(name) + " looks like " + Place(*alike));
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
  NameRegister services_;
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
