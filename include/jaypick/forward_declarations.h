// Forward declarations of the whole vocabulary of jaypick.
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
struct Fault;
struct Refusal;
struct CompleteAnswer;
struct RunningAnswer;
struct ReservedIds;
enum class RunState;
enum class Reason;

// Operators' configuration.
struct Service;
struct Needs;
struct Kind;
struct Share;
class Configuration;

// Instances.
struct Address;
struct Instance;
struct InstanceList;
enum class InstanceRole;
enum class InstanceState;

// Findings and where they come from.
struct SourceRegion;
struct Finding;

// Decisions.
class Dispatcher;
class DispatchObserver;
struct DispatcherOptions;

}  // namespace jaypick

#endif  // JAYPICK_FORWARD_DECLARATIONS_H_
