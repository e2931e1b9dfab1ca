// Timeouts of requests to upstreams.
#include "control/response_timeout.h"

#include <criterion/criterion.h>

namespace jaypick::control {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

// Guards against a late detection of lost requests where responses are fast.
Test(answer_time, timeout_stays_short_where_responses_are_fast) {
  ResponseTimeoutEstimator estimator;
  cr_assert(estimator.Timeout(Duration(0)) == milliseconds(120));
  for (int request = 0; request < 20; ++request) {
    estimator.OnResponse(microseconds(1500 + 100 * (request % 3)));
  }
  cr_assert(estimator.Timeout(Duration(0)) == milliseconds(25));
  // Every second request is lost.
  for (int request = 0; request < 20; ++request) {
    estimator.OnTimeout();
    estimator.OnResponse(microseconds(1500));
  }
  cr_assert(estimator.Timeout(Duration(0)) == milliseconds(25));
}

// Guards against repeated premature timeouts on a slow path.
Test(answer_time, timeout_grows_on_a_slow_path) {
  ResponseTimeoutEstimator estimator;
  for (int request = 0; request < 20; ++request) {
    estimator.OnResponse(milliseconds(20 + 10 * (request % 2)));
  }
  cr_assert(estimator.Timeout(Duration(0)) > milliseconds(40));
  for (int request = 0; request < 8; ++request) {
    estimator.OnTimeout();
  }
  cr_assert(estimator.Timeout(Duration(0)) == milliseconds(120));
  estimator.OnResponse(milliseconds(20));
  cr_assert(estimator.Timeout(Duration(0)) < milliseconds(120));
}

// Guards against timeouts that an overloaded process causes itself: its
// requests are answered, but it reads the responses late.
Test(answer_time, own_event_loop_lag_extends_the_timeout) {
  ResponseTimeoutEstimator estimator;
  for (int request = 0; request < 20; ++request) {
    estimator.OnResponse(milliseconds(2));
  }
  cr_assert(estimator.Timeout(Duration(0)) == milliseconds(25));
  cr_assert(estimator.Timeout(milliseconds(40)) >= milliseconds(145));
}

// Guards against ends of runs that stay unknown for long because a poll was
// lost.
Test(answer_time, polls_are_short_while_requests_get_lost) {
  ResponseTimeoutEstimator estimator;
  const Duration requested_wait = milliseconds(450);
  for (int poll = 0; poll < 100; ++poll) {
    estimator.OnPoll(true);
  }
  estimator.OnPoll(false);
  cr_assert(estimator.PollWait(requested_wait) == requested_wait,
            "one lost poll must not shorten the wait");
  for (int poll = 0; poll < 20; ++poll) {
    estimator.OnPoll(poll % 5 != 0);
  }
  cr_assert(estimator.PollWait(requested_wait) == milliseconds(80));
  cr_assert(estimator.PollWait(Duration(0)) == Duration(0));
  for (int poll = 0; poll < 200; ++poll) {
    estimator.OnPoll(true);
  }
  cr_assert(estimator.PollWait(requested_wait) == requested_wait);
}

}  // namespace
}  // namespace jaypick::control
