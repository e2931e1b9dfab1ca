// HTTP interface of a node to its callers.
#ifndef JAYPICK_NODE_CALLER_SERVER_H_
#define JAYPICK_NODE_CALLER_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "control/active_jobs.h"
#include "control/domain_choice.h"
#include "http/server.h"
#include "node/leadership_manager.h"
#include "node/message_codec.h"
#include "node/metrics.h"
#include "node/peers.h"
#include "node/runtime.h"
#include "node/settings.h"
#include "node/store_view.h"

namespace jaypick::node {

// Accepts jobs from callers, submits each to the leader of a domain, here or on
// a peer, and responds with the outcome.
class CallerServer {
 public:
  CallerServer(Runtime& runtime,
               const NodeSettings& settings,
               const MessageCodec& codec,
               StoreView& view,
               Peers& peers,
               LeadershipManager& leadership_manager,
               NodeMetrics& metrics);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  // From now on, responses carry `Connection: close`. Jobs that arrive after
  // `refuse_from` are refused, and all jobs are answered by `answer_by`.
  void BeginShutdown(TimePoint refuse_from, TimePoint answer_by);
  void StopAccepting() { server_.StopAccepting(); }
  std::size_t open_calls() const { return server_.open_calls(); }
  std::uint16_t port() const { return server_.port(); }
  const http::ServerCounters& counters() const { return server_.counters(); }
  std::size_t jobs() const { return jobs_.size(); }

 private:
  struct Waiter {
    std::uint64_t number = 0;
    std::unique_ptr<http::Responder> responder;
  };

  struct Job {
    schedule::JobSpec spec;
    schedule::MemoryBudget::Reservation memory;
    TimePoint arrival;
    TimePoint deadline;
    std::vector<Waiter> waiters;
    // Domains that have refused the job or could not be reached.
    std::vector<std::string> tried_domains;
    std::string failure_domain;
    // The leadership that got the job; without an incarnation if none has.
    control::Leadership leadership;
    // Set while runs may be active that a leadership started for an earlier
    // submission, or for this one before its connection broke.
    std::optional<control::ActiveJobs::Entry> active;
    // That leadership cannot be reached, so the job waits until its runs have
    // ended.
    bool is_waiting_for_runs = false;
    // The job is to be dispatched by the next run of `DispatchParkedJobs`.
    bool is_parked = false;
    // A process that has refused the job after it was registered there.
    std::string inactive_at;
    // See `ForwardedJob`; 0 unless the job is registered for another domain.
    std::uint64_t registrar_token = 0;
    // How often a leader has answered that the job may be active elsewhere.
    int relocations = 0;
    // The job was forwarded again after its connection broke.
    bool is_forwarded_again = false;
    // An earlier submission may have run, so a refusal of this one does not say
    // that the job has not run.
    bool may_have_run = false;
    // Needed to withdraw the job: the request to a peer or, if that is 0, the
    // waiter at the local leader.
    std::uint64_t local_waiter = 0;
    std::uint64_t peer_request = 0;
    // Number of the last forwarding of this submission; 0 if there is none.
    std::uint64_t forward = 0;
  };

  void OnRequest(const http::Request& request, http::Responder responder);
  void OnSubmission(JobSubmission submission, http::Responder responder);
  // Refuses a submission that is not kept.
  void RefuseOnArrival(const schedule::JobSpec& spec,
                       schedule::RefusalReason reason,
                       http::Responder responder);
  void AddWaiter(Job& job, const std::string& id, http::Responder responder);
  void OnClosed(const std::string& id, std::uint64_t waiter);
  void Dispatch(const std::string& id);
  // Submits a job to the leadership under which its runs may be active.
  void DispatchActive(const std::string& id);
  // The leadership that jobs for the domain are submitted to, if it is known.
  std::optional<control::Leadership> LeadershipOf(
      const std::string& failure_domain);
  // Returns false if the leader cannot be reached.
  bool SubmitTo(const std::string& id,
                Job& job,
                const control::Leadership& leadership);
  // Registers the job at the leader of this instance's domain, then submits it
  // to another one.
  void Register(const std::string& id,
                Job& job,
                const control::Leadership& destination);
  void OnRegistrationResult(const std::string& id,
                            const control::Leadership& destination,
                            const http::ClientResult& result);
  void OnRegistered(const std::string& id,
                    const control::Leadership& destination,
                    std::uint64_t registrar_token,
                    const std::optional<control::ActiveJobs::Entry>& active);
  // Runs of the job may be active there, so it goes to that leadership only.
  void OnActiveElsewhere(const std::string& id,
                         control::ActiveJobs::Entry active);
  // Tries the job again once the leader of this instance's domain responds, or
  // refuses it after some time.
  void WaitForLeader(const std::string& id);
  // Lets a job wait until runs under an unreachable leadership have ended, or
  // gives it up.
  void WaitForRuns(const std::string& id);
  // Tries the job again after a short time.
  void Park(const std::string& id);
  // Remembers that runs of the job may be active.
  void RememberActive(const std::string& id, const Job& job);
  void SubmitLocally(const std::string& id,
                     Job& job,
                     DomainLeader& domain_leader);
  bool ForwardTo(const std::string& id,
                 Job& job,
                 const control::Leadership& leadership);
  void OnForwardResult(const std::string& id,
                       std::uint64_t forward,
                       const http::ClientResult& result);
  void OnForwardError(const std::string& id, const http::ClientError& error);
  void OnLocalResult(const std::string& id, const schedule::JobEnded& ended);
  void OnLocalResult(const std::string& id,
                     const control::RegisteredJob& active);
  void OnOutcome(const std::string& id,
                 const schedule::JobOutcome& outcome,
                 const std::vector<schedule::TraceEntry>& trace);
  void Respond(const std::string& id,
               const schedule::JobOutcome& reported,
               const std::vector<schedule::TraceEntry>& trace);
  std::vector<control::DomainCandidate> DomainCandidates();
  void DispatchParkedJobs();

  Runtime& runtime_;
  const NodeSettings& settings_;
  const MessageCodec& codec_;
  StoreView& view_;
  Peers& peers_;
  LeadershipManager& leadership_manager_;
  NodeMetrics& metrics_;
  std::map<std::string, Job> jobs_;
  control::ActiveJobs active_jobs_;
  // Since when this instance has not reached a leader of its domain.
  std::optional<TimePoint> leaderless_since_;
  // Jobs that wait for a leader.
  std::vector<std::string> parked_;
  Timer parked_timer_;
  std::uint64_t last_waiter_ = 0;
  std::uint64_t last_forward_ = 0;
  std::optional<TimePoint> refuse_from_;
  TimePoint answer_by_ = TimePoint::max();
  http::Server server_;
};

}  // namespace jaypick::node

#endif  // JAYPICK_NODE_CALLER_SERVER_H_
