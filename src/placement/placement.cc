#include "jaypick/placement.h"

namespace jaypick {
namespace {

struct Name {
  std::string_view operator()(const RandomPlacement& /*policy*/) const {
    return "random";
  }
  std::string_view operator()(const RoundRobinPlacement& /*policy*/) const {
    return "round_robin";
  }
  std::string_view operator()(
      const LeastOutstandingPlacement& /*policy*/) const {
    return "least_outstanding";
  }
  std::string_view operator()(const TwoChoicesPlacement& /*policy*/) const {
    return "two_choices";
  }
  std::string_view operator()(const ReportedLoadPlacement& /*policy*/) const {
    return "reported_load";
  }
};

}  // namespace

std::optional<PlacementPolicy> ParsePlacementPolicy(std::string_view name) {
  for (const PlacementPolicy& policy :
       {PlacementPolicy(RandomPlacement{}),
        PlacementPolicy(RoundRobinPlacement{}),
        PlacementPolicy(LeastOutstandingPlacement{}),
        PlacementPolicy(TwoChoicesPlacement{}),
        PlacementPolicy(ReportedLoadPlacement{})}) {
    if (ToString(policy) == name) {
      return policy;
    }
  }
  return std::nullopt;
}

std::string_view ToString(const PlacementPolicy& policy) {
  return std::visit(Name{}, policy);
}

}  // namespace jaypick
