// What a leader answers to its peers about jobs that may be active elsewhere.

// clang-format off
// Boost.Intrusive uses the name `Test`, which Criterion defines as a macro.
#include <boost/intrusive/list.hpp>
#include "tests/platform_rig.h"
#include <criterion/criterion.h>
// clang-format on

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "control/forwarding_lease.h"
#include "control/run_bounds.h"
#include "node/peer_messages.h"

namespace jaypick::testing {
namespace {

using std::chrono::milliseconds;

constexpr char kFiller[] = "00000000000000f1";
constexpr char kJob[] = "00000000000000a1";
constexpr char kOther[] = "00000000000000a2";

// A node that leads "ghent", and a peer that sends messages to it.
class LeaderAndPeer {
 public:
  // Starts the node while one upstream does not respond.
  struct Silent {};

  LeaderAndPeer() {
    rig.AddNode("ghent");
    cr_assert(rig.WaitUntilReady());
    WaitUntilResumed();
  }
  explicit LeaderAndPeer(Silent /*tag*/) {
    SetSilent(true);
    rig.AddNode("ghent");
    cr_assert(rig.loop.RunUntil([this] { return rig.LeaderOf() == 0; }));
  }

  void SetSilent(bool is_silent) { rig.upstreams.front()->GoSilent(is_silent); }
  // Waits until the leader no longer holds submissions back.
  void WaitUntilResumed() {
    cr_assert(
        rig.loop.RunUntil([this] { return !leader().is_holding_jobs(); }));
  }

  node::LeadershipManager& manager() {
    return rig.node(0).leadership_manager();
  }
  node::DomainLeader& leader() { return *manager().Find("ghent"); }
  std::string incarnation() { return manager().OwnRecord().incarnation; }

  // Sends a message and returns the body of the response.
  std::string Send(const std::string& path, std::string body) {
    std::optional<std::string> answer;
    client_.Send({.host = "127.0.0.1", .port = rig.PeerPort(0)},
                 {.method = http::Method::kPost,
                  .path = path,
                  .query = {},
                  .headers = {},
                  .body = std::move(body)},
                 [&answer](const http::ClientResult& result) {
                   const auto* const response =
                       std::get_if<http::Response>(&result);
                   answer = response == nullptr ? "" : response->body;
                 });
    cr_assert(rig.loop.RunUntil([&] { return answer.has_value(); }));
    return *answer;
  }

  // Sends a message and drops the response.
  void SendAsync(const std::string& path, std::string body) {
    client_.Send({.host = "127.0.0.1", .port = rig.PeerPort(0)},
                 {.method = http::Method::kPost,
                  .path = path,
                  .query = {},
                  .headers = {},
                  .body = std::move(body)},
                 [](const http::ClientResult& /*result*/) {});
  }

  // Sends a ping of the process "e1" that withdraws these requests.
  node::PingResponse Ping(std::vector<control::ForwardNumber> withdrawn) {
    const auto response = node::DecodePingResponse(
        Send(node::kPingPath, Encode(PingOf("e1", Duration(0), withdrawn))));
    cr_assert(response.has_value());
    return *response;
  }
  // A ping that was sent `age` ago.
  node::Ping PingOf(const std::string& process,
                    Duration age,
                    std::vector<control::ForwardNumber> withdrawn = {}) {
    const TimePoint sent = rig.runtime.Now() - age;
    return {
        .sender = {.instance = "peer",
                   .failure_domain = "ghent",
                   .incarnation = process,
                   .address = {.host = "127.0.0.1", .port = 7009}},
        .sent = node::ProcessTime{.incarnation = incarnation(),
                                  .clock_us = sent.time_since_epoch().count()},
        .withdrawn = std::move(withdrawn)};
  }
  std::size_t running() const {
    std::size_t sum = 0;
    for (const auto& upstream : rig.upstreams) {
      sum += upstream->running();
    }
    return sum;
  }

