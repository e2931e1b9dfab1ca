// Until when a leader starts runs on a list of upstreams that is not updated.
#include "control/start_limit.h"

#include <criterion/criterion.h>

namespace jaypick::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow{seconds(1000)};
constexpr StartLimitOptions kOptions{.upstream_notice = milliseconds(2000)};

bool MayStart(const UpstreamListState& list) {
  return kNow < StartLimit(kOptions, list, kNow);
}

}  // namespace

// Guards against starts on upstreams whose notice may have ended.
Test(start_limit, old_list_is_not_used_while_a_newer_one_can_be_had) {
  cr_assert(MayStart({.as_of = kNow - milliseconds(1500),
                      .can_be_updated = true,
                      .store_answered = kNow}));
  cr_assert(!MayStart({.as_of = kNow - milliseconds(1700),
                       .can_be_updated = true,
                       .store_answered = kNow}));
}

// Guards against an outage of the store that stops all work.
Test(start_limit, list_is_used_throughout_an_outage) {
  for (const seconds outage : {seconds(0), seconds(1), seconds(3600)}) {
    cr_assert(MayStart({.as_of = kNow - outage - milliseconds(600),
                        .can_be_updated = false,
                        .store_answered = kNow - outage}));
  }
}

// Guards against one failed read of the list that passes for an outage: the
// store still responded long after the list was read.
Test(start_limit, list_that_lagged_is_not_used_when_its_read_fails) {
  cr_assert(!MayStart({.as_of = kNow - seconds(14),
                       .can_be_updated = false,
                       .store_answered = kNow - milliseconds(900)}));
}

// Guards against a domain that stays idle for a whole outage because its list
// lagged when the outage began.
Test(start_limit, list_that_lagged_is_used_again_in_a_long_outage) {
  cr_assert(!MayStart({.as_of = kNow - seconds(14),
                       .can_be_updated = false,
                       .store_answered = kNow - milliseconds(2900)}));
  cr_assert(MayStart({.as_of = kNow - seconds(14),
                      .can_be_updated = false,
                      .store_answered = kNow - seconds(3)}));
}

}  // namespace jaypick::control
