// Command of the upstreams of one failure domain.
#ifndef JAYPICK_NODE_DOMAIN_LEADER_H_
#define JAYPICK_NODE_DOMAIN_LEADER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "control/upstream_session.h"
#include "node/runtime.h"
#include "node/upstream_client.h"
#include "schedule/fleet.h"
#include "schedule/scheduler.h"

namespace jaypick::node {

// A job's answer, with what happened to it.
using JobCallback = std::function<void(const schedule::JobEnded&)>;

struct DomainLeaderOptions {
  std::string failure_domain;
  // Lowest fencing token.
  std::uint64_t token = 0;
  control::SessionOptions session;
  schedule::SchedulerOptions scheduler;
  // Called once when the command is lost, from within other calls: the
  // commander must not be destroyed by it.
  std::function<void()> on_lost;
};

// Runs a scheduler and the sessions of its upstreams.
class DomainLeader {
 public:
  DomainLeader(Runtime& runtime,
               UpstreamClient& upstream_client,
               DomainLeaderOptions options);
  ~DomainLeader();
  DomainLeader(const DomainLeader&) = delete;
  DomainLeader& operator=(const DomainLeader&) = delete;

  // Takes over the upstreams of the domain out of all that are listed.
  // `withheld` are still commanded by the predecessor.
  void SetUpstreams(const std::map<std::string, schedule::Upstream>& listed,
                    const std::set<std::string>& withheld);

  // Takes a job. `callback` runs once, with its answer; a job that is known
  // already answers to all who submitted it.
  //
  // Returns the number under which the caller may leave.
  std::uint64_t Submit(schedule::JobSpec spec,
                       TimePoint arrival,
                       TimePoint deadline,
                       JobCallback callback);

  // The caller does not wait any more; without others the job is abandoned.
  void RemoveWaiter(const std::string& job, std::uint64_t waiter);

  // Somebody else commands the domain: all jobs end.
  void EndAllJobs();

  // The process did not run for a while.
  void OnPause() { scheduler_.OnPause(); }

  // A successor may come at any time: an upstream that refuses this command is
  // the successor's, and the others go on.
  void BeginHandOver() { is_handing_over_ = true; }

  // Takes no more jobs and gives up idle upstreams.
  void Drain();
  bool is_draining() const { return is_draining_; }
  bool is_lost() const { return is_lost_; }
  // Upstreams that a successor must not take over yet.
  std::vector<std::string> HeldUpstreams() const;

  // At most `kLoadAge` old: each job and each peer asks for it.
  const schedule::LoadReport& Load();
  const schedule::Scheduler& scheduler() const { return scheduler_; }
  const std::string& failure_domain() const { return options_.failure_domain; }
  std::size_t ready_upstreams() const;
  std::uint64_t token() const { return options_.token; }

 private:
  struct Waiter {
    std::uint64_t number = 0;
    JobCallback callback;
  };

  void Settle(TimePoint now);
  void Perform(TimePoint now, schedule::Actions actions);
  void On(TimePoint now, schedule::StartTask& action);
  void On(TimePoint now, schedule::StopTask& action);
  void On(TimePoint now, schedule::JobEnded& action);
  void On(TimePoint now, std::uint32_t upstream, control::StartRequest& output);
  void On(TimePoint now, std::uint32_t upstream, control::StopRequest& output);
  void On(TimePoint now, std::uint32_t upstream, control::PollRequest& output);
  void On(TimePoint now, std::uint32_t upstream, control::RunEnded& output);
  void On(TimePoint now,
          std::uint32_t upstream,
          control::ReadinessChanged& output);
  void On(TimePoint now,
          std::uint32_t upstream,
          control::SessionFenced& output);
  // Brings the answer of a call to its session.
  template <typename Answer>
  std::function<void(const Answer&)> AnswerTo(
      std::uint32_t upstream,
      control::RequestNumber request_number,
      void (control::UpstreamSession::*handler)(TimePoint,
                                                control::RequestNumber,
                                                const Answer&,
                                                control::SessionOutputs&));
  void Release(std::uint32_t upstream);
  void ReleaseIdle();
  void ArmTimer(TimePoint now);
  void LoseCommand(TimePoint now);

  Runtime& runtime_;
  UpstreamClient& upstream_client_;
  DomainLeaderOptions options_;
  schedule::Scheduler scheduler_;
  std::map<std::uint32_t, control::UpstreamSession> sessions_;
  // Upstreams given up while draining.
  std::set<std::string> released_;
  // Upstreams whose sessions have outputs to carry out.
  std::vector<std::pair<std::uint32_t, control::SessionOutputs>> outputs_;
  std::map<std::string, std::vector<Waiter>> waiters_;
  std::uint64_t last_waiter_ = 0;
  schedule::LoadReport load_;
  TimePoint load_read_;
  bool is_handing_over_ = false;
  bool is_draining_ = false;
  bool is_lost_ = false;
  bool is_settling_ = false;
  Timer timer_;
  std::shared_ptr<bool> is_alive_;
};

}  // namespace jaypick::node

#endif  // JAYPICK_NODE_DOMAIN_LEADER_H_
