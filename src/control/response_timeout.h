// How long upstreams take to answer an order.
#ifndef JAYPICK_CONTROL_RESPONSE_TIMEOUT_H_
#define JAYPICK_CONTROL_RESPONSE_TIMEOUT_H_

#include <cstdint>

#include "jaypick/time.h"

namespace jaypick::control {

struct ResponseTimeoutOptions {
  // Bounds of the timeout. The upper one holds before anything was measured,
  // and is about the longest time for which a processor quota stops a process.
  Duration shortest = std::chrono::milliseconds(25);
  Duration longest = std::chrono::milliseconds(120);
  // Part of the calls without an answer from which on looks are short.
  double loss_threshold = 0.03;
  Duration lossy_poll_wait = std::chrono::milliseconds(80);
};

// Timeout of orders, from the answer times seen so far: the smoothed time and
// four times its mean deviation, as TCP's retransmission timeout (RFC 6298).
//
// An order without an answer may be on its way still, and what it would start
// can only be placed elsewhere once the order is fenced. The sooner a lost one
// is doubted, the less of the upstream stands idle; a doubt without a cause
// costs one look.
class ResponseTimeoutEstimator {
 public:
  explicit ResponseTimeoutEstimator(ResponseTimeoutOptions options = {})
      : options_(options) {}

  void OnResponse(Duration took);
  // An order got no answer. Its time is not a sample (Karn's algorithm); many
  // in a row show a path that has become slow, and double the timeout.
  void OnTimeout();

  // A look was answered or not. Its time depends on how long it waits.
  void OnPoll(bool is_answered);

  // `lag` is how late this process's event loop is. An answer takes a few turns
  // of the loop: connecting, sending, receiving.
  Duration Timeout(Duration lag) const;

  // Longest time that a look should wait for an end. A lost look hides what has
  // ended until it times out, so looks are short while calls get lost.
  Duration PollWait(Duration wanted) const;

 private:
  ResponseTimeoutOptions options_;
  bool has_sample_ = false;
  std::uint32_t silences_in_row_ = 0;
  // Microseconds.
  double smoothed_ = 0;
  double deviation_ = 0;
  // Smoothed part of the calls that got no answer.
  double loss_ = 0;
};

}  // namespace jaypick::control

#endif  // JAYPICK_CONTROL_RESPONSE_TIMEOUT_H_
