// An entry instance of the randomised run: a process around a `Dispatcher`.
#ifndef JAYPICK_TESTS_SIMULATION_ENTRY_H_
#define JAYPICK_TESTS_SIMULATION_ENTRY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "jaypick/dispatcher.h"
#include "tests/simulation/cluster.h"

namespace jaypick::simulation {

using CallMessage = std::variant<ReserveIds, SubmitJob, QueryJob, CancelJob>;
using Respond = std::function<void(const CallAnswer&)>;

// A call as it reaches an entry.
struct IncomingCall {
  CallMessage message;
  // Submission that it is about; 0 for a reservation.
  std::uint64_t submission = 0;
  // Time from arrival within which an answer is due.
  Duration answer_timeout{0};
  Respond respond;
};

// Performs actions, polls the platform, exchanges with peers, and can be
// killed, paused and drained.
class Entry {
 public:
  Entry(Cluster& cluster, std::string name, int domain, std::uint16_t port);
  ~Entry();
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  const std::string& name() const { return name_; }
  int domain() const { return domain_; }
  const Address& address() const { return address_; }
  bool is_up() const { return dispatcher_ != nullptr; }
  bool is_paused() const { return is_paused_; }
  bool is_draining() const { return is_up() && dispatcher_->is_draining(); }
  std::uint64_t generation() const { return generation_; }
  const Dispatcher& dispatcher() const { return *dispatcher_; }
  // Last times at which the platform could not be read.
  TimePoint last_head_read_failure() const { return last_head_read_failure_; }
  TimePoint last_list_read_failure() const { return last_list_read_failure_; }

  // A new process starts at the entry's address.
  void Start();
  void Kill();
  void Pause();
  void Resume();
  void Drain(Duration notice);

  // Runs `callback` in the process of `generation`: now, or when it resumes, or
  // never if it has ended.
  void Post(std::uint64_t generation, Scheduler::Callback callback);

  // A call arrives. Returns its number for `Close`.
  std::uint64_t Receive(IncomingCall call);
  void Close(std::uint64_t call);
  void Handle(Event event);

  // An operator changes the configuration through this entry.
  void ApplyChange();

  // Fails the run if a call is overdue or, at the end of the run, anything is
  // left.
  void CheckCalls();
  void CheckIdle();

 private:
  class Observer;

  struct PendingCall {
    std::uint64_t submission = 0;
    TimePoint due;
    Duration answer_timeout{0};
    Respond respond;
    bool is_forwarded = false;
  };

  void Perform(AnswerCall& action);
  void Perform(StartAttempt& action);
  void Perform(const AbandonAttempt& action);
  void Perform(ForwardCall& action);
  void Perform(const ClaimKey& action);
  void Perform(const DrainFinished& action);
  void Claim(const ClaimKey& action, int attempts);
  void FailForward(std::uint64_t call, const JobId& id);
  // Fails the run if more placements were repeated than the budget allows.
  void CheckRetryBudget(const StartAttempt& start);
  void Answer(std::uint64_t call, const CallAnswer& answer);
  void ExitIfDrained();
  void EndProcess();
  void RunEvery(Duration period, void (Entry::*poll)());
  void PollHead();
  void PollInstances();
  void Exchange();
  void OfferStateTo(Entry& peer);
  void OnInstances(InstanceList list);
  void CommitChange(std::int64_t revision, std::uint64_t head_version);
  void ConfirmChange(const Configuration& change);
  void OnChangeApplied(const Configuration& change);
  // What is left to do, for messages.
  std::string Status() const;
  void ScheduleWakeup();
  void OnWakeup();

  Cluster& cluster_;
  std::string name_;
  int domain_;
  Address address_;
  std::unique_ptr<Observer> observer_;
  std::unique_ptr<Dispatcher> dispatcher_;
  // Grows with each process at this address.
  std::uint64_t generation_ = 0;
  bool is_paused_ = false;
  TimePoint paused_since_;
  TimePoint last_resumed_;
  std::vector<Scheduler::Callback> inbox_;
  std::map<std::uint64_t, PendingCall> calls_;
  std::uint64_t last_call_number_ = 0;
  std::uint64_t pending_forwards_ = 0;
  TimePoint started_at_;
  std::uint64_t initial_starts_ = 0;
  std::uint64_t retries_ = 0;
  bool has_drained_ = false;
  std::optional<TimePoint> wakeup_at_;
  TimePoint wakeup_window_start_;
  int wakeup_count_ = 0;
  TimePoint last_head_read_failure_;
  TimePoint last_list_read_failure_;
  std::uint64_t list_revision_ = 0;
  // Generations of upstreams that this process was shown as leaving.
  std::map<std::string, std::uint64_t> seen_leaving_;
};

}  // namespace jaypick::simulation

#endif  // JAYPICK_TESTS_SIMULATION_ENTRY_H_
