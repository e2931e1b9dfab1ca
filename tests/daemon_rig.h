// Entries with stand-ins for the platform and upstreams, all on one event loop.
#ifndef JAYPICK_TESTS_DAEMON_RIG_H_
#define JAYPICK_TESTS_DAEMON_RIG_H_

#include <memory>
#include <string>
#include <vector>

#include "daemon/kernel.h"
#include "http/client.h"
#include "settings/settings.h"
#include "standins/instances_service.h"
#include "standins/kv_service.h"
#include "standins/upstream_service.h"
#include "tests/event_loop.h"

namespace jaypick::testing {

struct RigOptions {
  std::size_t entries = 1;
  std::size_t upstreams = 2;
  Duration drain_notice{0};
  std::size_t body_limit_bytes = 100'000;
  // Whether a configuration is applied; waits until every entry is ready.
  bool is_configured = true;
};

// Operator token of all entries of a rig.
inline constexpr const char* kToken = "token-of-the-test-rig";

class DaemonRig {
 public:
  explicit DaemonRig(const RigOptions& options);
  ~DaemonRig();
  DaemonRig(const DaemonRig&) = delete;
  DaemonRig& operator=(const DaemonRig&) = delete;

  // Sends a request and runs the loop until the response has arrived.
  http::Response Call(std::uint16_t port, http::Request request);
  http::Response Post(std::uint16_t port, std::string path, std::string body);
  http::Response Get(std::uint16_t port,
                     std::string path,
                     std::map<std::string, std::string> query = {});

  // Reserves an id at entry `entry` for the owner "o".
  std::string Reserve(std::size_t entry);

  // Returns the body of a submission. `identity` is its "id" or "key" member,
  // for example "\"id\":\"...\"".
  static std::string Job(const std::string& identity,
                         const std::string& tasks,
                         const std::string& more = "");

  std::uint16_t caller(std::size_t entry) const;
  std::uint16_t peer(std::size_t entry) const;
  std::uint16_t operators(std::size_t entry) const;
  std::uint16_t observability(std::size_t entry) const;

  EventLoop loop;
  standin::KvService kv;
  standin::InstancesService instances;
  std::vector<std::unique_ptr<standin::UpstreamService>> upstreams;
  std::vector<std::unique_ptr<daemon::Kernel>> entries;
  http::Client client;

 private:
  Settings SettingsOf(std::size_t entry, const RigOptions& options) const;
  void PublishInstances();
  void ApplyConfiguration();
  std::uint16_t Port(std::size_t entry, const char* plug_in) const;

  std::string token_file_;
};

}  // namespace jaypick::testing

#endif  // JAYPICK_TESTS_DAEMON_RIG_H_
