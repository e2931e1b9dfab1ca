#include "schedule/messages.h"

namespace jaypick::schedule {
namespace {

struct OutcomeText {
  std::string operator()(const Completed&) const { return "completed"; }
  std::string operator()(const Refused& refused) const {
    return "refused:" + std::string(ToString(refused.reason));
  }
  std::string operator()(const Failed& failed) const {
    return "failed:" + std::string(ToString(failed.reason));
  }
};

}  // namespace

std::string Describe(const JobOutcome& outcome) {
  return std::visit(OutcomeText(), outcome);
}

std::string Describe(const std::vector<TraceEntry>& trace) {
  std::string text;
  for (const TraceEntry& entry : trace) {
    text += (text.empty() ? "" : "; ") +
            std::to_string(ToMilliseconds(entry.at)) + "ms " +
            std::string(entry.event) + " " + entry.detail;
  }
  return text;
}

std::string_view ToString(RunOutcome outcome) {
  switch (outcome) {
    case RunOutcome::kSucceeded:
      return "succeeded";
    case RunOutcome::kFailed:
      return "failed";
    case RunOutcome::kStopped:
      return "stopped";
    case RunOutcome::kLeaseExpired:
      return "lapsed";
    case RunOutcome::kStartUnconfirmed:
      return "start_unconfirmed";
    case RunOutcome::kUpstreamSilent:
      return "upstream_silent";
    case RunOutcome::kUpstreamLikelyCrashed:
      return "upstream_likely_crashed";
    case RunOutcome::kUpstreamCrashed:
      return "upstream_crashed";
    case RunOutcome::kTakenOver:
      return "taken_over";
    case RunOutcome::kNoRoom:
      return "no_room";
    case RunOutcome::kUnhealthy:
      return "unhealthy";
    case RunOutcome::kNotStarted:
      return "not_started";
  }
  return "unknown";
}

TaskId TaskOf(const RunId& run) {
  return {.job = run.job, .step = run.step, .index = run.index};
}

bool IsUpstreamLoss(RunOutcome outcome) {
  return outcome == RunOutcome::kStartUnconfirmed ||
         outcome == RunOutcome::kUpstreamSilent ||
         outcome == RunOutcome::kUpstreamLikelyCrashed ||
         outcome == RunOutcome::kUpstreamCrashed;
}

bool DidStart(RunOutcome outcome) {
  return outcome != RunOutcome::kNoRoom && outcome != RunOutcome::kUnhealthy &&
         outcome != RunOutcome::kNotStarted;
}

std::string_view ToString(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kOverloaded:
      return "overloaded";
    case RefusalReason::kTooLong:
      return "too_long";
    case RefusalReason::kNotOffered:
      return "not_offered";
    case RefusalReason::kNoUpstream:
      return "no_upstream";
    case RefusalReason::kDeadline:
      return "deadline";
    case RefusalReason::kTaskFailed:
      return "task_failed";
    case RefusalReason::kRunsLost:
      return "runs_lost";
    case RefusalReason::kAbandoned:
      return "abandoned";
    case RefusalReason::kCommandLost:
      return "command_lost";
    case RefusalReason::kEvacuated:
      return "evacuated";
    case RefusalReason::kTooLarge:
      return "too_large";
    case RefusalReason::kNoMemory:
      return "no_memory";
  }
  return "unknown";
}

}  // namespace jaypick::schedule
