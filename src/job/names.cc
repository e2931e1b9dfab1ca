#include "jaypick/job.h"
#include "jaypick/source_location.h"

namespace jaypick {

std::string_view ToString(RunState state) {
  switch (state) {
    case RunState::kNotRun:
      return "not_run";
    case RunState::kUnknown:
      return "unknown";
    case RunState::kFailed:
      return "failed";
  }
  return "unknown";
}

std::string_view ToString(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kBadRequest:
      return "bad_request";
    case RefusalReason::kUnknownKind:
      return "unknown_kind";
    case RefusalReason::kUnknownOwner:
      return "unknown_owner";
    case RefusalReason::kNeedsNotOffered:
      return "needs_not_offered";
    case RefusalReason::kIdNeverIssued:
      return "id_never_issued";
    case RefusalReason::kNotSubmitted:
      return "not_submitted";
    case RefusalReason::kIdExpired:
      return "id_expired";
    case RefusalReason::kIdClosed:
      return "id_closed";
    case RefusalReason::kIdReused:
      return "id_reused";
    case RefusalReason::kIssuerUnreachable:
      return "issuer_unreachable";
    case RefusalReason::kIssuerGone:
      return "issuer_gone";
    case RefusalReason::kKeyClaimUnavailable:
      return "key_claim_unavailable";
    case RefusalReason::kNoConfiguration:
      return "no_configuration";
    case RefusalReason::kNoUpstream:
      return "no_upstream";
    case RefusalReason::kQueueFull:
      return "queue_full";
    case RefusalReason::kOverloaded:
      return "overloaded";
    case RefusalReason::kDeadlineUnreachable:
      return "deadline_unreachable";
    case RefusalReason::kDeadlineExceeded:
      return "deadline_exceeded";
    case RefusalReason::kDraining:
      return "draining";
    case RefusalReason::kCancelled:
      return "cancelled";
    case RefusalReason::kTaskFailed:
      return "task_failed";
    case RefusalReason::kTaskOutcomeUnknown:
      return "task_outcome_unknown";
    case RefusalReason::kAnswerExpired:
      return "answer_expired";
  }
  return "bad_request";
}

}  // namespace jaypick
