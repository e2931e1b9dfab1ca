#include "review/stand-2/upstream.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <utility>

namespace jaypick::review {
namespace {

using nlohmann::json;

constexpr Duration kTick = std::chrono::milliseconds(2);
// `heartbeat_ms` of the small deployments.
constexpr Duration kHeartbeat = std::chrono::milliseconds(1500);
// `hold_max_ms` of the small deployments.
constexpr Duration kLongestLease = std::chrono::milliseconds(1000);
constexpr std::size_t kMostEnds = 500;
constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kOtherInstance = 421;
// `applied_late`: how much later an order is carried out.
constexpr int kLeastLateMs = 2000;
constexpr int kMostLateMs = 12000;

std::int64_t UnixMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

Upstream::Upstream(node::Runtime& runtime,
                   standin::PlatformStore& store,
                   Options options,
                   Listener listener)
    : runtime_(runtime),
      store_(store),
      options_(std::move(options)),
      listener_(std::move(listener)),
      port_(std::make_unique<standin::PortHolder>()),
      born_(UnixMilliseconds()),
      started_(runtime.Now()),
      random_(static_cast<unsigned>(std::hash<std::string>()(options_.id))),
      timer_(runtime.base(), [this] { Tick(); }) {
  Listen();
  Register("ready");
  timer_.After(kTick);
}

Upstream::~Upstream() = default;

void Upstream::Listen() {
  server_ = std::make_unique<http::Server>(
      runtime_.base(),
      http::ServerOptions{
          .address = {.host = "127.0.0.1", .port = port_->value()}});
  const auto serve = [this](const char* path, auto handler) {
    server_->Handle(http::Method::kPost, path,
                    [this, handler](const http::Request& request,
                                    http::Responder responder) {
                      const auto intended =
                          http::FindHeader(request.headers, "Expect-Instance");
                      if (intended && *intended != options_.id) {
                        responder.Send(Reply(kOtherInstance, json::object()));
                        return;
                      }
                      handler(json::parse(request.body), std::move(responder));
                    });
  };
  const auto serve_order = [this, serve](const char* path, auto handler) {
    serve(path, [this, handler](const json& body, http::Responder responder) {
      if (std::uniform_real_distribution<double>(0, 1)(random_) < late_share_) {
        unanswered_.push_back(std::move(responder));
        late_orders_.emplace(
            runtime_.Now() +
                std::chrono::milliseconds(std::uniform_int_distribution<int>(
                    kLeastLateMs, kMostLateMs)(random_)),
            [handler, body] { handler(body); });
        return;
      }
      responder.Send(handler(body));
    });
  };
  serve_order("/api/run-start",
              [this](const json& body) { return OnStart(body); });
  serve_order("/api/run-stop",
              [this](const json& body) { return OnStop(body); });
  serve("/api/hold", [this](const json& body, http::Responder responder) {
    OnHold(body, std::move(responder));
  });
}

void Upstream::Register(const std::string& state) {
  state_ = state;
  registered_ = runtime_.Now();
  store_.Put(
      "servers/" + options_.id,
      json{{"service", "desk"},
           {"address", "127.0.0.1:" + std::to_string(port_->value())},
           {"zone", options_.zone},
           {"version", "1"},
           {"slots", options_.slots},
           {"state", state},
           {"cold_remaining_ms", 0},
           {"seq", ++sequence_},
           {"capacity",
            {{"cpu", options_.cpu}, {"mem_mb", options_.mem_mb}, {"gpu", 0}}},
           {"labels", options_.labels},
           {"born", born_}}
          .dump());
}

void Upstream::Expire() {
  store_.Remove("servers/" + options_.id);
}

void Upstream::Crash() {
  // The server first, so that the polls get no answer.
  server_.reset();
  polls_.clear();
  unanswered_.clear();
  late_orders_.clear();
  for (const auto& [task, run] : runs_) {
    listener_.on_end(task, run.number, "crashed");
  }
  runs_.clear();
}

void Upstream::Restart(std::vector<std::string> labels) {
  options_.labels = std::move(labels);
  born_ = UnixMilliseconds();
  started_ = runtime_.Now();
  token_ = 0;
  lease_end_ = TimePoint();
  last_ended_.clear();
  ends_.clear();
  last_end_ = 0;
  sequence_ = 0;
  Listen();
  Register("ready");
}

std::int64_t Upstream::ClockMs() const {
  return ToMilliseconds(runtime_.Now() - started_);
}

http::Response Upstream::Reply(int status, json body) const {
  body["clock_ms"] = ClockMs();
  body["born"] = born_;
  return {.status = status, .headers = {}, .body = body.dump()};
}

bool Upstream::IsFenced(const json& body) {
  const std::uint64_t token = body.value("fencing_token", std::uint64_t{0});
  if (token < token_) {
    return true;
  }
  token_ = token;
  return false;
}

void Upstream::Extend(const json& body) {
  if (body.contains("until_ms")) {
    const TimePoint until =
        started_ +
        std::chrono::milliseconds(body["until_ms"].get<std::int64_t>());
    lease_end_ =
        std::max(lease_end_, std::min(until, runtime_.Now() + kLongestLease));
  }
}

http::Response Upstream::OnStart(const json& body) {
  if (IsFenced(body)) {
    return Reply(kConflict, {{"reason", "fence"}});
  }
  const std::string task = body.at("task");
  const int run = body.at("run");
  const auto current = runs_.find(task);
  if (current != runs_.end() && current->second.number == run) {
    return Reply(kOk, json::object());
  }
  if (body.at("until_ms").get<std::int64_t>() <= ClockMs()) {
    return Reply(kConflict, {{"reason", "late"}});
  }
  Extend(body);
  const auto ended = last_ended_.find(task);
  if (current != runs_.end() ||
      (ended != last_ended_.end() && run <= ended->second)) {
    return Reply(kConflict, {{"reason", "old"}});
  }
  if (runs_.size() >= options_.slots) {
    return Reply(kConflict, {{"reason", "room"}});
  }
  const long run_time_ms =
      std::strtol(body.at("spec").get<std::string>().c_str(), nullptr, 10);
  runs_[task] = {
      .number = run,
      .end = runtime_.Now() + std::chrono::milliseconds(run_time_ms)};
  listener_.on_start(task, run);
  return Reply(kOk, json::object());
}

http::Response Upstream::OnStop(const json& body) {
  if (IsFenced(body)) {
    return Reply(kConflict, {{"reason", "fence"}});
  }
  const std::string task = body.at("task");
  int& ended = last_ended_[task];
  ended = std::max(ended, body.at("run").get<int>());
  const auto it = runs_.find(task);
  if (it != runs_.end() && it->second.number <= ended) {
    EndRun(task, "stopped");
  }
  return Reply(kOk, json::object());
}

http::Response Upstream::Lists() const {
  json running = json::array();
  for (const auto& [task, run] : runs_) {
    running.push_back({task, run.number, "", 100, 1000});
  }
  json ended = json::array();
  for (const End& end : ends_) {
    if (ended.size() < kMostEnds) {
      ended.push_back({end.number, end.task, end.run, end.how, ""});
    }
  }
  return Reply(kOk, {{"running", running}, {"ended", ended}});
}

void Upstream::OnHold(const json& body, http::Responder responder) {
  if (IsFenced(body)) {
    responder.Send(Reply(kConflict, {{"reason", "fence"}}));
    return;
  }
  Extend(body);
  const std::uint64_t last_seen = body.value("last_seen", std::uint64_t{0});
  std::erase_if(ends_, [&](const End& end) { return end.number <= last_seen; });
  const std::int64_t wait = body.value("wait_ms", std::int64_t{0});
  if (wait == 0 || !ends_.empty()) {
    responder.Send(Lists());
    return;
  }
  polls_.push_back(
      {.until = runtime_.Now() + std::chrono::milliseconds(wait),
       .responder = std::make_unique<http::Responder>(std::move(responder))});
}

void Upstream::EndRun(const std::string& task, const std::string& how) {
  const auto it = runs_.find(task);
  const int run = it->second.number;
  runs_.erase(it);
  last_ended_[task] = std::max(last_ended_[task], run);
  ends_.push_back(
      {.number = ++last_end_, .task = task, .run = run, .how = how});
  listener_.on_end(task, run, how);
}

void Upstream::Tick() {
  timer_.After(kTick);
  if (!is_up()) {
    return;
  }
  const TimePoint now = runtime_.Now();
  if (now - registered_ >= kHeartbeat) {
    Register(state_);
  }
  while (!late_orders_.empty() && late_orders_.begin()->first <= now) {
    const auto order = std::move(late_orders_.begin()->second);
    late_orders_.erase(late_orders_.begin());
    order();
  }
  std::vector<std::pair<std::string, std::string>> over;
  for (const auto& [task, run] : runs_) {
    if (now >= lease_end_) {
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
    it->responder->Send(Lists());
    it = polls_.erase(it);
  }
}

}  // namespace jaypick::review
