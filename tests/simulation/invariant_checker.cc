#include "tests/simulation/invariant_checker.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace jaypick::simulation {
namespace {

// Number of events kept for the trace, and of those printed with a violation.
constexpr std::size_t kMaxEvents = 20'000;
constexpr std::size_t kMaxPrintedEvents = 40;
// Most attempts of one task that may start, as limited by `RetryOptions`.
constexpr std::uint32_t kMaxStarts = 4;

constexpr std::string_view kPayloadPrefix = "{\"submission\":";

}  // namespace

std::string ResultOf(std::string_view payload) {
  return std::to_string(std::hash<std::string_view>()(payload));
}

Submission& InvariantChecker::Add(JobRequest request,
                                  bool is_idempotent,
                                  std::size_t tasks) {
  Submission& added = submissions_.emplace_back();
  added.number = submissions_.size();
  added.request = std::move(request);
  added.is_idempotent = is_idempotent;
  added.starts.resize(tasks);
  for (std::size_t task = 0; task < tasks; ++task) {
    added.request.tasks.push_back(std::string(kPayloadPrefix) +
                                  std::to_string(added.number) +
                                  ",\"task\":" + std::to_string(task) + "}");
  }
  return added;
}

std::uint64_t InvariantChecker::NumberOf(std::string_view payload) {
  std::uint64_t number = 0;
  if (payload.starts_with(kPayloadPrefix)) {
    payload.remove_prefix(kPayloadPrefix.size());
    std::from_chars(payload.data(), payload.data() + payload.size(), number);
  }
  return number;
}

void InvariantChecker::OnStartSent(std::string_view entry,
                                   const StartAttempt& start) {
  Submission& sent = submission(NumberOf(start.payload));
  Trace(sent.number, entry, "start sent", start.attempt.attempt);
  if (start.remaining <= Duration(0)) {
    Fail(sent.number, "task sent after its deadline");
  }
  const TimePoint deadline = scheduler_.now() + start.remaining;
  if (sent.deadline.value_or(deadline) != deadline) {
    Fail(sent.number, "deadline of a job changed");
  }
  sent.deadline = deadline;
  if (sent.job_id.value_or(start.attempt.job) != start.attempt.job) {
    Fail(sent.number, "submission runs under two job ids");
  }
  sent.job_id = start.attempt.job;
  if (sent.was_answered_not_run) {
    Fail(sent.number, "task sent after the answer not_run");
  }
  if (sent.was_answered_failed) {
    Fail(sent.number, "task sent after the answer failed");
  }
}

void InvariantChecker::OnTaskStarted(std::string_view upstream,
                                     const StartAttempt& start) {
  Submission& started = submission(NumberOf(start.payload));
  Trace(started.number, upstream, "task started", start.attempt.task);
  ++tasks_started_;
  started.has_started = true;
  const std::uint32_t task = start.attempt.task;
  std::vector<std::uint32_t>& starts = started.starts[task];
  if (!starts.empty() && !started.is_idempotent) {
    Fail(started.number, "task of a non-idempotent kind started twice");
  }
  // Each further start must be a new attempt of the same job under the same id.
  if (std::ranges::find(starts, start.attempt.attempt) != starts.end()) {
    Fail(started.number, "an attempt started twice");
  }
  starts.push_back(start.attempt.attempt);
  if (starts.size() > kMaxStarts) {
    Fail(started.number, "task started more often than the retry limit allows");
  }
  if (started.was_answered_not_run) {
    Fail(started.number, "a task started after the answer not_run");
  }
  if (started.was_answered_failed_by_issuer) {
    Fail(started.number, "a task started after the answer failed");
  }
  if (start.payload != started.request.tasks[task] ||
      start.kind != started.request.kind) {
    Fail(started.number, "a task started with another payload or kind");
  }
}

void InvariantChecker::OnAnswer(std::string_view entry,
                                std::uint64_t number,
                                const CallAnswer& answer) {
  Submission& answered = submission(number);
  if (const auto* complete = std::get_if<CompleteAnswer>(&answer)) {
    Trace(number, entry, "answered complete");
    CheckComplete(entry, answered, *complete);
  } else if (const auto* refusal = std::get_if<Refusal>(&answer)) {
    Trace(number, entry, ToString(refusal->reason).data(),
          static_cast<std::int64_t>(refusal->run));
    CheckRefusal(answered, *refusal);
  } else if (std::holds_alternative<RunningAnswer>(answer)) {
    Trace(number, entry, "answered running");
  } else {
    Fail(number, "submission answered with reserved ids");
  }
}

