#include "bed.h"

#include <event2/event.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace review {
namespace {

using jaypick::http::Method;
using jaypick::http::Request;
using jaypick::http::Responder;
using jaypick::http::Response;

constexpr Duration kTick = milliseconds(2);
constexpr Duration kHoldMax = milliseconds(1000);
constexpr std::size_t kEndsPerList = 500;

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    throw std::runtime_error("cannot read " + path);
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

void ReplaceAll(std::string& text,
                const std::string& from,
                const std::string& to) {
  for (std::size_t at = text.find(from); at != std::string::npos;
       at = text.find(from, at + to.size())) {
    text.replace(at, from.size(), to);
  }
}

std::string Endpoint(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

// Milliseconds since 1970; each call returns a later one.
std::int64_t NextUnixMs() {
  static std::int64_t last = 0;
  const auto now = std::chrono::duration_cast<milliseconds>(
                       std::chrono::system_clock::now().time_since_epoch())
                       .count();
  last = std::max<std::int64_t>(last + 1, now);
  return last;
}

}  // namespace

std::string JobOf(const std::string& task) {
  return task.substr(0, task.find('.'));
}

// --- Executor ----------------------------------------------------------------

Executor::Executor(Bed& bed, Options options)
    : bed_(bed),
      options_(std::move(options)),
      timer_(bed.base(), [this] { Tick(); }) {}

Executor::~Executor() {
  Crash();
}

void Executor::Start(Kind kind) {
  kind_ = std::move(kind);
  born_ = NextUnixMs();
  start_time_ = bed_.runtime().Now();
  token_ = 0;
  lease_ = TimePoint();
  last_run_.clear();
  ends_.clear();
  last_end_ = 0;
  Register("ready");
  Listen();
  Tick();
}

void Executor::Crash() {
  server_.reset();
  polls_.clear();
  runs_.clear();
  timer_.Cancel();
}

void Executor::Register(const std::string& state) {
  bed_.store().Put(
      "servers/" + options_.id,
      Json{{"service", options_.service},
           {"address", Endpoint(port_.value())},
           {"zone", options_.zone},
           {"version", "v1"},
           {"slots", 8},
           {"state", state},
           {"cold_remaining_ms", 0},
           {"capacity",
            {{"cpu", kind_.cpu}, {"mem_mb", kind_.mem_mb}, {"gpu", 0}}},
           {"labels", kind_.labels},
           {"born", born_},
           {"seq", ++seq_}}
          .dump());
}

void Executor::RemoveEntry() {
  bed_.store().Remove("servers/" + options_.id);
}

int Executor::cpu_in_use() const {
  int sum = 0;
  for (const auto& [task, run] : runs_) {
    sum += run.cpu;
  }
  return sum;
}

std::int64_t Executor::ClockMs() const {
  return jaypick::ToMilliseconds(bed_.runtime().Now() - start_time_);
}

Response Executor::Stamped(int status, Json body) const {
  body["clock_ms"] = ClockMs();
  body["born"] = born_;
  return {.status = status, .headers = {}, .body = body.dump()};
}

void Executor::Listen() {
  server_ = std::make_unique<jaypick::http::Server>(
      bed_.base(),
      jaypick::http::ServerOptions{
          .address = {.host = "127.0.0.1", .port = port_.value()}});
  // Any other incarnation than the one named responds with 421.
  const auto is_other = [this](const Request& request) {
    const auto expected =
        jaypick::http::FindHeader(request.headers, "Expect-Instance");
    return expected && *expected != options_.id;
  };
  const auto serve = [&](const char* path,
                         Response (Executor::*handler)(const Json&)) {
    server_->Handle(
        Method::kPost, path,
        [this, handler, is_other](const Request& request, Responder responder) {
          responder.Send(is_other(request)
                             ? Stamped(421, Json::object())
                             : (this->*handler)(Json::parse(request.body)));
        });
  };
  serve("/api/run-start", &Executor::OnStart);
  serve("/api/run-stop", &Executor::OnStop);
  server_->Handle(
      Method::kPost, "/api/hold",
      [this, is_other](const Request& request, Responder responder) {
        if (is_other(request)) {
          responder.Send(Stamped(421, Json::object()));
          return;
        }
        OnHold(Json::parse(request.body), std::move(responder));
      });
  server_->Handle(Method::kGet, "/health",
                  [](const Request&, Responder responder) {
                    responder.Send({.body = "{}"});
                  });
}

bool Executor::IsFenced(const Json& body) {
  const std::uint64_t token = body.value("fencing_token", std::uint64_t{0});
  if (token < token_) {
    return true;
  }
  token_ = token;
  return false;
}

void Executor::ExtendLease(const Json& body) {
  if (!body.contains("until_ms")) {
    return;
  }
  const TimePoint until =
      start_time_ + milliseconds(body.at("until_ms").get<std::int64_t>());
  lease_ = std::max(lease_, std::min(until, bed_.runtime().Now() + kHoldMax));
}

Response Executor::OnStart(const Json& body) {
  if (IsFenced(body)) {
    return Stamped(409, {{"reason", "fence"}});
  }
  const std::string task = body.at("task");
  const int run = body.at("run");
  const auto current = runs_.find(task);
  if (current != runs_.end() && current->second.number == run) {
    return Stamped(200, Json::object());
  }
  if (body.at("until_ms").get<std::int64_t>() <= ClockMs()) {
    return Stamped(409, {{"reason", "late"}});
  }
  ExtendLease(body);
  const auto last = last_run_.find(task);
  if (current != runs_.end() ||
      (last != last_run_.end() && run <= last->second)) {
    return Stamped(409, {{"reason", "old"}});
  }
  // spec: "RUN_MS,RUN_MS,.. CPU": run time by step, and the cpu of each task.
  std::istringstream words(body.at("spec").get<std::string>());
  std::string times;
  int cpu = 0;
  words >> times >> cpu;
  const std::string step_text = task.substr(0, task.rfind('.'));
  int step = std::stoi(step_text.substr(step_text.rfind('.') + 1));
  std::istringstream list(times);
  std::string time;
  while (std::getline(list, time, ',') && step-- > 0) {
  }
  if (options_.guards && cpu_in_use() + cpu > kind_.cpu) {
    return Stamped(409, {{"reason", "room"}});
  }
  const TimePoint now = bed_.runtime().Now();
  runs_[task] = {.number = run,
                 .cpu = cpu,
                 .started = now,
                 .end_time = now + milliseconds(std::stoll(time))};
  if (bed_.on_start) {
    bed_.on_start(*this, task, run, cpu);
  }
  return Stamped(200, Json::object());
}

Response Executor::OnStop(const Json& body) {
  if (IsFenced(body)) {
    return Stamped(409, {{"reason", "fence"}});
  }
  const std::string task = body.at("task");
  int& last = last_run_[task];
  last = std::max(last, body.at("run").get<int>());
  const auto it = runs_.find(task);
  if (it != runs_.end() && it->second.number <= last) {
    EndRun(task, "stopped");
  }
  return Stamped(200, Json::object());
}

void Executor::OnHold(const Json& body, Responder responder) {
  if (IsFenced(body)) {
    responder.Send(Stamped(409, {{"reason", "fence"}}));
    return;
  }
  ExtendLease(body);
  const std::uint64_t last_seen = body.value("last_seen", std::uint64_t{0});
  std::erase_if(ends_, [&](const End& end) { return end.number <= last_seen; });
  const std::int64_t wait = body.value("wait_ms", std::int64_t{0});
  if (!ends_.empty() || wait == 0) {
    responder.Send(Lists(last_seen));
    return;
  }
  polls_.push_back(
      {.last_seen = last_seen,
       .expiry = bed_.runtime().Now() + milliseconds(wait),
       .responder = std::make_unique<Responder>(std::move(responder))});
}

Response Executor::Lists(std::uint64_t last_seen) const {
  Json running = Json::array();
  for (const auto& [task, run] : runs_) {
    running.push_back({task, run.number, "", 100, run.cpu});
  }
  Json ended = Json::array();
  for (const End& end : ends_) {
    if (end.number > last_seen && ended.size() < kEndsPerList) {
      ended.push_back({end.number, end.task, end.run, end.how, ""});
    }
  }
  return Stamped(200, {{"running", running}, {"ended", ended}});
}

void Executor::EndRun(const std::string& task, const std::string& how) {
  const auto it = runs_.find(task);
  const int run = it->second.number;
  runs_.erase(it);
  last_run_[task] = std::max(last_run_[task], run);
  ends_.push_back(
      {.number = ++last_end_, .task = task, .run = run, .how = how});
  if (bed_.on_end) {
    bed_.on_end(*this, task, run, how);
  }
}

void Executor::Tick() {
  const TimePoint now = bed_.runtime().Now();
  std::vector<std::pair<std::string, std::string>> over;
  for (const auto& [task, run] : runs_) {
    if (now >= lease_) {
      over.emplace_back(task, "lapsed");
    } else if (now >= run.end_time) {
      over.emplace_back(task, "done");
    }
  }
  for (const auto& [task, how] : over) {
    EndRun(task, how);
  }
  for (auto it = polls_.begin(); it != polls_.end();) {
    if (ends_.empty() && now < it->expiry) {
      ++it;
      continue;
    }
    it->responder->Send(Lists(it->last_seen));
    it = polls_.erase(it);
  }
  timer_.After(kTick);
}

// --- Bed ---------------------------------------------------------------------

Bed::Bed(BedOptions options) : options_(std::move(options)) {
  signal(SIGPIPE, SIG_IGN);
  base_ = event_base_new();
  runtime_ = std::make_unique<jaypick::node::Runtime>(base_);
  store_ = std::make_unique<jaypick::standin::PlatformStore>(*runtime_);
  client_ = std::make_unique<jaypick::http::Client>(
      base_, jaypick::http::ClientOptions{.connections_per_address = 200,
                                          .resets_on_timeout = true});
  started_ = runtime_->Now();
  PutConfiguration(7, {"/desk/"});
  for (const auto& [name, zone] : options_.nodes) {
    NodeProcess node{.name = name, .zone = zone};
    for (auto* const port :
         {&node.callers, &node.ready, &node.peer, &node.metrics}) {
      *port = std::make_unique<jaypick::standin::PortHolder>();
    }
    if (options_.relays_peers) {
      node.relay = std::make_unique<PeerRelay>(base_, node.peer->value());
    }
    if (options_.relays_store) {
      node.store_relay =
          std::make_unique<PeerRelay>(base_, store_->address().port);
    }
    node.settings = options_.folder + "/" + name + ".conf";
    node.log = options_.folder + "/" + name + ".log";
    std::ofstream(node.settings) << RenderSettings(node);
    nodes_.push_back(std::move(node));
  }
}

Bed::~Bed() {
  for (NodeProcess& node : nodes_) {
    if (node.pid > 0) {
      kill(node.pid, SIGKILL);
      waitpid(node.pid, nullptr, 0);
    }
  }
  executors_.clear();
  client_.reset();
  nodes_.clear();
  timers_.clear();
  store_.reset();
  runtime_.reset();
  event_base_free(base_);
}

void Bed::PutConfiguration(int version,
                           const std::vector<std::string>& prefixes) {
  Json routes = Json::array();
  for (const std::string& prefix : prefixes) {
    routes.push_back({{"name", "r" + prefix},
                      {"host", "desk.example"},
                      {"prefix", prefix},
                      {"kind", "unsafe"},
                      {"timeout_ms", 30000},
                      {"target_latency_ms", 60},
                      {"priority", 1},
                      {"service", "order-desk"},
                      {"max_attempts", 3},
                      {"stretch", 1.6}});
  }
  store_->Put("op/config",
              Json{{"version", version},
                   {"routes", routes},
                   {"services",
                    {{{"name", "order-desk"},
                      {"health_path", "/health"},
                      {"max_conns", 64},
                      {"protocol", "h1"},
                      {"tls", false},
                      {"admission_check", options_.admission_check},
                      {"standby", false}}}},
                   {"limits",
                    {{"max_header_bytes", 16384},
                     {"max_body_bytes", 262144},
                     {"header_timeout_ms", 3000},
                     {"idle_timeout_ms", 15000}}}}
                  .dump());
}

// Fills the project's template with the fields that it uses.
std::string Bed::RenderSettings(const NodeProcess& node) const {
  std::string text = ReadFile(options_.root + "/deploy/settings.json.in");
  std::string zones;
  for (const std::string& zone : options_.zones) {
    zones += (zones.empty() ? "\"" : ",\"") + zone + "\"";
  }
  ReplaceAll(text, "{{#zones}}\"{{@}}\"{{,}}{{/zones}}", zones);
  const std::vector<std::pair<std::string, std::string>> fields{
      {"{{node}}", node.name},
      {"{{zone}}", node.zone},
      {"{{listen_addrs.front}}", Endpoint(node.callers->value())},
      {"{{listen_addrs.ready}}", Endpoint(node.ready->value())},
      {"{{ip}}", "127.0.0.1"},
      {"{{port_range.0}}", std::to_string(node.peer->value())},
      {"{{port_range.1}}", std::to_string(node.metrics->value())},
      {"{{platform.address}}",
       Endpoint(node.store_relay == nullptr ? store_->address().port
                                            : node.store_relay->port())},
      {"{{limits.cpu_share|json}}", "0.25"},
      {"{{bounds.hold_max_ms|json}}", "1000"},
      {"{{bounds.drain_ms|json}}", "2000"},
      {"{{bounds.grace_s|json}}", "6"}};
  for (const auto& [from, to] : fields) {
    ReplaceAll(text, from, to);
  }
  if (text.find("{{") != std::string::npos) {
    throw std::runtime_error("the template has a field that is not filled in");
  }
  if (node.relay != nullptr) {
    Json settings = Json::parse(text);
    settings["listen"]["advertised_peer"] = Endpoint(node.relay->port());
    text = settings.dump(2);
  }
  return text;
}

Executor& Bed::AddExecutor(Executor::Options options, Executor::Kind kind) {
  executors_.push_back(std::make_unique<Executor>(*this, std::move(options)));
  executors_.back()->Start(std::move(kind));
  return *executors_.back();
}

void Bed::LaunchNode(NodeProcess& node) {
  // The command of the deploy file, split at spaces.
  const std::string deploy = ReadFile(options_.root + "/deploy/system.toml");
  const std::string key = "\nrun = \"";
  const std::size_t begin = deploy.find(key) + key.size();
  std::istringstream command(
      deploy.substr(begin, deploy.find('"', begin) - begin));
  std::vector<std::string> words;
  for (std::string word; command >> word;) {
    words.push_back(word);
  }
  std::vector<char*> arguments;
  for (std::string& word : words) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);
  const std::string variable = "JAYPICK_CONFIG=" + node.settings;
  const int log = open(node.log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
  const pid_t pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    close_range(STDERR_FILENO + 1, ~0U, 0);
    signal(SIGPIPE, SIG_DFL);
    if (chdir(options_.root.c_str()) == 0) {
      putenv(const_cast<char*>(variable.c_str()));
      execv(arguments[0], arguments.data());
    }
    _exit(127);
  }
  close(log);
  node.pid = pid;
}

