// Forward declarations of the public types.
#ifndef JAYPICK_FORWARD_DECLARATIONS_H_
#define JAYPICK_FORWARD_DECLARATIONS_H_

namespace jaypick {

// Time.
struct RuntimeClock;

// Identity.
struct JobId;
struct AttemptId;
struct SubmissionKey;
struct Incarnation;

// Jobs and answers.
struct JobRequest;
struct FieldError;
struct Refusal;
struct CompleteAnswer;
struct RunningAnswer;
struct ReservedIds;
enum class RunState;
enum class RefusalReason;

// Operators' configuration.
struct Service;
struct ResourceSpec;
struct Kind;
struct Share;
class Configuration;

// Instances.
struct Address;
struct Instance;
struct InstanceList;
enum class InstanceRole;
enum class InstanceState;

// Findings and source locations.
struct SourceLocation;
struct Finding;

// Decisions.
class Dispatcher;
class DispatchObserver;
struct DispatcherOptions;

}  // namespace jaypick

#endif  // JAYPICK_FORWARD_DECLARATIONS_H_
