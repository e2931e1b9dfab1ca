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

// Time between two exchanges of one entry with a peer.
constexpr Duration kExchangeInterval = std::chrono::seconds(2);

// Ids that an entry keeps in reserve, and how many it takes at once.
constexpr std::uint32_t kReserved = 1000;

struct SimulationEvent {
  enum class Type { kSubmit, kStart, kFinish, kAnswer, kWake, kCancel };

  Type type = Type::kSubmit;
  // Job, attempt or entry, by type.
  std::uint32_t number = 0;
};
using Type = SimulationEvent::Type;

// An attempt between its start and the delivery of its outcome.
struct Attempt {
  std::uint32_t entry = 0;
  std::uint32_t upstream = 0;
  AttemptId id;
  Duration run_time{0};
  AttemptOutcome outcome;
  std::optional<std::uint32_t> reported_load;
};

class Counter : public DispatchObserver {
 public:
  explicit Counter(Outcome& outcome) : outcome_(outcome) {}

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
  // By owner.
  std::vector<std::vector<JobId>> reserved;
  // Earliest wake-up in the heap.
  std::optional<TimePoint> wake;
  // In-flight attempts by upstream, and the most there ever were: each needed a
  // connection of its own.
  std::vector<std::uint32_t> in_flight;
  std::vector<std::uint32_t> connections;
};

class Simulation {
 public:
  Simulation(const SimulationOptions& options, const std::vector<JobPlan>& jobs)
      : options_(options), jobs_(jobs), counter_(outcome_) {
    outcome_.jobs.resize(jobs.size());
    ids_.resize(jobs.size());
    AddUpstreams();
    for (std::uint32_t i = 0; i < options.entries; ++i) {
      AddEntry(i);
    }
    for (std::uint32_t i = 0; i < jobs.size(); ++i) {
      const TimePoint arrival(jobs[i].sent + options.message_delay);
      events_.Add(arrival, {.type = Type::kSubmit, .number = i});
      if (jobs[i].cancel_after) {
        events_.Add(arrival + *jobs[i].cancel_after,
                    {.type = Type::kCancel, .number = i});
      }
    }
  }

  Outcome Run() {
    while (!events_.is_empty()) {
      Dispatch(events_.Pop(now_));
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
      upstream_numbers_["upstream-" + std::to_string(i)] = i;
    }
  }

  void AddEntry(std::uint32_t number) {
    DispatcherOptions dispatcher = options_.dispatcher;
    dispatcher.entry = "entry-" + std::to_string(number);
    dispatcher.failure_domain = "ghent";
    dispatcher.incarnation = {number + 1};
    dispatcher.seed = options_.seed * 100 + number;
    dispatcher.observer = &counter_;
    Entry& entry = entries_.emplace_back();
    entry.dispatcher = std::make_unique<Dispatcher>(std::move(dispatcher));
    entry.reserved.resize(options_.shares.size());
    entry.in_flight.resize(options_.upstreams);
    entry.connections.resize(options_.upstreams);
    Send(number, ConfigurationOffered{SimulationConfiguration(options_)});
    Send(number, InstancesOffered{SimulationInstances(options_)});
  }

  void Dispatch(const SimulationEvent& event) {
    switch (event.type) {
      case Type::kSubmit:
        Submit(event.number);
        break;
      case Type::kStart:
        Start(event.number);
        break;
      case Type::kFinish:
        Finish(event.number);
        break;
      case Type::kAnswer:
        Answer(event.number);
        break;
      case Type::kWake:
        Wake(event.number);
        break;
      case Type::kCancel:
        Cancel(event.number);
        break;
    }
  }

  void Send(std::uint32_t number, Event event) {
    Entry& entry = entries_[number];
    Actions actions;
    const auto before = std::chrono::steady_clock::now();
    entry.dispatcher->Handle(now_, std::move(event), actions);
    const std::chrono::duration<double> spent =
        std::chrono::steady_clock::now() - before;
    outcome_.handle_seconds += spent.count();
    ++outcome_.handle_calls;
    for (Action& action : actions) {
      std::visit([&](auto& value) { Do(number, value); }, action);
    }
    const auto wake = entry.dispatcher->next_wakeup();
    if (wake && (!entry.wake || *wake < *entry.wake || *entry.wake <= now_)) {
      entry.wake = std::max(*wake, now_ + Duration(1));
      events_.Add(*entry.wake, {.type = Type::kWake, .number = number});
    }
  }

  void Wake(std::uint32_t number) {
    if (entries_[number].wake == now_) {
      entries_[number].wake.reset();
      Send(number, Tick{});
    }
  }

  void Submit(std::uint32_t number) {
    const JobPlan& job = jobs_[number];
    std::vector<JobId>& reserved = entries_[job.entry].reserved[job.owner];
    if (reserved.empty()) {
      Send(job.entry, ReserveIds{.call = {jobs_.size() + job.owner},
                                 .owner = OwnerName(job.owner),
                                 .count = kReserved});
    }
    ids_[number] = reserved.back();
    reserved.pop_back();
    JobRequest request{.identity = ids_[number],
                       .owner = OwnerName(job.owner),
                       .service = "fitting",
                       .kind = job.is_idempotent ? "match" : "book"};
    for (const Duration run_time : job.run_times) {
      request.tasks.push_back(std::to_string(run_time.count()));
    }
    Send(job.entry, SubmitJob{.call = {number}, .request = std::move(request)});
  }

  void Cancel(std::uint32_t number) {
    if (outcome_.jobs[number].end != JobEnd::kOpen) {
      return;
    }
    Send(jobs_[number].entry,
         CancelJob{.call = {jobs_.size()},
                   .id = ids_[number],
                   .owner = OwnerName(jobs_[number].owner)});
  }

