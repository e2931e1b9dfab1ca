// Tests of the instance list, configuration, shutdown and network faults with
// separate processes.
#include <criterion/criterion.h>

#include <chrono>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "tests/cluster.h"

namespace jaypick::testing {
namespace {

using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr double kTestSeconds = 120;

const Json kShort = {{"run_ms", 20}, {"result", "done"}};

std::string Text(const Answer& answer) {
  return std::to_string(answer.status) + " " + answer.error + " " +
         answer.body.dump();
}

// Submits jobs with one task each continuously, a few at a time, and
// distributes them over all entries but the excluded one, as a load balancer
// does.
class Load {
 public:
  explicit Load(Cluster& cluster) : cluster_(cluster) {}

  // Keeps `kParallel` jobs in progress until `condition` holds.
  bool RunUntil(const std::function<bool()>& condition) {
    return cluster_.caller().Until([&] {
      Step();
      return condition();
    });
  }

  void RunFor(std::chrono::milliseconds time) {
    const auto end = steady_clock::now() + time;
    RunUntil([&] { return steady_clock::now() >= end; });
  }

  // Waits for the jobs in progress.
  void Finish() {
    while (!jobs_.empty()) {
      Settle(jobs_.front());
      jobs_.pop_front();
    }
  }

  // Sends no new jobs to `entry`; null excludes no entry.
  void Exclude(const Entry* entry) { excluded_ = entry; }

  int completed() const { return completed_; }
  const std::vector<std::string>& failures() const { return failures_; }

 private:
  static constexpr std::size_t kParallel = 8;

  void Settle(const Caller::Pending& call) {
    const Answer answer = cluster_.caller().Wait(call);
    if (answer.status == 200) {
      ++completed_;
    } else {
      failures_.push_back(Text(answer));
    }
  }

  void Step() {
    for (std::size_t i = 0; i < jobs_.size();) {
      if (jobs_[i]->has_value()) {
        Settle(jobs_[i]);
        jobs_.erase(jobs_.begin() + static_cast<std::ptrdiff_t>(i));
      } else {
        ++i;
      }
    }
    while (jobs_.size() < kParallel) {
      auto& entries = cluster_.entries();
      Entry* entry = entries[next_++ % entries.size()].get();
      if (entry == excluded_) {
        entry = entries[next_++ % entries.size()].get();
      }
      const std::string id = cluster_.Reserve(*entry).front();
      const char* kind = next_ % 2 == 0 ? "once" : "safe";
      jobs_.push_back(
          cluster_.StartJob(*entry, Cluster::Job(id, kind, kShort)));
    }
  }

