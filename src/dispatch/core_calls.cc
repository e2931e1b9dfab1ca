// Calls from callers and calls forwarded by other entries.
#include <algorithm>
#include <utility>

#include "dispatch/core.h"

namespace jaypick {

namespace {

using internal::IdRecord;
using internal::IdState;
using internal::MissingIdReason;

Refusal MakeRefusal(RunState run, RefusalReason reason, std::string message) {
  return {.run = run, .reason = reason, .message = std::move(message)};
}

}  // namespace

void Dispatcher::Core::On(ReserveIds& message) {
  calls_.emplace(message.call.value, std::nullopt);
  if (auto refusal = CheckEntry()) {
    Refuse(message.call, *std::move(refusal));
    return;
  }
  if (is_draining()) {
    Refuse(message.call,
           MakeRefusal(
               RunState::kNotRun, RefusalReason::kDraining,
               "this entry is shutting down; reserve ids at another entry"));
    return;
  }
  if (!configuration_->HasOwner(message.owner)) {
    Refusal refusal =
        MakeRefusal(RunState::kNotRun, RefusalReason::kUnknownOwner,
                    "the owner has no share of any service");
    refusal.faults = {{.json_pointer = "/owner", .message = refusal.message}};
    Refuse(message.call, std::move(refusal));
    return;
  }
  auto ids = IssueIds(catalogue_.InternOwner(message.owner), message.count);
  if (ids.empty()) {
    Refuse(message.call,
           MakeRefusal(RunState::kNotRun, RefusalReason::kOverloaded,
                       "the id window is full, and the job of its oldest id "
                       "has not ended"));
    return;
  }
  Answer(message.call, ReservedIds{std::move(ids)});
}

void Dispatcher::Core::On(SubmitJob& message) {
  calls_.emplace(message.call.value, std::nullopt);
  Submission submission{.call = message.call,
                        .request = std::move(message.request),
                        .arrival = now_,
                        .forwarded = message.forwarded};
  const SubmissionIdentity identity = submission.request.identity;
  if (const auto* key = std::get_if<SubmissionKey>(&identity)) {
    SubmitUnderKey(std::move(submission), *key);
    return;
  }
  SubmitUnderId(std::move(submission), std::get<JobId>(identity));
}

template <typename Message>
const IdRecord* Dispatcher::Core::OpenCallAndFindRecord(
    const Message& message) {
  calls_.emplace(message.call.value, std::nullopt);
  if (!IsOwnId(message.id)) {
    ForwardToIssuer(message.call, message.id, message.forwarded, message);
    return nullptr;
  }
  return FindRecord(message.call, message.id, message.owner);
}

void Dispatcher::Core::On(QueryJob& message) {
  const IdRecord* const record = OpenCallAndFindRecord(message);
  if (record == nullptr) {
    return;
  }
  if (record->state == IdState::kActive && message.wait) {
    AddWaiter(*jobs_.Find(message.id.counter), message.call, 0);
    return;
  }
  AnswerFromRecord(message.call, message.id.counter, *record);
}

void Dispatcher::Core::On(CancelJob& message) {
  const IdRecord* const record = OpenCallAndFindRecord(message);
  if (record == nullptr) {
    return;
  }
  if (record->state == IdState::kActive) {
    // Answers can issue new ids, which may drop this record from the window, so
    // the answer is taken from the job.
    Job& job = *jobs_.Find(message.id.counter);
    FailJob(job, RefusalReason::kCancelled, "cancelled by the caller");
    AnswerJob(job, message.call, 0);
    return;
  }
  if (record->state == IdState::kReserved) {
    ids_.Close(message.id.counter, RunState::kNotRun,
               RefusalReason::kCancelled);
  }
  AnswerFromRecord(message.call, message.id.counter, *record);
}

void Dispatcher::Core::On(const CallClosed& message) {
  const auto it = calls_.find(message.call.value);
  if (it == calls_.end()) {
    return;
  }
  if (it->second) {
    if (Job* const job = jobs_.Find(*it->second)) {
      std::erase_if(job->waiters, [&](const internal::Waiter& waiter) {
        return waiter.call == message.call;
      });
    }
  }
  calls_.erase(it);
}

void Dispatcher::Core::On(const ForwardFailed& message) {
  calls_.emplace(message.call.value, std::nullopt);
  RefuseIssuerUnreachable(message.call, message.id);
}

void Dispatcher::Core::RefuseIssuerUnreachable(CallId call, const JobId& id) {
  Refusal refusal =
      MakeRefusal(RunState::kUnknown, RefusalReason::kIssuerUnreachable,
                  "the entry that issued the id cannot be reached");
  refusal.id = id;
  Refuse(call, std::move(refusal));
}

void Dispatcher::Core::SubmitUnderKey(Submission submission,
                                      const SubmissionKey& key) {
  // Until the claim is settled, a duplicate of the submission may have run at
  // another entry, so every refusal here has the run state `unknown`.
  auto refusal = CheckEntry();
  if (!refusal) {
    refusal = CheckRequest(submission.request);
  }
  if (!refusal && !claim_bucket_.TryTake(now_)) {
    refusal = MakeRefusal(
        RunState::kUnknown, RefusalReason::kKeyClaimUnavailable,
        "too many submissions by key; submit under reserved ids instead");
    refusal->retry_after = claim_bucket_.TimeUntilToken();
  }
  std::optional<std::uint64_t> counter;
  if (!refusal) {
    counter = ids_.Issue(catalogue_.InternOwner(submission.request.owner));
    if (!counter) {
      refusal = MakeRefusal(
          RunState::kUnknown, RefusalReason::kOverloaded,
          "the id window is full, and the job of its oldest id has not ended");
    }
  }
  if (refusal) {
    refusal->run = RunState::kUnknown;
    Refuse(submission.call, *std::move(refusal));
    return;
  }
  if (HasMutant(internal::Mutant::kStartWithoutClaim)) {
    SubmitUnderId(std::move(submission), IdOf(*counter));
    return;
  }
  observer_.OnKeyClaim();
  actions_->push_back(ClaimKey{.call = submission.call,
                               .owner = submission.request.owner,
                               .key = key,
                               .id = IdOf(*counter)});
  const std::uint64_t call = submission.call.value;
  claims_[call] = {.request = std::move(submission.request),
                   .counter = *counter,
                   .arrival = submission.arrival};
}

void Dispatcher::Core::On(const KeyClaimSettled& message) {
  const auto it = claims_.find(message.call.value);
  if (it == claims_.end()) {
    return;
  }
  PendingClaim claim = std::move(it->second);
  claims_.erase(it);
  Submission submission{.call = message.call,
                        .request = std::move(claim.request),
                        .arrival = claim.arrival};
  if (std::holds_alternative<KeyClaimed>(message.result)) {
    SubmitUnderId(std::move(submission), IdOf(claim.counter));
    return;
  }
  // A duplicate of the submission may have found this claim and submitted the
  // job under its id before the response to the claim arrived here.
  const IdRecord* const record = ids_.Find(claim.counter);
  const bool was_submitted =
      record != nullptr && record->state != IdState::kReserved;
  const auto* const existing = std::get_if<KeyAlreadyClaimed>(&message.result);
  const bool is_own =
      existing != nullptr && existing->holder == IdOf(claim.counter);
  if (was_submitted || is_own) {
    SubmitUnderId(std::move(submission), IdOf(claim.counter));
    return;
  }
  ids_.Close(claim.counter, RunState::kNotRun,
             RefusalReason::kKeyClaimUnavailable);
  if (existing != nullptr) {
    SubmitUnderId(std::move(submission), existing->holder);
    return;
  }
  Refuse(
      message.call,
      MakeRefusal(RunState::kUnknown, RefusalReason::kKeyClaimUnavailable,
                  "the key-value service did not confirm or reject the claim "
                  "of the key; submit again under the same key"));
}

void Dispatcher::Core::SubmitUnderId(Submission submission, const JobId& id) {
  submission.request.identity = id;
  if (!IsOwnId(id)) {
    ForwardToIssuer(submission.call, id, submission.forwarded,
                    SubmitJob{.call = submission.call,
                              .request = std::move(submission.request)});
    return;
  }
  const IdRecord* const record =
      FindRecord(submission.call, id, submission.request.owner);
  if (record == nullptr) {
    return;
  }
  const bool may_reopen = record->state == IdState::kClosed &&
                          jobs_.Find(id.counter) == nullptr &&
                          HasMutant(internal::Mutant::kReopenClosedId);
  if (record->state == IdState::kReserved || may_reopen) {
    SubmitReserved(std::move(submission), id.counter);
    return;
  }
  Resubmit(submission, id.counter, *record);
}

void Dispatcher::Core::SubmitReserved(Submission submission,
                                      std::uint64_t counter) {
  auto refusal = CheckEntry();
  if (!refusal) {
    refusal = CheckRequest(submission.request);
  }
  if (refusal) {
    CloseId(submission.call, counter, submission.request, *std::move(refusal));
    return;
  }
  const internal::KindNumber kind =
      *catalogue_.Find(submission.request.service, submission.request.kind);
  refusal = CheckAdmissionOf(submission, kind);
  if (refusal) {
    CloseId(submission.call, counter, submission.request, *std::move(refusal));
    return;
  }
  Admit(std::move(submission), counter, kind);
}

void Dispatcher::Core::Resubmit(const Submission& submission,
                                std::uint64_t counter,
                                const IdRecord& record) {
  Job* const job = jobs_.Find(counter);
  if (job != nullptr && job->digest != internal::DigestOf(submission.request)) {
    Refusal refusal = MakeRefusal(RunState::kUnknown, RefusalReason::kIdReused,
                                  "the id was used for another job");
    refusal.id = IdOf(counter);
    Refuse(submission.call, std::move(refusal));
    return;
  }
  if (record.state == IdState::kActive && submission.request.wait) {
    AddWaiter(*job, submission.call, submission.request.reserve);
    return;
  }
  if (job != nullptr) {
    AnswerJob(*job, submission.call, submission.request.reserve);
    return;
  }
  AnswerFromRecord(submission.call, counter, record);
}

const IdRecord* Dispatcher::Core::FindRecord(CallId call,
                                             const JobId& id,
                                             const std::string& owner) {
  const IdRecord* const record = ids_.Find(id.counter);
  std::optional<Refusal> refusal;
  if (record == nullptr) {
    const bool is_expired =
        ids_.MissingReasonOf(id.counter) == MissingIdReason::kExpired;
    refusal =
        is_expired
            ? MakeRefusal(
                  RunState::kUnknown, RefusalReason::kIdExpired,
                  "the id is older than the oldest record that the entry keeps")
            : MakeRefusal(RunState::kNotRun, RefusalReason::kIdNeverIssued,
                          "the entry never issued this id");
  } else if (record->owner != catalogue_.FindOwner(owner)) {
    // The id of another owner is refused like an unknown one, but with run
    // state `unknown`, because its job may have run.
    refusal = MakeRefusal(RunState::kUnknown, RefusalReason::kIdNeverIssued,
                          "the id was not issued to this owner");
  }
  if (!refusal) {
    return record;
  }
  refusal->id = id;
  Refuse(call, *std::move(refusal));
  return nullptr;
}

bool Dispatcher::Core::IsOwnId(const JobId& id) const {
  return id.entry == options_.entry &&
         (id.incarnation == options_.incarnation ||
          HasMutant(internal::Mutant::kIgnoreIncarnation));
}

void Dispatcher::Core::ForwardToIssuer(
    CallId call,
    const JobId& id,
    bool forwarded,
    std::variant<SubmitJob, QueryJob, CancelJob> message) {
  if (id.entry == options_.entry) {
    Refusal refusal = MakeRefusal(RunState::kFailed, RefusalReason::kIssuerGone,
                                  "the process that issued the id has ended");
    refusal.id = id;
    Refuse(call, std::move(refusal));
    return;
  }
  if (const auto entry_refusal = CheckEntry();
      entry_refusal && entry_refusal->reason == RefusalReason::kDraining) {
    // Under load, new forwarded calls would keep the drain from finishing.
    Refusal refusal = *entry_refusal;
    refusal.run = RunState::kUnknown;
    refusal.id = id;
    Refuse(call, std::move(refusal));
    return;
  }
  const Instance* const issuer = FindEntry(id.entry);
  if (forwarded || issuer == nullptr) {
    RefuseIssuerUnreachable(call, id);
    return;
  }
  if (calls_.erase(call.value) == 0) {
    // The caller closed its connection while the key claim was pending. The job
    // need not be forwarded: the issuing entry already has it.
    return;
  }
  observer_.OnForwarded();
  std::visit([](auto& call_message) { call_message.forwarded = true; },
             message);
  actions_->push_back(ForwardCall{.call = call,
                                  .id = id,
                                  .address = issuer->address,
                                  .message = std::move(message)});
}

void Dispatcher::Core::AnswerFromRecord(CallId call,
                                        std::uint64_t counter,
                                        const IdRecord& record) {
  if (Job* const job = jobs_.Find(counter)) {
    AnswerJob(*job, call, 0);
    return;
  }
  Refusal refusal;
  switch (record.state) {
    case IdState::kReserved:
      refusal = MakeRefusal(RunState::kUnknown, RefusalReason::kNotSubmitted,
                            "no job has been submitted under this id");
      break;
    case IdState::kActive:
      ReportViolation("an active id has a job", ToString(IdOf(counter)));
      break;
    case IdState::kComplete:
      refusal = MakeRefusal(RunState::kUnknown, RefusalReason::kAnswerExpired,
                            "the job completed, but its answer has expired");
      break;
    case IdState::kClosed:
      refusal = MakeRefusal(
          record.run, record.reason,
          "the id is closed: " + std::string(ToString(record.reason)));
      break;
  }
  refusal.id = IdOf(counter);
  Refuse(call, std::move(refusal));
}

}  // namespace jaypick