void Bed::SignalNode(NodeProcess& node, int signal) {
  if (node.pid > 0) {
    kill(node.pid, signal);
  }
  if (signal == SIGKILL && node.pid > 0) {
    waitpid(node.pid, nullptr, 0);
    node.pid = -1;
  }
}

bool Bed::HasExited(NodeProcess& node) {
  if (node.pid > 0 && waitpid(node.pid, nullptr, WNOHANG) == node.pid) {
    node.pid = -1;
  }
  return node.pid < 0;
}

bool Bed::WaitReady() {
  for (int attempt = 0; attempt < 200; ++attempt) {
    std::size_t ready = 0;
    std::size_t answers = 0;
    for (const NodeProcess& node : nodes_) {
      client_->Send(
          {.host = "127.0.0.1", .port = node.ready->value()},
          {.method = Method::kGet, .path = "/api/ready"}, milliseconds(500),
          [&](const jaypick::http::ClientResult& result) {
            const auto* const response = std::get_if<Response>(&result);
            ++answers;
            ready += response != nullptr && response->status == 200;
          });
    }
    RunFor(std::chrono::seconds(1), [&] { return answers == nodes_.size(); });
    if (ready == nodes_.size()) {
      return true;
    }
    RunFor(milliseconds(100));
  }
  return false;
}

