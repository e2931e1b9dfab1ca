// Tests of the HTTP server and client over real sockets.
#include <criterion/criterion.h>

#include <map>
#include <optional>

#include "http/client.h"
#include "http/server.h"
#include "tests/event_loop.h"

namespace jaypick::http {
namespace {

using testing::EventLoop;
using testing::RawClient;
using testing::RawServer;

const std::string kLoopback = "127.0.0.1";

Request Post(std::string path, std::string body) {
  return {.method = Method::kPost,
          .path = std::move(path),
          .query = {},
          .headers = {},
          .body = std::move(body)};
}

Request Get(std::string path) {
  return {.method = Method::kGet,
          .path = std::move(path),
          .query = {},
          .headers = {},
          .body = {}};
}

Response Text(std::string body) {
  return {.status = 200, .headers = {}, .body = std::move(body)};
}

ServerOptions AnyPort() {
  return {.address = {.host = kLoopback, .port = 0}};
}

// Sends one request and runs the loop until it has ended.
ClientResult Exchange(EventLoop& loop,
                      Client& client,
                      std::uint16_t port,
                      Request request) {
  std::optional<ClientResult> result;
  client.Send({kLoopback, port}, std::move(request),
              [&](ClientResult ended) { result = std::move(ended); });
  cr_assert(loop.RunUntil([&] { return result.has_value(); }));
  return *result;
}

int Status(const ClientResult& result) {
  const auto* const response = std::get_if<Response>(&result);
  return response == nullptr ? 0 : response->status;
}

const ClientError& Error(const ClientResult& result) {
  cr_assert(std::holds_alternative<ClientError>(result));
  return std::get<ClientError>(result);
}

struct Echo {
  explicit Echo(EventLoop& loop, ServerOptions options = AnyPort())
      : server(loop.base(), std::move(options)) {
    server.Handle(Method::kPost, "/echo",
                  [](Request request, Responder responder) {
                    responder.Send(Text(request.body));
                  });
  }
  Server server;
};

// Guards against a path, query or body that is altered between client and
// server.
Test(http, request_arrives_as_sent) {
  EventLoop loop;
  Server server(loop.base(), AnyPort());
  Request seen;
  server.Handle(Method::kPost, "/a/",
                [&](Request request, Responder responder) {
                  seen = std::move(request);
                  responder.Send(
                      {.status = 202, .headers = {{"X-A", "b"}}, .body = "{}"});
                });
  Client client(loop.base(), {});
  Request request = Post("/a/b c/d", std::string(100'000, 'x'));
  request.query = {{"owner", "h\xc3\xa9 &=?"}, {"wait", ""}};
  request.headers = {{"Jaypick-Attempt", "e.1"}};
  const auto result = Exchange(loop, client, server.port(), request);
  cr_assert(Status(result) == 202);
  const auto& response = std::get<Response>(result);
  cr_assert(FindHeader(response.headers, "x-a") == "b");
  cr_assert(response.content_type == "application/json");
  cr_assert(seen.path == request.path);
  cr_assert(seen.query == request.query);
  cr_assert(seen.body == request.body);
  cr_assert(FindHeader(seen.headers, "jaypick-attempt") == "e.1");
}

// Guards against oversize, malformed or unroutable requests that reach a
// handler.
Test(http, rejects_requests_without_handler_or_beyond_limits) {
  EventLoop loop;
  ServerOptions options = AnyPort();
  options.body_limit_bytes = 1000;
  options.header_limit_bytes = 1000;
  Echo echo(loop, options);
  Client client(loop.base(), {});
  const auto port = echo.server.port();
  const std::string long_text(5'000'000, 'x');
  Request header = Post("/echo", "");
  header.headers = {{"X-Long", std::string(2000, 'x')}};
  cr_assert(Status(Exchange(loop, client, port, Post("/", ""))) == 404);
  cr_assert(Status(Exchange(loop, client, port, Get("/echo"))) == 405);
  cr_assert(Status(Exchange(loop, client, port, Post("/echo", long_text))) ==
            413);
  cr_assert(Status(Exchange(loop, client, port, header)) == 400);
  cr_assert(Status(Exchange(loop, client, port, Post("/echo", "x"))) == 200);
  RawClient put(loop, port, "PUT /echo HTTP/1.1\r\nHost: x\r\n\r\n");
  RawClient malformed(loop, port, "what is this\r\n\r\n");
  cr_assert(loop.RunUntil([&] {
    return put.received().find(" 405 ") != std::string::npos &&
           malformed.received().find(" 400 ") != std::string::npos;
  }));
  cr_assert(put.received().find("Allow: POST") != std::string::npos);
}

// Guards against an unbounded number of connections.
Test(http, refuses_connections_beyond_the_limit) {
  EventLoop loop;
  ServerOptions options = AnyPort();
  options.limits.connections = 1;
  Server server(loop.base(), options);
  std::vector<Responder> responders;
  server.Handle(Method::kGet, "/", [&](Request, Responder responder) {
    responders.push_back(std::move(responder));
  });
  RawClient first(loop, server.port(), "GET /x HTTP/1.1\r\nHost: x\r\n\r\n");
  cr_assert(loop.RunUntil([&] { return responders.size() == 1; }));
  {
    RawClient second(loop, server.port(), "");
    cr_assert(loop.RunUntil([&] { return second.is_closed(); }));
    cr_assert(second.received().starts_with("HTTP/1.1 503 "));
  }
  responders.front().Send({.body = "x"});
  cr_assert(loop.RunUntil(
      [&] { return first.received().starts_with("HTTP/1.1 200 "); }));
  cr_assert(server.counters() == ServerCounters{.refused = 1});
}

// Guards against idle connections that keep new callers out.
Test(http, new_connection_takes_the_place_of_the_oldest_idle_one) {
  EventLoop loop;
  ServerOptions options = AnyPort();
  options.limits.connections = 2;
  Echo echo(loop, options);
  RawClient oldest(loop, echo.server.port(), "");
  loop.RunFor(50);
  RawClient begun(loop, echo.server.port(), "POST /echo HT");
  loop.RunFor(50);
  RawClient third(loop, echo.server.port(),
                  "POST /echo HTTP/1.1\r\nContent-Length: 1\r\n\r\nx");
  cr_assert(loop.RunUntil([&] {
    return oldest.is_closed() && third.received().starts_with("HTTP/1.1 200 ");
  }));
  cr_assert(!begun.is_closed());
  cr_assert(echo.server.counters() ==
            ServerCounters{.closed_for_newcomers = 1});
}

// Guards against a response without memory, and against one of an ordinary size
// that is held back.
Test(http, large_response_without_memory_is_replaced) {
  EventLoop loop;
  ServerOptions options = AnyPort();
  options.limits.buffered_bytes = 128 * 1024;
  Server server(loop.base(), options);
  server.Handle(Method::kGet, "/large", [](Request, Responder responder) {
    responder.Send({.body = std::string(200 * 1024, 'x')});
  });
  server.Handle(Method::kGet, "/small", [](Request, Responder responder) {
    responder.Send({.body = "x"});
  });
  Client client(loop.base(), {});
  cr_assert_eq(Status(Exchange(loop, client, server.port(), Get("/large"))),
               503);
  cr_assert_eq(Status(Exchange(loop, client, server.port(), Get("/small"))),
               200);
  cr_assert_eq(server.buffered_bytes(), 0);
}

// Guards against a request that gets no response because its handler dropped
// the responder.
Test(http, dropped_responder_sends_500) {
  EventLoop loop;
  Server server(loop.base(), AnyPort());
  server.Handle(Method::kGet, "/", [](Request, Responder) {});
  Client client(loop.base(), {});
  cr_assert(Status(Exchange(loop, client, server.port(), Get("/x"))) == 500);
  cr_assert(server.open_calls() == 0);
}

// Guards against a response written to a closed connection, and against a crash
// if pipelined bytes arrive while a request is being handled.
Test(http, detects_disconnected_client) {
  EventLoop loop;
  Server server(loop.base(), AnyPort());
  std::vector<Responder> pending_responders;
  bool closed = false;
  server.Handle(Method::kGet, "/", [&](Request, Responder responder) {
    responder.OnClosed([&] { closed = true; });
    pending_responders.push_back(std::move(responder));
  });
  {
    RawClient client(loop, server.port(), "GET / HTTP/1.1\r\n\r\n");
    cr_assert(loop.RunUntil([&] { return pending_responders.size() == 1; }));
    client.Write("GET / HTTP/1.1\r\n\r\n");
    loop.RunFor(50);
    cr_assert(!closed && pending_responders.size() == 1);
  }
  cr_assert(loop.RunUntil([&] { return closed; }));
  pending_responders[0].Send(Text("late"));
  cr_assert(server.open_calls() == 0);
}

// Guards against a crash if a responder is used after its server was destroyed.
Test(http, responder_outlives_server) {
  EventLoop loop;
  std::optional<Responder> pending_responder;
  {
    Server server(loop.base(), AnyPort());
    server.Handle(Method::kGet, "/", [&](Request, Responder responder) {
      pending_responder = std::move(responder);
    });
    RawClient client(loop, server.port(), "GET / HTTP/1.1\r\n\r\n");
    cr_assert(loop.RunUntil([&] { return pending_responder.has_value(); }));
  }
  pending_responder->Send(Text("late"));
}

// Guards against a crash if a responder is kept after its client disconnected
// and its server was destroyed, as for a request that is never answered.
Test(http, responder_outlives_client_and_server) {
  EventLoop loop;
  std::optional<Server> server(std::in_place, loop.base(), AnyPort());
  std::optional<Responder> pending_responder;
  bool has_left = false;
  server->Handle(Method::kGet, "/", [&](Request, Responder responder) {
    responder.OnClosed([&] { has_left = true; });
    pending_responder = std::move(responder);
  });
  {
    RawClient client(loop, server->port(), "GET / HTTP/1.1\r\n\r\n");
    cr_assert(loop.RunUntil([&] { return pending_responder.has_value(); }));
  }
  cr_assert(loop.RunUntil([&] { return has_left; }));
  server.reset();
  pending_responder.reset();
}

// Guards against a crash if the client's reset arrives in the same iteration of
// the event loop in which its response is sent, as after a pause of the
// process.
Test(http, client_resets_before_its_answer_is_written) {
  EventLoop loop;
  Server server(loop.base(), AnyPort());
  std::optional<Responder> pending_responder;
  server.Handle(Method::kGet, "/", [&](Request, Responder responder) {
    pending_responder = std::move(responder);
  });
  RawClient client(loop, server.port(), "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  cr_assert(loop.RunUntil([&] { return pending_responder.has_value(); }));
  client.Reset();
  pending_responder->Send(Text("late"));
  loop.RunFor(50);
  cr_assert(server.open_calls() == 0);
}

// Guards against a crash if the server is destroyed while a response is being
// written.
Test(http, server_ends_before_its_answer_is_written) {
  EventLoop loop;
  std::optional<Server> server(std::in_place, loop.base(), AnyPort());
  bool is_answered = false;
  server->Handle(Method::kGet, "/", [&](Request, Responder responder) {
    responder.Send(Text(std::string(50'000'000, 'x')));
    is_answered = true;
  });
  RawClient client(loop, server->port(), "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  client.StopReading();
  cr_assert(loop.RunUntil([&] { return is_answered; }));
  cr_assert(server->open_calls() == 1);
  server.reset();
  loop.RunFor(20);
}

// Guards against a shutdown that truncates a response, or keeps connections
// open.
Test(http, closes_after_answers) {
  EventLoop loop;
  Server server(loop.base(), AnyPort());
  std::optional<Responder> pending_responder;
  server.Handle(Method::kGet, "/", [&](Request, Responder responder) {
    pending_responder = std::move(responder);
  });
  RawClient client(loop, server.port(), "GET / HTTP/1.1\r\n\r\n");
  cr_assert(loop.RunUntil([&] { return pending_responder.has_value(); }));
  server.StopAccepting();
  const std::string body(4'000'000, 'x');
  pending_responder->Send(Text(body));
  cr_assert(server.open_calls() == 1);
  cr_assert(loop.RunUntil([&] { return server.open_calls() == 0; }));
  cr_assert(loop.RunUntil([&] { return client.is_closed(); }));
  cr_assert(client.received().find("Connection: close") != std::string::npos);
  cr_assert(client.received().ends_with(body));
}

// Guards against unlimited waiting, and against reuse of an unresponsive
// connection.
Test(http, times_out_and_replaces_connection) {
  EventLoop loop;
  RawServer server(loop, [](bufferevent*, std::string&) {});
  Client client(loop.base(), {.timeout = std::chrono::milliseconds(50),
                              .connections_per_address = 1});
  cr_assert(!Error(Exchange(loop, client, server.port(), Get("/"))).not_sent);
  cr_assert(!Error(Exchange(loop, client, server.port(), Get("/"))).not_sent);
  cr_assert(server.accepted() == 2);
  cr_assert(loop.RunUntil([&] { return server.closed() == 2; }));
}

// Guards against a request that is repeated on another connection which has
// become unresponsive at the same time.
Test(http, timeout_closes_the_idle_connections) {
  EventLoop loop;
  bool is_silent = false;
  RawServer server(loop, [&](bufferevent* socket, std::string& received) {
    if (!is_silent && !received.empty()) {
      received.clear();
      RawServer::Write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    }
  });
  for (const bool closes : {true, false}) {
    Client client(loop.base(), {.timeout = std::chrono::milliseconds(50),
                                .connections_per_address = 3,
                                .closes_idle_on_timeout = closes});
    const Address address{.host = "127.0.0.1", .port = server.port()};
    const std::size_t before = server.accepted();
    std::size_t ended = 0;
    for (int each = 0; each < 3; ++each) {
      client.Send(address, Get("/"), [&](const ClientResult&) { ++ended; });
    }
    cr_assert(loop.RunUntil([&] { return ended == 3; }));
    cr_assert_eq(server.accepted(), before + 3);
    is_silent = true;
    cr_assert(Error(Exchange(loop, client, server.port(), Get("/"))).timed_out);
    is_silent = false;
    std::get<Response>(Exchange(loop, client, server.port(), Get("/")));
    cr_assert_eq(server.accepted(), before + (closes ? 4 : 3));
    if (!closes) {
      client.CloseIdle(address);
      std::get<Response>(Exchange(loop, client, server.port(), Get("/")));
      cr_assert_eq(server.accepted(), before + 4);
    }
  }
}

// Guards against `not_sent` for a request that was sent, and against automatic
// retries.
Test(http, distinguishes_not_sent_from_lost) {
  EventLoop loop;
  Client client(loop.base(), {});
  const auto refused = Exchange(loop, client, testing::UnusedPort(), Get("/"));
  cr_assert(Error(refused).not_sent);
  for (const std::string response_text :
       {"", "garbage\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx"}) {
    std::size_t requests = 0;
    RawServer server(loop, [&](bufferevent* socket, std::string& received) {
      ++requests;
      received.clear();
      RawServer::WriteAndClose(socket, response_text);
    });
    const auto lost = Exchange(loop, client, server.port(), Get("/"));
    cr_assert(!Error(lost).not_sent);
    loop.RunFor(50);
    cr_assert(requests == 1);
  }
}

// Guards against responses that are delivered to another request, in any order
// of arrival.
Test(http, responses_match_their_requests) {
  EventLoop loop;
  Server server(loop.base(), AnyPort());
  std::vector<std::pair<std::string, Responder>> pending_responders;
  server.Handle(Method::kPost, "/", [&](Request request, Responder responder) {
    pending_responders.emplace_back(request.body, std::move(responder));
    while (pending_responders.size() >= 3) {
      auto [body, oldest] =
          std::move(pending_responders[pending_responders.size() - 2]);
      pending_responders.erase(pending_responders.end() - 2);
      oldest.Send(Text(body));
    }
  });
  Client client(loop.base(), {.connections_per_address = 4});
  std::map<std::string, std::string> responses;
  const std::size_t count = 200;
  for (std::size_t i = 0; i < count; ++i) {
    const std::string body = std::to_string(i);
    client.Send({kLoopback, server.port()}, Post("/", body),
                [&responses, body](ClientResult result) {
                  responses[body] = std::get<Response>(result).body;
                });
  }
  cr_assert(loop.RunUntil([&] {
    if (responses.size() + pending_responders.size() == count) {
      pending_responders.clear();
    }
    return responses.size() == count;
  }));
  std::size_t wrong = 0;
  for (const auto& [request, response_text] : responses) {
    wrong += response_text != request &&
             response_text.find("dropped") == std::string::npos;
  }
  cr_assert(wrong == 0);
}

// Guards against an unsolicited second response that is treated as the response
// to the next request on the connection.
Test(http, unsolicited_response_is_discarded) {
  EventLoop loop;
  int requests = 0;
  RawServer server(loop, [&](bufferevent* socket, std::string& received) {
    received.clear();
    const std::string number = std::to_string(requests++);
    RawServer::Write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" +
                                 number +
                                 "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"
                                 "x");
  });
  Client client(loop.base(), {.connections_per_address = 1});
  for (const char* expected : {"0", "1", "2"}) {
    const auto result = Exchange(loop, client, server.port(), Get("/"));
    cr_assert(std::get<Response>(result).body == expected);
  }
  cr_assert(server.accepted() == 3);
}

// Guards against reuse of an idle connection that the server has closed.
Test(http, replaces_closed_idle_connection) {
  EventLoop loop;
  std::optional<Echo> echo;
  echo.emplace(loop);
  Client client(loop.base(), {});
  const auto port = echo->server.port();
  cr_assert(Status(Exchange(loop, client, port, Post("/echo", "a"))) == 200);
  echo.reset();
  ServerOptions same = AnyPort();
  same.address.port = port;
  echo.emplace(loop, same);
  cr_assert(Status(Exchange(loop, client, port, Post("/echo", "b"))) == 200);
}

// Guards against callbacks that never run when the client is destroyed.
Test(http, closing_client_ends_its_requests) {
  EventLoop loop;
  RawServer server(loop, [](bufferevent*, std::string&) {});
  int errors = 0;
  {
    Client client(loop.base(), {.connections_per_address = 1});
    for (int i = 0; i < 3; ++i) {
      client.Send({kLoopback, server.port()}, Get("/"),
                  [&](ClientResult) { ++errors; });
    }
    loop.RunFor(20);
    cr_assert(client.in_flight() == 3);
  }
  cr_assert(errors == 3);
}

}  // namespace
}  // namespace jaypick::http
