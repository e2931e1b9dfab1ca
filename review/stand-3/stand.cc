#include "stand.h"

#include <event2/event.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <utility>

namespace review {
namespace {

using jaypick::ToMilliseconds;
namespace http = jaypick::http;

constexpr std::int64_t kHoldMaxMs = 1000;
// `cancel_ms` and `stop_ms` of the site.
constexpr auto kCancelLimit = std::chrono::milliseconds(3000);
constexpr auto kStopLimit = std::chrono::milliseconds(50);
constexpr int kFirstPort = 12'000;
constexpr int kPorts = 20'000;
constexpr int kPortsUsed = 500;
constexpr auto kTick = std::chrono::milliseconds(2);

std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// A free port below those that the system hands out to clients, so that it can
// be bound again after a restart.
std::uint16_t FreePort() {
  static std::uint16_t next = static_cast<std::uint16_t>(
      kFirstPort + ::getpid() * 61 % (kPorts - kPortsUsed));
  for (int tries = 0; tries < kPortsUsed; ++tries) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(next++);
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    const bool is_free = ::bind(socket, reinterpret_cast<sockaddr*>(&address),
                                sizeof(address)) == 0;
    ::close(socket);
    if (is_free) {
      return ntohs(address.sin_port);
    }
  }
  throw std::runtime_error("no free port");
}

std::string Loopback(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

std::string JobOf(const std::string& task) {
  return task.substr(0, task.find('.'));
}

}  // namespace

Worker::Worker(Stand& stand, std::string id, std::string zone)
    : stand_(stand),
      id_(std::move(id)),
      zone_(std::move(zone)),
      port_(FreePort()) {
  Open();
}

void Worker::Open() {
  life_began_ = stand_.Now();
  born_ = UnixMs();
  server_ = std::make_unique<http::Server>(
      stand_.base(),
      http::ServerOptions{.address = {.host = "127.0.0.1", .port = port_}});
  const auto serve = [this](const char* path, auto handler) {
    server_->Handle(http::Method::kPost, path,
                    [this, handler](const http::Request& request,
                                    http::Responder responder) {
                      const auto expected =
                          http::FindHeader(request.headers, "Expect-Instance");
                      if (expected && *expected != id_) {
                        responder.Send(Reply(421, json::object()));
                        return;
                      }
                      handler(json::parse(request.body), std::move(responder));
                    });
  };
  serve("/api/run-start", [this](const json& body, http::Responder responder) {
    responder.Send(OnStart(body));
  });
  serve("/api/run-stop", [this](const json& body, http::Responder responder) {
    responder.Send(OnStop(body));
  });
  serve("/api/hold", [this](const json& body, http::Responder responder) {
    OnHold(body, std::move(responder));
  });
  Register();
}

// The entry changes when more than `seq` changes, so it is written once.
void Worker::Register() {
  stand_.store().Put(
      "servers/" + id_,
      json{{"service", kService},
           {"address", Loopback(port_)},
           {"zone", zone_},
           {"version", "v1"},
           {"slots", 8},
           {"state", "ready"},
           {"cold_remaining_ms", 0},
           {"capacity", {{"cpu", 32000}, {"mem_mb", 65536}, {"gpu", 0}}},
           {"labels", json{"a", "r1-1"}},
           {"clock_ms", ClockMs()},
           {"born", born_},
           {"seq", 1}}
          .dump());
}

std::int64_t Worker::ClockMs() const {
  return ToMilliseconds(stand_.Now() - life_began_);
}

http::Response Worker::Reply(int status, json body) const {
  body["clock_ms"] = ClockMs();
  body["born"] = born_;
  return {.status = status, .headers = {}, .body = body.dump()};
}

bool Worker::IsFenced(const json& body) {
  const auto token = body.value("fencing_token", std::uint64_t{0});
  if (token < highest_token_) {
    return true;
  }
  highest_token_ = token;
  return false;
}

void Worker::Extend(const json& body) {
  if (body.contains("until_ms")) {
    const auto until = body.at("until_ms").get<std::int64_t>();
    lease_ms_ = std::max(lease_ms_, std::min(until, ClockMs() + kHoldMaxMs));
  }
}

http::Response Worker::OnStart(const json& body) {
  if (IsFenced(body)) {
    return Reply(409, {{"reason", "fence"}});
  }
  const std::string task = body.at("task");
  const int run = body.at("run");
  const auto present = runs_.find(task);
  if (present != runs_.end() && present->second.number == run) {
    return Reply(200, json::object());
  }
  if (body.at("until_ms").get<std::int64_t>() <= ClockMs()) {
    return Reply(409, {{"reason", "late"}});
  }
  Extend(body);
  const auto last = last_numbers_.find(task);
  if (present != runs_.end() ||
      (last != last_numbers_.end() && run <= last->second)) {
    return Reply(409, {{"reason", "old"}});
  }
  const auto milliseconds = std::stoi(body.at("spec").get<std::string>());
  runs_[task] = {.number = run,
                 .end = stand_.Now() + std::chrono::milliseconds(milliseconds)};
  stand_.OnStart(*this, task, run);
  return Reply(200, json::object());
}

http::Response Worker::OnStop(const json& body) {
  if (IsFenced(body)) {
    return Reply(409, {{"reason", "fence"}});
  }
  const std::string task = body.at("task");
  int& last = last_numbers_[task];
  last = std::max(last, body.at("run").get<int>());
  const auto it = runs_.find(task);
  if (it != runs_.end() && it->second.number <= last) {
    EndRun(task, "stopped");
  }
  return Reply(200, json::object());
}

void Worker::OnHold(const json& body, http::Responder responder) {
  if (IsFenced(body)) {
    responder.Send(Reply(409, {{"reason", "fence"}}));
    return;
  }
  Extend(body);
  const auto last_seen = body.value("last_seen", std::uint64_t{0});
  std::erase_if(ends_, [&](const End& end) { return end.number <= last_seen; });
  const auto wait = body.value("wait_ms", std::int64_t{0});
  if (!ends_.empty() || wait == 0) {
    responder.Send(Lists(last_seen));
    return;
  }
  polls_.push_back({.last_seen = last_seen,
                    .until = stand_.Now() + std::chrono::milliseconds(wait),
                    .responder = std::move(responder)});
}

http::Response Worker::Lists(std::uint64_t last_seen) {
  json running = json::array();
  for (const auto& [task, run] : runs_) {
    running.push_back({task, run.number, "", 100, 0});
  }
  json ended = json::array();
  for (const End& end : ends_) {
    if (end.number > last_seen && ended.size() < 500) {
      ended.push_back({end.number, end.task, end.run, end.how, ""});
    }
  }
  return Reply(200, {{"running", running}, {"ended", ended}});
}

void Worker::EndRun(const std::string& task, const std::string& how) {
  const int run = runs_.at(task).number;
  runs_.erase(task);
  int& last = last_numbers_[task];
  last = std::max(last, run);
  ends_.push_back(
      {.number = ++last_end_, .task = task, .run = run, .how = how});
  stand_.OnEnd(*this, task, run, how);
}

void Worker::Tick() {
  const TimePoint now = stand_.Now();
  std::vector<std::pair<std::string, std::string>> over;
  for (const auto& [task, run] : runs_) {
    if (ClockMs() >= lease_ms_) {
      over.emplace_back(task, "lapsed");
    } else if (now >= run.end) {
      over.emplace_back(task, "done");
    }
  }
  for (const auto& [task, how] : over) {
    EndRun(task, how);
  }
  for (auto it = polls_.begin(); it != polls_.end();) {
    if (ends_.empty() && now < it->until) {
      ++it;
      continue;
    }
    it->responder.Send(Lists(it->last_seen));
    it = polls_.erase(it);
  }
}

Stand::Stand(StandOptions options)
    : options_(std::move(options)),
      runtime_(event_base_new()),
      store_(runtime_),
      record_(options_.folder + "/record.txt"),
      began_(runtime_.Now()),
      client_(runtime_.base(),
              {.timeout = std::chrono::seconds(30),
               .connections_per_address = 100}),
      timer_(runtime_.base(), [this] { Tick(); }) {
  ::signal(SIGPIPE, SIG_IGN);
  store_.Put(
      "op/config",
      json{{"version", 3},
           {"routes",
            {{{"name", "orders"},
              {"host", kHost},
              {"prefix", kPrefix},
              {"service", kService},
              {"kind", "unsafe"},
              {"timeout_ms", 1500},
              {"priority", 0},
              {"max_attempts", 3},
              {"stretch", 1.6},
              {"target_latency_ms", 60}}}},
           {"services", {{{"name", kService}, {"admission_check", true}}}},
           {"limits", {{"max_body_bytes", 262144}}}}
          .dump());
  for (const std::string& zone : options_.zones) {
    for (int number = 1; number <= options_.workers_per_zone; ++number) {
      workers_.push_back(std::make_unique<Worker>(
          *this, "i-" + zone + std::to_string(number), zone));
    }
  }
  for (const std::string& zone : options_.zones) {
    for (int number = 1; number <= options_.nodes_per_zone; ++number) {
      AddNode(zone, number);
    }
  }
  timer_.After(kTick);
}

Stand::~Stand() {
  for (const Node& node : nodes_) {
    ::kill(node.process, SIGKILL);
    ::waitpid(node.process, nullptr, 0);
  }
}

void Stand::AddNode(const std::string& zone, int number) {
  Node node{.name = "front-" + zone + "-" + std::to_string(number),
            .callers = FreePort()};
  node.settings = options_.folder + "/" + node.name + ".json";
  // As deploy/settings.json.in is filled in for a small deployment.
  std::ofstream(node.settings) << json{
      {"instance", {{"name", node.name}, {"failure_domain", zone}}},
      {"failure_domains", options_.zones},
      {"listen",
       {{"callers", Loopback(node.callers)},
        {"readiness", Loopback(FreePort())},
        {"readiness_path", "/api/ready"},
        {"peer", Loopback(FreePort())},
        {"metrics", Loopback(FreePort())}}},
      {"store", Loopback(store_.address().port)},
      {"limits", {{"processor_share", 0.25}}},
      {"times",
       {{"run_lease_ms", 1000},
        {"upstream_notice_ms", 2000},
        {"shutdown_limit_s", 6}}}}.dump();
  Launch(node);
  nodes_.push_back(std::move(node));
}

void Stand::Launch(Node& node) {
  const std::string log = options_.folder + "/" + node.name + ".log";
  const std::string config = "JAYPICK_CONFIG=" + node.settings;
  const pid_t process = ::fork();
  if (process == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(out, 1);
    ::dup2(out, 2);
    ::close_range(3, ~0U, 0);
    std::string path = std::string("PATH=") + std::getenv("PATH");
    char* const arguments[] = {const_cast<char*>("target/jaypick-node"),
                               nullptr};
    char* const environment[] = {path.data(), const_cast<char*>("LANG=C"),
                                 const_cast<char*>("HOME=/"),
                                 const_cast<char*>(config.c_str()), nullptr};
    ::execve("target/jaypick-node", arguments, environment);
    ::_exit(127);
  }
  node.process = process;
}

void Stand::RunFor(int milliseconds) {
  const timeval time{.tv_sec = milliseconds / 1000,
                     .tv_usec = (milliseconds % 1000) * 1000};
  event_base_loopexit(base(), &time);
  event_base_dispatch(base());
  for (const Node& node : nodes_) {
    if (::waitpid(node.process, nullptr, WNOHANG) == node.process) {
      throw std::runtime_error("a node has ended: " + node.name);
    }
  }
}

void Stand::After(int milliseconds, std::function<void()> action) {
  actions_.emplace(Now() + std::chrono::milliseconds(milliseconds),
                   std::move(action));
}

void Stand::Tick() {
  while (!actions_.empty() && actions_.begin()->first <= Now()) {
    const auto action = std::move(actions_.begin()->second);
    actions_.erase(actions_.begin());
    action();
  }
  for (const auto& worker : workers_) {
    worker->Tick();
  }
  timer_.After(kTick);
}

void Stand::Record(const std::string& line) {
  record_ << ToMilliseconds(Now() - began_) << " ms " << line << std::endl;
}

void Stand::Broken(const std::string& line) {
  ++broken_;
  Record("BROKEN " + line);
  std::cout << "BROKEN " << line << std::endl;
}

std::string Stand::Submit(std::size_t node,
                          json steps,
                          int timeout_ms,
                          int task_ms) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string id;
  for (int digit = 0; digit < 16; ++digit) {
    id += kDigits[random_() % 16];
  }
  jobs_[id] = {};
  ++sent_;
  const Node& to = nodes_[node % nodes_.size()];
  Record("job " + id + " sent to " + to.name);
  client_.Send(
      {.host = "127.0.0.1", .port = to.callers},
      {.method = http::Method::kPost,
       .path = kPrefix + id,
       .headers = {{.name = "Host", .value = kHost},
                   {.name = "Timeout-Ms", .value = std::to_string(timeout_ms)}},
       .body = json{{"spec", std::to_string(task_ms)},
                    {"best_effort", true},
                    {"steps", std::move(steps)}}
                   .dump()},
      std::chrono::milliseconds(timeout_ms),
      [this, id](const http::ClientResult& result) {
        const auto* const response = std::get_if<http::Response>(&result);
        completed_ += response != nullptr && response->status == 200 ? 1 : 0;
        Record("job " + id + " answered " +
               (response == nullptr
                    ? std::get<http::ClientError>(result).message
                    : std::to_string(response->status) + " " + response->body));
      });
  return id;
}