  // A job with one task of 50 ms.
  node::ForwardedJob Job(const std::string& id) {
    return {
        .spec = {.id = id,
                 .kind = {.name = "fit",
                          .service = "fitting",
                          .max_attempts = 2},
                 .payload = "50",
                 .steps = {{.needs = {.milli_cpus = 100, .memory_mb = 64},
                            .declared_run_time = milliseconds(50)}},
                 .entry_domain = "ghent"},
        .failure_domain = "ghent",
        .instance = "peer",
        .deadline_us =
            (rig.runtime.Now() + milliseconds(2000)).time_since_epoch().count(),
        .sent_us = ++last_sent_,
        .entry_incarnation = "e1"};
  }

  node::ForwardedJobResponse Forward(const node::ForwardedJob& job) {
    const auto response = node::DecodeForwardedJobResponse(
        Send(node::kForwardedJobPath, Encode(job)));
    cr_assert(response.has_value());
    return *response;
  }

  // Registers that `owner` is going to submit the job to "antwerp", at the
  // process `destination`.
  node::RegistrationResponse Register(const std::string& job,
                                      const std::string& owner,
                                      const std::string& destination) {
    const auto response = node::DecodeRegistrationResponse(
        Send(node::kRegistrationPath,
             Encode(node::RegistrationRequest{
                 .job = job,
                 .failure_domain = "ghent",
                 .owner = owner,
                 .destination = {.leadership = Antwerp(destination),
                                 .time_left = std::chrono::seconds(10)}})));
    cr_assert(response.has_value());
    return *response;
  }

  // A leadership of "antwerp" by the process `incarnation`.
  static control::Leadership Antwerp(const std::string& incarnation) {
    return {.failure_domain = "antwerp",
            .incarnation = incarnation,
            .address = {.host = "127.0.0.1", .port = 7002}};
  }

  PlatformRig rig;

