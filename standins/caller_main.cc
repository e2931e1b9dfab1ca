// Program that runs the stand-in caller and prints its measurements as one JSON
// line.
#include <absl/flags/flag.h>
#include <event2/event.h>

#include <cstdint>
#include <cstdio>
#include <string>

#include "standins/caller.h"
#include "standins/program.h"

ABSL_FLAG(std::uint16_t,
          entry_port,
          0,
          "port of the caller API of the entry instance");
ABSL_FLAG(std::string, owner, "ghent-bank", "owner of the jobs");
ABSL_FLAG(std::string, service, "fitting", "service of the jobs");
ABSL_FLAG(std::string, kind, "check-stock", "kind of the jobs");
ABSL_FLAG(std::string, payload, "{}", "JSON payload of each task");
ABSL_FLAG(std::uint32_t, tasks, 64, "number of tasks per job");
ABSL_FLAG(std::uint32_t, in_flight, 8, "number of jobs in flight");
ABSL_FLAG(std::uint32_t,
          warm_up_ms,
          1000,
          "time before the measurement starts");
ABSL_FLAG(std::uint32_t, duration_ms, 5000, "length of the measurement");

int main(int argc, char** argv) {
  using std::chrono::milliseconds;
  jaypick::standin::Program program(argc, argv);
  jaypick::standin::Caller caller(
      program.base(),
      {.entry = {.host = "127.0.0.1", .port = absl::GetFlag(FLAGS_entry_port)},
       .owner = absl::GetFlag(FLAGS_owner),
       .service = absl::GetFlag(FLAGS_service),
       .kind = absl::GetFlag(FLAGS_kind),
       .payload = absl::GetFlag(FLAGS_payload),
       .tasks_per_job = absl::GetFlag(FLAGS_tasks),
       .jobs_in_flight = absl::GetFlag(FLAGS_in_flight),
       .warm_up = milliseconds(absl::GetFlag(FLAGS_warm_up_ms)),
       .duration = milliseconds(absl::GetFlag(FLAGS_duration_ms))});
  caller.Run([&](const jaypick::standin::Json& measurements) {
    std::printf("%s\n", measurements.dump().c_str());
    event_base_loopbreak(program.base());
  });
  event_base_dispatch(program.base());
  return 0;
}
