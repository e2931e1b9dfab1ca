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
  cr_assert(
      MayStart({.as_of = kNow - milliseconds(1500), .can_be_updated = true}));
  cr_assert(
      !MayStart({.as_of = kNow - milliseconds(1700), .can_be_updated = true}));
}

// Guards against an outage of the store, or one so slow that reads of the list
// time out, that stops all work: it cost a sixth of the worth of a day.
Test(start_limit, leader_uses_its_list_throughout_an_outage) {
  for (const seconds outage : {seconds(2), seconds(10), seconds(3600)}) {
    cr_assert(MayStart(
        {.as_of = kNow - outage, .claimed_at = kNow - outage - seconds(60)}));
    cr_assert(MayStart({.as_of = kNow - outage}), "delegated");
  }
}

// Guards against a leader that is elected just before an outage and stays idle
// although its list was up to date.
Test(start_limit, list_that_was_new_at_the_claim_is_used) {
  cr_assert(MayStart({.as_of = kNow - milliseconds(3500),
                      .claimed_at = kNow - milliseconds(700)}));
}

// Guards against one failed read of the list that passes for an outage: the
// store had accepted the claim seconds after the list was read.
Test(start_limit, new_leader_does_not_use_an_old_list_when_its_read_fails) {
  cr_assert(!MayStart(
      {.as_of = kNow - seconds(14), .claimed_at = kNow - milliseconds(900)}));
}

// Guards against a domain that stays idle for a whole outage because its leader
// was elected just before.
Test(start_limit, new_leader_uses_an_old_list_when_no_read_succeeds) {
  cr_assert(!MayStart(
      {.as_of = kNow - seconds(14), .claimed_at = kNow - milliseconds(2900)}));
  cr_assert(
      MayStart({.as_of = kNow - seconds(14), .claimed_at = kNow - seconds(3)}));
}

}  // namespace jaypick::control
