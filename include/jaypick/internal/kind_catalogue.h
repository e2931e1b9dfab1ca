// Kinds of the current and earlier configurations, by number.
#ifndef JAYPICK_INTERNAL_KIND_CATALOGUE_H_
#define JAYPICK_INTERNAL_KIND_CATALOGUE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "jaypick/configuration.h"
#include "jaypick/internal/interner.h"
#include "jaypick/internal/queued_task.h"
#include "jaypick/internal/run_time_estimator.h"

namespace jaypick::internal {

// A kind and its estimated run times.
struct KindEntry {
  Kind kind;
  ServiceNumber service = 0;
  RunTimeEstimator run_time;
};

// Kinds with their run-time estimates, and owners, by number.
//
// Numbers and run-time estimates are kept across configuration changes, because
// queued and running tasks refer to them.
class KindCatalogue {
 public:
  // Adds or updates the kinds of `configuration`. `service_number` returns the
  // number of a service name.
  template <typename ServiceNumbers>
  void Apply(const Configuration& configuration,
             ServiceNumbers service_number) {
    for (const Kind& kind : configuration.content().kinds) {
      Define(kind, service_number(kind.service));
    }
  }

  // The number of a kind of the current or an earlier configuration, or
  // nothing.
  std::optional<KindNumber> Find(std::string_view service,
                                 std::string_view kind) const;

  const KindEntry& entry(KindNumber number) const { return entries_[number]; }
  // Records the run time of an attempt at a task of kind `number`.
  void Record(KindNumber number, Duration run_time) {
    entries_[number].run_time.Record(run_time);
  }

  std::optional<OwnerNumber> FindOwner(std::string_view owner) const {
    return owners_.Find(owner);
  }

  OwnerNumber InternOwner(std::string_view owner) {
    return owners_.Intern(owner);
  }

 private:
  void Define(const Kind& kind, ServiceNumber service);

  Interner kinds_;
  Interner owners_;
  std::vector<KindEntry> entries_;
};

}  // namespace jaypick::internal

#endif  // JAYPICK_INTERNAL_KIND_CATALOGUE_H_
