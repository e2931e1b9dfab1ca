// What all stand-in programs share: event loop, signals and the ready line.
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

// A reading of the monotonic clock.
TimePoint MonotonicNow();

// An event loop that ends on SIGINT, SIGTERM or after --lifetime_s.
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

  // Prints `{"ready":name,"port":...,"control_port":...}` and runs the loop.
  int Run(const std::string& name,
          std::uint16_t port,
          std::uint16_t control_port);

 private:
  event_base* base_;
  event* interrupt_;
  event* terminate_;
};

// Runs `action` once after `delay` from the loop of `base`.
void RunAfter(event_base* base, Duration delay, std::function<void()> action);

// An answer with a JSON body.
http::Response JsonResponse(int status, const Json& body);

// Hands requests to a control port to `handle`, which returns the answer's body
// or nothing for an unknown path. A body that is not valid JSON, or a field of
// a wrong type, is answered with 400.
WireHandler ControlHandler(
    std::function<std::optional<Json>(const std::string& path,
                                      const Json& body)> handle);

}  // namespace jaypick::standin

#endif  // STANDINS_PROGRAM_H_
