// Records the events of a simulation run and checks jaypick's guarantees
// against them.
#ifndef JAYPICK_TESTS_SIMULATION_INVARIANT_CHECKER_H_
#define JAYPICK_TESTS_SIMULATION_INVARIANT_CHECKER_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jaypick/job.h"
#include "jaypick/messages.h"
#include "tests/simulation/scheduler.h"

namespace jaypick::simulation {

// One submission of a caller, including all resubmissions under the same id or
// key. A retry under another id or key is a separate submission.
struct Submission {
  std::uint64_t number = 0;
  // The request; every resubmission sends the same one.
  JobRequest request;
  bool is_idempotent = false;

  // By task: the attempts that upstreams started, in order of start. A delayed
  // attempt may start after a later one.
  std::vector<std::vector<std::uint32_t>> starts;
  bool has_started = false;
  // Job id and deadline with which its tasks are sent to upstreams.
  std::optional<JobId> job_id;
  std::optional<TimePoint> deadline;
  // Outcomes reported to callers.
  std::optional<JobId> completed_job_id;
  bool was_answered_not_run = false;
  bool was_answered_failed = false;
  // The issuing process itself answered `failed`, so none of the tasks may
  // start afterwards.
  bool was_answered_failed_by_issuer = false;
  bool has_answer = false;
};

// The correct result of the task with this payload.
std::string ResultOf(std::string_view payload);

// Records task starts and answers, and stops the run at the first violation.
class InvariantChecker {
 public:
  explicit InvariantChecker(const Scheduler& scheduler)
      : scheduler_(scheduler) {}

  // Adds a submission with `tasks` distinct payloads.
  Submission& Add(JobRequest request, bool is_idempotent, std::size_t tasks);

  Submission& submission(std::uint64_t number) {
    return submissions_[number - 1];
  }
  std::size_t submissions() const { return submissions_.size(); }

  // Number of the submission to which the task with `payload` belongs; 0 if
  // there is none.
  static std::uint64_t NumberOf(std::string_view payload);

  // Called when an entry sends a task to an upstream.
  void OnStartSent(std::string_view entry, const StartAttempt& start);

  // Called when an upstream starts a task.
  void OnTaskStarted(std::string_view upstream, const StartAttempt& start);

  // Called when an entry answers a call about a submission.
  void OnAnswer(std::string_view entry,
                std::uint64_t number,
                const CallAnswer& answer);

  // Adds an event to the trace. `submission` is 0 if it concerns the whole run.
  void Trace(std::uint64_t submission,
             std::string_view where,
             const char* what,
             std::int64_t detail = 0);

  // Records the first violation; later ones are ignored.
  void Fail(std::uint64_t submission, std::string what);
  void Fail(const JobId& id, std::string what);

  // The first violation with its step and trace; empty if there was none.
  const std::string& violation() const { return violation_; }

  std::uint64_t tasks_started() const { return tasks_started_; }
  std::uint64_t completed() const { return completed_; }
  std::uint64_t refused() const { return refused_; }

 private:
  struct Event {
    TimePoint when;
    std::uint64_t step = 0;
    std::uint64_t submission = 0;
    std::string where;
    const char* what = "";
    std::int64_t detail = 0;
  };

  void CheckComplete(std::string_view entry,
                     Submission& submission,
                     const CompleteAnswer& answer);
  void CheckRefusal(Submission& submission, const Refusal& refusal);

  const Scheduler& scheduler_;
  std::deque<Submission> submissions_;
  std::deque<Event> events_;
  std::string violation_;
  std::uint64_t tasks_started_ = 0;
  std::uint64_t completed_ = 0;
  std::uint64_t refused_ = 0;
};

}  // namespace jaypick::simulation

#endif  // JAYPICK_TESTS_SIMULATION_INVARIANT_CHECKER_H_
