#include "tests/simulation/entry.h"

#include <algorithm>
#include <utility>

#include "tests/simulation/call_store.h"

namespace jaypick::simulation {
namespace {

constexpr Duration kPollPeriod = seconds(1);
constexpr Duration kExchangePeriod = seconds(2);
// More wakeups than this within the window count as a busy loop.
constexpr int kMaxWakeups = 5000;
constexpr Duration kWakeupWindow = milliseconds(100);
// Longest time that jobs, key claims and forwarded calls may take to finish
// after the notice of a drain.
constexpr Duration kDrainLimit = seconds(45);

}  // namespace

// Fails the run on violations that the dispatcher's own checks report.
class Entry::Observer : public DispatchObserver {
 public:
  explicit Observer(Cluster& cluster) : cluster_(cluster) {}

  void OnViolation(std::string_view invariant,
                   std::string_view detail) override {
    if (!cluster_.options.uses_program_checks) {
      return;
    }
    const std::string what =
        "program: " + std::string(invariant) + ": " + std::string(detail);
    if (const auto id = ParseJobId(detail)) {
      cluster_.checker.Fail(*id, what);
    } else {
      cluster_.checker.Fail(0, what);
    }
  }

 private:
  Cluster& cluster_;
};

Entry::Entry(Cluster& cluster, std::string name, int domain, std::uint16_t port)
    : cluster_(cluster),
      name_(std::move(name)),
      domain_(domain),
      address_{.host = "127.0.0.1", .port = port},
      observer_(std::make_unique<Observer>(cluster)) {}

Entry::~Entry() = default;

void Entry::Start() {
  ++generation_;
  Random& random = cluster_.random;
  const PlacementPolicy policies[] = {
      RandomPlacement(), RoundRobinPlacement(), LeastOutstandingPlacement(),
      TwoChoicesPlacement(), ReportedLoadPlacement()};
  cluster_.checker.Trace(0, name_, "process starts",
                         static_cast<std::int64_t>(generation_));
  dispatcher_ = std::make_unique<Dispatcher>(DispatcherOptions{
      .entry = name_,
      .failure_domain = DomainName(domain_),
      .incarnation = {random.Next()},
      .seed = random.Next(),
      .placement = {.policy = random.Pick(policies)},
      .reserve_limit = 100,
      .id_window = static_cast<std::size_t>(random.Between(300, 5000)),
      .answer_retention = random.Span(seconds(1), seconds(60)),
      .answer_bytes_limit =
          static_cast<std::size_t>(random.Between(2'000, 1'000'000)),
      .observer = observer_.get(),
      .mutant = cluster_.options.mutant});
  has_drained_ = false;
  pending_forwards_ = 0;
  started_at_ = cluster_.scheduler.now();
  initial_starts_ = retries_ = 0;
  list_revision_ = 0;
  wakeup_at_.reset();
  last_head_read_failure_ = last_list_read_failure_ = cluster_.scheduler.now();
  cluster_.PublishInstances();
  RunEvery(kPollPeriod, &Entry::PollHead);
  RunEvery(kPollPeriod, &Entry::PollInstances);
  RunEvery(kExchangePeriod, &Entry::Exchange);
}

void Entry::Kill() {
  cluster_.checker.Trace(0, name_, "process ends");
  EndProcess();
}

void Entry::EndProcess() {
  ++generation_;
  dispatcher_.reset();
  is_paused_ = false;
  inbox_.clear();
  calls_.clear();
  seen_leaving_.clear();
}

void Entry::Pause() {
  is_paused_ = true;
  paused_since_ = cluster_.scheduler.now();
  cluster_.checker.Trace(0, name_, "paused");
}

void Entry::Resume() {
  is_paused_ = false;
  cluster_.checker.Trace(0, name_, "resumed");
  last_resumed_ = cluster_.scheduler.now();
  last_head_read_failure_ = last_list_read_failure_ = last_resumed_;
  for (auto& [number, call] : calls_) {
    call.due += last_resumed_ - paused_since_;
  }
  std::vector<Scheduler::Callback> waiting;
  waiting.swap(inbox_);
  const std::uint64_t generation = generation_;
  for (Scheduler::Callback& callback : waiting) {
    Post(generation, std::move(callback));
  }
}

void Entry::Drain(Duration notice) {
  cluster_.checker.Trace(0, name_, "drains");
  Handle(DrainRequested{.notice = notice});
  cluster_.PublishInstances();
  const TimePoint began = cluster_.scheduler.now();
  cluster_.scheduler.After(
      notice + kDrainLimit, [this, generation = generation_, began] {
        const bool was_paused = is_paused_ || last_resumed_ > began;
        if (generation == generation_ && is_up() && !was_paused) {
          cluster_.checker.Fail(0, "drain does not finish at " + Status());
        }
      });
}

void Entry::Post(std::uint64_t generation, Scheduler::Callback callback) {
  if (generation != generation_ || !is_up()) {
    return;
  }
  if (is_paused_) {
    inbox_.push_back(std::move(callback));
    return;
  }
  callback();
}

std::uint64_t Entry::Receive(IncomingCall call) {
  const std::uint64_t number = ++last_call_number_;
  calls_[number] = {.submission = call.submission,
                    .due = cluster_.scheduler.now() + call.answer_timeout,
                    .answer_timeout = call.answer_timeout,
                    .respond = std::move(call.respond)};
  if (call.submission != 0) {
    cluster_.checker.Trace(call.submission, name_, "call received",
                           static_cast<std::int64_t>(call.message.index()));
  }
  std::visit(
      [&](auto& message) {
        message.call = {number};
        Handle(std::move(message));
      },
      call.message);
  return number;
}

void Entry::Close(std::uint64_t call) {
  const auto it = calls_.find(call);
  if (it != calls_.end() && !it->second.is_forwarded) {
    cluster_.checker.Trace(it->second.submission, name_, "call closed");
    // The dispatcher handles due timers first and may still answer the call in
    // this step, so the call is erased only afterwards.
    Handle(CallClosed{.call = {call}});
    calls_.erase(call);
  }
}

void Entry::Handle(Event event) {
  const auto version = [this] {
    const Configuration* const in_force = dispatcher_->configuration();
    return in_force == nullptr ? 0 : in_force->version();
  };
  const std::uint64_t old_version = version();
  Actions actions;
  dispatcher_->Handle(cluster_.scheduler.now(), std::move(event), actions);
  if (version() < old_version) {
    cluster_.checker.Fail(
        0, "configuration of " + name_ + " reverted to an older version");
  }
  const std::uint64_t generation = generation_;
  for (Action& action : actions) {
    if (generation == generation_) {
      std::visit([this](auto& value) { Perform(value); }, action);
    }
  }
  if (generation == generation_) {
    ScheduleWakeup();
  }
}

void Entry::Perform(AnswerCall& action) {
  Answer(action.call.value, action.answer);
}

void Entry::Answer(std::uint64_t call, const CallAnswer& answer) {
  const auto it = calls_.find(call);
  if (it == calls_.end()) {
    const auto* const refusal = std::get_if<Refusal>(&answer);
    cluster_.checker.Fail(
        0, "answer to a call that is not open at " + name_ + ": " +
               std::string(refusal == nullptr ? "no refusal"
                                              : ToString(refusal->reason)));
    return;
  }
  const PendingCall pending = std::move(it->second);
  calls_.erase(it);
  if (cluster_.scheduler.now() > pending.due) {
    cluster_.checker.Fail(pending.submission,
                          "call answered after its timeout");
  }
  if (pending.submission != 0) {
    cluster_.checker.OnAnswer(name_, pending.submission, answer);
  }
  pending.respond(answer);
}

void Entry::Perform(StartAttempt& action) {
  cluster_.checker.OnStartSent(name_, action);
  CheckRetryBudget(action);
  if (seen_leaving_.contains(action.upstream)) {
    cluster_.checker.Fail(action.attempt.job,
                          "task sent to an upstream known to be leaving");
  }
  cluster_.Send(domain_, domain_,
                [this, generation = generation_, start = std::move(action)] {
                  cluster_.ReceiveStart(*this, generation, start);
                });
}

void Entry::CheckRetryBudget(const StartAttempt& start) {
  ++(start.attempt.attempt == 0 ? initial_starts_ : retries_);
  const DispatcherOptions& options = dispatcher_->options();
  const std::chrono::duration<double> age =
      cluster_.scheduler.now() - started_at_;
  const double allowed =
      options.retry.burst +
      options.retry.ratio * static_cast<double>(initial_starts_) +
      options.retries_per_second_floor * age.count() + 1;
  if (static_cast<double>(retries_) > allowed) {
    cluster_.checker.Fail(start.attempt.job,
                          "more retries than the budget allows");
  }
}

// Does nothing: an upstream may still respond to an abandoned attempt.
void Entry::Perform(const AbandonAttempt& /*action*/) {}

void Entry::Perform(ForwardCall& action) {
  const std::uint64_t number = action.call.value;
  const auto it = calls_.find(number);
  if (it == calls_.end()) {
    cluster_.checker.Fail(0, "call forwarded that is not open");
    return;
  }
  PendingCall& pending = it->second;
  pending.is_forwarded = true;
  ++pending_forwards_;
  cluster_.checker.Trace(pending.submission, name_, "call forwarded",
                         action.address.port);
  Entry& target = cluster_.EntryAt(action.address.port);
  const auto to_self = [this, generation =
                                  generation_](Scheduler::Callback callback) {
    Post(generation, std::move(callback));
  };
  IncomingCall call{.submission = pending.submission,
                    .answer_timeout = pending.answer_timeout};
  std::visit([&](auto& message) { call.message = std::move(message); },
             action.message);
  call.respond = [this, &target, number, to_self](const CallAnswer& answer) {
    cluster_.Send(target.domain(), domain_, [this, number, answer, to_self] {
      to_self([this, number, answer] {
        if (calls_.contains(number)) {
          --pending_forwards_;
          Answer(number, answer);
          ExitIfDrained();
        }
      });
    });
  };
  const auto fail = [this, to_self, number, id = action.id] {
    to_self([this, number, id] { FailForward(number, id); });
  };
  // The issuing entry must answer within the answer timeout of the call; the
  // 500 ms allow for message delays.
  cluster_.scheduler.After(pending.answer_timeout + milliseconds(500), fail);
  pending.due += pending.answer_timeout;
  cluster_.Send(domain_, target.domain(), [this, &target, call, fail] {
    if (!target.is_up()) {
      cluster_.Send(target.domain(), domain_, fail);
      return;
    }
    target.Post(target.generation(), [&target, call] { target.Receive(call); });
  });
}

void Entry::FailForward(std::uint64_t call, const JobId& id) {
  const auto it = calls_.find(call);
  if (it == calls_.end()) {
    return;
  }
  --pending_forwards_;
  it->second.is_forwarded = false;
  Handle(ForwardFailed{.call = {call}, .id = id});
  ExitIfDrained();
}

void Entry::Perform(const ClaimKey& action) {
  Claim(action, 3);
}

void Entry::Claim(const ClaimKey& action, int attempts) {
  const std::string name = action.owner + "/" + action.key.value;
  cluster_.CallStore<JobId>(
      *this,
      [name, id = action.id](Store& store) {
        return store.claims.emplace(name, id).first->second;
      },
      [this, action, attempts](const std::optional<JobId>& holder) {
        if (!holder && attempts > 1) {
          Claim(action, attempts - 1);
          return;
        }
        KeyClaimSettled settled{.call = action.call,
                                .result = KeyClaimFailed()};
        if (holder == action.id && !cluster_.random.Chance(0.1)) {
          settled.result = KeyClaimed();
        } else if (holder) {
          settled.result = KeyAlreadyClaimed{*holder};
        }
        Handle(std::move(settled));
      });
}

void Entry::Perform(const DrainFinished& /*action*/) {
  has_drained_ = true;
  ExitIfDrained();
}

void Entry::ExitIfDrained() {
  if (!is_up() || !has_drained_ || pending_forwards_ > 0) {
    return;
  }
  if (!calls_.empty()) {
    cluster_.checker.Fail(calls_.begin()->second.submission,
                          "drained entry exits with an unanswered call");
  }
  cluster_.checker.Trace(0, name_, "drained process exits");
  EndProcess();
  cluster_.scheduler.After(cluster_.random.Span(milliseconds(100), seconds(2)),
                           [this, generation = generation_] {
                             if (generation == generation_) {
                               Start();
                             }
                           });
}

void Entry::ScheduleWakeup() {
  const std::optional<TimePoint> next = dispatcher_->next_wakeup();
  const TimePoint now = cluster_.scheduler.now();
  if (!next) {
    return;
  }
  const TimePoint when = std::max(*next, now + Duration(1));
  if (wakeup_at_ && *wakeup_at_ > now && *wakeup_at_ <= when) {
    return;
  }
  wakeup_at_ = when;
  cluster_.scheduler.After(when - now, [this, generation = generation_] {
    Post(generation, [this] { OnWakeup(); });
  });
}

void Entry::OnWakeup() {
  const TimePoint now = cluster_.scheduler.now();
  if (wakeup_at_ && now < *wakeup_at_) {
    return;
  }
  if (now > wakeup_window_start_ + kWakeupWindow) {
    wakeup_window_start_ = now;
    wakeup_count_ = 0;
  }
  if (++wakeup_count_ > kMaxWakeups) {
    cluster_.checker.Fail(0, "busy loop: too many wakeups at " + name_);
  }
  Handle(Tick());
}

void Entry::CheckCalls() {
  if (!is_up() || is_paused_) {
    return;
  }
  for (const auto& [number, call] : calls_) {
    if (cluster_.scheduler.now() > call.due) {
      cluster_.checker.Fail(call.submission,
                            "call not answered in time at " + name_);
    }
  }
}

void Entry::CheckIdle() {
  if (!is_up()) {
    cluster_.checker.Fail(0, name_ + " is not running at the end of the run");
    return;
  }
  if (!calls_.empty()) {
    cluster_.checker.Fail(calls_.begin()->second.submission,
                          "call still open at the end of the run");
  }
  const Configuration* const in_force = dispatcher_->configuration();
  const Configuration* const first =
      cluster_.entries.front()->dispatcher().configuration();
  if (in_force == nullptr || first == nullptr || *in_force != *first) {
    cluster_.checker.Fail(0, "entries differ in configuration at the end");
  }
  if (dispatcher_->active_jobs() + dispatcher_->queued_tasks() +
          dispatcher_->running_tasks() >
      0) {
    cluster_.checker.Fail(0,
                          "unfinished jobs or tasks at the end at " + Status());
  }
}

std::string Entry::Status() const {
  return name_ + " (active jobs " + std::to_string(dispatcher_->active_jobs()) +
         ", queued " + std::to_string(dispatcher_->queued_tasks()) +
         ", running " + std::to_string(dispatcher_->running_tasks()) +
         ", calls " + std::to_string(calls_.size()) + ", forwards " +
         std::to_string(pending_forwards_) + ")";
}

}  // namespace jaypick::simulation
