// Answers of the caller API as HTTP responses.
#ifndef JAYPICK_DAEMON_API_ANSWER_H_
#define JAYPICK_DAEMON_API_ANSWER_H_

#include <cstddef>
#include <functional>
#include <string>

#include "http/http.h"
#include "jaypick/job.h"

namespace jaypick::daemon {

// Names the entry and incarnation that wrote an answer. Its absence shows a
// forwarding entry that something else than an entry answered.
inline constexpr const char* kEntryHeader = "Jaypick-Entry";

// Marks a call that another entry forwarded.
inline constexpr const char* kForwardedHeader = "Jaypick-Forwarded";

// The HTTP status of a refusal for `reason`.
int StatusOf(RefusalReason reason);

// Writes the refusal of a body of more than `limit_bytes`. What the body says
// is not known, so neither is the state of a job that it may name.
std::function<http::Response(std::size_t)> OversizeAnswer(
    std::size_t limit_bytes);

// Writes `answer` as the caller API describes it in docs/API.md.
http::Response ToResponse(const CallAnswer& answer);

}  // namespace jaypick::daemon

#endif  // JAYPICK_DAEMON_API_ANSWER_H_
