// Leader of one failure domain: schedules tasks on its upstreams.
#ifndef JAYPICK_NODE_DOMAIN_LEADER_H_
#define JAYPICK_NODE_DOMAIN_LEADER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "control/job_registry.h"
#include "control/upstream_session.h"
#include "node/run_request_log.h"
#include "node/runtime.h"
#include "node/upstream_client.h"
#include "schedule/fleet.h"
#include "schedule/scheduler.h"

namespace jaypick::node {

// The outcome of a job and the trace of its runs, or where runs of the job may
// be active, if the leader has not accepted it for that reason.
using JobResult = std::variant<schedule::JobEnded, control::RegisteredJob>;
using JobCallback = std::function<void(const JobResult&)>;

// A job that an instance submits to a leader.
struct Submission {
  schedule::JobSpec spec;
  TimePoint arrival;
  TimePoint deadline;
  // The instance that received the job from its caller, and its process.
  std::string instance;
  std::string entry_incarnation;
  // See `ForwardedJob`.
  std::string inactive_at;
  // Returns when the job was last attended, see `run_bounds.h`. If empty, it is
  // attended at any time.
  std::function<TimePoint()> attended_at;
};

struct DomainLeaderOptions {
  std::string failure_domain;
  // This process, and where its peers reach it.
  std::string incarnation;
  Address address;
  // Time after which no run of a job that has ended is active.
  Duration longest_stop{0};
  // The leader's first fencing token, sent with all requests to upstreams.
  std::uint64_t token = 0;
  control::SessionOptions session;
  schedule::SchedulerOptions scheduler;
  // Called once when the leadership is lost. It is called from within other
  // methods, so it must not destroy the leader.
  std::function<void()> on_lost;
};

// Runs the scheduler of a domain and a session with each of its upstreams.
class DomainLeader {
 public:
  DomainLeader(Runtime& runtime,
               UpstreamClient& upstream_client,
               DomainLeaderOptions options);
  ~DomainLeader();
  DomainLeader(const DomainLeader&) = delete;
  DomainLeader& operator=(const DomainLeader&) = delete;

  // Updates the set of upstreams: all listed upstreams of the domain are used
  // except `predecessor_upstreams`, which the predecessor has not released yet.
  //
  // No run starts on this list at `start_limit` or later. A list and its limit
  // take effect together.
  void SetUpstreams(const std::map<std::string, schedule::Upstream>& listed,
                    const std::set<std::string>& predecessor_upstreams,
                    TimePoint start_limit);

  // The operators evacuate the domain, or take it back.
  void SetEvacuated(bool is_evacuated);

  // Changes the limit because the current list was confirmed or can no longer
  // be updated. Must not be called for a newer list than that of the last call
  // of `SetUpstreams`.
  void SetStartLimit(TimePoint limit);

  // Submits a job. `callback` runs once. If a job with this id is already known
  // here, the callback waits for that job's outcome.
  //
  // Returns the number of the waiter, for `RemoveWaiter`.
  std::uint64_t Submit(Submission submission, JobCallback callback);

  // True if the job has been accepted and has not ended, or if its runs are
  // being stopped.
  bool HasJob(const std::string& job) const;

  // Registers that an instance of this domain is going to submit a job of its
  // callers to another domain. Returns where runs of the job may be active
  // instead, or nothing if the instance may do so.
  std::optional<control::RegisteredJob> Register(
      const control::RegisteredJob& job,
      const std::string& inactive_at);

  // While a leader does not know where the jobs of earlier leaders are, it
  // holds submissions back and registers nothing.
  bool is_holding_jobs() const { return is_holding_jobs_; }
  void HoldJobs() { is_holding_jobs_ = true; }
  // Adds what an earlier leader, or that of another domain, has reported.
  void ImportJobs(const std::vector<control::RegisteredJob>& jobs);
  // Refuses held submissions whose deadline has passed.
  void RefuseOverdueSubmissions();
  // Processes the submissions that were held back.
  void ResumeJobs();
  // All jobs that may be active under this leadership, and all registrations.
  std::vector<control::RegisteredJob> Jobs() const;
  // Jobs of the callers of `entry_domain` that may be active here.
  std::vector<control::RegisteredJob> JobsOf(
      const std::string& entry_domain) const;
  // False until each listed upstream has responded to this leader and stopped
  // the runs of earlier leaders.
  bool HasTakenOverAllUpstreams() const;

  // Jobs are attended again that might not have been.
  void OnAttended();

  // Called when a caller stops waiting. The job is abandoned if it has no other
  // waiter.
  void RemoveWaiter(const std::string& job, std::uint64_t waiter);

  // Ends all jobs because another node leads the domain.
  void EndAllJobs();

  // Called after the process was paused, e.g. because the machine was
  // suspended.
  void OnPause() { scheduler_.OnPause(); }

  // Announces that a successor may take over at any time. From then on, an
  // upstream that fences this leader is released, and the others are used as
  // before.
  void BeginHandOver() { is_handing_over_ = true; }

