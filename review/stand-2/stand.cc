#include "review/stand-2/stand.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <regex>
#include <sstream>
#include <stdexcept>

namespace jaypick::review {
namespace {

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    throw std::runtime_error("cannot read " + path);
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

void Replace(std::string& text,
             const std::string& from,
             const std::string& to) {
  for (std::size_t at = text.find(from); at != std::string::npos;
       at = text.find(from, at + to.size())) {
    text.replace(at, from.size(), to);
  }
}

std::string Endpoint(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

// The first word of `run` in the deploy file, which is the program.
std::string ProgramOfDeployFile() {
  const std::string text = ReadFile("deploy/system.toml");
  std::smatch match;
  if (!std::regex_search(text, match, std::regex("run = \"([^\" ]+)\""))) {
    throw std::runtime_error("deploy/system.toml has no run command");
  }
  return match[1];
}

}  // namespace

bool HasTrouble() {
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

Record::Record(const std::string& path)
    : file_(path), start_(std::chrono::steady_clock::now()) {}

std::int64_t Record::Milliseconds() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - start_)
      .count();
}

void Record::Line(const std::string& text) {
  file_ << Milliseconds() << " ms " << text << std::endl;
}

Machine::Machine(const std::string& folder, Options options)
    : folder_(folder), options_(std::move(options)) {
  settings_path_ = folder_ + "/" + options_.name + ".json";
  log_path_ = folder_ + "/" + options_.name + ".log";
  executable_ = ProgramOfDeployFile();
  if (::access(executable_.c_str(), X_OK) != 0) {
    throw std::runtime_error(executable_ + " is not built");
  }
  std::string text = ReadFile("deploy/settings.json.in");
  std::string zones;
  for (const std::string& zone : options_.zones) {
    zones += (zones.empty() ? "\"" : ",\"") + zone + "\"";
  }
  Replace(text, "{{node}}", options_.name);
  Replace(text, "{{zone}}", options_.zone);
  Replace(text, "{{#zones}}\"{{@}}\"{{,}}{{/zones}}", zones);
  Replace(text, "{{listen_addrs.front}}", Endpoint(callers_.value()));
  Replace(text, "{{listen_addrs.ready}}", Endpoint(readiness_.value()));
  if (options_.peer == nullptr) {
    options_.peer = std::make_shared<standin::PortHolder>();
  }
  Replace(text, "{{ip}}:{{port_range.0}}", Endpoint(options_.peer->value()));
  Replace(text, "{{ip}}:{{port_range.1}}", Endpoint(metrics_.value()));
  Replace(text, "{{platform.address}}", Endpoint(options_.store_port));
  Replace(text, "{{limits.cpu_share|json}}", "0.25");
  Replace(text, "{{bounds.hold_max_ms|json}}", "1000");
  Replace(text, "{{bounds.drain_ms|json}}", "2000");
  Replace(text, "{{bounds.grace_s|json}}", "6.0");
  if (text.find("{{") != std::string::npos) {
    throw std::runtime_error("the template has an unknown placeholder");
  }
  // What a process reads from its machine on the platform.
  Json settings = Json::parse(text);
  settings["limits"]["memory_mb"] = options_.memory_mb;
  settings["limits"]["descriptors"] = 4100;
  if (options_.advertised_peer != 0) {
    settings["listen"]["advertised_peer"] = Endpoint(options_.advertised_peer);
  }
  std::ofstream(settings_path_) << settings.dump(2) << '\n';
}

Machine::~Machine() {
  if (pid_ > 0) {
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
  }
}

void Machine::Start() {
  const pid_t parent = ::getpid();
  pid_ = ::fork();
  if (pid_ == 0) {
    const int log =
        ::open(log_path_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    // The process ends with this one, whatever ends it.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) {
      ::_exit(127);
    }
    const std::string variable = "JAYPICK_CONFIG=" + settings_path_;
    const std::string path =
        std::string("PATH=") + (std::getenv("PATH") ? std::getenv("PATH") : "");
    char* const arguments[] = {executable_.data(), nullptr};
    char* const environment[] = {const_cast<char*>(variable.c_str()),
                                 const_cast<char*>(path.c_str()), nullptr};
    ::execve(executable_.c_str(), arguments, environment);
    ::_exit(127);
  }
}

void Machine::Signal(int signal) {
  if (pid_ > 0) {
    ::kill(pid_, signal);
  }
}

bool Machine::HasEnded(std::string& how) {
  if (pid_ <= 0) {
    return false;
  }
  int status = 0;
  if (::waitpid(pid_, &status, WNOHANG) != pid_) {
    return false;
  }
  pid_ = 0;
  how = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                            : "code " + std::to_string(WEXITSTATUS(status));
  return true;
}

long Machine::ResidentMegabytes() const {
  std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
  long total = 0;
  long resident = 0;
  file >> total >> resident;
  return resident * ::sysconf(_SC_PAGESIZE) / (1024 * 1024);
}

long Machine::ProcessorMilliseconds() const {
  std::ifstream file("/proc/" + std::to_string(pid_) + "/stat");
  std::string text;
  std::getline(file, text);
  const std::size_t end = text.rfind(')');
  if (end == std::string::npos) {
    return 0;
  }
  std::istringstream words(text.substr(end + 2));
  std::string word;
  long user = 0;
  long system = 0;
  for (int field = 3; words >> word; ++field) {
    if (field == 14) {
      user = std::stol(word);
    } else if (field == 15) {
      system = std::stol(word);
      break;
    }
  }
  return (user + system) * 1000 / ::sysconf(_SC_CLK_TCK);
}

Platform::Platform() {
  ::signal(SIGPIPE, SIG_IGN);
}

void Platform::RunFor(int milliseconds) {
  const timeval time{.tv_sec = milliseconds / 1000,
                     .tv_usec = (milliseconds % 1000) * 1000};
  event_base_loopexit(base.get(), &time);
  event_base_dispatch(base.get());
}

bool Platform::WaitUntil(const std::function<bool()>& condition,
                         int milliseconds) {
  const auto end = std::chrono::steady_clock::now() +
                   std::chrono::milliseconds(milliseconds);
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    RunFor(5);
  }
  return true;
}

