// Timeout of requests to upstreams, estimated from their response times.
#ifndef JAYPICK_CONTROL_RESPONSE_TIMEOUT_H_
#define JAYPICK_CONTROL_RESPONSE_TIMEOUT_H_

#include <cstdint>

#include "jaypick/time.h"

namespace jaypick::control {

struct ResponseTimeoutOptions {
  // Bounds of the timeout. `longest` also applies before the first response is
  // measured; it is about the longest time for which a processor quota stops a
  // process.
  Duration shortest = std::chrono::milliseconds(25);
  Duration longest = std::chrono::milliseconds(120);
  // Fraction of requests without a response above which polls wait at most
  // `lossy_poll_wait`.
  double loss_threshold = 0.03;
  Duration lossy_poll_wait = std::chrono::milliseconds(80);
};

// Estimates the timeout of start and stop requests from the response times seen
// so far: the smoothed response time plus four times its mean deviation, as in
// TCP's retransmission timeout (RFC 6298).
//
// A request without a response may still be in flight, and its task can be
// placed elsewhere only once the request is fenced. The earlier a lost request
// is detected, the shorter the upstream's capacity stays unused; a premature
// timeout costs one poll.
class ResponseTimeoutEstimator {
 public:
  explicit ResponseTimeoutEstimator(ResponseTimeoutOptions options = {})
      : options_(options) {}

  void OnResponse(Duration took);
  // A request got no response. It gives no sample (Karn's algorithm). Several
  // timeouts in a row indicate a path that has become slow, and double the
  // timeout.
  void OnTimeout();

  // A poll got a response or timed out. It gives no sample, since the upstream
  // may delay the response to a poll.
  void OnPoll(bool is_answered);

  // `lag` is the current delay of this process's event loop. A response takes a
  // few iterations of the loop (connect, send, receive), each of which adds
  // `lag` to the timeout.
  Duration Timeout(Duration lag) const;

  // Returns how long an upstream may wait for a run to end before it responds
  // to a poll: `requested_wait`, or less while requests get lost, since a lost
  // poll hides ended runs until it times out.
  Duration PollWait(Duration requested_wait) const;

 private:
  ResponseTimeoutOptions options_;
  bool has_sample_ = false;
  std::uint32_t consecutive_timeouts_ = 0;
  // Microseconds.
  double smoothed_ = 0;
  double deviation_ = 0;
  // Smoothed fraction of requests that got no response.
  double loss_fraction_ = 0;
};

}  // namespace jaypick::control

#endif  // JAYPICK_CONTROL_RESPONSE_TIMEOUT_H_
