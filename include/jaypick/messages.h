// Messages into and out of the decision code.
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

// The upstream says that it did not run the task.
struct Refused {
  RefusalCause cause = RefusalCause::kBusy;
};

// No byte of the request was written.
struct NotSent {};

// The request was sent and no valid answer came.
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

// A caller wants `count` fresh ids.
struct ReserveIds {
  CallId call;
  std::string owner;
  std::uint32_t count = 1;
};

// A caller, or another entry on its behalf, submits a job.
struct SubmitJob {
  CallId call;
  JobRequest request;
  bool forwarded = false;
};

// A caller asks for a job's answer. With `wait` the call is held until the job
// has ended.
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

// The caller closed its connection; its job goes on.
struct CallClosed {
  CallId call;
};

// A forwarded call got no answer from the issuing entry.
struct ForwardFailed {
  CallId call;
  JobId id;
};

// An attempt ended.
struct AttemptEnded {
  AttemptId attempt;
  std::string upstream;
  AttemptOutcome outcome;
  // Tasks running or waiting at the upstream, if it reported them.
  std::optional<std::uint32_t> reported_load;
};

// The key is now claimed for the id that was proposed.
struct KeyClaimed {};

// The key had been claimed for another id before.
struct KeyAlreadyClaimed {
  JobId holder;
};

// The claim could not be settled.
struct KeyClaimFailed {};

struct KeyClaimSettled {
  CallId call;
  std::variant<KeyClaimed, KeyAlreadyClaimed, KeyClaimFailed> result;
};

// Somebody offers a configuration; it counts only if it is newer.
struct ConfigurationOffered {
  Configuration configuration;
};

// Somebody offers an instance list; it counts only if it is newer.
struct InstancesOffered {
  InstanceList list;
};

// The process shuts down: refuse new ids now and new jobs after `notice`.
struct DrainRequested {
  Duration notice{0};
};

// Time has passed.
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

// Answer a waiting call. Each call is answered exactly once.
struct AnswerCall {
  CallId call;
  CallAnswer answer;
};

// Start an attempt at an upstream.
struct StartAttempt {
  AttemptId attempt;
  std::string upstream;
  Address address;
  std::string service;
  std::string kind;
  // JSON text.
  std::string payload;
  // Time left until the job's deadline.
  Duration remaining{0};
};

// The attempt is no longer awaited: close its connection.
struct AbandonAttempt {
  AttemptId attempt;
  std::string upstream;
};

// Hand a call to the entry that issued its id and relay the answer. Without an
// answer, report `ForwardFailed`.
struct ForwardCall {
  CallId call;
  JobId id;
  Address address;
  std::variant<SubmitJob, QueryJob, CancelJob> message;
};

// Claim `key` of `owner` for `id` in the platform's service.
struct ClaimKey {
  CallId call;
  std::string owner;
  SubmissionKey key;
  JobId id;
};

// All jobs have ended and were answered after a drain request. Calls that were
// handed to other entries may still wait for their answers.
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
