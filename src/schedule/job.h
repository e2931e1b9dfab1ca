// A job that a scheduler has taken.
#ifndef JAYPICK_SCHEDULE_JOB_H_
#define JAYPICK_SCHEDULE_JOB_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "jaypick/time.h"
#include "schedule/job_spec.h"
#include "schedule/messages.h"
#include "schedule/served_fraction_tracker.h"

namespace jaypick::schedule {

enum class TaskState : std::uint8_t {
  // An earlier step has not ended.
  kBlocked,
  kWaiting,
  kRunning,
  kSucceeded,
};

struct Task {
  TaskState state = TaskState::kBlocked;
  // Starts so far.
  std::uint32_t runs = 0;
  std::uint32_t failures = 0;
  // Runs that began and were lost or stopped.
  std::uint32_t lost = 0;
  std::uint32_t upstream = 0;
  TimePoint started;
  bool is_stopping = false;
  // False once this process did not run for a while: the time of the run then
  // says nothing.
  bool is_run_time_valid = true;
  // Its run takes unusually long; noted once.
  bool is_overdue = false;
  // Upstreams where a run failed or stood still.
  std::vector<std::uint32_t> avoided_upstreams;
};

struct StepState {
  std::vector<Task> tasks;
  std::uint32_t unfinished = 0;
  std::uint32_t waiting = 0;
  Duration predicted{0};
  // The prediction comes from other runs, not from the declaration alone.
  bool is_learned = false;
  // Longest run of a task of this step that succeeded.
  Duration longest_run{0};
  // Tasks running or ended by upstream.
  std::map<std::uint32_t, std::uint32_t> placed;
};

struct Job : boost::intrusive::list_base_hook<
                 boost::intrusive::link_mode<boost::intrusive::auto_unlink>>,
             boost::intrusive_ref_counter<Job, boost::thread_unsafe_counter> {
  JobSpec spec;
  TimePoint arrival;
  // Nobody waits for the answer after this.
  TimePoint deadline;
  // End by which the job meets its latency objective.
  TimePoint objective;
  // Start of the last task that still meets the objective.
  TimePoint latest_start;
  // Longest chain of predicted run times.
  Duration predicted{0};
  // Core-seconds.
  double work = 0;
  ServedFractionTracker::JobClass job_class;
  std::vector<StepState> steps;
  std::uint32_t waiting = 0;
  std::uint32_t running = 0;
  std::uint32_t unfinished = 0;
  // Runs that may have had an effect; refused starts are taken off again.
  std::uint32_t starts = 0;
  // Answered; what still runs is being stopped.
  bool has_ended = false;
  std::vector<TraceEntry> trace;
};

using JobPointer = boost::intrusive_ptr<Job>;

}  // namespace jaypick::schedule

#endif  // JAYPICK_SCHEDULE_JOB_H_
