#include "standins/caller.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace jaypick::standin {
namespace {

constexpr int kOk = 200;
constexpr Duration kTimeout = std::chrono::seconds(70);
// Ids reserved for each job in flight, so that a job does not have to wait for
// the response to another one.
constexpr std::size_t kIdsPerJob = 2;
constexpr double kMedianQuantile = 0.5;
constexpr double kTailQuantile = 0.99;

double Quantile(const std::vector<double>& sorted, double quantile) {
  if (sorted.empty()) {
    return 0;
  }
  const auto last = static_cast<double>(sorted.size() - 1);
  return sorted[static_cast<std::size_t>(last * quantile)];
}

double ToFractionalMilliseconds(Duration duration) {
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
                   FinishRun();
                   return;
                 }
                 TakeIds(Json::parse(response->body), "ids");
                 measure_from_ = MonotonicNow() + options_.warm_up;
                 measure_until_ = measure_from_ + options_.duration;
                 for (std::size_t i = 0; i < options_.jobs_in_flight; ++i) {
                   Submit();
                 }
               });
}

void Caller::Submit() {
  const TimePoint start = MonotonicNow();
  if (start >= measure_until_ || ids_.empty()) {
    if (in_flight_ == 0) {
      FinishRun();
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
                 FinishJob(start, result);
               });
}

void Caller::FinishJob(TimePoint start, const http::ClientResult& result) {
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
      latencies_ms_.push_back(ToFractionalMilliseconds(now - start));
    }
    // Only the tail of the body is parsed, to keep the load of the caller low.
    const std::string_view body = response->body;
    const std::size_t position = body.rfind("\"next_ids\"");
    if (position != std::string_view::npos) {
      TakeIds(Json::parse("{" + std::string(body.substr(position))),
              "next_ids");
    }
  }
  Submit();
}

void Caller::FinishRun() {
  std::ranges::sort(latencies_ms_);
  const double seconds = ToFractionalMilliseconds(options_.duration) /
                         ToFractionalMilliseconds(std::chrono::seconds(1));
  const auto jobs = static_cast<double>(latencies_ms_.size());
  finished_({{"jobs", latencies_ms_.size()},
             {"refused", refused_},
             {"errors", errors_},
             {"jobs_per_s", jobs / seconds},
             {"tasks_per_s",
              jobs * static_cast<double>(options_.tasks_per_job) / seconds},
             {"p50_ms", Quantile(latencies_ms_, kMedianQuantile)},
             {"p99_ms", Quantile(latencies_ms_, kTailQuantile)}});
}

void Caller::TakeIds(const Json& response, const char* name) {
  const auto ids = response.find(name);
  if (ids == response.end()) {
    return;
  }
  for (const Json& id : *ids) {
    ids_.push_back(id.get<std::string>());
  }
}

}  // namespace jaypick::standin
