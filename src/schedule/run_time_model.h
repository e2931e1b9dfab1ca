// Prediction of run times from declared and measured ones.
#ifndef JAYPICK_SCHEDULE_RUN_TIME_MODEL_H_
#define JAYPICK_SCHEDULE_RUN_TIME_MODEL_H_

#include <map>
#include <string>

#include "jaypick/time.h"

namespace jaypick::schedule {

// Predicts run times by request kind.
//
// Declared run times are wrong by a factor that differs between kinds and
// between jobs. For each kind the model fits log(real) to log(declared), with
// weights that decay with each new sample, so that a declaration influences the
// prediction only as far as declarations have matched real run times so far.
// Until enough tasks of a kind have ended, the prediction is the declared run
// time.
class RunTimeModel {
 public:
  // Records that a task declared to take `declared` took `real`.
  void Record(const std::string& kind, Duration declared, Duration real);

  // Expected run time of a task; never zero.
  Duration Predict(const std::string& kind, Duration declared) const;

  // True once enough tasks of the kind have ended.
  bool is_learned(const std::string& kind) const;

  // Typical error of a prediction, as a factor of at least 1.
  double Spread(const std::string& kind) const;

 private:
  // Decayed sums over (log declared, log real).
  struct Sums {
    double weight = 0;
    double x = 0;
    double y = 0;
    double xx = 0;
    double xy = 0;
    // Squared errors of earlier predictions.
    double error = 0;
  };

  std::map<std::string, Sums, std::less<>> kinds_;
};

}  // namespace jaypick::schedule

#endif  // JAYPICK_SCHEDULE_RUN_TIME_MODEL_H_
