#include "schedule/run_time_model.h"

#include <algorithm>
#include <cmath>

namespace jaypick::schedule {
namespace {

// Factor by which each new sample reduces the weight of the earlier ones: about
// the last 300 tasks count.
constexpr double kDecay = 1.0 - 1.0 / 300;
// Weight of the samples from which on the fit replaces the declared run time.
constexpr double kMinFitWeight = 8;
// Variance that is added to that of log(declared), so that a kind whose
// declarations hardly differ does not get a random slope (ridge regression).
constexpr double kRidge = 0.01;
constexpr Duration kShortest = std::chrono::milliseconds(1);
// Spread of a kind before enough of its tasks have ended.
constexpr double kUnknownSpread = 1.5;

double Log(Duration duration) {
  return std::log(static_cast<double>(std::max(duration, kShortest).count()));
}

Duration Exp(double value) {
  return std::max(kShortest,
                  Duration(static_cast<Duration::rep>(std::exp(value))));
}

}  // namespace

void RunTimeModel::Record(const std::string& kind,
                          Duration declared,
                          Duration real) {
  const double x = Log(declared);
  const double y = Log(real);
  const double error = y - Log(Predict(kind, declared));
  Sums& sums = kinds_[kind];
  sums.weight = sums.weight * kDecay + 1;
  sums.x = sums.x * kDecay + x;
  sums.y = sums.y * kDecay + y;
  sums.xx = sums.xx * kDecay + x * x;
  sums.xy = sums.xy * kDecay + x * y;
  sums.error = sums.error * kDecay + error * error;
}

bool RunTimeModel::is_learned(const std::string& kind) const {
  const auto it = kinds_.find(kind);
  return it != kinds_.end() && it->second.weight >= kMinFitWeight;
}

Duration RunTimeModel::Predict(const std::string& kind,
                               Duration declared) const {
  if (!is_learned(kind)) {
    return std::max(declared, kShortest);
  }
  const Sums& sums = kinds_.find(kind)->second;
  const double mean_x = sums.x / sums.weight;
  const double mean_y = sums.y / sums.weight;
  const double variance = sums.xx / sums.weight - mean_x * mean_x;
  const double covariance = sums.xy / sums.weight - mean_x * mean_y;
  const double slope = std::clamp(covariance / (variance + kRidge), 0.0, 1.0);
  const double x = declared > Duration(0) ? Log(declared) : mean_x;
  return Exp(mean_y + slope * (x - mean_x));
}

double RunTimeModel::Spread(const std::string& kind) const {
  if (!is_learned(kind)) {
    return kUnknownSpread;
  }
  const Sums& sums = kinds_.find(kind)->second;
  return std::exp(std::sqrt(sums.error / sums.weight));
}

}  // namespace jaypick::schedule
