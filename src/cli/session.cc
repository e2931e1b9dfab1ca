#include "cli/session.h"

#include <fstream>
#include <iterator>
#include <sstream>
#include <utility>
#include <variant>

#include "http/evhttp_conversions.h"

namespace jaypick::cli {
namespace {

// Must cover reading the head, three attempts of a transaction and recording a
// refusal, which take up to 800 ms each.
constexpr Duration kOperatorTimeout = std::chrono::seconds(10);

std::string ToString(const Address& address) {
  return address.host + ":" + std::to_string(address.port);
}

// The first word of a token file. jaypickd reads the file in the same way.
std::string FirstWord(const std::string& text) {
  std::string word;
  std::istringstream(text) >> word;
  return word;
}

}  // namespace

BlockingHttpClient::BlockingHttpClient()
    : base_(event_base_new()), client_(base_.get(), {}) {}

http::ClientResult BlockingHttpClient::Send(const Address& address,
                                            http::Request request,
                                            Duration timeout) {
  std::optional<http::ClientResult> result;
  client_.Send(
      address, std::move(request), timeout,
      [&result](http::ClientResult received) { result = std::move(received); });
  while (!result) {
    event_base_loop(base_.get(), EVLOOP_ONCE);
  }
  return std::move(*result);
}

void BlockingHttpClient::Sleep(Duration duration) {
  const timeval time = http::ToTimeval(duration);
  event_base_loopexit(base_.get(), &time);
  event_base_loop(base_.get(), EVLOOP_NO_EXIT_ON_EMPTY);
}

Session::Session(Arguments arguments, std::ostream& out, std::ostream& err)
    : arguments_(std::move(arguments)), out_(out), err_(err) {}

ExitCode Session::Fail(ExitCode code, std::string_view message) {
  err_ << "jaypick: " << message << '\n';
  return code;
}

std::optional<http::Response> Session::SendToAny(
    const std::vector<Address>& addresses,
    const http::Request& request,
    Duration timeout) {
  for (const Address& address : addresses) {
    auto result = client_.Send(address, request, timeout);
    if (auto* const response = std::get_if<http::Response>(&result)) {
      return std::move(*response);
    }
    err_ << "jaypick: " << ToString(address) << ": "
         << std::get<http::ClientError>(result).message << '\n';
  }
  return std::nullopt;
}

std::optional<http::Response> Session::SendToOperators(http::Request request) {
  const std::string token =
      FirstWord(ReadFile(arguments_.token_file).value_or(""));
  request.headers.push_back(
      {.name = "Authorization", .value = "Bearer " + token});
  return SendToAny(arguments_.operators, request, kOperatorTimeout);
}

bool Session::CheckOperatorFlags() {
  if (arguments_.operators.empty()) {
    Fail(ExitCode::kInvalid, "--operator is required");
    return false;
  }
  if (!ReadFile(arguments_.token_file)) {
    Fail(ExitCode::kInvalid,
         "--token_file: cannot read \"" + arguments_.token_file + "\"");
    return false;
  }
  return true;
}

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return std::nullopt;
  }
  std::string text((std::istreambuf_iterator<char>(file)), {});
  if (file.bad()) {
    return std::nullopt;
  }
  return text;
}

nlohmann::json ParseBody(const http::Response& response) {
  auto body = nlohmann::json::parse(response.body, nullptr, false);
  return body.is_object() ? body : nlohmann::json::object();
}

std::string MemberText(const nlohmann::json& object,
                       const std::string& member) {
  const auto it = object.find(member);
  if (it == object.end() || it->is_null()) {
    return "-";
  }
  return it->is_string() ? it->get<std::string>() : ToJsonLine(*it);
}

std::string ToJsonLine(const nlohmann::json& value) {
  return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace jaypick::cli
