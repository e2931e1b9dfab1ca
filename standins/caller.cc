#include "standins/caller.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace jaypick::standin {
namespace {

constexpr int kOk = 200;
constexpr Duration kTimeout = std::chrono::seconds(70);
// Ids reserved for each job in flight, so that none waits for another's answer.
constexpr std::size_t kIdsPerJob = 2;
constexpr double kMedian = 0.5;
constexpr double kTail = 0.99;

double Quantile(const std::vector<double>& sorted, double quantile) {
  if (sorted.empty()) {
    return 0;
  }
  const auto last = static_cast<double>(sorted.size() - 1);
  return sorted[static_cast<std::size_t>(last * quantile)];
}

double Milliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace

Caller::Caller(event_base* base, CallerOptions options)
    : options_(std::move(options)),
      client_(base,
              {.timeout = kTimeout,
               .connections_per_address = options_.jobs_in_flight}) {
  for (std::size_t i = 0; i < options_.tasks_per_job; ++i) {
    tasks_ += (i == 0 ? "" : ",") + options_.payload;
  }
}

void Caller::Run(std::function<void(Json)> finished) {
  finished_ = std::move(finished);
  const Json body = {{"owner", options_.owner},
                     {"count", options_.jobs_in_flight * kIdsPerJob}};
  client_.Send(options_.entry,
               {.method = http::Method::kPost,
                .path = "/v1/ids",
                .query = {},
                .headers = {},
                .body = body.dump()},
               [this](const http::ClientResult& result) {
                 const auto* const response =
                     std::get_if<http::Response>(&result);
                 if (response == nullptr || response->status != kOk) {
                   ++errors_;
                   End();
                   return;
                 }
                 TakeIds(Json::parse(response->body), "ids");
                 measure_from_ = MonotonicNow() + options_.warm_up;
                 end_ = measure_from_ + options_.duration;
                 for (std::size_t i = 0; i < options_.jobs_in_flight; ++i) {
                   Submit();
                 }
               });
}

void Caller::Submit() {
  const TimePoint start = MonotonicNow();
  if (start >= end_ || ids_.empty()) {
    if (in_flight_ == 0) {
      End();
    }
    return;
  }
  std::string body = "{\"id\":\"" + ids_.front() + "\",\"owner\":\"" +
                     options_.owner + "\",\"service\":\"" + options_.service +
                     "\",\"kind\":\"" + options_.kind +
                     "\",\"reserve\":1,\"tasks\":[" + tasks_ + "]}";
  ids_.pop_front();
  ++in_flight_;
  client_.Send(options_.entry,
               {.method = http::Method::kPost,
                .path = "/v1/jobs",
                .query = {},
                .headers = {},
                .body = std::move(body)},
               [this, start](const http::ClientResult& result) {
                 Finish(start, result);
               });
}

void Caller::Finish(TimePoint start, const http::ClientResult& result) {
  --in_flight_;
  const TimePoint now = MonotonicNow();
  const auto* const response = std::get_if<http::Response>(&result);
  if (response == nullptr) {
    ++errors_;
  } else if (response->status != kOk) {
    ++refused_;
    TakeIds(Json::parse(response->body), "next_ids");
  } else {
    if (start >= measure_from_) {
      milliseconds_.push_back(Milliseconds(now - start));
    }
    // The results are not looked at, so that the caller costs little.
    const std::string_view body = response->body;
    const std::size_t place = body.rfind("\"next_ids\"");
    if (place != std::string_view::npos) {
      TakeIds(Json::parse("{" + std::string(body.substr(place))), "next_ids");
    }
  }
  Submit();
}

void Caller::End() {
  std::ranges::sort(milliseconds_);
  const double seconds =
      Milliseconds(options_.duration) / Milliseconds(std::chrono::seconds(1));
  const auto jobs = static_cast<double>(milliseconds_.size());
  finished_({{"jobs", milliseconds_.size()},
             {"refused", refused_},
             {"errors", errors_},
             {"jobs_per_s", jobs / seconds},
             {"tasks_per_s",
              jobs * static_cast<double>(options_.tasks_per_job) / seconds},
             {"p50_ms", Quantile(milliseconds_, kMedian)},
             {"p99_ms", Quantile(milliseconds_, kTail)}});
}

void Caller::TakeIds(const Json& answer, const char* name) {
  const auto ids = answer.find(name);
  if (ids == answer.end()) {
    return;
  }
  for (const Json& id : *ids) {
    ids_.push_back(id.get<std::string>());
  }
}

}  // namespace jaypick::standin
