// Context of one command: arguments, output streams and requests to entries.
#ifndef JAYPICK_CLI_SESSION_H_
#define JAYPICK_CLI_SESSION_H_

#include <event2/event.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "cli/arguments.h"
#include "cli/exit_code.h"
#include "http/client.h"

namespace jaypick::cli {

// HTTP client that blocks until the response has arrived.
class BlockingHttpClient {
 public:
  BlockingHttpClient();

  http::ClientResult Send(const Address& address,
                          http::Request request,
                          Duration timeout);

  // Blocks for `duration`.
  void Sleep(Duration duration);

 private:
  struct BaseDeleter {
    void operator()(event_base* base) const { event_base_free(base); }
  };

  std::unique_ptr<event_base, BaseDeleter> base_;
  http::Client client_;
};

class Session {
 public:
  Session(Arguments arguments, std::ostream& out, std::ostream& err);

  const Arguments& arguments() const { return arguments_; }
  std::ostream& out() { return out_; }
  std::ostream& err() { return err_; }
  BlockingHttpClient& client() { return client_; }

  // Prints `message` as an error and returns `code`.
  ExitCode Fail(ExitCode code, std::string_view message);

  // Sends an idempotent request to each address in turn until one responds.
  // Prints each error; returns nullopt if no address responded.
  std::optional<http::Response> SendToAny(const std::vector<Address>& addresses,
                                          const http::Request& request,
                                          Duration timeout);

  // `SendToAny` with the operator addresses and the operator token.
  std::optional<http::Response> SendToOperators(http::Request request);

  // Checks --operator and --token_file. Returns false after printing an error.
  bool CheckOperatorFlags();

 private:
  Arguments arguments_;
  std::ostream& out_;
  std::ostream& err_;
  BlockingHttpClient client_;
};

// Returns the contents of the file, or nullopt if it cannot be read.
std::optional<std::string> ReadFile(const std::string& path);

// Parses the body as JSON. Returns an empty object if it is not a JSON object.
nlohmann::json ParseBody(const http::Response& response);

// A member as text: strings without quotes, "-" if the member is null or
// absent.
std::string MemberText(const nlohmann::json& object, const std::string& member);

// Serializes `value` on one line.
std::string ToJsonLine(const nlohmann::json& value);

}  // namespace jaypick::cli

#endif  // JAYPICK_CLI_SESSION_H_