bool Bed::RunFor(Duration duration, const std::function<bool()>& done) {
  const TimePoint end = runtime_->Now() + duration;
  while (runtime_->Now() < end) {
    if (done && done()) {
      return true;
    }
    const timeval slice{.tv_sec = 0, .tv_usec = 2000};
    event_base_loopexit(base_, &slice);
    event_base_dispatch(base_);
  }
  return done && done();
}

void Bed::After(Duration delay, std::function<void()> action) {
  timers_.push_back(
      std::make_unique<jaypick::node::Timer>(base_, std::move(action)));
  timers_.back()->After(delay);
}

std::int64_t Bed::NowMs() {
  return jaypick::ToMilliseconds(runtime_->Now() - started_);
}

std::size_t Bed::LeaderOf(const std::string& zone) {
  const Json record =
      Json::parse(store_->Value("jaypick/command/" + zone), nullptr, false);
  for (std::size_t number = 0; number < nodes_.size(); ++number) {
    if (record.is_object() &&
        record.value("instance", "") == nodes_[number].name) {
      return number;
    }
  }
  throw std::runtime_error(zone + " has no leader");
}

std::string Bed::Submit(const std::string& zone,
                        Json steps,
                        const std::string& spec,
                        int timeout_ms,
                        std::optional<std::size_t> node,
                        std::function<void(const Job&)> done) {
  char id[17];
  std::snprintf(
      id, sizeof(id), "%016llx",
      static_cast<unsigned long long>(++last_job_ * 0x9e3779b97f4a7c15ULL));
  Job& job = jobs_[id];
  job.id = id;
  job.zone = zone;
  job.timeout_ms = timeout_ms;
  job.body = {
      {"spec", spec}, {"best_effort", true}, {"steps", std::move(steps)}};
  if (!node) {
    std::vector<std::size_t> local;
    for (std::size_t number = 0; number < nodes_.size(); ++number) {
      if (nodes_[number].zone == zone && nodes_[number].pid > 0) {
        local.push_back(number);
      }
    }
    node = local.at(std::hash<std::string>()(job.id) % local.size());
  }
  job.node = *node;
  Send(job, done);
  return job.id;
}

