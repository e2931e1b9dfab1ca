#include "tests/daemon_rig.h"

#include <criterion/criterion.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <optional>

#include "daemon/api_server.h"
#include "daemon/store.h"

namespace jaypick::testing {
namespace {

const char* const kHost = "127.0.0.1";

// The kind "once" is not idempotent; the kind "few" has a queue limit of 3; no
// upstream offers the resources for the kind "large".
const char* const kSheet =
    "record,service,kind,idempotent,default_timeout_ms,declared_run_time_ms,"
    "cpus,memory_mb,accelerators,queue_limit,owner,share_percent\\n"
    "service,s,,,,,,,,,,\\n"
    "kind,s,k,yes,5000,20,1,1,0,1000,,\\n"
    "kind,s,once,no,5000,20,1,1,0,1000,,\\n"
    "kind,s,few,yes,5000,20,1,1,0,3,,\\n"
    "kind,s,large,yes,5000,20,99,1,0,1000,,\\n"
    "share,s,,,,,,,,,o,100\\n";

std::string WriteToken() {
  std::string path = "/tmp/jaypick-token-XXXXXX";
  const int file = mkstemp(path.data());
  cr_assert(file >= 0);
  std::ofstream(path) << kToken << '\n';
  close(file);
  return path;
}

std::string Name(std::size_t entry) {
  return "e" + std::to_string(entry);
}

}  // namespace

DaemonRig::DaemonRig(const RigOptions& options)
    : kv(loop.base(), {}),
      instances(loop.base(), {}),
      client(
          loop.base(),
          {.timeout = std::chrono::seconds(30), .connections_per_address = 64}),
      token_file_(WriteToken()) {
  for (std::size_t i = 0; i < options.upstreams; ++i) {
    upstreams.push_back(std::make_unique<standin::UpstreamService>(
        loop.base(), standin::UpstreamServiceOptions{
                         .median_run_time = std::chrono::milliseconds(5)}));
  }
  for (std::size_t i = 0; i < options.entries; ++i) {
    entries.push_back(std::make_unique<daemon::Kernel>(
        loop.base(), SettingsOf(i, options), daemon::MakeEtcdStore));
  }
  PublishInstances();
  if (options.is_configured) {
    ApplyConfiguration();
  }
}

DaemonRig::~DaemonRig() {
  entries.clear();
  unlink(token_file_.c_str());
}

Settings DaemonRig::SettingsOf(std::size_t entry,
                               const RigOptions& options) const {
  Settings settings;
  settings.entry = Name(entry);
  settings.failure_domain = "d";
  const Address any{kHost, 0};
  settings.caller = settings.peer = settings.operators =
      settings.observability = any;
  settings.operator_token_file = token_file_;
  settings.key_value = {kHost, kv.port()};
  settings.instance_list = {kHost, instances.port()};
  settings.poll_interval = std::chrono::milliseconds(50);
  settings.exchange_interval = std::chrono::milliseconds(50);
  settings.drain_notice = options.drain_notice;
  settings.body_limit_bytes = options.body_limit_bytes;
  settings.log_level = "error";
  return settings;
}

void DaemonRig::PublishInstances() {
  auto list = standin::Json::array();
  for (std::size_t i = 0; i < entries.size(); ++i) {
    list.push_back({{"name", Name(i)},
                    {"role", "entry"},
                    {"state", "live"},
                    {"generation", 1},
                    {"address", kHost},
                    {"port", peer(i)},
                    {"failure_domain", "d"}});
  }
  for (std::size_t i = 0; i < upstreams.size(); ++i) {
    list.push_back(
        {{"name", "u" + std::to_string(i)},
         {"role", "upstream"},
         {"state", "live"},
         {"generation", 1},
         {"address", kHost},
         {"port", upstreams[i]->port()},
         {"failure_domain", "d"},
         {"service", "s"},
         {"slots", 8},
         {"offers", {{"cpus", 8}, {"memory_mb", 8}, {"accelerators", 0}}}});
  }
  instances.Control("/set", {{"instances", list}});
}

void DaemonRig::ApplyConfiguration() {
  http::Request request{
      .method = http::Method::kPost,
      .path = "/v1/operator/config/apply",
      .query = {},
      .headers = {{"Authorization", std::string("Bearer ") + kToken}},
      .body = std::string(R"({"base_version":0,"author":"a",)") +
              R"("operation_id":"op-1","sheet":")" + kSheet + "\"}"};
  const auto response = Call(operators(0), request);
  cr_assert(response.status == 200, "%s", response.body.c_str());
  for (std::size_t i = 0; i < entries.size(); ++i) {
    cr_assert(loop.RunUntil([&] {
      const Dispatcher& dispatcher = entries[i]->dispatcher();
      return dispatcher.configuration() != nullptr &&
             dispatcher.instances() != nullptr;
    }));
  }
}

http::Response DaemonRig::Call(std::uint16_t port, http::Request request) {
  std::optional<http::ClientResult> result;
  client.Send({kHost, port}, std::move(request),
              [&](http::ClientResult ended) { result = std::move(ended); });
  cr_assert(loop.RunUntil([&] { return result.has_value(); }));
  cr_assert(std::holds_alternative<http::Response>(*result));
  return std::get<http::Response>(*result);
}

http::Response DaemonRig::Post(std::uint16_t port,
                               std::string path,
                               std::string body) {
  return Call(port, {.method = http::Method::kPost,
                     .path = std::move(path),
                     .query = {},
                     .headers = {},
                     .body = std::move(body)});
}

http::Response DaemonRig::Get(std::uint16_t port,
                              std::string path,
                              std::map<std::string, std::string> query) {
  return Call(port, {.method = http::Method::kGet,
                     .path = std::move(path),
                     .query = std::move(query),
                     .headers = {},
                     .body = {}});
}

std::string DaemonRig::Reserve(std::size_t entry) {
  const auto response = Post(caller(entry), "/v1/ids", R"({"owner":"o"})");
  const auto json = standin::Json::parse(response.body);
  return json.at("ids").at(0).get<std::string>();
}

std::string DaemonRig::Job(const std::string& identity,
                           const std::string& tasks,
                           const std::string& more) {
  return "{" + identity + R"(,"owner":"o","service":"s","kind":"k","tasks":)" +
         tasks + more + "}";
}

std::uint16_t DaemonRig::Port(std::size_t entry, const char* plug_in) const {
  return static_cast<daemon::ApiServer&>(entries.at(entry)->plug_in(plug_in))
      .server()
      .port();
}

std::uint16_t DaemonRig::caller(std::size_t entry) const {
  return Port(entry, "caller_api");
}

std::uint16_t DaemonRig::peer(std::size_t entry) const {
  return Port(entry, "peer_api");
}

std::uint16_t DaemonRig::operators(std::size_t entry) const {
  return Port(entry, "operator_api");
}

std::uint16_t DaemonRig::observability(std::size_t entry) const {
  return Port(entry, "observability");
}

}  // namespace jaypick::testing
