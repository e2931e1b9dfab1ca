#include <algorithm>
#include <sstream>
#include <utility>

#include "standins/platform_service.h"

namespace jaypick::standin {
namespace {

using nlohmann::json;

constexpr Duration kTickInterval = std::chrono::milliseconds(2);
constexpr Duration kMaxLease = std::chrono::milliseconds(1000);
constexpr int kConflict = 409;

}  // namespace

TaskScript ParseScript(const std::string& spec) {
  std::istringstream words(spec);
  std::string word;
  TaskScript script;
  while (words >> word) {
    if (word == "fail") {
      script.fails = true;
    } else if (word == "crash") {
      script.crashes = true;
    } else {
      script.run_time = std::chrono::milliseconds(std::stoll(word));
    }
  }
  return script;
}

PlatformUpstream::PlatformUpstream(node::Runtime& runtime,
                                   PlatformStore& store,
                                   RunMonitor& run_monitor,
                                   Options options)
    : runtime_(runtime),
      store_(store),
      run_monitor_(run_monitor),
      options_(std::move(options)),
      incarnation_(1),
      start_time_(runtime.Now()),
      timer_(runtime.base(), [this] { Tick(); }),
      server_(runtime.base(), {.address = {.host = "127.0.0.1", .port = 0}}) {
  Serve("/api/run-start", [this](const json& body) { return OnStart(body); });
  Serve("/api/run-stop", [this](const json& body) { return OnStop(body); });
  server_.Handle(
      http::Method::kPost, "/api/hold",
      [this](const http::Request& request, http::Responder responder) {
        if (is_silent_) {
          unanswered_.push_back(std::move(responder));
          return;
        }
        OnPoll(json::parse(request.body), std::move(responder));
      });
  Register("ready");
  timer_.After(kTickInterval);
}

PlatformUpstream::~PlatformUpstream() = default;

void PlatformUpstream::Register(const std::string& state) {
  store_.Put(
      "servers/" + options_.id,
      json{{"service", options_.service},
           {"address", "127.0.0.1:" + std::to_string(registered_port_ == 0
                                                         ? server_.port()
                                                         : registered_port_)},
           {"zone", options_.zone},
           {"slots", 8},
           {"state", state},
           {"capacity",
            {{"cpu", options_.milli_cpus}, {"mem_mb", 65536}, {"gpu", 0}}},
           {"labels", {"a", "r1-1"}},
           {"born", listed_start_.value_or(incarnation_)}}
          .dump());
}

void PlatformUpstream::RegisterStartTime(std::int64_t started_unix_ms) {
  listed_start_ = started_unix_ms;
  Register("ready");
}

void PlatformUpstream::RegisterAt(std::uint16_t port) {
  registered_port_ = port;
  Register("ready");
}

void PlatformUpstream::Serve(const char* path, RequestHandler handler) {
  server_.Handle(http::Method::kPost, path,
                 [this, handler = std::move(handler)](
                     const http::Request& request, http::Responder responder) {
                   const json body = json::parse(request.body);
                   if (is_silent_) {
                     unanswered_.push_back(std::move(responder));
                     return;
                   }
                   if (request_delay_ > Duration(0)) {
                     unanswered_.push_back(std::move(responder));
                     delayed_requests_.emplace(
                         runtime_.Now() + request_delay_,
                         [handler, body] { handler(body); });
                     return;
                   }
                   responder.Send(handler(body));
                 });
}

std::int64_t PlatformUpstream::clock_ms() const {
  return ToMilliseconds(runtime_.Now() - start_time_);
}

http::Response PlatformUpstream::StampedResponse(int status, json body) const {
  body["clock_ms"] = clock_ms();
  body["born"] = incarnation_;
  return {.status = status, .headers = {}, .body = body.dump()};
}

bool PlatformUpstream::IsFenced(const json& body) {
  const std::uint64_t token = body.value("fencing_token", std::uint64_t{0});
  if (token < highest_token_) {
    return true;
  }
  highest_token_ = token;
  return false;
}

void PlatformUpstream::ExtendLease(const json& body) {
  if (!body.contains("until_ms")) {
    return;
  }
  const TimePoint until =
      start_time_ +
      std::chrono::milliseconds(body.at("until_ms").get<std::int64_t>());
  lease_expiry_ =
      std::max(lease_expiry_, std::min(until, runtime_.Now() + kMaxLease));
}

http::Response PlatformUpstream::OnStart(const json& body) {
  if (IsFenced(body)) {
    return StampedResponse(kConflict, {{"reason", "fence"}});
  }
  const std::string task = body.at("task");
  const int run = body.at("run");
  const auto current = runs_.find(task);
  if (current != runs_.end() && current->second.number == run) {
    return StampedResponse(200, json::object());
  }
  if (body.at("until_ms").get<std::int64_t>() <= clock_ms()) {
    return StampedResponse(kConflict, {{"reason", "late"}});
  }
  ExtendLease(body);
  const auto ended = last_ended_runs_.find(task);
  if (current != runs_.end() ||
      (ended != last_ended_runs_.end() && run <= ended->second)) {
    return StampedResponse(kConflict, {{"reason", "old"}});
  }
  const TaskScript script = ParseScript(body.at("spec"));
  runs_[task] = {.number = run,
                 .end_time = runtime_.Now() + script.run_time,
                 .fails = script.fails,
                 .crashes = script.crashes};
  ++run_monitor_.started;
  run_monitor_.started_jobs.insert(task.substr(0, task.find('.')));
  if (++run_monitor_.running[task] > 1) {
    run_monitor_.violations.push_back("two runs of " + task + " at once");
  }
  return StampedResponse(200, json::object());
}

http::Response PlatformUpstream::OnStop(const json& body) {
  if (IsFenced(body)) {
    return StampedResponse(kConflict, {{"reason", "fence"}});
  }
  const std::string task = body.at("task");
  int& ended = last_ended_runs_[task];
  ended = std::max(ended, body.at("run").get<int>());
  const auto it = runs_.find(task);
  if (it != runs_.end() && it->second.number <= ended) {
    EndRun(task, "stopped");
  }
  return StampedResponse(200, json::object());
}

void PlatformUpstream::OnPoll(const json& body, http::Responder responder) {
  if (IsFenced(body)) {
    responder.Send(StampedResponse(kConflict, {{"reason", "fence"}}));
    return;
  }
  ExtendLease(body);
  const std::uint64_t last_seen = body.value("last_seen", std::uint64_t{0});
  std::erase_if(unacknowledged_ends_, [&](const RunEnd& end) {
    return end.sequence_number <= last_seen;
  });
  const std::int64_t wait = body.value("wait_ms", std::int64_t{0});
  if (!unacknowledged_ends_.empty() || wait == 0) {
    responder.Send(BuildPollResponse(last_seen));
    return;
  }
  pending_polls_.push_back(
      {.last_seen = last_seen,
       .expiry = runtime_.Now() + std::chrono::milliseconds(wait),
       .responder = std::make_unique<http::Responder>(std::move(responder))});
}

http::Response PlatformUpstream::BuildPollResponse(std::uint64_t last_seen) {
  json running = json::array();
  for (const auto& [task, run] : runs_) {
    running.push_back({task, run.number, "", 100, 6800});
  }
  json ended = json::array();
  for (const RunEnd& end : unacknowledged_ends_) {
    if (end.sequence_number > last_seen) {
      ended.push_back(
          {end.sequence_number, end.task, end.run, end.outcome, ""});
    }
  }
  return StampedResponse(200, {{"running", running}, {"ended", ended}});
}

void PlatformUpstream::EndRun(const std::string& task,
                              const std::string& outcome) {
  const auto it = runs_.find(task);
  const int run = it->second.number;
  runs_.erase(it);
  --run_monitor_.running[task];
  last_ended_runs_[task] = std::max(last_ended_runs_[task], run);
  unacknowledged_ends_.push_back({.sequence_number = ++last_sequence_number_,
                                  .task = task,
                                  .run = run,
                                  .outcome = outcome});
}

void PlatformUpstream::Restart() {
  for (const auto& [task, run] : runs_) {
    --run_monitor_.running[task];
  }
  runs_.clear();
  last_ended_runs_.clear();
  unacknowledged_ends_.clear();
  last_sequence_number_ = 0;
  highest_token_ = 0;
  ++incarnation_;
  start_time_ = runtime_.Now();
  lease_expiry_ = TimePoint();
  Register("ready");
}

void PlatformUpstream::Tick() {
  const TimePoint now = runtime_.Now();
  while (!delayed_requests_.empty() &&
         delayed_requests_.begin()->first <= now) {
    const auto handler = std::move(delayed_requests_.begin()->second);
    delayed_requests_.erase(delayed_requests_.begin());
    handler();
  }
  const bool has_crashed = std::ranges::any_of(runs_, [&](const auto& entry) {
    return entry.second.crashes && now >= entry.second.end_time &&
           now < lease_expiry_;
  });
  if (has_crashed) {
    ++run_monitor_.crashes;
    Restart();
  }
  std::vector<std::pair<std::string, std::string>> finished;
  for (const auto& [task, run] : runs_) {
    if (now >= lease_expiry_) {
      finished.emplace_back(task, "lapsed");
    } else if (now >= run.end_time && !hangs_) {
      finished.emplace_back(task, run.fails || fails_ ? "failed" : "done");
    }
  }
  for (const auto& [task, outcome] : finished) {
    EndRun(task, outcome);
  }
  for (auto it = pending_polls_.begin(); it != pending_polls_.end();) {
    if (unacknowledged_ends_.empty() && now < it->expiry) {
      ++it;
      continue;
    }
    if (is_silent_) {
      unanswered_.push_back(std::move(*it->responder));
    } else {
      it->responder->Send(BuildPollResponse(it->last_seen));
    }
    it = pending_polls_.erase(it);
  }
  timer_.After(kTickInterval);
}

}  // namespace jaypick::standin
