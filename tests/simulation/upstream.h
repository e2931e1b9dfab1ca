// Simulated upstream with slots, a backlog and faults.
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
  // Fails every task shortly after its start.
  kFailing,
  kSlow,
  // Runs tasks, but its responses never arrive.
  kSilent,
  // Sends invalid responses.
  kGarbage,
  kLate,
  // Sends responses twice.
  kDuplicating,
  // Delivers an older response, or one to another request, before the right
  // one.
  kMisdelivering,
  kRefusingBusy,
};
inline constexpr int kUpstreamModes = 9;

// Runs tasks as an upstream does, and reports the outcomes that an entry's
// upstream client would report.
class Upstream {
 public:
  // Delivers the outcome of an attempt to the entry that sent it.
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

  // Handles an arriving start request.
  void Receive(StartAttempt start, Report report);

  // Ends the process; its queued and running attempts are lost.
  void Kill();
  // Starts a new process in place of the old one.
  void Restart();
  // Marks the upstream as leaving. If `refuses`, it refuses new start requests
  // as `leaving`; otherwise it runs them, so that only the instance list keeps
  // entries from sending more.
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
  // Incremented when the process ends, so that attempts of an ended process do
  // not finish.
  std::uint64_t incarnation_ = 0;
  std::deque<PendingAttempt> backlog_;
  std::deque<PendingAttempt> running_;
  // The previous response, which `kMisdelivering` delivers before the current
  // one.
  std::optional<AttemptEnded> previous_response_;
};

}  // namespace jaypick::simulation

#endif  // JAYPICK_TESTS_SIMULATION_UPSTREAM_H_
