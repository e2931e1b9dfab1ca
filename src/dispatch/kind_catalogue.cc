#include "jaypick/internal/kind_catalogue.h"

#include <string>

namespace jaypick::internal {
namespace {

// ASCII unit separator, which service names cannot contain.
constexpr char kSeparator = '\x1f';

std::string FullName(std::string_view service, std::string_view kind) {
  std::string name(service);
  name += kSeparator;
  name += kind;
  return name;
}

}  // namespace

std::optional<KindNumber> KindCatalogue::Find(std::string_view service,
                                              std::string_view kind) const {
  return kinds_.Find(FullName(service, kind));
}

void KindCatalogue::Define(const Kind& kind, ServiceNumber service) {
  const KindNumber number = kinds_.Intern(FullName(kind.service, kind.name));
  if (number == entries_.size()) {
    entries_.push_back({.kind = kind,
                        .service = service,
                        .run_time = RunTimeEstimator(kind.declared_run_time)});
    return;
  }
  KindEntry& entry = entries_[number];
  const bool has_no_samples = entry.run_time.samples() == 0;
  if (has_no_samples) {
    entry.run_time = RunTimeEstimator(kind.declared_run_time);
  }
  entry.kind = kind;
}

}  // namespace jaypick::internal
