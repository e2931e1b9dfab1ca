// Conversion of answers of the caller API to HTTP responses.
#ifndef JAYPICK_DAEMON_API_RESPONSE_H_
#define JAYPICK_DAEMON_API_RESPONSE_H_

#include <cstddef>
#include <functional>
#include <string>

#include "http/http.h"
#include "jaypick/job.h"

namespace jaypick::daemon {

// Response header with the name and incarnation of the entry that wrote the
// response. If it is missing from the response to a forwarded call, the sender
// of that response was not an entry.
inline constexpr const char* kEntryHeader = "Jaypick-Entry";

// Request header that marks a call as forwarded by another entry.
inline constexpr const char* kForwardedHeader = "Jaypick-Forwarded";

// The HTTP status of a refusal with `reason`.
int StatusOf(RefusalReason reason);

// Returns a function that makes the response to a body of more than
// `limit_bytes`. The body has not been parsed and may name any job, so the
// response states the run state "unknown".
std::function<http::Response(std::size_t)> OversizeBodyResponse(
    std::size_t limit_bytes);

// Converts `answer` to the response that docs/API.md specifies.
http::Response ToResponse(const CallAnswer& answer);

}  // namespace jaypick::daemon

#endif  // JAYPICK_DAEMON_API_RESPONSE_H_