  // Stops accepting jobs and releases upstreams as they become idle.
  void Drain();
  bool is_draining() const { return is_draining_; }
  // A successor has taken an upstream over before it was released, and stops
  // the runs there.
  bool has_been_fenced() const { return has_been_fenced_; }
  bool is_lost() const { return is_lost_; }
  // Upstreams that a successor must not use yet.
  std::vector<std::string> HeldUpstreams() const;

  // Cached for up to `kMaxLoadAge`, since it is read for each job and each
  // ping.
  const schedule::LoadReport& Load();
  const schedule::Scheduler& scheduler() const { return scheduler_; }
  const std::string& failure_domain() const { return options_.failure_domain; }
  std::size_t ready_upstreams() const;
  std::uint64_t token() const { return options_.token; }

 private:
  struct Waiter {
    std::uint64_t number = 0;
    JobCallback callback;
    TimePoint deadline;
    std::function<TimePoint()> attended_at;
  };
  struct HeldSubmission {
    Submission submission;
    Waiter waiter;
    schedule::MemoryBudget::Reservation memory;
  };

  void Hold(HeldSubmission held);
  void Accept(Submission submission, Waiter waiter);
  void Refuse(const HeldSubmission& held, schedule::RefusalReason reason);
  void RefuseHeldSubmissions();
  // Where runs of a job that the scheduler has may be active, and for how long.
  control::RegisteredJob OwnRegistration(TimePoint now,
                                         const schedule::ActiveJob& job) const;

  // When somebody was last known to wait for the job.
  TimePoint AttendedAt(const std::string& job) const;
  // Adds to the options that the scheduler asks this leader for attendance.
  schedule::SchedulerOptions WithAttendance();
  void ProcessPending(TimePoint now);
  void Execute(TimePoint now, schedule::Actions actions);
  void Handle(TimePoint now, schedule::StartTask& action);
  void Handle(TimePoint now, schedule::StopTask& action);
  void Handle(TimePoint now, schedule::JobEnded& action);
  void Handle(TimePoint now,
              std::uint32_t upstream,
              control::StartRequest& output);
  void Handle(TimePoint now,
              std::uint32_t upstream,
              control::StopRequest& output);
  void Handle(TimePoint now,
              std::uint32_t upstream,
              control::PollRequest& output);
  void Handle(TimePoint now, std::uint32_t upstream, control::RunEnded& output);
  void Handle(TimePoint now,
              std::uint32_t upstream,
              control::ReadinessChanged& output);
  void Handle(TimePoint now,
              std::uint32_t upstream,
              control::SessionFenced& output);
  // The session works with another incarnation than the scheduler knows.
  bool HasRestarted(std::uint32_t upstream) const;
  // Tells the scheduler which incarnation of the upstream responds.
  void ReportResponse(std::uint32_t upstream);
  // Returns a callback that passes the response of an upstream to its session.
  template <typename Response>
  std::function<void(const Response&)> ResponseHandler(
      std::uint32_t upstream,
      control::RequestNumber request_number,
      void (control::UpstreamSession::*handler)(TimePoint,
                                                control::RequestNumber,
                                                const Response&,
                                                control::SessionOutputs&));
  // Returns `callback` with a log line of the response before it.
  RunResponseCallback LoggedRunResponse(std::string_view event,
                                        TimePoint sent,
                                        std::uint32_t upstream,
                                        const schedule::RunId& run,
                                        RunResponseCallback callback);
  RunRequestContext RequestContext(TimePoint now, std::uint32_t upstream) const;
  void ReleaseUpstream(std::uint32_t upstream);
  void ReleaseIdleUpstreams();
  void ArmTimer(TimePoint now);
  void LogStartLimit(TimePoint now);
  // Logs once when the last run of an evacuated domain has ended.
  void LogEmptied();
  void LoseLeadership(TimePoint now);

  Runtime& runtime_;
  UpstreamClient& upstream_client_;
  DomainLeaderOptions options_;
  schedule::Scheduler scheduler_;
  std::map<std::uint32_t, control::UpstreamSession> sessions_;
  // Upstreams that were released while draining.
  std::set<std::string> released_;
  // Session outputs that have not been processed yet, by upstream.
  std::vector<std::pair<std::uint32_t, control::SessionOutputs>>
      pending_outputs_;
  std::map<std::string, std::vector<Waiter>> waiters_;
  std::vector<HeldSubmission> held_submissions_;
  bool is_holding_jobs_ = false;
  control::JobRegistry registry_;
  std::uint64_t last_waiter_ = 0;
  schedule::LoadReport load_;
  TimePoint load_updated_;
  bool are_starts_held_ = false;
  bool is_handing_over_ = false;
  bool is_draining_ = false;
  bool has_logged_emptied_ = false;
  bool has_been_fenced_ = false;
  // An upstream has left the list before it responded to this leader.
  bool has_left_upstream_ = false;
  bool is_lost_ = false;
  bool is_processing_ = false;
  Timer timer_;
  std::shared_ptr<bool> is_alive_;
};

}  // namespace jaypick::node

#endif  // JAYPICK_NODE_DOMAIN_LEADER_H_
