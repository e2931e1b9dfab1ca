#include "http/http.h"

#include <algorithm>
#include <cctype>

namespace jaypick::http {
namespace {

bool EqualsIgnoringCase(std::string_view left, std::string_view right) {
  return std::ranges::equal(left, right, [](unsigned char a, unsigned char b) {
    return std::tolower(a) == std::tolower(b);
  });
}

}  // namespace

std::string_view ToString(Method method) {
  switch (method) {
    case Method::kGet:
      return "GET";
    case Method::kPost:
      return "POST";
    case Method::kDelete:
      return "DELETE";
  }
  return "GET";
}

std::optional<std::string_view> FindHeader(const std::vector<Header>& headers,
                                           std::string_view name) {
  for (const Header& header : headers) {
    if (EqualsIgnoringCase(header.name, name)) {
      return header.value;
    }
  }
  return std::nullopt;
}

}  // namespace jaypick::http
