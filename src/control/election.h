// Election of the instance that leads a failure domain.
#ifndef JAYPICK_CONTROL_ELECTION_H_
#define JAYPICK_CONTROL_ELECTION_H_

#include <optional>
#include <string_view>

#include "jaypick/time.h"

namespace jaypick::control {

// State of a domain's leader as this instance sees it.
enum class LeaderState {
  // This instance has not seen any leader of the domain.
  kNone,
  // It has responded recently and leads the domain.
  kAlive,
  // It has responded and is handing over the leadership.
  kLeaving,
  // Its process has ended, or it no longer leads the domain.
  kGone,
  // It does not respond. It may be unreachable from this instance only.
  kSilent,
};

std::string_view ToString(LeaderState state);

struct ElectionInput {
  // This instance is in the domain.
  bool is_in_domain = false;
  // This instance is shutting down.
  bool is_draining = false;
  // This instance leads the domain.
  bool is_leader = false;
  // This instance leads another domain.
  bool leads_other_domain = false;
  // The store has a leader record for the domain.
  bool has_record = false;
  LeaderState leader_state = LeaderState::kNone;
  // Time since `leader_state` was first observed.
  Duration state_age{0};
  // Time since the leader record disappeared.
  Duration record_absent_for{0};
  // How long upstreams of the domain have responded to this instance without
  // interruption.
  Duration reachable_for{0};
  // Additional delay by the rank of this instance, so that candidates take over
  // one after the other.
  Duration rank_delay{0};
};

struct ElectionOptions {
  // Delays before instances of the domain, and instances of other domains, take
  // over.
  Duration in_domain_delay = std::chrono::milliseconds(50);
  Duration other_domain_delay = std::chrono::milliseconds(300);
  // Additional delay of instances of other domains that lead nothing. They
  // would have to read the list of upstreams first, all at the same time.
  Duration outsider_delay = std::chrono::seconds(2);
  // Additional time for which a leader has to be silent: the record's lease may
  // have expired although the leader still runs.
  Duration silent_delay = std::chrono::milliseconds(500);
  // A leader that does not respond is replaced only if its domain has been
  // reachable for this long. Right after a partition has healed, the leader
  // still appears silent, so this must exceed a ping interval plus the timeout
  // of a ping.
  Duration min_reachable_time = std::chrono::milliseconds(700);
};

struct ProcessorShareDelayOptions {
  // Processor share from which an instance does not wait; the share of the last
  // leader if that was smaller.
  double no_delay_share = 0.5;
  // Delay of an instance without any processor share; it falls linearly as the
  // share grows.
  Duration longest = std::chrono::milliseconds(150);
};

// Returns the delay by which smaller instances give larger ones precedence. An
// instance at least as large as the last leader does not wait, as the domain
// has managed with a leader of that size.
Duration ProcessorShareDelay(const ProcessorShareDelayOptions& options,
                             double processor_share,
                             std::optional<double> last_leader_share);

// Delay before this instance takes over, without the additional delay for a
// silent leader.
Duration ElectionDelay(const ElectionOptions& options,
                       const ElectionInput& input);

// Returns true if this instance should try to become the leader now.
//
// A leader that is known to be alive is not replaced even if its record is
// missing: the store may have lost the record, and a takeover would stop all
// running tasks.
bool ShouldTakeLeadership(const ElectionOptions& options,
                          const ElectionInput& input);

}  // namespace jaypick::control

#endif  // JAYPICK_CONTROL_ELECTION_H_
