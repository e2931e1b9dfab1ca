// Clients that do not keep to the limits, against the node as a process: it
// lives, stays within its memory and its descriptors, and answers an ordinary
// request while the crowd is still there.

// clang-format off
// Boost.Intrusive uses the name `Test`, which Criterion defines as a macro.
#include <boost/intrusive/list.hpp>
#include "standins/platform_service.h"
#include <criterion/criterion.h>
// clang-format on

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <filesystem>
#include <fstream>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "http/client.h"
#include "node/peer_messages.h"
#include "standins/port_holder.h"
#include "tests/process_harness.h"
#include "tests/support/platform_configuration.h"

namespace jaypick::testing {
namespace {

constexpr double kTestSeconds = 240;
// Limits in the settings of the node under test.
constexpr int kMemoryMb = 64;
constexpr int kDescriptors = 400;
// The node may grow by this much above its size at the start, which is a few
// megabytes without sanitizers.
constexpr std::size_t kMaxGrowthKb = std::size_t{48} * 1024;
// Most of a crowd's connections are opened in this many attempts, and a client
// whose bytes are not taken in so many rounds has filled what it can fill.
constexpr int kIdleRounds = 60;
constexpr int kRoundMs = 5;

// What each client of a crowd sends. None of them reads.
struct Crowd {
  const char* name;
  std::size_t clients;
  // Sent once, then `repeated` until `bytes` have been sent.
  std::string first;
  std::string repeated;
  std::size_t bytes;
};

// One line of /proc/PID/status, in kB.
std::size_t StatusKb(const Process& process, const std::string& key) {
  std::ifstream file("/proc/" + std::to_string(process.id()) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with(key + ":")) {
      return std::stoul(line.substr(key.size() + 1));
    }
  }
  return 0;
}

std::size_t Descriptors(const Process& process) {
  std::size_t count = 0;
  for ([[maybe_unused]] const auto& entry : std::filesystem::directory_iterator(
           "/proc/" + std::to_string(process.id()) + "/fd")) {
    ++count;
  }
  return count;
}

class Client {
 public:
  Client(std::uint16_t port, const Crowd& crowd) : crowd_(crowd) {
    socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    static_cast<void>(::connect(socket_, reinterpret_cast<sockaddr*>(&address),
                                sizeof(address)));
    pending_ = crowd_.first;
  }
  ~Client() { ::close(socket_); }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // Sends until the socket takes no more. Returns whether it took anything.
  bool Send() {
    bool has_sent = false;
    while (sent_ < crowd_.bytes) {
      if (pending_.empty()) {
        pending_ = crowd_.repeated;
      }
      const ssize_t taken = ::send(socket_, pending_.data(), pending_.size(),
                                   MSG_NOSIGNAL | MSG_DONTWAIT);
      if (taken <= 0) {
        break;
      }
      sent_ += static_cast<std::size_t>(taken);
      pending_.erase(0, static_cast<std::size_t>(taken));
      has_sent = true;
    }
    return has_sent;
  }

 private:
  const Crowd& crowd_;
  int socket_ = -1;
  std::size_t sent_ = 0;
  std::string pending_;
};

// A node with one route, and the platform's store for it.
struct NodeUnderTest {
  NodeUnderTest() {
    store.Put(kConfigurationKey, PlatformConfiguration({}));
    const auto at = [](std::uint16_t port) {
      return "127.0.0.1:" + std::to_string(port);
    };
    for (std::uint16_t* const port : {&callers, &readiness, &peer, &metrics}) {
      *port = ReservePort();
    }
    const std::string settings = Json{
        {"instance", {{"name", "n0"}, {"failure_domain", "ghent"}}},
        {"failure_domains", {"ghent"}},
        {"listen",
         {{"callers", at(callers)},
          {"readiness", at(readiness)},
          {"peer", at(peer)},
          {"metrics", at(metrics)}}},
        {"limits", {{"memory_mb", kMemoryMb}, {"descriptors", kDescriptors}}},
        {"store",
         at(store.address().port)}}.dump();
    // In a sanitizer build, freed memory stays in use for a while by default.
    ::setenv("ASAN_OPTIONS",
             "quarantine_size_mb=1:thread_local_quarantine_size_kb=64", 1);
    process.emplace(
        "jaypick-node",
        std::vector<std::string>{"--settings=" +
                                 folder.Write("settings.json", settings)},
        folder.Path("node.log"));
    cr_assert(loop.RunUntil([&] { return Ask() == 200; }), "%s",
              process->Log().c_str());
    size_at_start_kb = StatusKb(*process, "VmRSS");
  }

  // Reserves a port that no other process gets before the node listens on it.
  std::uint16_t ReservePort() { return ports.emplace_back().value(); }

