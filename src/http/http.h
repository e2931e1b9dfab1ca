// HTTP requests and responses as typed values.
#ifndef JAYPICK_HTTP_HTTP_H_
#define JAYPICK_HTTP_HTTP_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jaypick::http {

enum class Method { kGet, kPost, kDelete };

// Returns the name of `method` in a request line.
std::string_view ToString(Method method);

struct Header {
  std::string name;
  std::string value;
};

// Returns the value of the first header called `name` (case-insensitive), if
// any.
std::optional<std::string_view> FindHeader(const std::vector<Header>& headers,
                                           std::string_view name);

struct Request {
  Method method = Method::kGet;
  // Decoded path without the query.
  std::string path;
  // Decoded query parameters. If a name is repeated, the last value is used.
  std::map<std::string, std::string> query;
  std::vector<Header> headers;
  std::string body;
};

struct Response {
  int status = 200;
  std::vector<Header> headers;
  std::string body;
  std::string content_type = "application/json";
};

}  // namespace jaypick::http

#endif  // JAYPICK_HTTP_HTTP_H_
