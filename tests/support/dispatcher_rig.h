// Test rig: a dispatcher with a small configuration and a manual clock.
#ifndef JAYPICK_TESTS_SUPPORT_DISPATCHER_RIG_H_
#define JAYPICK_TESTS_SUPPORT_DISPATCHER_RIG_H_

#include <cstdlib>
#include <iostream>
#include <string>
#include <utility>
#include <vector>

#include "jaypick/jaypick.h"

namespace jaypick::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Aborts the test when an invariant is violated.
class FatalObserver : public DispatchObserver {
 public:
  void OnViolation(std::string_view invariant,
                   std::string_view detail) override {
    std::cerr << "violation: " << invariant << ": " << detail << std::endl;
    std::abort();
  }
};

inline Configuration SmallConfiguration(std::uint64_t version = 1) {
  const auto kind = [](std::string name, bool idempotent) {
    return Kind{.service = "fitting",
                .name = std::move(name),
                .idempotent = idempotent,
                .default_timeout = seconds(5),
                .declared_run_time = milliseconds(100),
                .needs = {.cpus = 1, .memory_mb = 64},
                .queue_limit = 1000};
  };
  return Configuration(
      {.version = version, .digest = "d" + std::to_string(version)},
      {.services = {{.name = "fitting"}},
       .kinds = {kind("match-wig", true), kind("book-chair", false)},
       .shares = {{.service = "fitting", .owner = "ghent", .percent = 60},
                  {.service = "fitting", .owner = "antwerp", .percent = 40}}});
}

inline Instance MakeUpstream(int number,
                             InstanceState state = InstanceState::kLive) {
  return {.name = "u" + std::to_string(number),
          .role = InstanceRole::kUpstream,
          .state = state,
          .generation = 1,
          .address = {.host = "127.0.0.1",
                      .port = static_cast<std::uint16_t>(9000 + number)},
          .failure_domain = "ghent",
          .service = "fitting",
          .slots = 8,
          .offers = {.cpus = 8, .memory_mb = 1024}};
}

inline InstanceList MakeList(std::uint64_t revision,
                             std::vector<Instance> upstreams) {
  upstreams.push_back({.name = "e2",
                       .role = InstanceRole::kEntry,
                       .address = {.host = "127.0.0.1", .port = 8002},
                       .failure_domain = "antwerp"});
  return {.revision = revision, .instances = std::move(upstreams)};
}

struct DispatcherRig {
  explicit DispatcherRig(DispatcherOptions changes = {})
      : dispatcher(WithDefaults(std::move(changes), observer)) {}

  // Gives `rig` a configuration and a list with `upstreams` upstreams.
  static void MakeReady(DispatcherRig& rig, int upstreams) {
    std::vector<Instance> list;
    for (int number = 1; number <= upstreams; ++number) {
      list.push_back(MakeUpstream(number));
    }
    rig.Send(ConfigurationOffered{SmallConfiguration()});
    rig.Send(InstancesOffered{MakeList(1, std::move(list))});
  }

  void Send(Event event) {
    actions.clear();
    dispatcher.Handle(now, std::move(event), actions);
  }

  void Advance(Duration duration) {
    now += duration;
    Send(Tick());
  }

  // Returns the actions of type `Type` that the last event caused.
  template <typename Type>
  std::vector<Type> Of() const {
    std::vector<Type> found;
    for (const Action& action : actions) {
      if (const auto* value = std::get_if<Type>(&action)) {
        found.push_back(*value);
      }
    }
    return found;
  }

  JobId Reserve(const std::string& owner = "ghent") {
    Send(ReserveIds{.call = {++last_call_id}, .owner = owner, .count = 1});
    const auto answers = Of<AnswerCall>();
    return std::get<ReservedIds>(answers.at(0).answer).ids.at(0);
  }

  JobRequest MakeRequest(SubmissionIdentity identity,
                         std::size_t tasks,
                         std::string kind = "book-chair") const {
    return {.identity = std::move(identity),
            .owner = "ghent",
            .service = "fitting",
            .kind = std::move(kind),
            .tasks = std::vector<std::string>(tasks, "{}")};
  }

  CallId Submit(JobRequest request) {
    const CallId call{++last_call_id};
    Send(SubmitJob{.call = call, .request = std::move(request)});
    return call;
  }

  void End(const StartAttempt& start, AttemptOutcome outcome) {
    Send(AttemptEnded{.attempt = start.attempt,
                      .upstream = start.upstream,
                      .outcome = std::move(outcome)});
  }

  FatalObserver observer;
  TimePoint now{seconds(1000)};
  std::uint64_t last_call_id = 0;
  Actions actions;
  Dispatcher dispatcher;

 private:
  static DispatcherOptions WithDefaults(DispatcherOptions options,
                                        DispatchObserver& observer) {
    options.entry = "e1";
    options.failure_domain = "ghent";
    options.incarnation = {7};
    options.observer = &observer;
    return options;
  }
};

}  // namespace jaypick::test

#endif  // JAYPICK_TESTS_SUPPORT_DISPATCHER_RIG_H_
