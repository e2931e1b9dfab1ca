// Example: runs a dispatcher without a server, with one upstream and one job.
//
// The dispatcher does no I/O: the program passes events to it and carries out
// the actions that it returns. This program simulates the upstream and prints
// the attempts that the dispatcher starts and the answer to the caller.
#include <chrono>
#include <iostream>
#include <string>
#include <variant>

#include "jaypick/jaypick.h"

namespace {

using jaypick::Actions;
using std::chrono::milliseconds;
using std::chrono::seconds;

jaypick::Configuration MakeConfiguration() {
  const jaypick::Kind book_chair{.service = "fitting",
                                 .name = "book-chair",
                                 .idempotent = false,
                                 .default_timeout = seconds(15),
                                 .declared_run_time = milliseconds(150),
                                 .needs = {.cpus = 1, .memory_mb = 512},
                                 .queue_limit = 5000};
  return {{.version = 1},
          {.services = {{.name = "fitting"}},
           .kinds = {book_chair},
           .shares = {{"fitting", "ghent-bank", 100}}}};
}

jaypick::InstanceList MakeInstances() {
  const jaypick::Instance upstream{
      .name = "ghent-fitter-1",
      .generation = 1,
      .address = {.host = "127.0.0.1", .port = 9001},
      .failure_domain = "ghent",
      .service = "fitting",
      .slots = 8,
      .offers = {.cpus = 32, .memory_mb = 65536}};
  return {.revision = 1, .instances = {upstream}};
}

// Simulates the upstream: every attempt that was started succeeds after 150 ms.
void CompleteStartedAttempts(jaypick::Dispatcher& dispatcher,
                             jaypick::TimePoint& now,
                             Actions& actions) {
  const Actions started = std::move(actions);
  actions.clear();
  now += milliseconds(150);
  for (const jaypick::Action& action : started) {
    const auto* const start = std::get_if<jaypick::StartAttempt>(&action);
    if (start == nullptr) {
      continue;
    }
    std::cout << "started " << ToString(start->attempt) << " on "
              << start->upstream << '\n';
    dispatcher.Handle(now,
                      jaypick::AttemptEnded{
                          .attempt = start->attempt,
                          .upstream = start->upstream,
                          .outcome = jaypick::attempt::Succeeded{"\"done\""}},
                      actions);
  }
}

}  // namespace

int main() {
  jaypick::Dispatcher dispatcher(
      {.entry = "ghent-entry-1", .failure_domain = "ghent"});
  jaypick::TimePoint now{seconds(1)};
  Actions actions;
  dispatcher.Handle(now, jaypick::ConfigurationOffered{MakeConfiguration()},
                    actions);
  dispatcher.Handle(now, jaypick::InstancesOffered{MakeInstances()}, actions);
  dispatcher.Handle(
      now, jaypick::ReserveIds{.call = {1}, .owner = "ghent-bank", .count = 1},
      actions);
  const auto& reserved = std::get<jaypick::AnswerCall>(actions.back());
  const jaypick::JobId id =
      std::get<jaypick::ReservedIds>(reserved.answer).ids.front();
  actions.clear();
  dispatcher.Handle(now,
                    jaypick::SubmitJob{.call = {2},
                                       .request = {.identity = id,
                                                   .owner = "ghent-bank",
                                                   .service = "fitting",
                                                   .kind = "book-chair",
                                                   .tasks = {"{}", "{}"}}},
                    actions);
  CompleteStartedAttempts(dispatcher, now, actions);
  for (const jaypick::Action& action : actions) {
    const auto& answer = std::get<jaypick::AnswerCall>(action);
    const auto& complete = std::get<jaypick::CompleteAnswer>(answer.answer);
    std::cout << "job " << ToString(complete.id) << " is complete with "
              << complete.results.size() << " results\n";
  }
  return 0;
}
