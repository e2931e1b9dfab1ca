// The configuration in force, as the dispatcher uses it.
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

// A kind and what was learned about it.
struct KindEntry {
  Kind kind;
  ServiceNumber service = 0;
  RunTimeEstimator run_time;
};

// Kinds and owners by number, weights by service.
//
// Numbers and learned run times outlive a change of configuration, so that
// tasks that are queued or running keep their meaning.
class KindCatalogue {
 public:
  // Takes `configuration` over. `service_number` names services.
  template <typename ServiceNumbers>
  void Apply(const Configuration& configuration,
             ServiceNumbers service_number) {
    for (const Kind& kind : configuration.content().kinds) {
      Define(kind, service_number(kind.service));
    }
  }

  // The number of a kind that was ever in force.
  std::optional<KindNumber> Find(std::string_view service,
                                 std::string_view kind) const;

  const KindEntry& entry(KindNumber number) const { return entries_[number]; }
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
