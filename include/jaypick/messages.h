// Events that the dispatcher handles and actions that it returns.
#ifndef JAYPICK_MESSAGES_H_
#define JAYPICK_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "jaypick/configuration.h"
#include "jaypick/ids.h"
#include "jaypick/instance.h"
#include "jaypick/job.h"
#include "jaypick/time.h"

namespace jaypick {

// How an attempt ended.
namespace attempt {

// The upstream ran the task.
struct Succeeded {
  // JSON text.
  std::string result;
};

// The upstream ran the task, and it failed.
struct Failed {
  std::string message;
};

enum class RefusalCause { kBusy, kLeaving, kDeadline };

// The upstream refused the task and did not run it.
struct Refused {
  RefusalCause cause = RefusalCause::kBusy;
};

// No byte of the request was written.
struct NotSent {};

// The request was sent, but no valid response was received. The task may have
// run.
struct Lost {
  std::string cause;
};

}  // namespace attempt

using AttemptOutcome = std::variant<attempt::Succeeded,
                                    attempt::Failed,
                                    attempt::Refused,
                                    attempt::NotSent,
                                    attempt::Lost>;

// --- Events -----------------------------------------------------------------

// A caller requests `count` new ids.
struct ReserveIds {
  CallId call;
  std::string owner;
  std::uint32_t count = 1;
};

// A caller submits a job. `forwarded` is true if another entry forwarded the
// call.
struct SubmitJob {
  CallId call;
  JobRequest request;
  bool forwarded = false;
};

// A caller queries the answer of a job. If `wait` is true, the call is not
// answered before the job has ended.
struct QueryJob {
  CallId call;
  JobId id;
  std::string owner;
  bool wait = false;
  bool forwarded = false;
};

// A caller cancels a job.
struct CancelJob {
  CallId call;
  JobId id;
  std::string owner;
  bool forwarded = false;
};

// The caller closed its connection. Its job continues.
struct CallClosed {
  CallId call;
};

// No answer to a forwarded call was received from the issuing entry.
struct ForwardFailed {
  CallId call;
  JobId id;
};

// An attempt ended.
struct AttemptEnded {
  AttemptId attempt;
  std::string upstream;
  AttemptOutcome outcome;
  // Number of running and waiting tasks at the upstream, if it reported it.
  std::optional<std::uint32_t> reported_load;
};

// The key is now claimed for the proposed id.
struct KeyClaimed {};

// The key was already claimed for the id `holder`.
struct KeyAlreadyClaimed {
  JobId holder;
};

// It is unknown whether the key was claimed.
struct KeyClaimFailed {};

// Result of a `ClaimKey` action.
struct KeyClaimSettled {
  CallId call;
  std::variant<KeyClaimed, KeyAlreadyClaimed, KeyClaimFailed> result;
};

// A configuration was received. It is adopted only if it is newer than the
// current one.
struct ConfigurationOffered {
  Configuration configuration;
};

// An instance list was received. It is adopted only if it is newer than the
// current one.
struct InstancesOffered {
  InstanceList list;
};

// The process is shutting down: no new ids are issued from now on, and new jobs
// are refused after `notice`.
struct DrainRequested {
  Duration notice{0};
};

// Triggers timers that are due.
struct Tick {};

using Event = std::variant<ReserveIds,
                           SubmitJob,
                           QueryJob,
                           CancelJob,
                           CallClosed,
                           ForwardFailed,
                           AttemptEnded,
                           KeyClaimSettled,
                           ConfigurationOffered,
                           InstancesOffered,
                           DrainRequested,
                           Tick>;

// --- Actions ----------------------------------------------------------------

// Answers a waiting call. Each call is answered exactly once.
struct AnswerCall {
  CallId call;
  CallAnswer answer;
};

// Starts an attempt at an upstream.
struct StartAttempt {
  AttemptId attempt;
  std::string upstream;
  Address address;
  std::string service;
  std::string kind;
  // JSON text.
  std::string payload;
  // Remaining time until the job's deadline.
  Duration remaining{0};
};

// Abandons an attempt whose response is not needed any more: its connection is
// to be closed.
struct AbandonAttempt {
  AttemptId attempt;
  std::string upstream;
};

// Forwards a call to the entry that issued its id. The answer is to be relayed
// to the caller; if there is none, `ForwardFailed` is to be sent.
struct ForwardCall {
  CallId call;
  JobId id;
  Address address;
  std::variant<SubmitJob, QueryJob, CancelJob> message;
};

// Claims `key` of `owner` for `id` in the key-value service.
struct ClaimKey {
  CallId call;
  std::string owner;
  SubmissionKey key;
  JobId id;
};

// After a drain request, all jobs have ended and their calls were answered.
// Forwarded calls may still wait for answers of other entries.
struct DrainFinished {};

using Action = std::variant<AnswerCall,
                            StartAttempt,
                            AbandonAttempt,
                            ForwardCall,
                            ClaimKey,
                            DrainFinished>;
using Actions = std::vector<Action>;

}  // namespace jaypick

#endif  // JAYPICK_MESSAGES_H_
