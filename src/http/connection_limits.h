// Limits of what the connections of one server may hold.
#ifndef JAYPICK_HTTP_CONNECTION_LIMITS_H_
#define JAYPICK_HTTP_CONNECTION_LIMITS_H_

#include <cstddef>

namespace jaypick::http {

struct ConnectionLimits {
  std::size_t connections = 1024;
  // Memory for requests that are being received or handled and for responses
  // that are being sent, on all connections together.
  std::size_t buffered_bytes = std::size_t{64} * 1024 * 1024;

  friend bool operator==(const ConnectionLimits&,
                         const ConnectionLimits&) = default;
};

}  // namespace jaypick::http

#endif  // JAYPICK_HTTP_CONNECTION_LIMITS_H_
