#include "bench/simulation.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>

#include "bench/event_heap.h"

namespace jaypick::bench {
namespace {

// Interval at which an entry exchanges state with a peer.
constexpr Duration kExchangeInterval = std::chrono::seconds(2);

// Number of job ids that are reserved in one call, per entry and owner.
constexpr std::uint32_t kIdsPerReservation = 1000;

struct SimulationEvent {
  enum class Type { kSubmit, kStart, kFinish, kDeliverOutcome, kWake, kCancel };

  Type type = Type::kSubmit;
  // Index of the job (kSubmit, kCancel), attempt (kStart, kFinish,
  // kDeliverOutcome) or entry (kWake).
  std::uint32_t index = 0;
};
using Type = SimulationEvent::Type;

// An attempt that has been started and whose outcome has not been delivered
// yet.
struct Attempt {
  std::uint32_t entry = 0;
  std::uint32_t upstream = 0;
  AttemptId id;
  Duration run_time{0};
  AttemptOutcome outcome;
  std::optional<std::uint32_t> reported_load;
};

class CountingObserver : public DispatchObserver {
 public:
  explicit CountingObserver(Outcome& outcome) : outcome_(outcome) {}

  void OnStarted(std::string_view /*owner*/,
                 std::string_view /*kind*/,
                 std::string_view /*upstream*/,
                 std::uint32_t attempt) override {
    ++(attempt == 0 ? outcome_.first_starts : outcome_.repeated_starts);
  }
  void OnViolation(std::string_view /*invariant*/,
                   std::string_view /*detail*/) override {
    ++outcome_.violations;
  }

 private:
  Outcome& outcome_;
};

struct Entry {
  std::unique_ptr<Dispatcher> dispatcher;
  // Reserved job ids that are not in use yet, by owner.
  std::vector<std::vector<JobId>> reserved;
  // Time of the earliest pending wake-up event.
  std::optional<TimePoint> next_wakeup;
  // Attempts in flight by upstream, and their maximum so far. Each attempt in
  // flight needs its own connection, so the maximum is the number of
  // connections.
  std::vector<std::uint32_t> in_flight;
  std::vector<std::uint32_t> connections;
};

class Simulation {
 public:
  Simulation(const SimulationOptions& options, const std::vector<JobPlan>& jobs)
      : options_(options), jobs_(jobs), observer_(outcome_) {
    outcome_.jobs.resize(jobs.size());
    ids_.resize(jobs.size());
    AddUpstreams();
    for (std::uint32_t i = 0; i < options.entries; ++i) {
      AddEntry(i);
    }
    for (std::uint32_t i = 0; i < jobs.size(); ++i) {
      const TimePoint arrival(jobs[i].sent + options.message_delay);
      events_.Add(arrival, {.type = Type::kSubmit, .index = i});
      if (jobs[i].cancel_after) {
        events_.Add(arrival + *jobs[i].cancel_after,
                    {.type = Type::kCancel, .index = i});
      }
    }
  }

  Outcome Run() {
    while (!events_.is_empty()) {
      ProcessEvent(events_.Pop(now_));
    }
    const auto rounds =
        static_cast<std::uint64_t>(options_.length / kExchangeInterval);
    outcome_.exchanges = rounds * options_.entries;
    for (const Entry& entry : entries_) {
      for (const std::uint32_t connections : entry.connections) {
        outcome_.connections += connections;
      }
    }
    return std::move(outcome_);
  }

 private:
  void AddUpstreams() {
    for (std::uint32_t i = 0; i < options_.upstreams; ++i) {
      FakeUpstreamOptions upstream = options_.upstream;
      if (i < options_.slow_upstreams) {
        upstream.slow_factor = options_.slow_factor;
      }
      upstreams_.emplace_back(upstream);
      upstream_indices_["upstream-" + std::to_string(i)] = i;
    }
  }

  void AddEntry(std::uint32_t index) {
    DispatcherOptions dispatcher = options_.dispatcher;
    dispatcher.entry = "entry-" + std::to_string(index);
    dispatcher.failure_domain = "ghent";
    dispatcher.incarnation = {index + 1};
    dispatcher.seed = options_.seed * 100 + index;
    dispatcher.observer = &observer_;
    Entry& entry = entries_.emplace_back();
    entry.dispatcher = std::make_unique<Dispatcher>(std::move(dispatcher));
    entry.reserved.resize(options_.shares.size());
    entry.in_flight.resize(options_.upstreams);
    entry.connections.resize(options_.upstreams);
    SendToDispatcher(index,
                     ConfigurationOffered{SimulationConfiguration(options_)});
    SendToDispatcher(index, InstancesOffered{SimulationInstances(options_)});
  }

