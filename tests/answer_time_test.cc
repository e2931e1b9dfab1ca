// Timeouts of orders.
#include "control/response_timeout.h"

#include <criterion/criterion.h>

namespace jaypick::control {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

// Guards against lost orders that are doubted late where answers come at once.
Test(answer_time, lost_orders_are_doubted_soon_after_their_answer_is_due) {
  ResponseTimeoutEstimator model;
  cr_assert(model.Timeout(Duration(0)) == milliseconds(120));
  for (int order = 0; order < 20; ++order) {
    model.OnResponse(microseconds(1500 + 100 * (order % 3)));
  }
  cr_assert(model.Timeout(Duration(0)) == milliseconds(25));
  // Every second order is lost.
  for (int order = 0; order < 20; ++order) {
    model.OnTimeout();
    model.OnResponse(microseconds(1500));
  }
  cr_assert(model.Timeout(Duration(0)) == milliseconds(25));
}

// Guards against orders that are doubted again and again on a slow path.
Test(answer_time, timeout_grows_on_a_slow_path) {
  ResponseTimeoutEstimator model;
  for (int order = 0; order < 20; ++order) {
    model.OnResponse(milliseconds(20 + 10 * (order % 2)));
  }
  cr_assert(model.Timeout(Duration(0)) > milliseconds(40));
  for (int order = 0; order < 8; ++order) {
    model.OnTimeout();
  }
  cr_assert(model.Timeout(Duration(0)) == milliseconds(120));
  model.OnResponse(milliseconds(20));
  cr_assert(model.Timeout(Duration(0)) < milliseconds(120));
}

// Guards against doubts that an overloaded process brings about itself: its
// orders are answered, but it reads the answers late.
Test(answer_time, own_lag_is_not_held_against_upstreams) {
  ResponseTimeoutEstimator model;
  for (int order = 0; order < 20; ++order) {
    model.OnResponse(milliseconds(2));
  }
  cr_assert(model.Timeout(Duration(0)) == milliseconds(25));
  cr_assert(model.Timeout(milliseconds(40)) >= milliseconds(145));
}

// Guards against ends that stay hidden behind lost looks.
Test(answer_time, looks_are_short_while_calls_get_lost) {
  ResponseTimeoutEstimator model;
  const Duration wanted = milliseconds(450);
  for (int look = 0; look < 100; ++look) {
    model.OnPoll(true);
  }
  model.OnPoll(false);
  cr_assert(model.PollWait(wanted) == wanted, "one lost look shows nothing");
  for (int look = 0; look < 20; ++look) {
    model.OnPoll(look % 5 != 0);
  }
  cr_assert(model.PollWait(wanted) == milliseconds(80));
  cr_assert(model.PollWait(Duration(0)) == Duration(0));
  for (int look = 0; look < 200; ++look) {
    model.OnPoll(true);
  }
  cr_assert(model.PollWait(wanted) == wanted);
}

}  // namespace
}  // namespace jaypick::control