void Platform::PutConfiguration(int version, int timeout_ms) {
  store.Put("op/config",
            Json{{"version", version},
                 {"routes",
                  {{{"name", "orders"},
                    {"host", kHost},
                    {"prefix", kPrefix},
                    {"timeout_ms", timeout_ms},
                    {"target_latency_ms", 60},
                    {"priority", 0},
                    {"service", "desk"},
                    {"max_attempts", 3},
                    {"stretch", 1.6}}}},
                 {"services", {{{"name", "desk"}, {"admission_check", true}}}},
                 {"limits", {{"max_body_bytes", 262144}}}}
                .dump());
}

http::Request Submission(const std::string& id,
                         const Json& body,
                         int timeout_ms) {
  return {
      .method = http::Method::kPost,
      .path = kPrefix + id,
      .query = {},
      .headers = {{.name = "Host", .value = kHost},
                  {.name = "Timeout-Ms", .value = std::to_string(timeout_ms)}},
      .body = body.dump()};
}

int RunCase(const char* name, const std::function<int(Record& record)>& body) {
  const char* const path = std::getenv("RECORD");
  Record record(path == nullptr ? "record.txt" : path);
  record.Line(std::string(name) + (HasTrouble() ? "" : " without trouble"));
  int code = kNotRun;
  try {
    code = body(record);
  } catch (const std::exception& error) {
    record.Line(std::string("the case could not run: ") + error.what());
  }
  record.Line("exit code " + std::to_string(code));
  return code;
}

// One relayed connection. An end that has closed is null.
struct PeerRelay::Link {
  PeerRelay::Impl* relay = nullptr;
  bufferevent* ends[2] = {nullptr, nullptr};
  bool is_silent = false;
};

class PeerRelay::Impl {
 public:
  Impl(PeerRelay& relay, event_base* base, std::uint16_t target_port)
      : relay_(relay), base_(base), target_port_(target_port) {
    const sockaddr_in address = AddressOf(relay.port());
    listener_ = evconnlistener_new_bind(
        base, &Impl::OnAccept, this, LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE,
        64, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    if (listener_ == nullptr) {
      throw std::runtime_error("a relay cannot listen");
    }
  }

  ~Impl() {
    evconnlistener_free(listener_);
    for (const auto& link : links_) {
      Close(*link, 0);
      Close(*link, 1);
    }
  }

 private:
  static sockaddr_in AddressOf(std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
  }

  static void Close(Link& link, int end) {
    if (link.ends[end] != nullptr) {
      bufferevent_free(link.ends[end]);
      link.ends[end] = nullptr;
    }
  }

  static void OnAccept(evconnlistener* /*listener*/,
                       evutil_socket_t socket,
                       sockaddr* /*address*/,
                       int /*size*/,
                       void* self) {
    auto* const relay = static_cast<Impl*>(self);
    auto link = std::make_unique<Link>();
    link->relay = relay;
    link->ends[0] =
        bufferevent_socket_new(relay->base_, socket, BEV_OPT_CLOSE_ON_FREE);
    link->ends[1] =
        bufferevent_socket_new(relay->base_, -1, BEV_OPT_CLOSE_ON_FREE);
    for (bufferevent* const end : link->ends) {
      bufferevent_setcb(end, &Impl::OnRead, nullptr, &Impl::OnEvent,
                        link.get());
      bufferevent_enable(end, EV_READ | EV_WRITE);
    }
    const sockaddr_in target = AddressOf(relay->target_port_);
    bufferevent_socket_connect(link->ends[1],
                               reinterpret_cast<const sockaddr*>(&target),
                               sizeof(target));
    relay->links_.push_back(std::move(link));
  }

  static void OnRead(bufferevent* from, void* context) {
    Link& link = *static_cast<Link*>(context);
    bufferevent* const to = from == link.ends[0] ? link.ends[1] : link.ends[0];
    evbuffer* const input = bufferevent_get_input(from);
    if (to == nullptr || link.is_silent) {
      evbuffer_drain(input, evbuffer_get_length(input));
      return;
    }
    bufferevent_write_buffer(to, input);
  }

  static void OnEvent(bufferevent* end, short what, void* context) {
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
      return;
    }
    Link& link = *static_cast<Link*>(context);
    const int number = end == link.ends[0] ? 0 : 1;
    Close(link, number);
    if (number == 0 && link.relay->relay_.holds_closed_) {
      link.is_silent = true;
    } else {
      Close(link, 1 - number);
    }
  }

  PeerRelay& relay_;
  event_base* base_;
  std::uint16_t target_port_;
  evconnlistener* listener_ = nullptr;
  std::vector<std::unique_ptr<Link>> links_;
};

PeerRelay::PeerRelay(event_base* base, std::uint16_t target_port)
    : impl_(std::make_unique<Impl>(*this, base, target_port)) {}

PeerRelay::~PeerRelay() = default;

Folder::Folder() {
  std::string pattern =
      std::filesystem::temp_directory_path().string() + "/jaypick-XXXXXX";
  if (::mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("no temporary folder");
  }
  path_ = pattern;
}

Folder::~Folder() {
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

}  // namespace jaypick::review