 private:
  std::int64_t last_sent_ = 0;
  http::Client client_{rig.loop.base(), {.timeout = std::chrono::seconds(5)}};
};

bool IsCompleted(const node::ForwardedJobResponse& response) {
  return std::holds_alternative<schedule::Completed>(response.outcome);
}

// Guards against a job that may be active under another process, and that the
// leader starts beside it because it leads the same domain (TWICE).
Test(peer_server, job_for_another_process_is_not_accepted) {
  LeaderAndPeer pair;
  node::ForwardedJob job = pair.Job(kJob);
  job.required_incarnation = "another";
  const auto refused = pair.Forward(job);
  cr_assert(refused.is_not_leader);
  // The other process may have runs of the job.
  cr_assert(!refused.is_inactive);
  cr_assert_eq(pair.rig.run_monitor.started, 0);
  job = pair.Job(kJob);
  job.required_incarnation = pair.incarnation();
  cr_assert(IsCompleted(pair.Forward(job)));
  cr_assert_eq(pair.rig.run_monitor.started, 1);
}

// Guards against a leader that accepts new jobs while it hands over, and
// against an answer that does not say that it has no run of them.
Test(peer_server, leader_that_hands_over_accepts_only_jobs_that_it_has) {
  LeaderAndPeer pair;
  pair.rig.Submit(0, kFiller, 1, "500");
  cr_assert(pair.rig.loop.RunUntil(
      [&] { return pair.rig.run_monitor.started == 1; }));
  pair.leader().Drain();
  cr_assert(pair.leader().is_draining());
  const auto refused = pair.Forward(pair.Job(kJob));
  cr_assert(refused.is_not_leader);
  cr_assert(refused.is_inactive);
  cr_assert_eq(pair.rig.run_monitor.started, 1);
  cr_assert(!pair.Forward(pair.Job(kFiller)).is_not_leader);
}

// Guards against a request that is processed long after it was sent, when the
// caller may have left (TWICE).
Test(peer_server, job_that_was_held_up_is_not_accepted) {
  LeaderAndPeer pair;
  const auto forward_sent = [&](Duration age) {
    node::ForwardedJob job = pair.Job(kJob);
    job.sent_at_us = (pair.rig.runtime.Now() - age).time_since_epoch().count();
    return pair.Forward(job);
  };
  const auto refused = forward_sent(control::kForwardingLease);
  cr_assert(refused.is_not_leader);
  cr_assert(!refused.is_inactive);
  cr_assert_eq(pair.rig.run_monitor.started, 0);
  cr_assert(IsCompleted(forward_sent(control::kLongestUnattendedStart / 2)));
}

// Guards against runs of a job that was held up for so long that its caller may
// come again while they last, and against a job that is refused although its
// process still waits for it (TWICE).
Test(peer_server, job_that_was_held_up_starts_with_the_next_ping) {
  LeaderAndPeer pair;
  node::ForwardedJob job = pair.Job(kJob);
  job.spec.kind.target_latency = milliseconds(1500);
  job.sent_at_us = (pair.rig.runtime.Now() - control::kForwardingLease / 2)
                       .time_since_epoch()
                       .count();
  pair.SendAsync(node::kForwardedJobPath, Encode(job));
  pair.rig.loop.RunFor(100);
  cr_assert(pair.leader().HasJob(kJob));
  pair.SendAsync(node::kPingPath, Encode(pair.PingOf("e2", Duration(0))));
  pair.rig.loop.RunFor(100);
  cr_assert_eq(pair.rig.run_monitor.started, 0);
  cr_assert_eq(pair.leader().scheduler().running_tasks(), 0);
  // Started before the ping is answered.
  pair.Ping({});
  cr_assert_eq(pair.leader().scheduler().running_tasks(), 1);
}

// Guards against a request that is taken for older than one of an earlier
// process of the same instance, whose clock was ahead.
Test(peer_server, requests_of_different_processes_are_not_ordered) {
  LeaderAndPeer pair;
  node::ForwardedJob job = pair.Job(kJob);
  job.sent_us = 1000;
  job.spec.payload = "500";
  pair.SendAsync(node::kForwardedJobPath, Encode(job));
  cr_assert(pair.rig.loop.RunUntil(
      [&] { return pair.rig.run_monitor.started == 1; }));
  job.sent_us = 1;
  job.entry_incarnation = "e2";
  cr_assert(IsCompleted(pair.Forward(job)));
  cr_assert_eq(pair.rig.run_monitor.started, 1);
}

// Guards against a job that a later process of an instance, or a ping which was
// held up, keeps at work although its caller may have left (TWICE).
Test(peer_server, only_a_recent_ping_of_its_process_keeps_a_job_at_work) {
  const auto ends_early = [](const std::string& process, Duration age) {
    LeaderAndPeer pair;
    node::ForwardedJob job = pair.Job(kJob);
    job.spec.payload = "1800";
    job.deadline_us += 2'000'000;
    job.sent_at_us = pair.rig.runtime.Now().time_since_epoch().count();
    pair.SendAsync(node::kForwardedJobPath, Encode(job));
    const TimePoint end = pair.rig.runtime.Now() + milliseconds(1500);
    while (pair.rig.runtime.Now() < end) {
      pair.SendAsync(node::kPingPath, Encode(pair.PingOf(process, age)));
      pair.rig.loop.RunFor(100);
    }
    cr_assert_eq(pair.rig.run_monitor.started, 1);
    return pair.running() == 0;
  };
  cr_assert(!ends_early("e1", Duration(0)));
  cr_assert(ends_early("e2", Duration(0)));
  cr_assert(ends_early("e1", control::kForwardingLease));
}

// Guards against a job whose cancel is lost, and that the pings of its process
// keep at work (TWICE).
Test(peer_server, withdrawn_job_ends_although_its_connection_is_open) {
  LeaderAndPeer pair;
  node::ForwardedJob job = pair.Job(kJob);
  job.number = 7;
  job.spec.payload = "1800";
  pair.SendAsync(node::kForwardedJobPath, Encode(job));
  cr_assert(pair.rig.loop.RunUntil(
      [&] { return pair.rig.run_monitor.started == 1; }));
  cr_assert(pair.Ping({8}).withdrawn == std::vector<control::ForwardNumber>{8});
  pair.rig.loop.RunFor(100);
  cr_assert_eq(pair.running(), 1);
  cr_assert(pair.Ping({7}).withdrawn == std::vector<control::ForwardNumber>{7});
  cr_assert(pair.rig.loop.RunUntil([&] { return pair.running() == 0; }));
}

// Guards against a withdrawal that is acknowledged and not processed, as the
// ping's time is on the clock of another process.
Test(peer_server, withdrawal_counts_whatever_process_the_time_is_for) {
  LeaderAndPeer pair;
  node::Ping ping = pair.PingOf("e1", Duration(0), {7});
  ping.sent->incarnation = "another";
  pair.Send(node::kPingPath, Encode(ping));
  node::ForwardedJob job = pair.Job(kJob);
  job.number = 7;
  cr_assert(
      std::holds_alternative<schedule::Failed>(pair.Forward(job).outcome));
  cr_assert_eq(pair.rig.run_monitor.started, 0);
}

// Guards against a request that arrives after its withdrawal, and starts the
// job (TWICE).
Test(peer_server, request_that_was_withdrawn_is_not_accepted) {
  LeaderAndPeer pair;
  cr_assert_eq(pair.Ping({7}).withdrawn.size(), 1);
  node::ForwardedJob job = pair.Job(kJob);
  job.number = 7;
  cr_assert(
      std::holds_alternative<schedule::Failed>(pair.Forward(job).outcome));
  cr_assert_eq(pair.rig.run_monitor.started, 0);
  job.number = 8;
  cr_assert(IsCompleted(pair.Forward(job)));
}

// Guards against a node that says a job has no runs in a domain which it does
// not lead.
Test(peer_server, node_without_the_leadership_does_not_speak_for_it) {
  LeaderAndPeer pair;
  node::ForwardedJob job = pair.Job(kJob);
  job.failure_domain = "antwerp";
  const auto refused = pair.Forward(job);
  cr_assert(refused.is_not_leader);
  cr_assert(!refused.is_inactive);
}

// Guards against a leader that starts a job which an instance has submitted to
// another domain, and against one that holds it there for ever.
Test(peer_server, registered_job_is_accepted_once_its_owner_found_it_inactive) {
  LeaderAndPeer pair;
  cr_assert(!pair.Register(kJob, "e1", "p1").active.has_value());
  const auto elsewhere = pair.Register(kJob, "e2", "p2");
  cr_assert(elsewhere.active.has_value());
  cr_assert_eq(elsewhere.active->leadership.incarnation, "p1");
  const auto active = pair.Forward(pair.Job(kJob)).active;
  cr_assert(active.has_value());
  cr_assert(active->leadership == LeaderAndPeer::Antwerp("p1"));
  cr_assert_eq(pair.rig.run_monitor.started, 0);

  cr_assert(!pair.Register(kOther, "e1", "p1").active.has_value());
  node::ForwardedJob job = pair.Job(kOther);
  job.inactive_at = "p1";
  cr_assert(IsCompleted(pair.Forward(job)));
  cr_assert_eq(pair.rig.run_monitor.started, 1);
}

// Guards against a job at work in its own domain that an instance may submit to
// another one (TWICE).
Test(peer_server, job_at_work_is_not_registered_for_another_domain) {
  LeaderAndPeer pair;
  pair.rig.Submit(0, kJob, 1, "1000");
  cr_assert(pair.rig.loop.RunUntil(
      [&] { return pair.rig.run_monitor.started == 1; }));
  const auto response = pair.Register(kJob, "e1", "p1");
  cr_assert(response.active.has_value());
  cr_assert_eq(response.active->leadership.incarnation, pair.incarnation());
  cr_assert_eq(response.active->leadership.failure_domain, "ghent");
}

// Guards against a new leader that lets jobs go to other domains, or starts
// them, before runs of earlier leaders on a silent upstream have ended (TWICE).
Test(peer_server, leader_of_a_silent_upstream_registers_and_starts_nothing) {
  LeaderAndPeer pair{LeaderAndPeer::Silent()};
  pair.rig.Submit(0, kOther, 1, "50");
  cr_assert(pair.Register(kJob, "e1", "p1").is_not_leader);
  // Longer than the leader waits for reports, and shorter than a lease.
  pair.rig.loop.RunFor(400);
  cr_assert(pair.leader().is_holding_jobs());
  cr_assert(pair.Register(kJob, "e1", "p1").is_not_leader);
  cr_assert_eq(pair.rig.run_monitor.started, 0);
  pair.SetSilent(false);
  pair.WaitUntilResumed();
  cr_assert(!pair.Register(kJob, "e1", "p1").is_not_leader);
}

// Guards against a leader that gives its jobs up, or reports them, because of a
// ping that is older than its own leadership.
Test(peer_server, only_a_later_leader_learns_the_jobs_of_a_leader) {
  LeaderAndPeer pair;
  pair.rig.Submit(0, kJob, 1, "1000");
  cr_assert(pair.rig.loop.RunUntil(
      [&] { return pair.rig.run_monitor.started == 1; }));
  cr_assert(!pair.Register(kOther, "e1", "p1").active.has_value());
  node::Ping ping{.sender = {.instance = "n9",
                             .failure_domain = "ghent",
                             .incarnation = "9-9",
                             .address = {.host = "127.0.0.1", .port = 7009}},
                  .taken_over = {{.failure_domain = "ghent"}}};
  for (const std::uint64_t token :
       {pair.leader().token() - 1, pair.leader().token()}) {
    ping.taken_over.front().token = token;
    cr_assert(pair.manager().JobsFor(ping).empty());
    cr_assert(!pair.leader().is_draining());
  }
  ping.taken_over.front().token = pair.leader().token() + 1;
  const std::vector<node::DomainJobs> reports = pair.manager().JobsFor(ping);
  cr_assert(pair.leader().is_draining());
  cr_assert_eq(reports.size(), 1);
  cr_assert_eq(reports[0].failure_domain, "ghent");
  cr_assert(reports[0].is_of_earlier_leader);
  cr_assert_eq(reports[0].jobs.size(), 2);
  for (const node::ReportedJob& job : reports[0].jobs) {
    const bool is_own = job.job == kJob;
    cr_assert_eq(job.owner, is_own ? "" : "e1");
    cr_assert_eq(job.location.leadership.incarnation,
                 is_own ? pair.incarnation() : "p1");
    cr_assert_gt(job.location.time_left.count(), 0);
  }
}

// Guards against registrations that nobody knows once their leader has handed
// its domain over, and its successor asks again.
Test(peer_server, registrations_are_reported_after_the_leadership_has_ended) {
  LeaderAndPeer pair;
  cr_assert(!pair.Register(kJob, "e1", "p1").active.has_value());
  const std::uint64_t token = pair.leader().token() + 1;
  pair.rig.node(0).RequestShutdown();
  cr_assert(pair.rig.loop.RunUntil(
      [&] { return pair.manager().Find("ghent") == nullptr; }));
  const std::vector<node::DomainJobs> reports = pair.manager().JobsFor(
      {.sender = {.instance = "n9", .incarnation = "9-9"},
       .taken_over = {{.failure_domain = "ghent", .token = token}}});
  cr_assert_eq(reports.size(), 1);
  cr_assert(reports[0].is_of_earlier_leader);
  cr_assert_eq(reports[0].jobs.size(), 1);
  cr_assert_eq(reports[0].jobs[0].job, kJob);
  cr_assert_eq(reports[0].jobs[0].location.leadership.incarnation, "p1");
}

// Guards against a new leader that does not learn which jobs of its callers the
// leader of another domain runs.
Test(peer_server, jobs_of_callers_of_another_domain_are_reported) {
  LeaderAndPeer pair;
  node::ForwardedJob job = pair.Job(kOther);
  job.spec.entry_domain = "antwerp";
  job.spec.payload = "1000";
  pair.leader().Submit({.spec = job.spec,
                        .arrival = pair.rig.runtime.Now(),
                        .deadline = pair.rig.runtime.Now() + milliseconds(3000),
                        .instance = "peer",
                        .entry_incarnation = "e1"},
                       [](const node::JobResult& /*result*/) {});
  pair.rig.Submit(0, kJob, 1, "1000");
  cr_assert(pair.rig.loop.RunUntil(
      [&] { return pair.rig.run_monitor.started == 2; }));
  const std::vector<node::DomainJobs> reports = pair.manager().JobsFor(
      {.sender = {.instance = "n9", .incarnation = "9-9"},
       .taken_over = {{.failure_domain = "antwerp", .token = 1}}});
  cr_assert_eq(reports.size(), 1);
  cr_assert_eq(reports[0].failure_domain, "antwerp");
  cr_assert(!reports[0].is_of_earlier_leader);
  cr_assert_eq(reports[0].jobs.size(), 1);
  cr_assert_eq(reports[0].jobs[0].job, kOther);
  cr_assert_eq(reports[0].jobs[0].location.leadership.incarnation,
               pair.incarnation());
}

}  // namespace
}  // namespace jaypick::testing