void InvariantChecker::CheckComplete(std::string_view entry,
                                     Submission& submission,
                                     const CompleteAnswer& answer) {
  ++completed_;
  const std::vector<std::string>& tasks = submission.request.tasks;
  if (answer.results.size() != tasks.size()) {
    Fail(submission.number, "number of results differs from number of tasks");
    return;
  }
  for (std::size_t task = 0; task < tasks.size(); ++task) {
    if (answer.results[task] != ResultOf(tasks[task])) {
      Fail(submission.number, "an answer has a wrong result");
    }
    if (submission.starts[task].empty()) {
      Fail(submission.number,
           "answer has a result for a task that never started");
    }
  }
  if (submission.completed_job_id.value_or(answer.id) != answer.id) {
    Fail(submission.number, "submission completed under two job ids");
  }
  submission.completed_job_id = answer.id;
  if (submission.was_answered_not_run) {
    Fail(submission.number, "complete after the answer not_run");
  }
  // An entry that was paused may relay an answer of an issuing process that has
  // exited since, so only an answer from the issuer itself is a violation.
  if (submission.was_answered_failed && entry == answer.id.entry) {
    Fail(submission.number, "complete after the answer failed");
  }
}

void InvariantChecker::CheckRefusal(Submission& submission,
                                    const Refusal& refusal) {
  ++refused_;
  if (refusal.run == RunState::kNotRun) {
    submission.was_answered_not_run = true;
    if (submission.has_started) {
      Fail(submission.number, "answer not_run after a task started");
    }
  }
  if (refusal.run == RunState::kFailed) {
    submission.was_answered_failed = true;
    submission.was_answered_failed_by_issuer |=
        refusal.reason != RefusalReason::kIssuerGone;
  }
  // A complete answer may become unavailable only when the issuing process
  // exits.
  if (refusal.run == RunState::kFailed && submission.completed_job_id &&
      refusal.reason != RefusalReason::kIssuerGone) {
    Fail(submission.number, "answer failed after a complete answer");
  }
}

void InvariantChecker::Trace(std::uint64_t submission,
                             std::string_view where,
                             const char* what,
                             std::int64_t detail) {
  if (events_.size() >= kMaxEvents) {
    events_.pop_front();
  }
  events_.push_back({.when = scheduler_.now(),
                     .step = scheduler_.step(),
                     .submission = submission,
                     .where = std::string(where),
                     .what = what,
                     .detail = detail});
}

void InvariantChecker::Fail(std::uint64_t submission, std::string what) {
  if (!violation_.empty()) {
    return;
  }
  violation_ = "step " + std::to_string(scheduler_.step()) + ", submission " +
               std::to_string(submission) + ": " + std::move(what);
  std::vector<const Event*> printed;
  std::size_t global_events = 0;
  for (auto it = events_.rbegin();
       it != events_.rend() && printed.size() < kMaxPrintedEvents; ++it) {
    const bool is_global =
        it->submission == 0 && ++global_events < kMaxPrintedEvents / 2;
    if (is_global || it->submission == submission) {
      printed.push_back(&*it);
    }
  }
  std::ranges::reverse(printed);
  for (const Event* event : printed) {
    violation_ += "\n  step " + std::to_string(event->step) + " at " +
                  std::to_string(event->when.time_since_epoch().count()) +
                  " us, " + event->where + ": " + event->what + " (" +
                  std::to_string(event->detail) + ")";
  }
}

void InvariantChecker::Fail(const JobId& id, std::string what) {
  const auto it =
      std::ranges::find_if(submissions_, [&](const Submission& candidate) {
        return candidate.job_id == id ||
               candidate.request.identity == SubmissionIdentity(id);
      });
  Fail(it == submissions_.end() ? 0 : it->number, std::move(what));
}

}  // namespace jaypick::simulation
