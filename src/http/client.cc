#include "http/client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <list>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include "http/evhttp_conversions.h"
#include "http/socket_options.h"

namespace jaypick::http {
namespace {

// Timeout of evhttp for a connection. Each call has its own timer, so this only
// has to be longer than any call.
constexpr int kEvhttpTimeoutSeconds = 3600;

evhttp_cmd_type CommandOf(Method method) {
  switch (method) {
    case Method::kPost:
      return EVHTTP_REQ_POST;
    case Method::kDelete:
      return EVHTTP_REQ_DELETE;
    case Method::kGet:
      break;
  }
  return EVHTTP_REQ_GET;
}

std::string HostHeader(const Address& address) {
  return address.host + ":" + std::to_string(address.port);
}

}  // namespace

class Client::Impl {
 public:
  Impl(event_base* base, const ClientOptions& options)
      : base_(base), options_(options) {
    deferred_ = event_new(base, -1, 0, &Impl::OnDeferred, this);
  }

  ~Impl() {
    is_closing_ = true;
    for (auto& [address, pool] : pools_) {
      for (auto& connection : pool.connections) {
        Free(*connection);
      }
    }
    for (auto& connection : closed_) {
      Free(*connection);
    }
    const std::list<Call> calls = std::exchange(calls_, {});
    for (const Call& call : calls) {
      event_free(call.timer);
    }
    std::vector<CompletedCall> completed = std::exchange(completed_, {});
    event_free(deferred_);
    for (CompletedCall& completed_call : completed) {
      completed_call.callback(std::move(completed_call.result));
    }
    for (const Call& call : calls) {
      call.callback(ClientError{.not_sent = call.connection == nullptr,
                                .message = "the client was closed"});
    }
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  Duration timeout() const { return options_.timeout; }
  std::size_t in_flight() const { return calls_.size() + completed_.size(); }

  std::uint64_t Send(const Address& address,
                     Request request,
                     Duration timeout,
                     ClientCallback callback) {
    const std::uint64_t number = ++last_call_number_;
    if (is_closing_) {
      callback(ClientError{.not_sent = true, .message = "client closed"});
      return number;
    }
    Pool& pool = pools_[address];
    const auto call = calls_.insert(calls_.end(), Call{});
    call->self = call;
    call->number = number;
    calls_by_number_[number] = &*call;
    call->client = this;
    call->pool = &pool;
    call->address = address;
    call->request = std::move(request);
    call->callback = std::move(callback);
    call->timer = evtimer_new(base_, &Impl::OnTimeout, &*call);
    const timeval time = ToTimeval(timeout);
    evtimer_add(call->timer, &time);
    pool.waiting.push_back(&*call);
    StartWaiting(pool);
    return number;
  }

  void Cancel(std::uint64_t number) {
    const auto it = calls_by_number_.find(number);
    if (it == calls_by_number_.end()) {
      return;
    }
    Call& call = *it->second;
    call.callback = [](const ClientResult&) {};
    Abort(call, {.not_sent = true, .message = "cancelled"});
  }

  void CloseIdle(const Address& address) {
    const auto pool = pools_.find(address);
    if (pool != pools_.end()) {
      CloseIdle(pool->second);
    }
  }

 private:
  struct Connection;
  struct Pool;

  struct Call {
    std::list<Call>::iterator self;
    std::uint64_t number = 0;
    Impl* client = nullptr;
    Pool* pool = nullptr;
    // Null while the call waits for a connection.
    Connection* connection = nullptr;
    Address address;
    Request request;
    ClientCallback callback;
    event* timer = nullptr;
  };

  struct Connection {
    Impl* client = nullptr;
    Pool* pool = nullptr;
    evhttp_connection* handle = nullptr;
    event* idle_timer = nullptr;
    Call* call = nullptr;
    bool has_responded = false;
    bool is_closed = false;
  };

  struct Pool {
    std::list<std::unique_ptr<Connection>> connections;
    std::list<Call*> waiting;
  };

  struct CompletedCall {
    ClientCallback callback;
    ClientResult result;
  };

  void StartWaiting(Pool& pool) {
    while (!pool.waiting.empty()) {
      Connection* const connection = FindConnection(pool);
      if (connection == nullptr) {
        return;
      }
      Call& call = *pool.waiting.front();
      pool.waiting.pop_front();
      Start(call, *connection);
    }
  }

  // Returns an idle connection, or a new one if the pool is not full, or null.
  Connection* FindConnection(Pool& pool) {
    for (auto it = pool.connections.begin(); it != pool.connections.end();) {
      Connection& connection = **it++;
      if (connection.call != nullptr) {
        continue;
      }
      if (PeekIdleSocket(Socket(connection)) == IdleSocketState::kReady) {
        return &connection;
      }
      Close(connection);
    }
    return pool.connections.size() < options_.connections_per_address
               ? Open(pool)
               : nullptr;
  }

  Connection* Open(Pool& pool) {
    const Address& address = pool.waiting.front()->address;
    bufferevent* const socket =
        bufferevent_socket_new(base_, -1, BEV_OPT_CLOSE_ON_FREE);
    auto connection = std::make_unique<Connection>();
    connection->client = this;
    connection->pool = &pool;
    connection->handle = evhttp_connection_base_bufferevent_new(
        base_, nullptr, socket, address.host.c_str(), address.port);
    evhttp_connection_set_timeout(connection->handle, kEvhttpTimeoutSeconds);
    evhttp_connection_set_max_body_size(
        connection->handle, static_cast<ev_ssize_t>(options_.body_limit_bytes));
    evhttp_connection_set_closecb(connection->handle, &Impl::OnClose,
                                  connection.get());
    connection->idle_timer =
        evtimer_new(base_, &Impl::OnIdleTimeout, connection.get());
    pool.connections.push_back(std::move(connection));
    return pool.connections.back().get();
  }

  static int Socket(const Connection& connection) {
    return bufferevent_getfd(
        evhttp_connection_get_bufferevent(connection.handle));
  }

  void Start(Call& call, Connection& connection) {
    call.connection = &connection;
    connection.call = &call;
    evtimer_del(connection.idle_timer);
    evhttp_request* const request =
        evhttp_request_new(&Impl::OnResponse, &connection);
    evkeyvalq& headers = *evhttp_request_get_output_headers(request);
    if (!FindHeader(call.request.headers, "Host")) {
      evhttp_add_header(&headers, "Host", HostHeader(call.address).c_str());
    }
    AddHeaders(headers, call.request.headers);
    const bool is_post = call.request.method == Method::kPost;
    if (is_post &&
        !FindHeader(call.request.headers, "Content-Type").has_value()) {
      evhttp_add_header(&headers, "Content-Type", "application/json");
    }
    AppendText(evhttp_request_get_output_buffer(request),
               std::move(call.request.body));
    const std::string target =
        EncodeTarget(call.request.path, call.request.query);
    const int result =
        evhttp_make_request(connection.handle, request,
                            CommandOf(call.request.method), target.c_str());
    if (result != 0) {
      Close(connection);
      Complete(call,
               ClientError{.not_sent = true, .message = "cannot connect"});
      return;
    }
    if (!connection.has_responded) {
      SetSocketOptions(Socket(connection));
    }
  }

  static void OnResponse(evhttp_request* request, void* context) {
    auto* const connection = static_cast<Connection*>(context);
    connection->client->Finish(*connection, request);
  }

  void Finish(Connection& connection, evhttp_request* request) {
    Call* const call = std::exchange(connection.call, nullptr);
    if (call == nullptr) {
      return;
    }
    Pool& pool = *connection.pool;
    // evhttp reports a failure to connect as a request without a status, and
    // any later failure as a null request.
    const int status =
        request == nullptr ? 0 : evhttp_request_get_response_code(request);
    if (status == 0) {
      Close(connection);
      Complete(*call, ClientError{.not_sent = request != nullptr,
                                  .message = request != nullptr
                                                 ? "cannot connect"
                                                 : "no valid response"});
    } else {
      connection.has_responded = true;
      Response response = TakeResponse(request);
      Release(connection);
      Complete(*call, std::move(response));
    }
    StartWaiting(pool);
  }

  // Keeps the connection for the next request, unless the server has closed it
  // or has sent unexpected bytes after the response.
  void Release(Connection& connection) {
    bufferevent* const socket =
        evhttp_connection_get_bufferevent(connection.handle);
    if (connection.is_closed ||
        evbuffer_get_length(bufferevent_get_input(socket)) != 0) {
      Close(connection);
      return;
    }
    const timeval time = ToTimeval(options_.idle_timeout);
    evtimer_add(connection.idle_timer, &time);
  }

  static void OnTimeout(int /*socket*/, short /*what*/, void* context) {
    auto* const call = static_cast<Call*>(context);
    call->client->Abort(
        *call, {.not_sent = true, .timed_out = true, .message = "timed out"});
  }

  // `error.not_sent` is kept only if no byte has been sent.
  void Abort(Call& call, ClientError error) {
    Pool& pool = *call.pool;
    if (error.timed_out && options_.closes_idle_on_timeout) {
      CloseIdle(pool);
    }
    if (call.connection != nullptr) {
      Connection& connection = *call.connection;
      error.not_sent =
          !connection.has_responded && IsConnecting(Socket(connection));
      if (options_.resets_on_timeout) {
        ResetOnClose(Socket(connection));
      }
      connection.call = nullptr;
      Close(connection);
    } else {
      pool.waiting.remove(&call);
    }
    Complete(call, std::move(error));
    StartWaiting(pool);
  }

  void CloseIdle(Pool& pool) {
    for (auto it = pool.connections.begin(); it != pool.connections.end();) {
      Connection& connection = **it++;
      if (connection.call == nullptr) {
        Close(connection);
      }
    }
  }

  static void OnIdleTimeout(int /*socket*/, short /*what*/, void* context) {
    auto* const connection = static_cast<Connection*>(context);
    connection->client->Close(*connection);
  }

  static void OnClose(evhttp_connection* /*handle*/, void* context) {
    auto* const connection = static_cast<Connection*>(context);
    connection->is_closed = true;
    if (connection->call == nullptr) {
      connection->client->Close(*connection);
    }
  }

  // Removes the connection from its pool. It is freed later from the event
  // loop, because evhttp may still be using it further up the call stack.
  void Close(Connection& connection) {
    auto& connections = connection.pool->connections;
    for (auto it = connections.begin(); it != connections.end(); ++it) {
      if (it->get() == &connection) {
        evtimer_del(connection.idle_timer);
        closed_.splice(closed_.end(), connections, it);
        event_active(deferred_, 0, 0);
        return;
      }
    }
  }

  void Free(Connection& connection) {
    evhttp_connection_set_closecb(connection.handle, nullptr, nullptr);
    evhttp_connection_free(connection.handle);
    event_free(connection.idle_timer);
  }

  void Complete(Call& call, ClientResult result) {
    event_free(call.timer);
    completed_.push_back({std::move(call.callback), std::move(result)});
    calls_by_number_.erase(call.number);
    calls_.erase(call.self);
    event_active(deferred_, 0, 0);
  }

  static void OnDeferred(int /*socket*/, short /*what*/, void* context) {
    static_cast<Impl*>(context)->RunDeferred();
  }

  void RunDeferred() {
    for (auto& connection : std::exchange(closed_, {})) {
      Free(*connection);
    }
    for (CompletedCall& completed_call : std::exchange(completed_, {})) {
      completed_call.callback(std::move(completed_call.result));
    }
  }

  event_base* base_;
  ClientOptions options_;
  event* deferred_ = nullptr;
  bool is_closing_ = false;
  std::map<Address, Pool> pools_;
  std::list<Call> calls_;
  std::unordered_map<std::uint64_t, Call*> calls_by_number_;
  std::uint64_t last_call_number_ = 0;
  std::list<std::unique_ptr<Connection>> closed_;
  std::vector<CompletedCall> completed_;
};

Client::Client(event_base* base, const ClientOptions& options)
    : impl_(std::make_unique<Impl>(base, options)) {}
Client::~Client() = default;

std::uint64_t Client::Send(const Address& address,
                           Request request,
                           ClientCallback callback) {
  return impl_->Send(address, std::move(request), impl_->timeout(),
                     std::move(callback));
}

std::uint64_t Client::Send(const Address& address,
                           Request request,
                           Duration timeout,
                           ClientCallback callback) {
  return impl_->Send(address, std::move(request), timeout, std::move(callback));
}

void Client::Cancel(std::uint64_t call) {
  impl_->Cancel(call);
}

void Client::CloseIdle(const Address& address) {
  impl_->CloseIdle(address);
}

std::size_t Client::in_flight() const {
  return impl_->in_flight();
}

}  // namespace jaypick::http
