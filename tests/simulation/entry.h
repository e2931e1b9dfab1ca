// Simulated entry instance: a process that runs a `Dispatcher`.
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

// A call that arrives at an entry.
struct IncomingCall {
  CallMessage message;
  // Number of the submission that the call concerns; 0 for a reservation of
  // ids.
  std::uint64_t submission = 0;
  // The call must be answered within this time from its arrival.
  Duration answer_timeout{0};
  Respond respond;
};

// Performs the dispatcher's actions, polls the platform and exchanges state
// with its peers. Can be killed, paused and drained.
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
  // Times of the last failed reads of the head and of the instance list.
  TimePoint last_head_read_failure() const { return last_head_read_failure_; }
  TimePoint last_list_read_failure() const { return last_list_read_failure_; }

  // Starts a new process at the entry's address.
  void Start();
  void Kill();
  void Pause();
  void Resume();
  void Drain(Duration notice);

  // Runs `callback` in the process of `generation`: immediately, or on
  // resumption if the process is paused. Drops it if that process has exited.
  void Post(std::uint64_t generation, Scheduler::Callback callback);

  // Handles an arriving call. Returns its number, to be passed to `Close`.
  std::uint64_t Receive(IncomingCall call);
  void Close(std::uint64_t call);
  void Handle(Event event);

  // Changes the configuration through this entry, as an operator does.
  void ApplyChange();

  // Fails the run if a call is overdue.
  void CheckCalls();
  // Fails the run if, at the end, the entry is down, has unfinished work, or
  // differs in configuration from the first entry.
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
  // Fails the run if there were more retries than the retry budget allows.
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
  // Describes the unfinished work, for failure messages.
  std::string Status() const;
  void ScheduleWakeup();
  void OnWakeup();

  Cluster& cluster_;
  std::string name_;
  int domain_;
  Address address_;
  std::unique_ptr<Observer> observer_;
  std::unique_ptr<Dispatcher> dispatcher_;
  // Incremented for each process started at this address.
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
  // By name: the generations of upstreams that an instance list showed to this
  // process as leaving.
  std::map<std::string, std::uint64_t> seen_leaving_;
};

}  // namespace jaypick::simulation

#endif  // JAYPICK_TESTS_SIMULATION_ENTRY_H_