  // Sends one ordinary request; returns the status of its answer, or -1.
  int Ask() {
    int status = 0;
    client.Send({.host = "127.0.0.1", .port = callers},
                {.method = http::Method::kGet,
                 .path = "/fit/",
                 .headers = {{.name = "Host", .value = "fit.example"}}},
                [&](const http::ClientResult& result) {
                  const auto* const response =
                      std::get_if<http::Response>(&result);
                  status = response == nullptr ? -1 : response->status;
                });
    loop.RunUntil([&] { return status != 0; });
    return status;
  }

  // Submits `body` under `id` at the port for callers.
  void Submit(const std::string& id, const Json& body, int* status) {
    Post(callers,
         {.method = http::Method::kPost,
          .path = "/fit/" + id,
          .headers = {{.name = "Host", .value = "fit.example"}},
          .body = body.dump()},
         status);
  }

  // Sets `status` to that of the answer, or -1.
  void Post(std::uint16_t port, http::Request request, int* status) {
    client.Send({.host = "127.0.0.1", .port = port}, std::move(request),
                [status](const http::ClientResult& result) {
                  const auto* const response =
                      std::get_if<http::Response>(&result);
                  *status = response == nullptr ? -1 : response->status;
                });
  }

  // Adds an upstream and waits until a small job is served.
  void AddUpstream() {
    upstream.emplace(runtime, store, monitor,
                     standin::PlatformUpstream::Options{
                         .id = "u1", .service = "fitting", .zone = "ghent"});
    int attempt = 0;
    cr_assert(loop.RunUntil([&] {
      int status = 0;
      Submit("00000000000000" + std::to_string(10 + attempt++ % 90), SmallJob(),
             &status);
      cr_assert(loop.RunUntil([&] { return status != 0; }));
      return status == 200;
    }));
  }

  static Json JobOf(std::size_t steps, int tasks, const std::string& spec) {
    const Json step = {
        {"count", tasks}, {"cpu", 6800}, {"mem_mb", 64}, {"estimate_ms", 60}};
    return {{"spec", spec},
            {"best_effort", true},
            {"steps", std::vector<Json>(steps, step)}};
  }
  static Json SmallJob() { return JobOf(1, 2, "20"); }

  void AssertWithinBounds(const char* crowd) {
    cr_assert(!process->HasExited(), "%s: ended by signal %d: %s", crowd,
              process->ending_signal(), process->Log().c_str());
    const std::size_t peak_kb = StatusKb(*process, "VmHWM");
    cr_assert_leq(peak_kb, size_at_start_kb + kMaxGrowthKb,
                  "%s: %zu kB at the start, %zu kB at the peak", crowd,
                  size_at_start_kb, peak_kb);
    cr_assert_leq(Descriptors(*process), kDescriptors, "%s: %zu", crowd,
                  Descriptors(*process));
  }

  // Lets the crowd send until nothing more is taken, and checks the bounds
  // while its connections are open.
  void Bear(std::uint16_t port, const Crowd& crowd) {
    std::vector<std::unique_ptr<Client>> clients;
    for (int idle = 0; idle < kIdleRounds; ++idle) {
      bool has_sent = false;
      for (std::size_t i = 0; i < crowd.clients; ++i) {
        if (i == clients.size()) {
          clients.push_back(std::make_unique<Client>(port, crowd));
        }
        has_sent = clients[i]->Send() || has_sent;
      }
      loop.RunFor(kRoundMs);
      idle = has_sent ? 0 : idle;
      if (process->HasExited()) {
        break;
      }
    }
    AssertWithinBounds(crowd.name);
    cr_assert_eq(Ask(), 200, "%s", crowd.name);
    AssertWithinBounds(crowd.name);
  }

