// An upstream of the randomised run: slots, a backlog, and faults.
#ifndef JAYPICK_TESTS_SIMULATION_UPSTREAM_H_
#define JAYPICK_TESTS_SIMULATION_UPSTREAM_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>

#include "jaypick/instance.h"
#include "jaypick/messages.h"
#include "tests/simulation/invariant_checker.h"
#include "tests/simulation/scheduler.h"

namespace jaypick::simulation {

enum class UpstreamMode {
  kHealthy,
  // Fails every task it starts, at once.
  kFailing,
  kSlow,
  // Runs tasks but its answers never arrive.
  kSilent,
  // Answers are not valid, or carry another attempt id.
  kGarbage,
  kLate,
  // Answers arrive twice.
  kDuplicating,
  // An older or crossed answer arrives before the right one.
  kMisdelivering,
  kRefusingBusy,
};
inline constexpr int kUpstreamModes = 9;

// Runs tasks as an upstream does, and sends what its client would report.
class Upstream {
 public:
  // Takes what is reported about an attempt back to the entry that sent it.
  using Report = std::function<void(AttemptEnded)>;

  Upstream(Scheduler& scheduler,
           Random& random,
           InvariantChecker& checker,
           std::string name,
           std::uint32_t slots);

  const std::string& name() const { return name_; }
  bool is_up() const { return is_up_; }
  bool is_leaving() const { return is_leaving_; }
  UpstreamMode mode() const { return mode_; }
  void SetMode(UpstreamMode mode) { mode_ = mode; }

  // A start arrives.
  void Receive(StartAttempt start, Report report);

  // The process dies; attempts that it held are lost.
  void Kill();
  // A new process takes the place of the old one.
  void Restart();
  // With `refuses`, new starts are answered with `leaving`. Otherwise they run,
  // so that only the instance list keeps entries from sending them.
  void Leave(bool refuses);

 private:
  struct PendingAttempt {
    StartAttempt start;
    Report report;
    TimePoint deadline;
  };

  void StartQueuedAttempts();
  void RunAttempt(PendingAttempt pending);
  void Finish(const PendingAttempt& pending);
  void SendOutcome(const PendingAttempt& pending, AttemptOutcome outcome);
  AttemptEnded MakeAttemptEnded(const PendingAttempt& pending,
                                AttemptOutcome outcome) const;
  Duration RunTimeOf(const StartAttempt& start);

  Scheduler& scheduler_;
  Random& random_;
  InvariantChecker& checker_;
  std::string name_;
  std::uint32_t slots_;
  bool is_up_ = true;
  bool is_leaving_ = false;
  bool refuses_as_leaving_ = false;
  UpstreamMode mode_ = UpstreamMode::kHealthy;
  // Grows with each process, so that a dead process finishes nothing.
  std::uint64_t incarnation_ = 0;
  std::deque<PendingAttempt> backlog_;
  std::deque<PendingAttempt> running_;
  // Another answer of this upstream, to be crossed with.
  std::optional<AttemptEnded> previous_answer_;
};

}  // namespace jaypick::simulation

#endif  // JAYPICK_TESTS_SIMULATION_UPSTREAM_H_
