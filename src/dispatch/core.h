// State and event handlers of the dispatcher.
#ifndef JAYPICK_DISPATCH_CORE_H_
#define JAYPICK_DISPATCH_CORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "jaypick/dispatcher.h"
#include "jaypick/internal/fair_queue.h"
#include "jaypick/internal/id_window.h"
#include "jaypick/internal/invariant.h"
#include "jaypick/internal/job.h"
#include "jaypick/internal/job_table.h"
#include "jaypick/internal/kind_catalogue.h"
#include "jaypick/internal/retry_budget.h"
#include "jaypick/internal/timer_queue.h"
#include "jaypick/internal/token_bucket.h"
#include "jaypick/internal/upstream_pool.h"

namespace jaypick {

// Implementation of `Dispatcher`, with one handler per event type. Handlers
// append to `actions_`, which is set for the duration of `Handle`.
class Dispatcher::Core {
 public:
  explicit Core(DispatcherOptions options);

  void Handle(TimePoint now, Event event, Actions& actions);
  std::optional<TimePoint> next_wakeup() const;

  const DispatcherOptions& options() const { return options_; }
  const Configuration* configuration() const;
  const InstanceList* instances() const;
  bool is_draining() const { return drain_.has_value(); }
  std::size_t active_jobs() const { return jobs_.active(); }
  std::size_t queued_tasks() const;
  std::size_t running_tasks() const { return running_; }
  std::vector<std::string> ejected_upstreams() const;

 private:
  using Job = internal::Job;
  using Task = internal::Task;

  struct Drain {
    TimePoint refuse_from;
    bool is_finished = false;
  };

  // A submission by key that waits for the result of its key claim.
  struct PendingClaim {
    JobRequest request;
    std::uint64_t counter = 0;
    TimePoint arrival;
  };

  // A task that waits for a token of the retry budget.
  struct BudgetWait {
    std::uint64_t counter = 0;
    std::uint32_t task = 0;
  };

  // A submission that has not been admitted or refused yet.
  struct Submission {
    CallId call;
    JobRequest request;
    TimePoint arrival;
    bool forwarded = false;
  };

  // Calls (core_calls.cc).
  void On(ReserveIds& message);
  void On(SubmitJob& message);
  void On(QueryJob& message);
  void On(CancelJob& message);
  void On(const CallClosed& message);
  void On(const ForwardFailed& message);
  void SubmitUnderKey(Submission submission, const SubmissionKey& key);
  void On(const KeyClaimSettled& message);
  void SubmitUnderId(Submission submission, const JobId& id);
  void SubmitReserved(Submission submission, std::uint64_t counter);
  void Resubmit(const Submission& submission,
                std::uint64_t counter,
                const internal::IdRecord& record);
  // Registers the call of a query or cancellation and finds the record of its
  // id. Returns null if the call was forwarded or answered.
  template <typename Message>
  const internal::IdRecord* OpenCallAndFindRecord(const Message& message);
  // Finds the record of an id that this process issued. If there is none or it
  // belongs to another owner, refuses the call and returns null.
  const internal::IdRecord* FindRecord(CallId call,
                                       const JobId& id,
                                       const std::string& owner);
  bool IsOwnId(const JobId& id) const;
  // Forwards a call to the entry that issued `id`, or refuses the call if it
  // cannot be forwarded.
  void ForwardToIssuer(CallId call,
                       const JobId& id,
                       bool forwarded,
                       std::variant<SubmitJob, QueryJob, CancelJob> message);
  void RefuseIssuerUnreachable(CallId call, const JobId& id);
  void AnswerFromRecord(CallId call,
                        std::uint64_t counter,
                        const internal::IdRecord& record);

  // Checks (core_checks.cc).
  std::optional<Refusal> CheckRequest(const JobRequest& request) const;
  std::optional<Refusal> CheckEntry() const;
  std::optional<Refusal> CheckAdmissionOf(const Submission& submission,
                                          internal::KindNumber kind);

