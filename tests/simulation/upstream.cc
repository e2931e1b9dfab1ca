#include "tests/simulation/upstream.h"

#include <utility>

namespace jaypick::simulation {
namespace {

constexpr std::size_t kMaxBacklog = 8;
constexpr int kSlowRunTimeFactor = 12;
constexpr Duration kFailingRunTime = milliseconds(1);

}  // namespace

Upstream::Upstream(Scheduler& scheduler,
                   Random& random,
                   InvariantChecker& checker,
                   std::string name,
                   std::uint32_t slots)
    : scheduler_(scheduler),
      random_(random),
      checker_(checker),
      name_(std::move(name)),
      slots_(slots) {}

void Upstream::Receive(StartAttempt start, Report report) {
  using attempt::RefusalCause;
  const TimePoint deadline = scheduler_.now() + start.remaining;
  PendingAttempt pending{std::move(start), std::move(report), deadline};
  if (!is_up_) {
    pending.report(MakeAttemptEnded(pending, attempt::NotSent()));
    return;
  }
  if (is_leaving_ && refuses_as_leaving_) {
    pending.report(
        MakeAttemptEnded(pending, attempt::Refused{RefusalCause::kLeaving}));
    return;
  }
  if (mode_ == UpstreamMode::kRefusingBusy || backlog_.size() >= kMaxBacklog) {
    SendOutcome(pending, attempt::Refused{RefusalCause::kBusy});
    return;
  }
  backlog_.push_back(std::move(pending));
  StartQueuedAttempts();
}

void Upstream::Kill() {
  is_up_ = false;
  ++incarnation_;
  for (std::deque<PendingAttempt>* queue : {&running_, &backlog_}) {
    for (const PendingAttempt& pending : *queue) {
      // A worker whose host fails sends no connection reset.
      if (random_.Chance(0.8)) {
        pending.report(MakeAttemptEnded(pending, attempt::Lost{"reset"}));
      }
    }
    queue->clear();
  }
}

void Upstream::Restart() {
  is_up_ = true;
  is_leaving_ = false;
  refuses_as_leaving_ = false;
  mode_ = UpstreamMode::kHealthy;
}

void Upstream::Leave(bool refuses) {
  is_leaving_ = true;
  refuses_as_leaving_ = refuses;
}

void Upstream::StartQueuedAttempts() {
  while (running_.size() < slots_ && !backlog_.empty()) {
    PendingAttempt pending = std::move(backlog_.front());
    backlog_.pop_front();
    if (scheduler_.now() >= pending.deadline) {
      SendOutcome(pending, attempt::Refused{attempt::RefusalCause::kDeadline});
      continue;
    }
    RunAttempt(std::move(pending));
  }
}

void Upstream::RunAttempt(PendingAttempt pending) {
  checker_.OnTaskStarted(name_, pending.start);
  const AttemptId id = pending.start.attempt;
  const Duration run_time = RunTimeOf(pending.start);
  running_.push_back(std::move(pending));
  scheduler_.After(run_time, [this, id, incarnation = incarnation_] {
    if (incarnation != incarnation_) {
      return;
    }
    const auto it =
        std::ranges::find_if(running_, [&](const PendingAttempt& candidate) {
          return candidate.start.attempt == id;
        });
    const PendingAttempt finished = std::move(*it);
    running_.erase(it);
    Finish(finished);
    StartQueuedAttempts();
  });
}

void Upstream::Finish(const PendingAttempt& pending) {
  if (mode_ == UpstreamMode::kFailing || random_.Chance(0.002)) {
    SendOutcome(pending, attempt::Failed{"no stock"});
    return;
  }
  SendOutcome(pending, attempt::Succeeded{ResultOf(pending.start.payload)});
}

void Upstream::SendOutcome(const PendingAttempt& pending,
                           AttemptOutcome outcome) {
  AttemptEnded ended = MakeAttemptEnded(pending, std::move(outcome));
  switch (mode_) {
    case UpstreamMode::kSilent:
      return;
    case UpstreamMode::kGarbage:
      ended.outcome = attempt::Lost{"not a valid response"};
      break;
    case UpstreamMode::kLate:
      scheduler_.After(random_.Span(milliseconds(500), seconds(6)),
                       [report = pending.report, ended] { report(ended); });
      return;
    case UpstreamMode::kDuplicating:
      pending.report(ended);
      scheduler_.After(random_.Span(Duration(0), milliseconds(300)),
                       [report = pending.report, ended] { report(ended); });
      return;
    case UpstreamMode::kMisdelivering: {
      AttemptEnded misdelivered = ended;
      misdelivered.upstream += "-crossed";
      misdelivered.outcome = attempt::Succeeded{"\"crossed\""};
      pending.report(std::move(misdelivered));
      if (previous_response_) {
        pending.report(*previous_response_);
      }
      break;
    }
    default:
      break;
  }
  previous_response_ = ended;
  pending.report(std::move(ended));
}

AttemptEnded Upstream::MakeAttemptEnded(const PendingAttempt& pending,
                                        AttemptOutcome outcome) const {
  return {.attempt = pending.start.attempt,
          .upstream = name_,
          .outcome = std::move(outcome),
          .reported_load =
              static_cast<std::uint32_t>(running_.size() + backlog_.size())};
}

Duration Upstream::RunTimeOf(const StartAttempt& start) {
  if (mode_ == UpstreamMode::kFailing) {
    return kFailingRunTime;
  }
  const bool is_long = start.kind == "long";
  Duration run_time = is_long
                          ? random_.Span(seconds(1), seconds(4))
                          : random_.Span(milliseconds(20), milliseconds(300));
  if (mode_ == UpstreamMode::kSlow || random_.Chance(0.01)) {
    run_time *= kSlowRunTimeFactor;
  }
  return run_time;
}

}  // namespace jaypick::simulation
