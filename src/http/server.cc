#include "http/server.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <map>
#include <stdexcept>
#include <unordered_map>
#include <utility>
#include <vector>

#include "http/connection_budget.h"
#include "http/evhttp_conversions.h"
#include "http/socket_options.h"

namespace jaypick::http {
namespace {

constexpr int kBacklog = 1024;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kTooLarge = 413;
constexpr int kInternalError = 500;
// Limit of the bytes of further requests that are read while a request is being
// handled.
constexpr std::size_t kReadAheadBytes = std::size_t{4} * 1024;
// evhttp keeps each read as a block of at least this size.
constexpr std::size_t kMinBlockBytes = 1024;
// Memory for the bytes of a header, compared with their number: evhttp keeps
// each line as several allocations.
constexpr std::size_t kHeaderCost = 16;
// The same for one header whose size is known, in bytes.
constexpr std::size_t kHeaderOverhead = 96;
constexpr int kServiceUnavailable = 503;
constexpr ev_uint16_t kAllMethods =
    EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |
    EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_TRACE |
    EVHTTP_REQ_CONNECT | EVHTTP_REQ_PATCH;
// The request on the connection has not arrived completely, so it has not run.
constexpr std::string_view kOverLimit =
    "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n"
    "Content-Length: 0\r\nRetry-After: 1\r\n\r\n";

// Returns the size of the socket address, or 0 if `address.host` is not an IP
// address.
int ToSocketAddress(const Address& address, sockaddr_storage& storage) {
  auto* const v4 = reinterpret_cast<sockaddr_in*>(&storage);
  if (::inet_pton(AF_INET, address.host.c_str(), &v4->sin_addr) == 1) {
    v4->sin_family = AF_INET;
    v4->sin_port = htons(address.port);
    return sizeof(*v4);
  }
  auto* const v6 = reinterpret_cast<sockaddr_in6*>(&storage);
  if (::inet_pton(AF_INET6, address.host.c_str(), &v6->sin6_addr) == 1) {
    v6->sin6_family = AF_INET6;
    v6->sin6_port = htons(address.port);
    return sizeof(*v6);
  }
  errno = EINVAL;
  return 0;
}

evconnlistener* Listen(event_base* base,
                       const Address& address,
                       int receive_buffer_bytes) {
  sockaddr_storage storage{};
  const int size = ToSocketAddress(address, storage);
  evconnlistener* const listener =
      size == 0 ? nullptr
                : evconnlistener_new_bind(
                      base, nullptr, nullptr,
                      LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE |
                          LEV_OPT_CLOSE_ON_EXEC,
                      kBacklog, reinterpret_cast<sockaddr*>(&storage), size);
  if (listener == nullptr) {
    throw std::runtime_error("cannot listen on " + address.host + " port " +
                             std::to_string(address.port) + ": " +
                             std::strerror(errno));
  }
  SetSocketOptions(evconnlistener_get_fd(listener));
  if (receive_buffer_bytes > 0) {
    SetReceiveBuffer(evconnlistener_get_fd(listener), receive_buffer_bytes);
  }
  return listener;
}

std::uint16_t BoundPort(int socket) {
  sockaddr_storage storage{};
  socklen_t size = sizeof(storage);
  if (::getsockname(socket, reinterpret_cast<sockaddr*>(&storage), &size) !=
      0) {
    return 0;
  }
  return storage.ss_family == AF_INET6
             ? ntohs(reinterpret_cast<sockaddr_in6*>(&storage)->sin6_port)
             : ntohs(reinterpret_cast<sockaddr_in*>(&storage)->sin_port);
}

// Makes the bufferevent detect that the peer closes the connection while a
// request is being handled. evhttp stops reading in this state, and treats data
// that arrives as a fatal error, so its read callback is removed.
void DetectPeerClose(bufferevent* connection) {
  bufferevent_data_cb read = nullptr;
  bufferevent_data_cb write = nullptr;
  bufferevent_event_cb event = nullptr;
  void* context = nullptr;
  bufferevent_getcb(connection, &read, &write, &event, &context);
  bufferevent_setcb(connection, nullptr, write, event, context);
  bufferevent_setwatermark(connection, EV_READ, 0, kReadAheadBytes);
  bufferevent_enable(connection, EV_READ);
}

}  // namespace

// One request, from its arrival until the last byte of its response has been
// written.
class Responder::Call {
 public:
  evhttp_request* request = nullptr;
  evhttp_connection* connection = nullptr;
  bool is_answered = false;
  // Null once the server has been destroyed or the connection closed.
  Server::Impl* server = nullptr;
  std::function<void()> on_closed;
};

class Server::Impl {
 public:
  Impl(event_base* base, ServerOptions options)
      : options_(std::move(options)),
        budget_(options_.limits),
        listener_(
            Listen(base, options_.address, options_.receive_buffer_bytes)),
        http_(evhttp_new(base)) {
    port_ = BoundPort(evconnlistener_get_fd(listener_));
    register_event_ = event_new(base, -1, 0, &Impl::OnRegisterAccepted, this);
    limit_event_ = event_new(base, -1, 0, &Impl::OnOverMemory, this);
    const timeval idle = ToTimeval(options_.idle_timeout);
    evhttp_set_timeout_tv(http_, &idle);
    evhttp_set_max_body_size(
        http_, static_cast<ev_ssize_t>(2 * options_.body_limit_bytes));
    evhttp_set_max_headers_size(
        http_, static_cast<ev_ssize_t>(options_.header_limit_bytes));
    evhttp_set_allowed_methods(http_, kAllMethods);
    // Without this flag, a client that is still sending its oversize body gets
    // a connection reset instead of the 413.
    evhttp_set_flags(http_, EVHTTP_SERVER_LINGERING_CLOSE);
    evhttp_set_gencb(http_, &Impl::OnRequest, this);
    evhttp_set_bevcb(http_, &Impl::OnAccept, this);
    bound_socket_ = evhttp_bind_listener(http_, listener_);
  }

