// Program that runs the stand-in upstream.
#include <absl/flags/flag.h>

#include <chrono>
#include <cstdint>

#include "standins/program.h"
#include "standins/upstream_service.h"

ABSL_FLAG(std::uint32_t,
          slots,
          8,
          "largest number of tasks that run at the same time");
ABSL_FLAG(std::uint32_t, backlog_limit, 64, "tasks that may wait for a slot");
ABSL_FLAG(std::uint32_t,
          connection_limit,
          60,
          "largest number of open connections; 0 means no limit");
ABSL_FLAG(double,
          median_run_ms,
          20,
          "median run time of tasks whose payload has no run_ms");
ABSL_FLAG(double,
          run_sigma,
          0.5,
          "standard deviation of the logarithm of run times");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the random run times");
ABSL_FLAG(bool,
          report_load,
          true,
          "send the header Jaypick-Running in responses");
ABSL_FLAG(bool, record_starts, true, "record each start for GET /starts");

int main(int argc, char** argv) {
  using Milliseconds = std::chrono::duration<double, std::milli>;
  jaypick::standin::Program program(argc, argv);
  const Milliseconds median(absl::GetFlag(FLAGS_median_run_ms));
  const jaypick::standin::UpstreamService service(
      program.base(),
      {.port = program.port(),
       .control_port = program.control_port(),
       .slots = absl::GetFlag(FLAGS_slots),
       .backlog_limit = absl::GetFlag(FLAGS_backlog_limit),
       .connection_limit = absl::GetFlag(FLAGS_connection_limit),
       .median_run_time = std::chrono::duration_cast<jaypick::Duration>(median),
       .run_time_sigma = absl::GetFlag(FLAGS_run_sigma),
       .seed = absl::GetFlag(FLAGS_seed),
       .report_load = absl::GetFlag(FLAGS_report_load),
       .record_starts = absl::GetFlag(FLAGS_record_starts)});
  return program.Run("upstream", service.port(), service.control_port());
}