  void Do(std::uint32_t number, AnswerCall& action) {
    if (auto* ids = std::get_if<ReservedIds>(&action.answer)) {
      const std::uint64_t owner = action.call.value - jobs_.size();
      entries_[number].reserved[owner] = std::move(ids->ids);
      return;
    }
    // The answer to a cancellation; the job's own call is answered as well.
    if (action.call.value >= jobs_.size()) {
      return;
    }
    JobResult& result = outcome_.jobs[action.call.value];
    const TimePoint sent(jobs_[action.call.value].sent);
    result.response = now_ + options_.message_delay - sent;
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

  void Do(std::uint32_t number, StartAttempt& action) {
    const AttemptNumber attempt = TakeAttempt();
    Attempt& record = attempts_[attempt];
    record.entry = number;
    record.upstream = upstream_numbers_.at(action.upstream);
    record.id = std::move(action.attempt);
    record.run_time = Duration(std::stoll(action.payload));
    Entry& entry = entries_[number];
    const std::uint32_t in_flight = ++entry.in_flight[record.upstream];
    entry.connections[record.upstream] =
        std::max(entry.connections[record.upstream], in_flight);
    events_.Add(now_ + options_.message_delay,
                {.type = Type::kStart, .number = attempt});
  }

  // Abandoned attempts run on at the upstream; their answers arrive and are
  // dropped by the dispatcher.
  void Do(std::uint32_t /*number*/, AbandonAttempt& /*action*/) {}
  void Do(std::uint32_t /*number*/, ForwardCall& /*action*/) {}
  void Do(std::uint32_t /*number*/, ClaimKey& /*action*/) {}
  void Do(std::uint32_t /*number*/, DrainFinished& /*action*/) {}

  AttemptNumber TakeAttempt() {
    if (free_attempts_.empty()) {
      attempts_.emplace_back();
      return static_cast<AttemptNumber>(attempts_.size() - 1);
    }
    const AttemptNumber attempt = free_attempts_.back();
    free_attempts_.pop_back();
    attempts_[attempt] = {};
    return attempt;
  }

  bool HasFault(std::uint32_t upstream) const {
    const auto& fault = options_.fault;
    return fault && upstream < fault->count && now_ >= TimePoint(fault->from) &&
           now_ < TimePoint(fault->until);
  }

  // The request arrives at the upstream.
  void Start(AttemptNumber number) {
    Attempt& attempt = attempts_[number];
    if (HasFault(attempt.upstream)) {
      const bool fails =
          options_.fault->fault == UpstreamFault::kFailsEverything;
      Deliver(number, fails ? AttemptOutcome(attempt::Failed{"fault"})
                            : AttemptOutcome(attempt::NotSent{}));
      return;
    }
    const FakeUpstream::Request request{
        .attempt = number, .run_time = attempt.run_time, .arrived = now_};
    switch (upstreams_[attempt.upstream].Arrive(request)) {
      case FakeUpstream::Admission::kRuns:
        Run(request);
        break;
      case FakeUpstream::Admission::kWaits:
        ++outcome_.waited_at_upstream;
        break;
      case FakeUpstream::Admission::kBusy:
        ++outcome_.refused_starts;
        Deliver(number, attempt::Refused{attempt::RefusalCause::kBusy});
        break;
    }
  }

  void Run(const FakeUpstream::Request& request) {
    const std::uint32_t upstream = attempts_[request.attempt].upstream;
    outcome_.upstream_wait += now_ - request.arrived;
    events_.Add(now_ + upstreams_[upstream].RunTimeOf(request.run_time),
                {.type = Type::kFinish, .number = request.attempt});
  }

  void Finish(AttemptNumber number) {
    if (const auto next = upstreams_[attempts_[number].upstream].Finish()) {
      Run(*next);
    }
    Deliver(number, attempt::Succeeded{"1"});
  }

  void Deliver(AttemptNumber number, AttemptOutcome outcome) {
    Attempt& attempt = attempts_[number];
    attempt.outcome = std::move(outcome);
    if (!std::holds_alternative<attempt::NotSent>(attempt.outcome)) {
      attempt.reported_load = upstreams_[attempt.upstream].load();
    }
    events_.Add(now_ + options_.message_delay,
                {.type = Type::kAnswer, .number = number});
  }

  void Answer(AttemptNumber number) {
    Attempt attempt = std::move(attempts_[number]);
    free_attempts_.push_back(number);
    --entries_[attempt.entry].in_flight[attempt.upstream];
    Send(
        attempt.entry,
        AttemptEnded{.attempt = std::move(attempt.id),
                     .upstream = "upstream-" + std::to_string(attempt.upstream),
                     .outcome = std::move(attempt.outcome),
                     .reported_load = attempt.reported_load});
  }

  const SimulationOptions& options_;
  const std::vector<JobPlan>& jobs_;
  Outcome outcome_;
  Counter counter_;
  std::vector<JobId> ids_;
  std::vector<Entry> entries_;
  std::vector<FakeUpstream> upstreams_;
  std::unordered_map<std::string, std::uint32_t> upstream_numbers_;
  std::vector<Attempt> attempts_;
  std::vector<AttemptNumber> free_attempts_;
  EventHeap<SimulationEvent> events_;
  TimePoint now_{std::chrono::microseconds(0)};
};

}  // namespace

Outcome Simulate(const SimulationOptions& options,
                 const std::vector<JobPlan>& jobs) {
  return Simulation(options, jobs).Run();
}

}  // namespace jaypick::bench