  ~Impl() {
    for (auto& [connection, call] : calls_) {
      Detach(*call);
    }
    for (const auto& [connection, tracked] : connections_) {
      evhttp_connection_set_closecb(connection, nullptr, nullptr);
      evbuffer_remove_cb(tracked->input, &Impl::OnInput, tracked.get());
    }
    event_free(register_event_);
    event_free(limit_event_);
    evhttp_free(http_);
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void Handle(Method method, std::string path, Handler handler) {
    handlers_[std::move(path)][method] = std::move(handler);
  }

  std::uint16_t port() const { return port_; }
  std::size_t open_calls() const { return calls_.size(); }

  void StopAccepting() {
    CloseAfterAnswers();
    if (bound_socket_ != nullptr) {
      evhttp_del_accept_socket(http_, bound_socket_);
      bound_socket_ = nullptr;
    }
  }

  void CloseAfterAnswers() { close_after_answers_ = true; }

  const ServerCounters& counters() const { return counters_; }
  std::size_t buffered_bytes() const { return budget_.bytes(); }

  void Respond(Responder::Call& call, Response response) {
    evhttp_request* const request = std::exchange(call.request, nullptr);
    call.is_answered = true;
    call.on_closed = nullptr;
    if (evhttp_request_get_connection(request) == nullptr) {
      evhttp_request_free(request);
      return;
    }
    BeginSending(call.connection, response);
    evkeyvalq& headers = *evhttp_request_get_output_headers(request);
    AddHeaders(headers, response.headers);
    if (!response.content_type.empty()) {
      evhttp_add_header(&headers, "Content-Type",
                        response.content_type.c_str());
    }
    if (close_after_answers_) {
      evhttp_add_header(&headers, "Connection", "close");
    }
    AppendText(evhttp_request_get_output_buffer(request),
               std::move(response.body));
    evhttp_request_set_on_complete_cb(request, &Impl::OnWritten, this);
    evhttp_send_reply(request, response.status, nullptr, nullptr);
  }

 private:
  using Methods = std::map<Method, Handler>;

  struct Tracked : ConnectionBudget::Connection {
    Impl* server = nullptr;
    evhttp_connection* connection = nullptr;
    evbuffer* input = nullptr;
    // Bytes of the request that is being received.
    std::size_t received = 0;
  };

  // evhttp creates its connection object only after this callback has returned,
  // so `RegisterAccepted` does the rest of the work. Its event runs before the
  // new connection is polled for the first time.
  static bufferevent* OnAccept(event_base* base, void* self) {
    auto* const server = static_cast<Impl*>(self);
    bufferevent* const connection = bufferevent_socket_new(base, -1, 0);
    if (connection != nullptr) {
      server->accepted_.push_back(connection);
      event_active(server->register_event_, 0, 0);
    }
    return connection;
  }

  static void OnRegisterAccepted(int /*socket*/, short /*what*/, void* self) {
    static_cast<Impl*>(self)->RegisterAccepted();
  }

  void RegisterAccepted() {
    for (bufferevent* const accepted : std::exchange(accepted_, {})) {
      void* context = nullptr;
      bufferevent_getcb(accepted, nullptr, nullptr, nullptr, &context);
      auto* const connection = static_cast<evhttp_connection*>(context);
      if (budget_.is_full()) {
        if (auto* const oldest = budget_.ChooseForNewcomer()) {
          ++counters_.closed_for_newcomers;
          CloseAtLimit(static_cast<Tracked&>(*oldest));
        }
      }
      if (budget_.is_full()) {
        ++counters_.refused;
        SendOverLimit(bufferevent_getfd(accepted));
        evhttp_connection_free(connection);
        continue;
      }
      auto tracked = std::make_unique<Tracked>();
      tracked->server = this;
      tracked->connection = connection;
      tracked->input = bufferevent_get_input(accepted);
      evbuffer_add_cb(tracked->input, &Impl::OnInput, tracked.get());
      budget_.Add(*tracked);
      connections_.emplace(connection, std::move(tracked));
      evhttp_connection_set_closecb(connection, &Impl::OnClose, this);
    }
  }

  static void SendOverLimit(int socket) {
    static_cast<void>(::send(socket, kOverLimit.data(), kOverLimit.size(),
                             MSG_NOSIGNAL | MSG_DONTWAIT));
  }

  // Closes a connection whose request is not being handled.
  static void CloseAtLimit(const Tracked& tracked) {
    // A response that is being written must not be followed by another.
    if (tracked.phase() == ConnectionPhase::kReceiving) {
      SendOverLimit(bufferevent_getfd(
          evhttp_connection_get_bufferevent(tracked.connection)));
    }
    evhttp_connection_free(tracked.connection);
  }

  static void OnOverMemory(int /*socket*/, short /*what*/, void* self) {
    auto* const server = static_cast<Impl*>(self);
    while (server->budget_.is_over_memory()) {
      auto* const chosen = server->budget_.ChooseForMemory();
      if (chosen == nullptr) {
        return;
      }
      ++server->counters_.closed_for_memory;
      CloseAtLimit(static_cast<Tracked&>(*chosen));
    }
  }

  static void OnInput(evbuffer* /*buffer*/,
                      const evbuffer_cb_info* info,
                      void* self) {
    auto& tracked = *static_cast<Tracked*>(self);
    if (info->n_added > 0) {
      tracked.server->OnReceived(tracked, info->n_added);
    }
  }

  void OnReceived(Tracked& tracked, std::size_t bytes) {
    const bool is_ahead = tracked.phase() == ConnectionPhase::kHandling ||
                          tracked.phase() == ConnectionPhase::kSending;
    if (is_ahead) {
      return;
    }
    budget_.SetPhase(tracked, ConnectionPhase::kReceiving);
    const std::size_t header_left =
        options_.header_limit_bytes -
        std::min(options_.header_limit_bytes, tracked.received);
    const std::size_t cost = std::max(bytes, kMinBlockBytes) +
                             kHeaderCost * std::min(bytes, header_left);
    tracked.received += bytes;
    budget_.SetBytes(tracked, tracked.bytes() + cost);
    // A connection must not be closed while evhttp is reading from it.
    if (budget_.is_over_memory()) {
      event_active(limit_event_, 0, 0);
    }
  }

  void BeginHandling(evhttp_connection* connection,
                     const evkeyvalq& headers,
                     std::size_t body_bytes) {
    Tracked& tracked = *connections_.at(connection);
    std::size_t held = body_bytes;
    for (const evkeyval* header = headers.tqh_first; header != nullptr;
         header = header->next.tqe_next) {
      held += std::strlen(header->key) + std::strlen(header->value) +
              kHeaderOverhead;
    }
    tracked.received = 0;
    budget_.SetBytes(tracked, held);
    budget_.SetPhase(tracked, ConnectionPhase::kHandling);
  }

  // Replaces `response` if there is no memory for it.
  void BeginSending(evhttp_connection* connection, Response& response) {
    Tracked& tracked = *connections_.at(connection);
    if (!budget_.HasRoomFor(response.body.size())) {
      ++counters_.responses_replaced;
      response = {.status = kServiceUnavailable,
                  .headers = {{.name = "Retry-After", .value = "1"}},
                  .body = R"({"error":"out of memory for responses"})"};
    }
    budget_.SetPhase(tracked, ConnectionPhase::kSending);
    budget_.SetBytes(tracked, tracked.bytes() + response.body.size());
    if (budget_.is_over_memory()) {
      event_active(limit_event_, 0, 0);
    }
  }

  void EndSending(evhttp_connection* connection) {
    Tracked& tracked = *connections_.at(connection);
    bufferevent_setwatermark(evhttp_connection_get_bufferevent(connection),
                             EV_READ, 0, 0);
    budget_.SetPhase(tracked, ConnectionPhase::kIdle);
    budget_.SetBytes(tracked, 0);
    // Bytes of the next request have been read already.
    if (const std::size_t ahead = evbuffer_get_length(tracked.input)) {
      OnReceived(tracked, ahead);
    }
  }

  // After this call the responder may outlive the server. A request that still
  // has a connection is freed together with it. A null request means that a
  // response is being written, and evhttp already owns the request.
  static void Detach(Responder::Call& call) {
    call.server = nullptr;
    if (call.request != nullptr &&
        evhttp_request_get_connection(call.request) != nullptr) {
      call.request = nullptr;
    }
  }

  static void OnClose(evhttp_connection* connection, void* self) {
    static_cast<Impl*>(self)->Close(connection);
  }

  void Close(evhttp_connection* connection) {
    connections_.erase(connection);
    const auto it = calls_.find(connection);
    if (it == calls_.end()) {
      return;
    }
    const std::shared_ptr<Responder::Call> call = std::move(it->second);
    calls_.erase(it);
    call->connection = nullptr;
    Detach(*call);
    if (const auto on_closed = std::exchange(call->on_closed, nullptr)) {
      on_closed();
    }
  }

  static void OnWritten(evhttp_request* request, void* self) {
    auto* const server = static_cast<Impl*>(self);
    evhttp_connection* const connection =
        evhttp_request_get_connection(request);
    server->calls_.erase(connection);
    server->EndSending(connection);
  }

  static void OnRequest(evhttp_request* request, void* self) {
    static_cast<Impl*>(self)->Dispatch(request);
  }

  void Dispatch(evhttp_request* request) {
    auto call = std::make_shared<Responder::Call>();
    call->request = request;
    call->connection = evhttp_request_get_connection(request);
    call->server = this;
    calls_[call->connection] = call;
    BeginHandling(
        call->connection, *evhttp_request_get_input_headers(request),
        evbuffer_get_length(evhttp_request_get_input_buffer(request)));
    DetectPeerClose(evhttp_connection_get_bufferevent(call->connection));
    Responder responder(std::move(call));
    std::string path = DecodedPath(request);
    const Methods* const methods = FindMethods(path);
    if (methods == nullptr) {
      responder.Send({.status = kNotFound,
                      .headers = {},
                      .body = R"({"error":"no such path"})"});
      return;
    }
    const std::size_t size =
        evbuffer_get_length(evhttp_request_get_input_buffer(request));
    if (size > options_.body_limit_bytes) {
      responder.Send(Oversize(size));
      return;
    }
    const auto method = MethodOf(request);
    const auto handler = method ? methods->find(*method) : methods->end();
    if (handler == methods->end()) {
      responder.Send({.status = kMethodNotAllowed,
                      .headers = {{.name = "Allow", .value = Allow(*methods)}},
                      .body = R"({"error":"method not allowed"})"});
      return;
    }
    Request typed{
        .method = *method,
        .path = std::move(path),
        .query = DecodedQuery(request),
        .headers = CopyHeaders(*evhttp_request_get_input_headers(request)),
        .body = TakeAll(evhttp_request_get_input_buffer(request))};
    handler->second(std::move(typed), std::move(responder));
  }

  Response Oversize(std::size_t size) const {
    Response response{.headers = {}, .body = R"({"error":"body too large"})"};
    if (options_.on_oversize_body) {
      response = options_.on_oversize_body(size);
    }
    response.status = kTooLarge;
    return response;
  }

  const Methods* FindMethods(const std::string& path) const {
    const auto exact = handlers_.find(path);
    if (exact != handlers_.end()) {
      return &exact->second;
    }
    for (std::size_t slash = path.rfind('/'); slash != std::string::npos;
         slash = slash == 0 ? std::string::npos : path.rfind('/', slash - 1)) {
      const auto prefix_match = handlers_.find(path.substr(0, slash + 1));
      if (prefix_match != handlers_.end()) {
        return &prefix_match->second;
      }
    }
    return nullptr;
  }

  static std::optional<Method> MethodOf(const evhttp_request* request) {
    switch (evhttp_request_get_command(request)) {
      case EVHTTP_REQ_GET:
        return Method::kGet;
      case EVHTTP_REQ_POST:
        return Method::kPost;
      case EVHTTP_REQ_DELETE:
        return Method::kDelete;
      default:
        return std::nullopt;
    }
  }

  static std::string Allow(const Methods& methods) {
    std::string allow;
    for (const auto& [method, handler] : methods) {
      allow += allow.empty() ? "" : ", ";
      allow += ToString(method);
    }
    return allow;
  }

  ServerOptions options_;
  ConnectionBudget budget_;
  ServerCounters counters_;
  evconnlistener* listener_;
  evhttp* http_;
  evhttp_bound_socket* bound_socket_ = nullptr;
  event* register_event_ = nullptr;
  event* limit_event_ = nullptr;
  std::uint16_t port_ = 0;
  bool close_after_answers_ = false;
  std::map<std::string, Methods> handlers_;
  std::vector<bufferevent*> accepted_;
  std::unordered_map<evhttp_connection*, std::unique_ptr<Tracked>> connections_;
  // Only one request at a time is handled on each connection.
  std::unordered_map<evhttp_connection*, std::shared_ptr<Responder::Call>>
      calls_;
};

Responder::Responder(std::shared_ptr<Call> call) : call_(std::move(call)) {}
Responder::Responder(Responder&&) noexcept = default;
Responder& Responder::operator=(Responder&& other) noexcept {
  std::swap(call_, other.call_);
  return *this;
}

Responder::~Responder() {
  if (call_ != nullptr) {
    Send({.status = kInternalError,
          .headers = {},
          .body = R"({"error":"the request was dropped"})"});
  }
}

void Responder::Send(Response response) {
  const std::shared_ptr<Call> call = std::exchange(call_, nullptr);
  if (call == nullptr || call->is_answered) {
    return;
  }
  if (call->server != nullptr) {
    call->server->Respond(*call, std::move(response));
  } else if (call->request != nullptr) {
    evhttp_request_free(std::exchange(call->request, nullptr));
  }
}

void Responder::OnClosed(std::function<void()> callback) {
  if (call_ != nullptr) {
    call_->on_closed = std::move(callback);
  }
}

Server::Server(event_base* base, ServerOptions options)
    : impl_(std::make_unique<Impl>(base, std::move(options))) {}
Server::~Server() = default;

void Server::Handle(Method method, std::string path, Handler handler) {
  impl_->Handle(method, std::move(path), std::move(handler));
}

std::uint16_t Server::port() const {
  return impl_->port();
}

void Server::StopAccepting() {
  impl_->StopAccepting();
}

void Server::CloseAfterAnswers() {
  impl_->CloseAfterAnswers();
}

std::size_t Server::open_calls() const {
  return impl_->open_calls();
}

const ServerCounters& Server::counters() const {
  return impl_->counters();
}

std::size_t Server::buffered_bytes() const {
  return impl_->buffered_bytes();
}

}  // namespace jaypick::http
