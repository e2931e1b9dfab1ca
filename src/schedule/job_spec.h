// Specification of jobs whose tasks declare the resources that they need.
#ifndef JAYPICK_SCHEDULE_JOB_SPEC_H_
#define JAYPICK_SCHEDULE_JOB_SPEC_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "jaypick/time.h"

namespace jaypick::schedule {

// Resources of an upstream, or the part of them that a task occupies.
struct Resources {
  std::uint32_t milli_cpus = 0;
  std::uint32_t memory_mb = 0;
  std::uint32_t accelerators = 0;

  friend bool operator==(const Resources&, const Resources&) = default;
};

// True if `needs` fits into `available`.
constexpr bool Fits(const Resources& available, const Resources& needs) {
  return available.milli_cpus >= needs.milli_cpus &&
         available.memory_mb >= needs.memory_mb &&
         available.accelerators >= needs.accelerators;
}

constexpr Resources Sum(const Resources& a, const Resources& b) {
  return {.milli_cpus = a.milli_cpus + b.milli_cpus,
          .memory_mb = a.memory_mb + b.memory_mb,
          .accelerators = a.accelerators + b.accelerators};
}

// `a` minus `b`, at least zero in each component.
constexpr Resources Difference(const Resources& a, const Resources& b) {
  const auto subtract = [](std::uint32_t x, std::uint32_t y) {
    return x > y ? x - y : 0;
  };
  return {.milli_cpus = subtract(a.milli_cpus, b.milli_cpus),
          .memory_mb = subtract(a.memory_mb, b.memory_mb),
          .accelerators = subtract(a.accelerators, b.accelerators)};
}

// Identical tasks of a job, which may run in parallel.
struct Step {
  std::uint32_t tasks = 1;
  // Resources of each task.
  Resources needs;
  // Run time of one task as declared by the caller; often inaccurate.
  Duration declared_run_time{0};
  // Indices of the earlier steps whose tasks must all have succeeded first.
  std::vector<std::uint32_t> after;
  // Label that the upstream must have; empty for none.
  std::string required_label;
  // Rack that holds the data; empty for none.
  std::string preferred_rack;
  // Maximum number of tasks of this step on one upstream; 0 for no limit.
  std::uint32_t tasks_per_upstream = 0;

  friend bool operator==(const Step&, const Step&) = default;
};

// Configuration of a request kind.
struct KindPolicy {
  std::string name;
  std::string service;
  // 0 is the highest priority.
  std::uint32_t priority = 0;
  // Failed attempts of a task after which its job fails.
  std::uint32_t max_attempts = 1;
  // The latency objective of a job is `stretch` times the predicted run time of
  // its longest chain of steps, plus `target_latency`.
  double stretch = 1;
  Duration target_latency{0};

  friend bool operator==(const KindPolicy&, const KindPolicy&) = default;
};

// A job as submitted to a scheduler.
struct JobSpec {
  // Chosen by the caller; a resubmission uses the same id.
  std::string id;
  KindPolicy kind;
  // Passed to each task unchanged.
  std::string payload;
  std::vector<Step> steps;
  // The failure domain of the instance that received the job from its caller.
  std::string entry_domain;

  friend bool operator==(const JobSpec&, const JobSpec&) = default;
};

// Returns the number of tasks of all steps.
std::uint32_t TaskCount(const JobSpec& job);

}  // namespace jaypick::schedule

#endif  // JAYPICK_SCHEDULE_JOB_SPEC_H_