void Bed::ResetClient(const std::string& id) {
  Record("the connection of job " + id + " is reset");
  client_->Cancel(jobs_.at(id).call);
}

void Bed::Resubmit(const std::string& id, std::size_t node) {
  Job& job = jobs_.at(id);
  job.node = node;
  Send(job, nullptr);
}

void Bed::Send(Job& job, const std::function<void(const Job&)>& done) {
  job.sent = runtime_->Now();
  job.answered.reset();
  Record("job " + job.id + " sent to " + nodes_[job.node].name + ": " +
         job.body["steps"].dump());
  job.call = client_->Send(
      {.host = "127.0.0.1", .port = nodes_[job.node].callers->value()},
      {.method = Method::kPost,
       .path = PathOf(job.id),
       .headers = {{.name = "Timeout-Ms",
                    .value = std::to_string(job.timeout_ms)},
                   {.name = "Host", .value = "desk.example"}},
       .body = job.body.dump()},
      milliseconds(job.timeout_ms),
      [this, id = job.id, done](const jaypick::http::ClientResult& result) {
        Job& answered = jobs_.at(id);
        if (const auto* const response = std::get_if<Response>(&result)) {
          answered.status = response->status;
          answered.text = response->body;
        }
        answered.answered = runtime_->Now();
        Record("job " + id + " answered " + std::to_string(answered.status) +
               " " + answered.text);
        if (done) {
          done(answered);
        }
      });
}