  // Admission and end of jobs (core_jobs.cc).
  void Admit(Submission submission,
             std::uint64_t counter,
             internal::KindNumber kind);
  void AddWaiter(Job& job, CallId call, std::uint32_t reserve);
  void CompleteJob(Job& job);
  void FailJob(Job& job, RefusalReason reason, std::string message);
  RunState RunStateOf(const Job& job) const;
  void DropTasks(Job& job);
  void EndJob(Job& job);
  void AnswerJob(Job& job, CallId call, std::uint32_t reserve);
  void CloseId(CallId call,
               std::uint64_t counter,
               const JobRequest& request,
               Refusal refusal);
  std::vector<JobId> IssueIds(internal::OwnerNumber owner, std::uint32_t count);
  JobId IdOf(std::uint64_t counter) const;
  void Answer(CallId call, CallAnswer answer);
  void Refuse(CallId call, Refusal refusal);

  // Attempts (core_attempts.cc).
  void On(const AttemptEnded& message);
  void On(const Tick& message);
  void RunTimers();
  void OnTimer(const internal::JobDeadline& timer);
  void OnTimer(const internal::AttemptTimeout& timer);
  void FailIfOverdue(Job& job);
  Task* FindRunningTask(const AttemptEnded& message);
  void EndAttempt(Task& task,
                  const AttemptOutcome& outcome,
                  std::optional<std::uint32_t> reported_load);
  internal::HealthSignal HealthSignalOf(const Task& task,
                                        const AttemptOutcome& outcome) const;
  void OnOutcome(Task& task, const attempt::Succeeded& outcome);
  void OnOutcome(Task& task, const attempt::Failed& outcome);
  void OnOutcome(Task& task, const attempt::Refused& outcome);
  void OnOutcome(Task& task, const attempt::NotSent& outcome);
  void OnOutcome(Task& task, const attempt::Lost& outcome);
  bool TakeRetryToken();
  void RetryWithinBudget(Task& task);
  void ReleaseBudgetWaits();
  void Requeue(Task& task);
  void StartQueuedTasks();
  void StartQueuedTasksOf(internal::FairQueue& queue);
  void Start(Task& task, internal::UpstreamNumber upstream);
  void CheckStart(const Task& task, internal::UpstreamNumber upstream);
  internal::PlacementRequest RequestFor(internal::KindNumber kind) const;
  TimePoint AttemptTimeoutAt(const Job& job) const;
  Duration AttemptTimeoutOf(internal::KindNumber kind) const;

  // Configuration, membership, draining (core_control.cc).
  void On(ConfigurationOffered& message);
  void On(InstancesOffered& message);
  void On(const DrainRequested& message);
  void AssignWeights();
  void FinishDrain();
  internal::FairQueue& QueueOf(internal::ServiceNumber service);
  const Instance* FindEntry(const std::string& name) const;
  bool HasMutant(internal::Mutant mutant) const {
    return options_.mutant == mutant;
  }
  void ReportViolation(std::string_view invariant,
                       const std::string& detail) const;
  void CheckInvariant(bool holds,
                      std::string_view invariant,
                      const Job& job) const;

  DispatcherOptions options_;
  DispatchObserver null_observer_;
  DispatchObserver& observer_;
  // Passes invariant violations in the queue and the pool to the observer.
  internal::ViolationHandler violation_handler_;
  internal::IdWindow ids_;
  internal::JobTable jobs_;
  internal::KindCatalogue catalogue_;
  internal::UpstreamPool pool_;
  internal::RetryBudget retry_budget_;
  internal::TokenBucket retry_floor_;
  internal::TokenBucket claim_bucket_;
  internal::TimerQueue timers_;
  // Index: service number.
  std::deque<internal::FairQueue> queues_;
  internal::FairQueue::Cost task_cost_;
  std::deque<BudgetWait> budget_waits_;
  // Calls that have not been answered, by call id. The value is the counter of
  // the job that the call waits for, if any.
  std::unordered_map<std::uint64_t, std::optional<std::uint64_t>> calls_;
  // Index: call id.
  std::unordered_map<std::uint64_t, PendingClaim> claims_;
  std::optional<Configuration> configuration_;
  std::optional<InstanceList> instances_;
  std::optional<Drain> drain_;
  std::uint64_t next_sequence_ = 0;
  std::size_t unfinished_tasks_ = 0;
  std::size_t running_ = 0;
  TimePoint now_;
  Actions* actions_ = nullptr;
};

}  // namespace jaypick

#endif  // JAYPICK_DISPATCH_CORE_H_
