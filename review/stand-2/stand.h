// Stand-ins of the review scripts: processes of the node, a platform and a
// record of what was sent, answered and run. Everything is on loopback.
#ifndef JAYPICK_REVIEW_STAND_2_STAND_H_
#define JAYPICK_REVIEW_STAND_2_STAND_H_

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "daemon/event_base.h"
#include "http/client.h"
#include "node/runtime.h"
#include "standins/platform_service.h"
#include "standins/port_holder.h"

namespace jaypick::review {

using Json = nlohmann::json;

inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kNotRun = 2;

// `TROUBLE=0` leaves the disruption out.
bool HasTrouble();

// Writes the lines of record.txt, with the milliseconds since the start.
class Record {
 public:
  explicit Record(const std::string& path);
  void Line(const std::string& text);
  std::int64_t Milliseconds() const;

 private:
  std::ofstream file_;
  std::chrono::steady_clock::time_point start_;
};

// One machine of the platform with its process, run with the command and the
// settings template of the deploy file.
class Machine {
 public:
  struct Options {
    std::string name;
    std::string zone;
    std::vector<std::string> zones;
    std::uint16_t store_port = 0;
    // The relay through which the others reach the process; 0 for none.
    std::uint16_t advertised_peer = 0;
    // Reserves the peer port if a relay needs it before; may be null.
    std::shared_ptr<standin::PortHolder> peer;
    int memory_mb = 260;
  };

  Machine(const std::string& folder, Options options);
  ~Machine();
  Machine(const Machine&) = delete;
  Machine& operator=(const Machine&) = delete;

  void Start();
  void Signal(int signal);
  // Returns true once the process has ended; fills `how`.
  bool HasEnded(std::string& how);
  bool is_running() const { return pid_ > 0; }
  // Resident memory, in megabytes.
  long ResidentMegabytes() const;
  // Processor time used by the process, in milliseconds.
  long ProcessorMilliseconds() const;

  const Options& options() const { return options_; }
  std::uint16_t callers_port() const { return callers_.value(); }
  std::uint16_t readiness_port() const { return readiness_.value(); }
  const std::string& log_path() const { return log_path_; }

 private:
  std::string folder_;
  Options options_;
  standin::PortHolder callers_;
  standin::PortHolder readiness_;
  standin::PortHolder metrics_;
  std::string settings_path_;
  std::string log_path_;
  std::string executable_;
  pid_t pid_ = 0;
};

// The event loop with the platform's store.
class Platform {
 public:
  Platform();
  void RunFor(int milliseconds);
  // Returns false if the condition does not hold in time.
  bool WaitUntil(const std::function<bool()>& condition, int milliseconds);
  void PutConfiguration(int version, int timeout_ms);

  daemon::EventBase base = daemon::MakeEventBase();
  node::Runtime runtime{base.get()};
  standin::PlatformStore store{runtime};
};

inline constexpr const char* kHost = "desk.example";
inline constexpr const char* kPrefix = "/orders/";

// Runs `body` of a script, which returns its exit code; 2 if it throws.
int RunCase(const char* name, const std::function<int(Record& record)>& body);

// A job's submission as a client sends it.
http::Request Submission(const std::string& id,
                         const Json& body,
                         int timeout_ms);

// Relays connections to a peer port on loopback. While it holds closed
// connections, the end of a connection at the target stays open and silent when
// the other end closes, as if the other machine had lost its power.
class PeerRelay {
 public:
  PeerRelay(event_base* base, std::uint16_t target_port);
  ~PeerRelay();
  PeerRelay(const PeerRelay&) = delete;
  PeerRelay& operator=(const PeerRelay&) = delete;

  std::uint16_t port() const { return port_.value(); }
  void HoldClosed(bool holds) { holds_closed_ = holds; }

 private:
  struct Link;
  class Impl;

  standin::PortHolder port_;
  bool holds_closed_ = false;
  std::unique_ptr<Impl> impl_;
};

// Creates a folder in the temporary folder of the system; removed at the end.
class Folder {
 public:
  Folder();
  ~Folder();
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

}  // namespace jaypick::review

#endif  // JAYPICK_REVIEW_STAND_2_STAND_H_
