#include "schedule/job_memory.h"

#include "schedule/job.h"

namespace jaypick::schedule {
namespace {

// Nodes of maps, strings beyond their inline size, and allocator overhead.
constexpr std::size_t kAllocationBytes = 48;
// A specification exists decoded and as a message to another instance.
constexpr std::size_t kSpecCopies = 2;
// The trace at its full length, the entries of the job's id in the maps of an
// instance, and the open request of its caller.
constexpr std::size_t kJobOverheadBytes = 6144;
// The upstreams that a task avoids, and its share of `StepState::placed`.
constexpr std::size_t kTaskOverheadBytes = 3 * kAllocationBytes;
// A start is queued, encoded and buffered, each with its own payload.
constexpr std::size_t kPayloadCopiesPerRun = 4;
// Entries of the run in the scheduler and in the session with its upstream, and
// the requests that start and stop it without their payload.
constexpr std::size_t kRunOverheadBytes = 2048;

std::size_t StepBytes(const Step& step) {
  return sizeof(Step) + kAllocationBytes +
         step.after.size() * sizeof(step.after.front()) +
         step.required_label.size() + step.preferred_rack.size();
}

}  // namespace

std::size_t SpecBytes(const JobSpec& spec) {
  std::size_t bytes = sizeof(JobSpec) + spec.id.size() + spec.payload.size() +
                      spec.kind.name.size() + spec.kind.service.size() +
                      spec.entry_domain.size();
  for (const Step& step : spec.steps) {
    bytes += StepBytes(step);
  }
  return kSpecCopies * bytes;
}

std::size_t JobBytes(const JobSpec& spec) {
  std::size_t bytes = SpecBytes(spec) + sizeof(Job) + kJobOverheadBytes;
  for (const Step& step : spec.steps) {
    bytes += sizeof(StepState) + kAllocationBytes +
             step.tasks * (sizeof(Task) + kTaskOverheadBytes);
  }
  return bytes;
}

std::size_t RunBytes(const JobSpec& spec) {
  return kRunOverheadBytes + kPayloadCopiesPerRun * spec.payload.size();
}

}  // namespace jaypick::schedule
