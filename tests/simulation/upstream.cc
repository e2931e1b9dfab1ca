#include "tests/simulation/upstream.h"

#include <utility>

namespace jaypick::simulation {
namespace {

constexpr std::size_t kBacklogLimit = 8;
constexpr int kSlowFactor = 12;
constexpr Duration kFailingRunTime = milliseconds(1);

}  // namespace

Upstream::Upstream(Scheduler& scheduler,
                   Random& random,
                   Witness& witness,
                   std::string name,
                   std::uint32_t slots)
    : scheduler_(scheduler),
      random_(random),
      witness_(witness),
      name_(std::move(name)),
      slots_(slots) {}

void Upstream::Receive(StartAttempt start, Report report) {
  using attempt::RefusalCause;
  const TimePoint deadline = scheduler_.now() + start.remaining;
  Held held{std::move(start), std::move(report), deadline};
  if (!is_up_) {
    held.report(Ended(held, attempt::NotSent()));
    return;
  }
  if (is_leaving_ && refuses_as_leaving_) {
    held.report(Ended(held, attempt::Refused{RefusalCause::kLeaving}));
    return;
  }
  if (mode_ == UpstreamMode::kRefusingBusy ||
      backlog_.size() >= kBacklogLimit) {
    Answer(held, attempt::Refused{RefusalCause::kBusy});
    return;
  }
  backlog_.push_back(std::move(held));
  RunNext();
}

void Upstream::Kill() {
  is_up_ = false;
  ++life_;
  for (std::deque<Held>* queue : {&running_, &backlog_}) {
    for (const Held& held : *queue) {
      // A worker that dies with its host sends no reset.
      if (random_.Chance(0.8)) {
        held.report(Ended(held, attempt::Lost{"reset"}));
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

void Upstream::RunNext() {
  while (running_.size() < slots_ && !backlog_.empty()) {
    Held held = std::move(backlog_.front());
    backlog_.pop_front();
    if (scheduler_.now() >= held.deadline) {
      Answer(held, attempt::Refused{attempt::RefusalCause::kDeadline});
      continue;
    }
    Run(std::move(held));
  }
}

void Upstream::Run(Held held) {
  witness_.OnTaskStarted(name_, held.start);
  const AttemptId id = held.start.attempt;
  const Duration run_time = RunTimeOf(held.start);
  running_.push_back(std::move(held));
  scheduler_.After(run_time, [this, id, life = life_] {
    if (life != life_) {
      return;
    }
    const auto it = std::ranges::find_if(running_, [&](const Held& candidate) {
      return candidate.start.attempt == id;
    });
    const Held finished = std::move(*it);
    running_.erase(it);
    Finish(finished);
    RunNext();
  });
}

void Upstream::Finish(const Held& held) {
  if (mode_ == UpstreamMode::kFailing || random_.Chance(0.002)) {
    Answer(held, attempt::Failed{"no stock"});
    return;
  }
  Answer(held, attempt::Succeeded{ResultOf(held.start.payload)});
}

void Upstream::Answer(const Held& held, AttemptOutcome outcome) {
  AttemptEnded ended = Ended(held, std::move(outcome));
  switch (mode_) {
    case UpstreamMode::kSilent:
      return;
    case UpstreamMode::kGarbage:
      ended.outcome = attempt::Lost{"not a valid answer"};
      break;
    case UpstreamMode::kLate:
      scheduler_.After(random_.Span(milliseconds(500), seconds(6)),
                       [report = held.report, ended] { report(ended); });
      return;
    case UpstreamMode::kDuplicating:
      held.report(ended);
      scheduler_.After(random_.Span(Duration(0), milliseconds(300)),
                       [report = held.report, ended] { report(ended); });
      return;
    case UpstreamMode::kCrossing: {
      AttemptEnded crossed = ended;
      crossed.upstream += "-crossed";
      crossed.outcome = attempt::Succeeded{"\"crossed\""};
      held.report(std::move(crossed));
      if (earlier_) {
        held.report(*earlier_);
      }
      break;
    }
    default:
      break;
  }
  earlier_ = ended;
  held.report(std::move(ended));
}

AttemptEnded Upstream::Ended(const Held& held, AttemptOutcome outcome) const {
  return {.attempt = held.start.attempt,
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
    run_time *= kSlowFactor;
  }
  return run_time;
}

}  // namespace jaypick::simulation
