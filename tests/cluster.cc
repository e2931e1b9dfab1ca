#include "tests/cluster.h"

#include <criterion/criterion.h>

#include <set>
#include <utility>

namespace jaypick::testing {
namespace {

constexpr const char* kToken = "operator-token-of-the-tests";
// Ends stand-ins that outlive the test process.
constexpr const char* kLifetimeFlag = "--lifetime_s=300";

std::string Sheet(int queue_limit) {
  const std::string limit = std::to_string(queue_limit);
  return "record,service,kind,idempotent,default_timeout_ms,"
         "declared_run_time_ms,cpus,memory_mb,accelerators,queue_limit,owner,"
         "share_percent\n"
         "service,s,,,,,,,,,,\n"
         "kind,s,safe,yes,20000,50,1,64,0," +
         limit +
         ",,\n"
         "kind,s,once,no,20000,50,1,64,0," +
         limit +
         ",,\n"
         "share,s,,,,,,,,,o1,60\n"
         "share,s,,,,,,,,,o2,40\n";
}

Json LoopbackAddress(std::uint16_t port) {
  return {{"host", "127.0.0.1"}, {"port", port}};
}

}  // namespace

Cluster::Cluster(ClusterOptions options) : options_(std::move(options)) {
  folder_.Write("token", kToken);
  kv_ = Start("jaypick-standin-kv", "kv");
  instances_ = Start("jaypick-standin-instances", "instances");
  for (const std::string& domain : options_.domains) {
    std::uint16_t kv_port = kv_.port;
    std::uint16_t instances_port = instances_.port;
    if (options_.with_relays) {
      platform_relays_.push_back(StartRelay(domain + "-kv", kv_port));
      kv_port = platform_relays_.back().port;
      platform_relays_.push_back(
          StartRelay(domain + "-instances", instances_port));
      instances_port = platform_relays_.back().port;
    }
    for (int i = 1; i <= options_.upstreams_per_domain; ++i) {
      AddUpstream(domain, i);
    }
    for (int i = 1; i <= options_.entries_per_domain; ++i) {
      AddEntry(domain, i, kv_port, instances_port);
    }
  }
  for (auto& entry : entries_) {
    StartEntry(*entry);
  }
  Apply(*entries_.front(), 10'000);
  for (auto& entry : entries_) {
    WaitReady(*entry);
  }
}

Standin Cluster::Start(const std::string& program,
                       const std::string& name,
                       std::vector<std::string> arguments) {
  arguments.emplace_back(kLifetimeFlag);
  Standin standin;
  standin.name = name;
  standin.process = std::make_unique<Process>(program, std::move(arguments),
                                              folder_.Path(name + ".log"));
  const Json ready = standin.process->WaitForLine("ready");
  standin.port = ready["port"].get<std::uint16_t>();
  standin.control_port = ready["control_port"].get<std::uint16_t>();
  return standin;
}

Standin Cluster::StartRelay(const std::string& name, std::uint16_t target) {
  return Start("jaypick-standin-relay", "relay-" + name,
               {"--target_port=" + std::to_string(target)});
}

void Cluster::AddUpstream(const std::string& domain, int index) {
  const std::string name = domain + "-u" + std::to_string(index);
  upstreams_.push_back(Start("jaypick-standin-upstream", name));
  upstreams_.back().domain = domain;
  std::uint16_t port = upstreams_.back().port;
  if (options_.with_relays) {
    upstream_relays_.push_back(StartRelay(name, port));
    port = upstream_relays_.back().port;
  }
  List({{"name", name},
        {"role", "upstream"},
        {"address", "127.0.0.1"},
        {"port", port},
        {"failure_domain", domain},
        {"service", "s"},
        {"slots", 8},
        {"offers", {{"cpus", 4}, {"memory_mb", 1024}, {"accelerators", 0}}}});
}

void Cluster::AddEntry(const std::string& domain,
                       int index,
                       std::uint16_t kv_port,
                       std::uint16_t instances_port) {
  auto entry = std::make_unique<Entry>();
  entry->name = domain + "-e" + std::to_string(index);
  entry->domain = domain;
  std::uint16_t port = entry->peer.value();
  if (options_.with_relays) {
    entry->relay = StartRelay(entry->name, port);
    port = entry->relay.port;
  }
  entry->settings = folder_.Write(
      entry->name + ".json", Settings(*entry, kv_port, instances_port).dump(2));
  List({{"name", entry->name},
        {"role", "entry"},
        {"address", "127.0.0.1"},
        {"port", port},
        {"failure_domain", domain}});
  entries_.push_back(std::move(entry));
}

Json Cluster::Settings(const Entry& entry,
                       std::uint16_t kv_port,
                       std::uint16_t instances_port) const {
  Json settings = {
      {"entry", {{"name", entry.name}, {"failure_domain", entry.domain}}},
      {"listen",
       {{"caller", LoopbackAddress(entry.caller.value())},
        {"peer", LoopbackAddress(entry.peer.value())},
        {"operators", LoopbackAddress(entry.operators.value())},
        {"observability", LoopbackAddress(entry.observability.value())}}},
      {"platform",
       {{"key_value", LoopbackAddress(kv_port)},
        {"instances", LoopbackAddress(instances_port)}}},
      {"operators", {{"token_file", folder_.Path("token")}}}};
  settings.update(options_.entry_settings);
  return settings;
}

void Cluster::StartEntry(Entry& entry) {
  entry.process = std::make_unique<Process>(
      "jaypickd", std::vector<std::string>{"--settings=" + entry.settings},
      folder_.Path(entry.name + ".log"));
  const bool is_responding = caller_.Until([&] {
    cr_assert(!entry.process->HasExited(), "%s", entry.process->Log().c_str());
    return caller_.Get(entry.observability.value(), "/healthz").status == 200;
  });
  cr_assert(is_responding, "%s", entry.process->Log().c_str());
}

void Cluster::WaitReady(Entry& entry) {
  const bool is_ready = caller_.Until([&] {
    return caller_.Get(entry.observability.value(), "/readyz").status == 200;
  });
  cr_assert(is_ready, "%s", entry.process->Log().c_str());
}

std::uint64_t Cluster::Apply(Entry& entry, int queue_limit) {
  BeginOperation();
  const Answer answer = TryApply(entry, queue_limit);
  cr_assert_eq(answer.status, 200, "%s", answer.body.dump().c_str());
  return answer.body["version"].get<std::uint64_t>();
}

Answer Cluster::TryApply(Entry& entry, int queue_limit) {
  const Json change = {
      {"sheet", Sheet(queue_limit)},
      {"base_version", Version(entry)},
      {"author", "tests"},
      {"operation_id", "operation-" + std::to_string(operations_)}};
  return caller_.Post(entry.operators.value(), "/v1/operator/config/apply",
                      change,
                      {{"Authorization", std::string("Bearer ") + kToken}});
}

std::uint64_t Cluster::Version(Entry& entry) {
  const Answer answer =
      caller_.Get(entry.operators.value(), "/v1/operator/config",
                  {{"Authorization", std::string("Bearer ") + kToken}});
  return answer.status == 200 ? answer.body["version"].get<std::uint64_t>() : 0;
}

std::vector<std::string> Cluster::Reserve(Entry& entry, int count) {
  const Answer answer = caller_.Post(entry.caller.value(), "/v1/ids",
                                     {{"owner", "o1"}, {"count", count}});
  cr_assert_eq(answer.status, 200, "%s %s", answer.error.c_str(),
               answer.body.dump().c_str());
  return answer.body["ids"].get<std::vector<std::string>>();
}

Json Cluster::Job(const std::string& id,
                  const std::string& kind,
                  const Json& task,
                  int tasks) {
  Json list = Json::array();
  for (int i = 0; i < tasks; ++i) {
    list.push_back(task);
  }
  return {{"id", id},     {"owner", "o1"},        {"service", "s"},
          {"kind", kind}, {"timeout_ms", 20'000}, {"wait", true},
          {"tasks", list}};
}

Caller::Pending Cluster::StartJob(Entry& entry, const Json& job) {
  return caller_.Start(entry.caller.value(), "/v1/jobs", job);
}

Answer Cluster::Submit(Entry& entry, const Json& job) {
  return caller_.Wait(StartJob(entry, job));
}

std::map<std::string, int> Cluster::Starts() {
  std::map<std::string, int> starts;
  for (const Standin& upstream : upstreams_) {
    const Answer record = caller_.Get(upstream.control_port, "/starts");
    // The records of a killed upstream are lost.
    if (record.status != 200) {
      continue;
    }
    for (const Json& start : record.body["starts"]) {
      const std::string attempt = start["attempt"].get<std::string>();
      ++starts[attempt.substr(0, attempt.rfind('.'))];
    }
  }
  return starts;
}

int Cluster::StartsOf(const std::string& id) {
  int count = 0;
  for (const auto& [task, starts] : Starts()) {
    count += task.starts_with(id + ".") ? starts : 0;
  }
  return count;
}

void Cluster::CheckStarts() {
  std::set<std::string> attempts;
  std::map<std::string, int> once;
  for (const Standin& upstream : upstreams_) {
    const Answer record = caller_.Get(upstream.control_port, "/starts");
    if (record.status != 200) {
      continue;
    }
    for (const Json& start : record.body["starts"]) {
      const std::string attempt = start["attempt"].get<std::string>();
      cr_assert(attempts.insert(attempt).second, "started twice: %s",
                attempt.c_str());
      if (start["kind"] == "once") {
        const int count = ++once[attempt.substr(0, attempt.rfind('.'))];
        cr_assert_eq(count, 1, "started again: %s", attempt.c_str());
      }
    }
  }
}

void Cluster::SetFault(Standin& standin, const Json& fault) {
  const Answer answer = caller_.Post(standin.control_port, "/fault", fault);
  cr_assert_eq(answer.status, 200, "%s", answer.body.dump().c_str());
}

Json Cluster::Stats(const Standin& standin) {
  return caller_.Get(standin.control_port, "/stats").body;
}

void Cluster::List(const Json& instance) {
  const Answer answer = caller_.Post(instances_.control_port, "/put", instance);
  cr_assert_eq(answer.status, 200, "%s", answer.body.dump().c_str());
}

}  // namespace jaypick::testing
