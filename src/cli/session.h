// What a command works with: arguments, output and calls to entries.
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

// Sends requests and waits for their answers.
class BlockingHttpClient {
 public:
  BlockingHttpClient();

  http::ClientResult Send(const Address& address,
                          http::Request request,
                          Duration timeout);

  // Lets time pass.
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

  // Sends a request whose repetition does no harm to each address in turn until
  // one answers. Prints why none did and returns nothing then.
  std::optional<http::Response> SendToAny(const std::vector<Address>& addresses,
                                          const http::Request& request,
                                          Duration timeout);

  // `SendToAny` at the operator addresses, with the token.
  std::optional<http::Response> SendToOperators(http::Request request);

  // Prints what is wrong with the operator's flags; true if nothing is.
  bool CheckOperatorFlags();

 private:
  Arguments arguments_;
  std::ostream& out_;
  std::ostream& err_;
  BlockingHttpClient client_;
};

// The file's bytes, or nothing if it can't be read.
std::optional<std::string> ReadFile(const std::string& path);

// The body as JSON; an empty object if it is no JSON object.
nlohmann::json ParseBody(const http::Response& response);

// A member as text: strings as they are, null and absent members as "-".
std::string MemberText(const nlohmann::json& object, const std::string& member);

// `value` for programs, on one line.
std::string ToJsonLine(const nlohmann::json& value);

}  // namespace jaypick::cli

#endif  // JAYPICK_CLI_SESSION_H_