  Cluster& cluster_;
  const Entry* excluded_ = nullptr;
  std::size_t next_ = 0;
  std::deque<Caller::Pending> jobs_;
  int completed_ = 0;
  std::vector<std::string> failures_;
};

void ExpectNoFailure(const Load& load) {
  cr_assert(load.failures().empty(), "%zu failed, first: %s",
            load.failures().size(), load.failures().front().c_str());
  cr_assert_gt(load.completed(), 0);
}

double SecondsSince(steady_clock::time_point start) {
  return std::chrono::duration<double>(steady_clock::now() - start).count();
}

// Guards against task starts on an upstream that the instance list marks as
// leaving, and against aborting the tasks that run there.
Test(process_platform,
     leaving_upstream_gets_no_start_after_5_s,
     .timeout = kTestSeconds) {
  Cluster cluster({.upstreams_per_domain = 3});
  Load load(cluster);
  load.RunFor(std::chrono::milliseconds(500));
  Standin& leaving = cluster.upstreams()[0];
  cr_assert_gt(cluster.Stats(leaving)["started"].get<int>(), 0);
  cluster.List({{"name", leaving.name}, {"state", "leaving"}});
  const auto listed = cluster.Stats(leaving)["ms"].get<std::int64_t>();
  load.RunFor(seconds(6));
  load.Finish();
  const Answer record = cluster.caller().Get(leaving.control_port, "/starts");
  const auto last =
      record.body["starts"].back()["ms"].get<std::int64_t>() - listed;
  cr_assert_leq(last, 5000, "last start %ld ms after the list",
                static_cast<long>(last));
  ExpectNoFailure(load);
  cluster.CheckStarts();
}

// Guards against using a leaving upstream again because the platform returned
// an older or an invalid instance list.
Test(process_platform,
     leaving_upstream_stays_leaving,
     .timeout = kTestSeconds) {
  Cluster cluster({.entries_per_domain = 1, .upstreams_per_domain = 2});
  Standin& leaving = cluster.upstreams()[0];
  cluster.List({{"name", leaving.name}, {"state", "leaving"}});
  Load load(cluster);
  load.RunFor(seconds(3));
  const Json before = cluster.Stats(leaving)["started"];
  cluster.SetFault(cluster.instances(), {{"back", 1}});
  load.RunFor(seconds(2));
  cluster.SetFault(cluster.instances(), {{"back", 0}, {"garbage", true}});
  load.RunFor(seconds(2));
  cr_assert_eq(cluster.Stats(leaving)["started"], before);
  cluster.SetFault(cluster.instances(), {{"garbage", false}});
  cluster.List({{"name", leaving.name}, {"state", "live"}, {"generation", 2}});
  cr_assert(
      load.RunUntil([&] { return cluster.Stats(leaving)["started"] > before; }),
      "a new generation is used");
  load.Finish();
  ExpectNoFailure(load);
}

// Guards against a configuration that reaches some entries too late, or only
// the entries that read it from the platform, or that is replaced by an older
// one.
Test(process_platform,
     configuration_is_in_force_within_5_s,
     .timeout = kTestSeconds) {
  Cluster cluster({.domains = {"d1", "d2", "d3"},
                   .entries_per_domain = 2,
                   .upstreams_per_domain = 1});
  std::uint64_t last = 0;
  for (int change = 0; change < 3; ++change) {
    Entry& entry = *cluster.entries()[change * 2];
    const auto start = steady_clock::now();
    const std::uint64_t version = cluster.Apply(entry, 100 + change);
    cr_assert_gt(version, last);
    last = version;
    const bool is_everywhere = cluster.caller().Until([&] {
      for (const auto& other : cluster.entries()) {
        if (cluster.Version(*other) < version) {
          return false;
        }
      }
      return true;
    });
    cr_assert(is_everywhere);
    cr_assert_leq(SecondsSince(start), 5.0, "change %d", change);
  }
  // A platform that restarts with an older configuration does not replace the
  // current one.
  cluster.caller().Post(cluster.kv().control_port, "/snapshot", Json::object());
  const std::uint64_t newest = cluster.Apply(*cluster.entries()[0], 200);
  cr_assert(cluster.caller().Until(
      [&] { return cluster.Version(*cluster.entries()[5]) == newest; }));
  cluster.caller().Post(cluster.kv().control_port, "/rollback", Json::object());
  cluster.caller().Sleep(2500);
  for (const auto& entry : cluster.entries()) {
    cr_assert_eq(cluster.Version(*entry), newest);
  }
  cr_assert_gt(cluster.Apply(*cluster.entries()[0], 201), newest);
}

// Guards against jobs that fail or are lost when entries are restarted one by
// one under load.
Test(process_platform, rolling_restart_loses_nothing, .timeout = kTestSeconds) {
  Cluster cluster({.entries_per_domain = 3,
                   .upstreams_per_domain = 2,
                   .entry_settings = {{"drain", {{"notice_ms", 500}}}}});
  Load load(cluster);
  load.RunFor(std::chrono::milliseconds(300));
  for (const auto& entry : cluster.entries()) {
    // The load balancer stops sending jobs to the entry; the entry answers the
    // jobs that it has.
    entry->process->Terminate();
    load.Exclude(entry.get());
    cr_assert(load.RunUntil([&] { return entry->process->HasExited(); }));
    cr_assert_eq(entry->process->exit_code(), 0);
    cluster.StartEntry(*entry);
    cluster.WaitReady(*entry);
    load.Exclude(nullptr);
    load.RunFor(std::chrono::milliseconds(300));
  }
  load.Finish();
  ExpectNoFailure(load);
  cluster.CheckStarts();
}

// Guards against a failure domain that stops serving while it is partitioned
// from the others, that reports "not_run" without knowing it, or that does not
// catch up after the partition.
Test(process_platform,
     cut_off_domain_serves_its_own_callers,
     .timeout = kTestSeconds) {
  Cluster cluster({.domains = {"d1", "d2"},
                   .entries_per_domain = 1,
                   .upstreams_per_domain = 1,
                   .with_relays = true});
  Entry& inside = *cluster.entries()[1];
  Entry& outside = *cluster.entries()[0];
  const std::string foreign = cluster.Reserve(outside).front();
  std::vector<Standin*> links = {&inside.relay, &outside.relay,
                                 &cluster.platform_relays()[2],
                                 &cluster.platform_relays()[3]};
  for (Standin* link : links) {
    cluster.SetFault(*link, {{"cut", true}});
  }
  const std::uint64_t version = cluster.Apply(outside, 300);
  const std::uint64_t old = cluster.Version(inside);
  cr_assert_lt(old, version);
  const auto cut_at = steady_clock::now();
  while (SecondsSince(cut_at) < 3) {
    const std::string id = cluster.Reserve(inside).front();
    const Answer answer =
        cluster.Submit(inside, Cluster::Job(id, "once", kShort));
    cr_assert_eq(answer.status, 200, "%s", Text(answer).c_str());
  }
  cr_assert_eq(cluster.Version(inside), old);
  const Json job = Cluster::Job(foreign, "once", kShort);
  const Answer refused = cluster.Submit(inside, job);
  cr_assert(refused.body.value("run", "") == "unknown", "%s",
            Text(refused).c_str());
  for (Standin* link : links) {
    cluster.SetFault(*link, {{"cut", false}});
  }
  const auto restored_at = steady_clock::now();
  cr_assert(cluster.caller().Until(
      [&] { return cluster.Version(inside) == version; }));
  cr_assert_leq(SecondsSince(restored_at), 5.0);
  const Answer answer = cluster.Submit(inside, job);
  cr_assert_eq(answer.status, 200, "%s", Text(answer).c_str());
  cluster.CheckStarts();
}

// Guards against tasks that stay on an unresponsive connection to an upstream,
// and against a false "not_run" for them.
Test(process_platform,
     silent_upstream_connections_are_replaced,
     .timeout = kTestSeconds) {
  Cluster cluster({.entries_per_domain = 1,
                   .upstreams_per_domain = 1,
                   .with_relays = true});
  Entry& entry = *cluster.entries()[0];
  const auto ids = cluster.Reserve(entry, 4);
  const Json task = {{"run_ms", 300}, {"result", "done"}};
  const auto safe = cluster.StartJob(entry, Cluster::Job(ids[0], "safe", task));
  const auto once = cluster.StartJob(entry, Cluster::Job(ids[1], "once", task));
  cr_assert(
      cluster.caller().Until([&] { return cluster.Starts().size() == 2u; }));
  const auto silent_at = steady_clock::now();
  cluster.SetFault(cluster.upstream_relays()[0], {{"silence_open", true}});
  const Answer safe_answer = cluster.caller().Wait(safe);
  cr_assert_eq(safe_answer.status, 200, "%s", Text(safe_answer).c_str());
  // The attempt timeout is 2 s for runs of this length.
  cr_assert_leq(SecondsSince(silent_at), 6.0);
  const Answer once_answer = cluster.caller().Wait(once);
  cr_assert(once_answer.body.value("run", "") == "unknown", "%s",
            Text(once_answer).c_str());
  // It is 10 s for a kind that is not idempotent.
  cr_assert_leq(SecondsSince(silent_at), 14.0);
  const Answer next =
      cluster.Submit(entry, Cluster::Job(ids[2], "once", kShort));
  cr_assert_eq(next.status, 200, "%s", Text(next).c_str());
  cr_assert_eq(cluster.StartsOf(ids[0]), 2);
  cr_assert_eq(cluster.StartsOf(ids[1]), 1);
}

// Guards against an entry that waits on an unresponsive connection to the
// platform or a peer and misses changes or responses.
Test(process_platform,
     silent_platform_and_peer_connections_are_replaced,
     .timeout = kTestSeconds) {
  Cluster cluster({.entries_per_domain = 2,
                   .upstreams_per_domain = 1,
                   .with_relays = true});
  Entry& first = *cluster.entries()[0];
  Entry& second = *cluster.entries()[1];
  const std::string id = cluster.Reserve(first).front();
  // Opens a connection from one entry to the other.
  cr_assert_eq(cluster.Submit(second, Cluster::Job(id, "once", kShort)).status,
               200);
  for (Standin* link :
       {&cluster.platform_relays()[0], &cluster.platform_relays()[1],
        &first.relay, &second.relay}) {
    cluster.SetFault(*link, {{"silence_open", true}});
  }
  const auto start = steady_clock::now();
  std::uint64_t version = 0;
  cluster.BeginOperation();
  cr_assert(cluster.caller().Until([&] {
    const Answer answer = cluster.TryApply(first, 400);
    version =
        answer.status == 200 ? answer.body["version"].get<std::uint64_t>() : 0;
    return version != 0;
  }));
  cr_assert(cluster.caller().Until(
      [&] { return cluster.Version(second) == version; }));
  cr_assert_leq(SecondsSince(start), 10.0);
  const std::string next = cluster.Reserve(first).front();
  const Json job = Cluster::Job(next, "once", kShort);
  Answer answer = cluster.Submit(second, job);
  // The first call may use an unresponsive connection, which is then replaced.
  if (answer.status != 200) {
    cr_assert(answer.body.value("run", "") == "unknown", "%s",
              Text(answer).c_str());
    answer = cluster.Submit(second, job);
  }
  cr_assert_eq(answer.status, 200, "%s", Text(answer).c_str());
  cluster.CheckStarts();
}

}  // namespace
}  // namespace jaypick::testing
