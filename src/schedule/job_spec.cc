#include "schedule/job_spec.h"

namespace jaypick::schedule {

std::uint32_t TaskCount(const JobSpec& job) {
  std::uint32_t tasks = 0;
  for (const Step& step : job.steps) {
    tasks += step.tasks;
  }
  return tasks;
}

}  // namespace jaypick::schedule
