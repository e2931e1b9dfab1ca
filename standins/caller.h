// Stand-in caller: submits jobs in a closed loop and measures throughput and
// latency.
#ifndef STANDINS_CALLER_H_
#define STANDINS_CALLER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "http/client.h"
#include "jaypick/instance.h"
#include "standins/program.h"

namespace jaypick::standin {

struct CallerOptions {
  Address entry;
  std::string owner;
  std::string service;
  std::string kind;
  // JSON payload of each task.
  std::string payload = "{}";
  std::size_t tasks_per_job = 1;
  std::size_t jobs_in_flight = 1;
  // Time before the measurement starts.
  Duration warm_up = std::chrono::seconds(1);
  // Time over which jobs are measured.
  Duration duration = std::chrono::seconds(5);
};

// Keeps `jobs_in_flight` jobs in flight. Each job uses an id that was reserved
// in the response to an earlier request, so that a job costs one round trip.
class Caller {
 public:
  Caller(event_base* base, CallerOptions options);

  // Reserves ids and submits jobs for the warm-up and the measurement. Once all
  // jobs are answered, calls `finished` with {jobs, refused, errors,
  // tasks_per_s, jobs_per_s, p50_ms, p99_ms}.
  void Run(std::function<void(Json)> finished);

 private:
  void Submit();
  void FinishJob(TimePoint start, const http::ClientResult& result);
  void FinishRun();
  void TakeIds(const Json& response, const char* name);

  CallerOptions options_;
  http::Client client_;
  std::string tasks_;
  std::deque<std::string> ids_;
  std::function<void(Json)> finished_;
  TimePoint measure_from_;
  TimePoint measure_until_;
  std::size_t in_flight_ = 0;
  std::vector<double> latencies_ms_;
  std::uint64_t refused_ = 0;
  std::uint64_t errors_ = 0;
};

}  // namespace jaypick::standin

#endif  // STANDINS_CALLER_H_
