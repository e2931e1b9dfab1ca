// Upper bounds of the memory that a job takes, computed from its specification
// alone.
#ifndef JAYPICK_SCHEDULE_JOB_MEMORY_H_
#define JAYPICK_SCHEDULE_JOB_MEMORY_H_

#include <cstddef>

#include "schedule/job_spec.h"

namespace jaypick::schedule {

// The specification itself, with its message to another instance.
std::size_t SpecBytes(const JobSpec& spec);

// The job in a scheduler: its specification, its tasks, and its trace.
std::size_t JobBytes(const JobSpec& spec);

// One run of a task of the job, with its requests to the upstream.
std::size_t RunBytes(const JobSpec& spec);

}  // namespace jaypick::schedule

#endif  // JAYPICK_SCHEDULE_JOB_MEMORY_H_