void Bed::Call(std::size_t node,
               Method method,
               const std::string& path,
               std::function<void(int, const std::string&)> done) {
  client_->Send(
      {.host = "127.0.0.1", .port = nodes_[node].callers->value()},
      {.method = method,
       .path = path,
       .headers = {{.name = "Host", .value = "desk.example"}}},
      std::chrono::seconds(3),
      [done = std::move(done)](const jaypick::http::ClientResult& result) {
        const auto* const response = std::get_if<Response>(&result);
        done(response == nullptr ? 0 : response->status,
             response == nullptr ? "" : response->body);
      });
}

void Bed::Record(const std::string& line) {
  lines_.push_back(std::to_string(NowMs()) + " ms " + line);
}

void Bed::Violation(const std::string& line) {
  ++violations_;
  Record("BROKEN " + line);
}

int Bed::Finish(const std::string& summary) {
  Record(summary);
  Record(violations_ == 0
             ? "the rule held"
             : "the rule was broken " + std::to_string(violations_) + " times");
  std::ofstream file(options_.record);
  for (const std::string& line : lines_) {
    file << line << '\n';
  }
  std::cout << lines_[lines_.size() - 2] << '\n' << lines_.back() << std::endl;
  return violations_ == 0 ? 0 : 1;
}

}  // namespace review
