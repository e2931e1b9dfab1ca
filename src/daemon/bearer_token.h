// The operators' bearer token.
#ifndef JAYPICK_DAEMON_BEARER_TOKEN_H_
#define JAYPICK_DAEMON_BEARER_TOKEN_H_

#include <string>
#include <vector>

#include "http/http.h"

namespace jaypick::daemon {

// Compares tokens in constant time.
class BearerToken {
 public:
  // Reads the token from a file and strips surrounding white space.
  //
  // Throws `std::runtime_error` if the file cannot be read or contains fewer
  // than `kMinBytes` bytes.
  static BearerToken Load(const std::string& path);

  explicit BearerToken(std::string token) : token_(std::move(token)) {}

  // True if the header `Authorization` has the form "Bearer <token>".
  bool Matches(const std::vector<http::Header>& headers) const;

  static constexpr std::size_t kMinBytes = 16;

 private:
  std::string token_;
};

}  // namespace jaypick::daemon

#endif  // JAYPICK_DAEMON_BEARER_TOKEN_H_