  TemporaryFolder folder;
  EventLoop loop;
  node::Runtime runtime{loop.base()};
  standin::PlatformStore store{runtime};
  http::Client client{loop.base(), {.timeout = std::chrono::seconds(60)}};
  std::optional<http::Client> client_for_crowd;
  std::deque<standin::PortHolder> ports;
  std::uint16_t callers = 0;
  std::uint16_t readiness = 0;
  std::uint16_t peer = 0;
  std::uint16_t metrics = 0;
  standin::PlatformUpstream::RunMonitor monitor;
  std::optional<standin::PlatformUpstream> upstream;
  std::optional<Process> process;
  std::size_t size_at_start_kb = 0;
};

constexpr std::size_t kMegabyte = std::size_t{1024} * 1024;

std::string Get(const std::string& path) {
  return "GET " + path + " HTTP/1.1\r\nHost: fit.example\r\n\r\n";
}

// Requests sent ahead at paths without a route, their answers unread: a process
// ran out of memory.
Test(untrusted_clients,
     requests_ahead_without_a_route,
     .timeout = kTestSeconds) {
  NodeUnderTest node;
  node.Bear(node.callers, {.name = "ahead",
                           .clients = 24,
                           .first = "",
                           .repeated = Get("/no/such/route"),
                           .bytes = 8 * kMegabyte});
}

// Bodies that never end, each inside the limit of the server.
Test(untrusted_clients, unfinished_bodies, .timeout = kTestSeconds) {
  NodeUnderTest node;
  node.Bear(node.callers,
            {.name = "bodies",
             .clients = 24,
             .first = "POST /fit/0000000000000001 HTTP/1.1\r\n"
                      "Host: fit.example\r\nContent-Length: 8000000\r\n\r\n",
             .repeated = std::string(16384, 'x'),
             .bytes = 7 * kMegabyte});
}

// Chunked bodies that never end.
Test(untrusted_clients, unfinished_chunks, .timeout = kTestSeconds) {
  NodeUnderTest node;
  std::string chunk = "4000\r\n" + std::string(0x4000, 'x') + "\r\n";
  node.Bear(node.callers,
            {.name = "chunks",
             .clients = 24,
             .first = "POST /fit/0000000000000001 HTTP/1.1\r\n"
                      "Host: fit.example\r\nTransfer-Encoding: chunked\r\n\r\n",
             .repeated = std::move(chunk),
             .bytes = 7 * kMegabyte});
}

// Header lines that never end, on many connections.
Test(untrusted_clients, unfinished_headers, .timeout = kTestSeconds) {
  NodeUnderTest node;
  node.Bear(node.callers, {.name = "headers",
                           .clients = 600,
                           .first = "GET /fit/ HTTP/1.1\r\nX: ",
                           .repeated = std::string(512, 'x'),
                           .bytes = 14 * 1024});
}

// Connections that are opened and left, more than there are descriptors.
Test(untrusted_clients, idle_connections, .timeout = kTestSeconds) {
  NodeUnderTest node;
  node.Bear(node.callers, {.name = "idle",
                           .clients = 900,
                           .first = "G",
                           .repeated = "",
                           .bytes = 1});
}

// Methods without a handler and wrong versions, sent ahead.
Test(untrusted_clients, odd_requests_ahead, .timeout = kTestSeconds) {
  NodeUnderTest node;
  node.Bear(node.callers,
            {.name = "methods",
             .clients = 24,
             .first = "",
             .repeated = "PUT /fit/1 HTTP/1.1\r\nHost: fit.example\r\n"
                         "Content-Length: 0\r\n\r\n",
             .bytes = 8 * kMegabyte});
  node.Bear(node.callers, {.name = "versions",
                           .clients = 24,
                           .first = "",
                           .repeated = "GET /fit/ HTTP/7.3\r\n\r\n",
                           .bytes = 8 * kMegabyte});
}

// The same at the ports for peers, health checks and metrics, whose answers are
// larger.
Test(untrusted_clients,
     requests_ahead_at_other_ports,
     .timeout = kTestSeconds) {
  NodeUnderTest node;
  node.Bear(node.peer, {.name = "peer",
                        .clients = 24,
                        .first = "",
                        .repeated = Get("/v1/peer/view"),
                        .bytes = 8 * kMegabyte});
  node.Bear(node.metrics, {.name = "metrics",
                           .clients = 24,
                           .first = "",
                           .repeated = Get("/metrics"),
                           .bytes = 8 * kMegabyte});
  node.Bear(node.readiness, {.name = "readiness",
                             .clients = 24,
                             .first = "",
                             .repeated = Get("/readyz"),
                             .bytes = 8 * kMegabyte});
}

// Unfinished bodies and idle connections at the ports for peers and metrics.
Test(untrusted_clients,
     unfinished_requests_at_other_ports,
     .timeout = kTestSeconds) {
  NodeUnderTest node;
  const Crowd bodies{.name = "bodies elsewhere",
                     .clients = 24,
                     .first =
                         "POST /x HTTP/1.1\r\nHost: h\r\n"
                         "Content-Length: 16000000\r\n\r\n",
                     .repeated = std::string(16384, 'x'),
                     .bytes = 7 * kMegabyte};
  const Crowd idle{.name = "idle elsewhere",
                   .clients = 400,
                   .first = "G",
                   .repeated = "",
                   .bytes = 1};
  for (const std::uint16_t port : {node.peer, node.metrics, node.readiness}) {
    node.Bear(port, bodies);
    node.Bear(port, idle);
  }
}

// A single request inside the limits: guards against limits that refuse it.
Test(untrusted_clients,
     largest_ordinary_request_is_served_in_calm,
     .timeout = kTestSeconds) {
  NodeUnderTest node;
  const std::string body =
      Json{{"spec", std::string(4000, 's')}, {"steps", Json::array()}}.dump() +
      std::string(250'000, ' ');
  int status = 0;
  node.client.Send({.host = "127.0.0.1", .port = node.callers},
                   {.method = http::Method::kPost,
                    .path = "/fit/0000000000000001",
                    .headers = {{.name = "Host", .value = "fit.example"}},
                    .body = body},
                   [&](const http::ClientResult& result) {
                     const auto* const response =
                         std::get_if<http::Response>(&result);
                     status = response == nullptr ? -1 : response->status;
                   });
  node.loop.RunUntil([&] { return status != 0; });
  // A job without steps is malformed; it was read whole.
  cr_assert_eq(status, 400);
  node.AssertWithinBounds("calm");
}

// A job of 56 kB with ten million tasks: a process ran out of memory.
Test(untrusted_clients, job_with_very_many_tasks, .timeout = kTestSeconds) {
  NodeUnderTest node;
  node.AddUpstream();
  for (const std::size_t steps : {std::size_t{1000}, std::size_t{100}}) {
    int status = 0;
    node.Submit("00000000000000a1", NodeUnderTest::JobOf(steps, 10'000, "60"),
                &status);
    cr_assert(node.loop.RunUntil([&] { return status != 0; }));
    node.AssertWithinBounds("very many tasks");
    cr_assert_eq(status, 503);
  }
  int status = 0;
  node.Submit("00000000000000b1", NodeUnderTest::SmallJob(), &status);
  cr_assert(node.loop.RunUntil([&] { return status != 0; }));
  cr_assert_eq(status, 200);
}

// Many jobs of medium size at once, each of which an instance can take.
Test(untrusted_clients, many_medium_jobs, .timeout = kTestSeconds) {
  constexpr int kJobs = 100;
  NodeUnderTest node;
  node.AddUpstream();
  node.client_for_crowd.emplace(
      node.loop.base(), http::ClientOptions{.timeout = std::chrono::seconds(60),
                                            .connections_per_address = kJobs});
  std::vector<int> answers(kJobs, 0);
  std::string errors;
  for (int job = 0; job < kJobs; ++job) {
    node.client_for_crowd->Send(
        {.host = "127.0.0.1", .port = node.callers},
        {.method = http::Method::kPost,
         .path = "/fit/00000000000001" + std::to_string(100 + job).substr(1),
         .headers = {{.name = "Host", .value = "fit.example"}},
         .body = NodeUnderTest::JobOf(1, 9000, "60").dump()},
        [&answers, &errors, job](const http::ClientResult& result) {
          const auto* const error = std::get_if<http::ClientError>(&result);
          answers[static_cast<std::size_t>(job)] = error == nullptr ? 1 : -1;
          errors += error == nullptr ? "" : error->message + "; ";
        });
  }
  // The jobs are given up at their deadline, after 1.5 s.
  for (int round = 0; round < 10; ++round) {
    node.loop.RunFor(200);
    node.AssertWithinBounds("many medium jobs");
  }
  node.loop.RunUntil([&] { return std::ranges::count(answers, 0) == 0; });
  cr_assert_eq(std::ranges::count(answers, 1), kJobs, "%d not answered; %s",
               static_cast<int>(std::ranges::count(answers, 0)),
               errors.c_str());
  int status = 0;
  node.Submit("00000000000000b1", NodeUnderTest::SmallJob(), &status);
  cr_assert(node.loop.RunUntil([&] { return status != 0; }));
  cr_assert_eq(status, 200);
  node.AssertWithinBounds("many medium jobs");
}

// The same job at the port for peers, as another instance would forward it.
Test(untrusted_clients,
     forwarded_job_with_very_many_tasks,
     .timeout = kTestSeconds) {
  NodeUnderTest node;
  node.AddUpstream();
  node::ForwardedJob message{
      .spec = {.id = "00000000000000a1",
               .kind = {.name = "match", .service = "fitting"},
               .payload = "60",
               .steps = std::vector<schedule::Step>(
                   1000, {.tasks = 10'000, .needs = {.milli_cpus = 6800}})},
      .failure_domain = "ghent",
      .instance = "n1",
      .deadline_us = (node.runtime.Now() + std::chrono::seconds(2))
                         .time_since_epoch()
                         .count(),
      .entry_incarnation = "1-1"};
  int status = 0;
  node.Post(node.peer,
            {.method = http::Method::kPost,
             .path = node::kForwardedJobPath,
             .body = node::Encode(message)},
            &status);
  cr_assert(node.loop.RunUntil([&] { return status != 0; }));
  node.AssertWithinBounds("forwarded job");
  cr_assert_eq(status, 200);
}

}  // namespace
}  // namespace jaypick::testing