  void ProcessEvent(const SimulationEvent& event) {
    switch (event.type) {
      case Type::kSubmit:
        Submit(event.index);
        break;
      case Type::kStart:
        Start(event.index);
        break;
      case Type::kFinish:
        Finish(event.index);
        break;
      case Type::kDeliverOutcome:
        DeliverOutcome(event.index);
        break;
      case Type::kWake:
        Wake(event.index);
        break;
      case Type::kCancel:
        Cancel(event.index);
        break;
    }
  }

  void SendToDispatcher(std::uint32_t index, Event event) {
    Entry& entry = entries_[index];
    Actions actions;
    const auto before = std::chrono::steady_clock::now();
    entry.dispatcher->Handle(now_, std::move(event), actions);
    const std::chrono::duration<double> spent =
        std::chrono::steady_clock::now() - before;
    outcome_.handle_seconds += spent.count();
    ++outcome_.handle_calls;
    for (Action& action : actions) {
      std::visit([&](auto& value) { Execute(index, value); }, action);
    }
    const auto next_wakeup = entry.dispatcher->next_wakeup();
    if (next_wakeup &&
        (!entry.next_wakeup || *next_wakeup < *entry.next_wakeup ||
         *entry.next_wakeup <= now_)) {
      entry.next_wakeup = std::max(*next_wakeup, now_ + Duration(1));
      events_.Add(*entry.next_wakeup, {.type = Type::kWake, .index = index});
    }
  }

  void Wake(std::uint32_t index) {
    if (entries_[index].next_wakeup == now_) {
      entries_[index].next_wakeup.reset();
      SendToDispatcher(index, Tick{});
    }
  }

  void Submit(std::uint32_t index) {
    const JobPlan& job = jobs_[index];
    std::vector<JobId>& reserved = entries_[job.entry].reserved[job.owner];
    if (reserved.empty()) {
      SendToDispatcher(job.entry, ReserveIds{.call = {jobs_.size() + job.owner},
                                             .owner = OwnerName(job.owner),
                                             .count = kIdsPerReservation});
    }
    ids_[index] = reserved.back();
    reserved.pop_back();
    JobRequest request{.identity = ids_[index],
                       .owner = OwnerName(job.owner),
                       .service = "fitting",
                       .kind = job.is_idempotent ? "match" : "book"};
    for (const Duration run_time : job.run_times) {
      request.tasks.push_back(std::to_string(run_time.count()));
    }
    SendToDispatcher(job.entry,
                     SubmitJob{.call = {index}, .request = std::move(request)});
  }

  void Cancel(std::uint32_t index) {
    if (outcome_.jobs[index].end != JobEnd::kOpen) {
      return;
    }
    SendToDispatcher(jobs_[index].entry,
                     CancelJob{.call = {jobs_.size()},
                               .id = ids_[index],
                               .owner = OwnerName(jobs_[index].owner)});
  }

  void Execute(std::uint32_t index, AnswerCall& action) {
    if (auto* ids = std::get_if<ReservedIds>(&action.answer)) {
      const std::uint64_t owner = action.call.value - jobs_.size();
      entries_[index].reserved[owner] = std::move(ids->ids);
      return;
    }
    // This is the answer to a cancellation, which has no result of its own: the
    // call that submitted the job is answered separately.
    if (action.call.value >= jobs_.size()) {
      return;
    }
    JobResult& result = outcome_.jobs[action.call.value];
    const TimePoint sent(jobs_[action.call.value].sent);
    result.response_time = now_ + options_.message_delay - sent;
    result.end = EndOf(action.answer);
  }

  static JobEnd EndOf(const CallAnswer& answer) {
    const auto* refusal = std::get_if<Refusal>(&answer);
    if (refusal == nullptr) {
      return JobEnd::kComplete;
    }
    if (refusal->reason == RefusalReason::kCancelled) {
      return JobEnd::kCancelled;
    }
    return refusal->run == RunState::kNotRun &&
                   refusal->reason != RefusalReason::kDeadlineExceeded
               ? JobEnd::kRefused
               : JobEnd::kFailed;
  }

  void Execute(std::uint32_t index, StartAttempt& action) {
    const AttemptIndex attempt = AllocateAttempt();
    Attempt& record = attempts_[attempt];
    record.entry = index;
    record.upstream = upstream_indices_.at(action.upstream);
    record.id = std::move(action.attempt);
    record.run_time = Duration(std::stoll(action.payload));
    Entry& entry = entries_[index];
    const std::uint32_t in_flight = ++entry.in_flight[record.upstream];
    entry.connections[record.upstream] =
        std::max(entry.connections[record.upstream], in_flight);
    events_.Add(now_ + options_.message_delay,
                {.type = Type::kStart, .index = attempt});
  }

