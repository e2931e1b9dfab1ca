#include "daemon/job_api.h"

#include <algorithm>
#include <optional>
#include <string_view>
#include <utility>
#include <variant>

#include "daemon/api_request.h"
#include "daemon/api_response.h"
#include "daemon/raw_json.h"

namespace jaypick::daemon {
namespace {

using http::Method;
using http::Request;
using http::Responder;
using http::Response;

constexpr int kBadRequest = 400;
constexpr std::string_view kJobsPath = "/v1/jobs/";
constexpr std::string_view kCancelSuffix = "/cancel";
constexpr const char* kFaultsMessage = "the request has faults";

std::string EntryAndIncarnation(Kernel& kernel) {
  // A job id without its counter identifies an entry and its incarnation.
  const std::string id = ToString(JobId{.entry = kernel.settings().entry,
                                        .incarnation = kernel.incarnation(),
                                        .counter = 0});
  return id.substr(0, id.rfind('.'));
}

// Adds the dispatcher's field errors for fields that have no error yet. Its
// error for "/tasks" is left out, because it was given no tasks.
void MergeFieldErrors(std::vector<FieldError>& faults,
                      std::vector<FieldError> others) {
  for (FieldError& other : others) {
    const bool is_covered =
        other.json_pointer == "/tasks" ||
        std::ranges::any_of(faults, [&](const FieldError& fault) {
          return fault.json_pointer == other.json_pointer;
        });
    if (!is_covered) {
      faults.push_back(std::move(other));
    }
  }
}

RunState ParseRunState(std::string_view name) {
  for (const RunState state : {RunState::kNotRun, RunState::kFailed}) {
    if (ToString(state) == name) {
      return state;
    }
  }
  return RunState::kUnknown;
}

// The id in "/v1/jobs/<id><suffix>".
std::optional<JobId> IdInPath(std::string_view path, std::string_view suffix) {
  path.remove_prefix(kJobsPath.size());
  if (!path.ends_with(suffix)) {
    return std::nullopt;
  }
  path.remove_suffix(suffix.size());
  return ParseJobId(path);
}

}  // namespace

JobApi::JobApi(Kernel& kernel, http::Server& server, bool is_forwarded)
    : kernel_(kernel),
      is_forwarded_(is_forwarded),
      entry_(EntryAndIncarnation(kernel)) {
  using Member = void (JobApi::*)(const Request&, Responder);
  const auto handle = [&](Method method, std::string path, Member member) {
    server.Handle(method, std::move(path),
                  [this, member](const Request& request, Responder responder) {
                    (this->*member)(request, std::move(responder));
                  });
  };
  handle(Method::kPost, "/v1/ids", &JobApi::Reserve);
  handle(Method::kPost, "/v1/jobs", &JobApi::Submit);
  handle(Method::kGet, "/v1/jobs/", &JobApi::Query);
  handle(Method::kPost, "/v1/jobs/", &JobApi::Cancel);
  kernel.message_bus().Subscribe<AnswerCall>(
      [this](AnswerCall& message) { Answer(message); });
  kernel.message_bus().Subscribe<RelayResponse>(
      [this](RelayResponse& message) { Relay(message); });
}

void JobApi::Reserve(const Request& request, Responder responder) {
  auto read = ReadReserve(request.body);
  if (auto* const faults = std::get_if<std::vector<FieldError>>(&read)) {
    Refuse(responder, std::move(*faults), RunState::kNotRun);
    return;
  }
  auto& reserve = std::get<ReserveRequest>(read);
  const CallId call = OpenCall(std::move(responder), {});
  kernel_.message_bus().Send(Event(ReserveIds{.call = call,
                                              .owner = std::move(reserve.owner),
                                              .count = reserve.count}));
}

void JobApi::Submit(const Request& request, Responder responder) {
  SubmitRequest read = ReadSubmit(request.body);
  if (!read.faults.empty()) {
    MergeFieldErrors(
        read.faults,
        CheckNames(read.request, kernel_.dispatcher().configuration(),
                   kernel_.dispatcher().instances(),
                   kernel_.settings().failure_domain));
  }
  if (!read.has_identity) {
    // The request names no job, so no task can run for it.
    Refuse(responder, std::move(read.faults),
           read.is_readable ? RunState::kNotRun : RunState::kUnknown);
    return;
  }
  const CallId call = OpenCall(std::move(responder), std::move(read.faults));
  kernel_.message_bus().Send(Event(SubmitJob{.call = call,
                                             .request = std::move(read.request),
                                             .forwarded = is_forwarded_}));
}

void JobApi::Query(const Request& request, Responder responder) {
  const auto id = IdInPath(request.path, "");
  if (!id) {
    RefuseId(responder);
    return;
  }
  auto read = ReadQuery(request);
  if (auto* const faults = std::get_if<std::vector<FieldError>>(&read)) {
    Refuse(responder, std::move(*faults), RunState::kUnknown);
    return;
  }
  auto& query = std::get<QueryRequest>(read);
  const CallId call = OpenCall(std::move(responder), {});
  kernel_.message_bus().Send(Event(QueryJob{.call = call,
                                            .id = *id,
                                            .owner = std::move(query.owner),
                                            .wait = query.wait,
                                            .forwarded = is_forwarded_}));
}

void JobApi::Cancel(const Request& request, Responder responder) {
  const auto id = IdInPath(request.path, kCancelSuffix);
  if (!id) {
    RefuseId(responder);
    return;
  }
  auto read = ReadCancel(request.body);
  if (auto* const faults = std::get_if<std::vector<FieldError>>(&read)) {
    Refuse(responder, std::move(*faults), RunState::kUnknown);
    return;
  }
  const CallId call = OpenCall(std::move(responder), {});
  kernel_.message_bus().Send(
      Event(CancelJob{.call = call,
                      .id = *id,
                      .owner = std::get<std::string>(std::move(read)),
                      .forwarded = is_forwarded_}));
}

CallId JobApi::OpenCall(Responder responder, std::vector<FieldError> faults) {
  const CallId id = kernel_.NextCall();
  Call& call = calls_
                   .emplace(id.value, Call{.responder = std::move(responder),
                                           .faults = std::move(faults)})
                   .first->second;
  call.responder.OnClosed([this, id] {
    calls_.erase(id.value);
    kernel_.message_bus().Send(Event(CallClosed{.call = id}));
  });
  return id;
}

void JobApi::Answer(AnswerCall& message) {
  auto node = calls_.extract(message.call.value);
  if (node.empty()) {
    return;
  }
  Call& call = node.mapped();
  auto* const refusal = std::get_if<Refusal>(&message.answer);
  if (refusal != nullptr && !call.faults.empty()) {
    MergeFieldErrors(call.faults, std::move(refusal->faults));
    refusal->faults = std::move(call.faults);
    if (StatusOf(refusal->reason) == kBadRequest) {
      refusal->reason = RefusalReason::kBadRequest;
      refusal->message = kFaultsMessage;
    }
  }
  Send(call.responder, ToResponse(message.answer));
}

void JobApi::Relay(RelayResponse& message) {
  auto node = calls_.extract(message.call.value);
  if (node.empty()) {
    return;
  }
  Call& call = node.mapped();
  if (call.faults.empty() || message.response.status != kBadRequest) {
    call.responder.Send(std::move(message.response));
    return;
  }
  // The request was forwarded without its tasks because of its field errors,
  // which only this entry knows.
  Refusal refusal{.id = std::nullopt,
                  .run = RunState::kUnknown,
                  .reason = RefusalReason::kBadRequest,
                  .message = kFaultsMessage,
                  .retry_after = std::nullopt,
                  .faults = std::move(call.faults),
                  .next_ids = {}};
  const auto read = ReadMembers(message.response.body);
  if (const auto* const members = std::get_if<RawMembers>(&read)) {
    const RawMember* const run = FindMember(*members, "run");
    refusal.run = ParseRunState(run == nullptr ? "" : run->text);
  }
  Send(call.responder, ToResponse(refusal));
}

void JobApi::Send(Responder& responder, Response response) const {
  response.headers.push_back({.name = kEntryHeader, .value = entry_});
  responder.Send(std::move(response));
}

void JobApi::Refuse(Responder& responder,
                    std::vector<FieldError> faults,
                    RunState run) const {
  const Refusal refusal{.id = std::nullopt,
                        .run = run,
                        .reason = RefusalReason::kBadRequest,
                        .message = kFaultsMessage,
                        .retry_after = std::nullopt,
                        .faults = std::move(faults),
                        .next_ids = {}};
  kernel_.metrics().OnRefused("", "", refusal);
  Send(responder, ToResponse(refusal));
}

void JobApi::RefuseId(Responder& responder) const {
  Send(responder, ToResponse(Refusal{.id = std::nullopt,
                                     .run = RunState::kNotRun,
                                     .reason = RefusalReason::kIdNeverIssued,
                                     .message = "no such id was ever issued",
                                     .retry_after = std::nullopt,
                                     .faults = {},
                                     .next_ids = {}}));
}

}  // namespace jaypick::daemon
