// Code shared by all stand-in programs: flags, event loop, signal handling, and
// the line on stdout that announces the ports.
#ifndef STANDINS_PROGRAM_H_
#define STANDINS_PROGRAM_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include "http/http.h"
#include "jaypick/time.h"
#include "standins/wire_server.h"

struct event;
struct event_base;

namespace jaypick::standin {

using Json = nlohmann::json;

// Returns the current time of the monotonic clock.
TimePoint MonotonicNow();

// Event loop that ends on SIGINT, on SIGTERM or after --lifetime_s seconds.
class Program {
 public:
  // Parses the command line. Ends the process with exit code 2 on bad flags.
  Program(int argc, char** argv);
  ~Program();
  Program(const Program&) = delete;
  Program& operator=(const Program&) = delete;

  event_base* base() const { return base_; }
  // The values of --port and --control_port.
  std::uint16_t port() const;
  std::uint16_t control_port() const;

  // Prints `{"ready":name,"port":...,"control_port":...}` to stdout and runs
  // the loop. Returns the exit code.
  int Run(const std::string& name,
          std::uint16_t port,
          std::uint16_t control_port);

 private:
  event_base* base_;
  event* interrupt_;
  event* terminate_;
};

// Runs `action` once on the event loop of `base` after `delay`.
void RunAfter(event_base* base, Duration delay, std::function<void()> action);

// Returns a response with `body` as JSON.
http::Response JsonResponse(int status, const Json& body);

// Returns a handler for a control port. It passes each request to `handle`,
// which returns the response body, or `std::nullopt` for an unknown path (404).
// If the request body is not valid JSON or `handle` throws, the response is
// 400.
WireHandler ControlHandler(
    std::function<std::optional<Json>(const std::string& path,
                                      const Json& body)> handle);

}  // namespace jaypick::standin

#endif  // STANDINS_PROGRAM_H_