void Stand::Cancel(std::size_t node, const std::string& job) {
  const Node& to = nodes_[node % nodes_.size()];
  Record("job " + job + " cancel sent to " + to.name);
  client_.Send(
      {.host = "127.0.0.1", .port = to.callers},
      {.method = http::Method::kDelete,
       .path = kPrefix + job,
       .headers = {{.name = "Host", .value = kHost}}},
      std::chrono::milliseconds(2000),
      [this, job](const http::ClientResult& result) {
        const auto* const response = std::get_if<http::Response>(&result);
        const int status = response == nullptr ? 0 : response->status;
        Record("job " + job + " cancel answered " + std::to_string(status) +
               " " + (response == nullptr ? "" : response->body));
        if ((status >= 200 && status < 300) || status == 410) {
          jobs_.at(job).cancel_acknowledged = Now();
        }
      });
}

void Stand::OnStart(const Worker& worker, const std::string& task, int run) {
  Record("start " + task + " run " + std::to_string(run) + " on " +
         worker.id());
  const JobFacts& facts = jobs_.at(JobOf(task));
  if (facts.cancel_acknowledged &&
      Now() - *facts.cancel_acknowledged > kCancelLimit) {
    Broken("UNASKED: " + task + " starts " +
           std::to_string(ToMilliseconds(Now() - *facts.cancel_acknowledged)) +
           " ms after the job's cancelling was acknowledged");
  }
}

void Stand::OnEnd(const Worker& worker,
                  const std::string& task,
                  int run,
                  const std::string& how) {
  Record("end " + task + " run " + std::to_string(run) + " on " + worker.id() +
         " " + how);
  const JobFacts& facts = jobs_.at(JobOf(task));
  if (facts.cancel_acknowledged &&
      Now() - *facts.cancel_acknowledged > kCancelLimit + kStopLimit) {
    Broken("UNASKED: " + task + " ran until " +
           std::to_string(ToMilliseconds(Now() - *facts.cancel_acknowledged)) +
           " ms after the job's cancelling was acknowledged");
  }
}

}  // namespace review
