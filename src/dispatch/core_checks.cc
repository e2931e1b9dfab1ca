// Checks of submissions before admission.
#include <algorithm>
#include <utility>

#include "dispatch/core.h"
#include "jaypick/internal/admission.h"

namespace jaypick {
namespace {

constexpr std::size_t kMaxKeyBytes = 256;

// Collects the errors of a request. The refusal has the reason of the error if
// there is only one, otherwise `bad_request`.
class ErrorList {
 public:
  void Add(std::string json_pointer,
           RefusalReason reason,
           std::string message) {
    reason_ = errors_.empty() ? reason : RefusalReason::kBadRequest;
    errors_.push_back({.json_pointer = std::move(json_pointer),
                       .message = std::move(message)});
  }

  std::optional<Refusal> ToRefusal() && {
    if (errors_.empty()) {
      return std::nullopt;
    }
    const std::string message =
        errors_.size() == 1
            ? errors_.front().message
            : std::to_string(errors_.size()) + " errors in the request";
    return Refusal{.run = RunState::kNotRun,
                   .reason = reason_,
                   .message = message,
                   .faults = std::move(errors_)};
  }

 private:
  std::vector<FieldError> errors_;
  RefusalReason reason_ = RefusalReason::kBadRequest;
};

void CheckLimits(const JobRequest& request,
                 std::uint32_t reserve_limit,
                 ErrorList& errors) {
  const auto* const key = std::get_if<SubmissionKey>(&request.identity);
  if (key != nullptr &&
      (key->value.empty() || key->value.size() > kMaxKeyBytes)) {
    errors.Add("/key", RefusalReason::kBadRequest, "a key has 1 to 256 bytes");
  }
  if (request.tasks.empty()) {
    errors.Add("/tasks", RefusalReason::kBadRequest,
               "a job has at least one task");
  }
  if (request.tasks.size() > kMaxTasksPerJob) {
    errors.Add("/tasks", RefusalReason::kBadRequest,
               "a job has at most 410 tasks");
  }
  if (request.timeout && *request.timeout <= Duration(0)) {
    errors.Add("/timeout_ms", RefusalReason::kBadRequest,
               "the deadline is in the past");
  }
  if (request.timeout && *request.timeout > kMaxJobTimeout) {
    errors.Add("/timeout_ms", RefusalReason::kBadRequest,
               "a timeout is at most 60000 ms");
  }
  if (request.reserve > reserve_limit) {
    errors.Add("/reserve", RefusalReason::kBadRequest,
               "at most " + std::to_string(reserve_limit) +
                   " ids can be reserved at once");
  }
}

}  // namespace

std::optional<Refusal> Dispatcher::Core::CheckEntry() const {
  if (!configuration_) {
    return Refusal{.run = RunState::kNotRun,
                   .reason = RefusalReason::kNoConfiguration,
                   .message = "this entry has no configuration yet"};
  }
  if (drain_ && now_ >= drain_->refuse_from) {
    return Refusal{.run = RunState::kNotRun,
                   .reason = RefusalReason::kDraining,
                   .message = "this entry is shutting down; use another entry"};
  }
  return std::nullopt;
}

std::optional<Refusal> Dispatcher::Core::CheckRequest(
    const JobRequest& request) const {
  ErrorList errors;
  CheckLimits(request, options_.reserve_limit, errors);
  const Kind* const kind =
      configuration_->FindKind(request.service, request.kind);
  if (kind == nullptr) {
    errors.Add("/kind", RefusalReason::kUnknownKind,
               "no service \"" + request.service + "\" with kind \"" +
                   request.kind + "\" is configured");
  }
  const Share* const share =
      configuration_->FindShare(request.service, request.owner);
  if (kind != nullptr && share == nullptr) {
    errors.Add("/owner", RefusalReason::kUnknownOwner,
               "the owner has no share of service \"" + request.service + "\"");
  }
  if (kind == nullptr && !configuration_->HasOwner(request.owner)) {
    errors.Add("/owner", RefusalReason::kUnknownOwner,
               "the owner has no share of any service");
  }
  const auto service =
      kind == nullptr ? std::nullopt : pool_.FindService(kind->service);
  // If the service has no upstream at all, the request is not at fault:
  // `CheckAdmissionOf` refuses it as `no_upstream`.
  if (service && pool_.IsOffered(*service, ResourceSpec()) &&
      !pool_.IsOffered(*service, kind->needs)) {
    errors.Add("/kind", RefusalReason::kNeedsNotOffered,
               "no upstream has what this kind needs");
  }
  return std::move(errors).ToRefusal();
}

std::optional<Refusal> Dispatcher::Core::CheckAdmissionOf(
    const Submission& submission,
    internal::KindNumber kind_number) {
  const internal::KindEntry& entry = catalogue_.entry(kind_number);
  const JobRequest& request = submission.request;
  if (!pool_.IsOffered(entry.service, entry.kind.needs)) {
    return Refusal{.run = RunState::kNotRun,
                   .reason = RefusalReason::kNoUpstream,
                   .message = "no upstream of this failure domain serves \"" +
                              request.service + "\"",
                   .retry_after = std::chrono::seconds(1)};
  }
  const Duration timeout = request.timeout.value_or(entry.kind.default_timeout);
  const Duration time_left = timeout - (now_ - submission.arrival);
  // The deadline can pass while a key claim is pending. `CheckAdmission` does
  // not check the time left until the kind's run time has been learned.
  if (time_left <= Duration(0)) {
    return Refusal{
        .run = RunState::kNotRun,
        .reason = RefusalReason::kDeadlineExceeded,
        .message = "the deadline passed before the job was admitted"};
  }
  const internal::OwnerNumber owner = catalogue_.InternOwner(request.owner);
  const internal::FairQueue& queue = QueueOf(entry.service);
  const internal::AdmissionInput input{
      .job_tasks = request.tasks.size(),
      .job_bytes = internal::PayloadBytes(request),
      .timeout = time_left,
      .mean_run_time = entry.run_time.mean(),
      .p99_run_time = entry.run_time.p99(),
      .entry_tasks = unfinished_tasks_,
      .queued_of_kind = queue.queued(owner, kind_number),
      .queue_limit = entry.kind.queue_limit,
      .owner_bytes = jobs_.active_bytes(owner),
      .owner_backlog = queue.Backlog(owner, task_cost_),
      .owner_slots =
          queue.EffectiveShare(owner) * pool_.UsableSlots(entry.service),
      .is_run_time_learned = entry.run_time.is_learned()};
  const auto refusal = CheckAdmission(options_.admission, input);
  if (!refusal) {
    return std::nullopt;
  }
  return Refusal{
      .run = RunState::kNotRun,
      .reason = refusal->reason,
      .message = "not admitted: " + std::string(ToString(refusal->reason)),
      .retry_after = refusal->retry_after};
}

}  // namespace jaypick