  // The upstream is not told of abandoned attempts: they run to their end, and
  // the dispatcher ignores their answers.
  void Execute(std::uint32_t /*index*/, AbandonAttempt& /*action*/) {}
  void Execute(std::uint32_t /*index*/, ForwardCall& /*action*/) {}
  void Execute(std::uint32_t /*index*/, ClaimKey& /*action*/) {}
  void Execute(std::uint32_t /*index*/, DrainFinished& /*action*/) {}

  AttemptIndex AllocateAttempt() {
    if (free_attempts_.empty()) {
      attempts_.emplace_back();
      return static_cast<AttemptIndex>(attempts_.size() - 1);
    }
    const AttemptIndex attempt = free_attempts_.back();
    free_attempts_.pop_back();
    attempts_[attempt] = {};
    return attempt;
  }

  bool HasFault(std::uint32_t upstream) const {
    const auto& fault = options_.fault;
    return fault && upstream < fault->count && now_ >= TimePoint(fault->from) &&
           now_ < TimePoint(fault->until);
  }

  // Handles the arrival of a start request at the upstream.
  void Start(AttemptIndex index) {
    Attempt& attempt = attempts_[index];
    if (HasFault(attempt.upstream)) {
      const bool fails =
          options_.fault->fault == UpstreamFault::kFailsEverything;
      ScheduleOutcome(index, fails ? AttemptOutcome(attempt::Failed{"fault"})
                                   : AttemptOutcome(attempt::NotSent{}));
      return;
    }
    const FakeUpstream::Request request{
        .attempt = index, .run_time = attempt.run_time, .arrived = now_};
    switch (upstreams_[attempt.upstream].Admit(request)) {
      case FakeUpstream::Admission::kStarted:
        Run(request);
        break;
      case FakeUpstream::Admission::kQueued:
        ++outcome_.waited_at_upstream;
        break;
      case FakeUpstream::Admission::kBusy:
        ++outcome_.refused_starts;
        ScheduleOutcome(index, attempt::Refused{attempt::RefusalCause::kBusy});
        break;
    }
  }

  void Run(const FakeUpstream::Request& request) {
    const std::uint32_t upstream = attempts_[request.attempt].upstream;
    outcome_.upstream_wait += now_ - request.arrived;
    events_.Add(now_ + upstreams_[upstream].ScaledRunTime(request.run_time),
                {.type = Type::kFinish, .index = request.attempt});
  }

  void Finish(AttemptIndex index) {
    if (const auto next = upstreams_[attempts_[index].upstream].Finish()) {
      Run(*next);
    }
    ScheduleOutcome(index, attempt::Succeeded{"1"});
  }

  void ScheduleOutcome(AttemptIndex index, AttemptOutcome outcome) {
    Attempt& attempt = attempts_[index];
    attempt.outcome = std::move(outcome);
    if (!std::holds_alternative<attempt::NotSent>(attempt.outcome)) {
      attempt.reported_load = upstreams_[attempt.upstream].load();
    }
    events_.Add(now_ + options_.message_delay,
                {.type = Type::kDeliverOutcome, .index = index});
  }

  void DeliverOutcome(AttemptIndex index) {
    Attempt attempt = std::move(attempts_[index]);
    free_attempts_.push_back(index);
    --entries_[attempt.entry].in_flight[attempt.upstream];
    SendToDispatcher(
        attempt.entry,
        AttemptEnded{.attempt = std::move(attempt.id),
                     .upstream = "upstream-" + std::to_string(attempt.upstream),
                     .outcome = std::move(attempt.outcome),
                     .reported_load = attempt.reported_load});
  }

  const SimulationOptions& options_;
  const std::vector<JobPlan>& jobs_;
  Outcome outcome_;
  CountingObserver observer_;
  std::vector<JobId> ids_;
  std::vector<Entry> entries_;
  std::vector<FakeUpstream> upstreams_;
  std::unordered_map<std::string, std::uint32_t> upstream_indices_;
  std::vector<Attempt> attempts_;
  std::vector<AttemptIndex> free_attempts_;
  EventHeap<SimulationEvent> events_;
  TimePoint now_{std::chrono::microseconds(0)};
};

}  // namespace

Outcome Simulate(const SimulationOptions& options,
                 const std::vector<JobPlan>& jobs) {
  return Simulation(options, jobs).Run();
}

}  // namespace jaypick::bench
