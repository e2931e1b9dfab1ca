// Who commands the upstreams of a failure domain.
#ifndef JAYPICK_CONTROL_ELECTION_H_
#define JAYPICK_CONTROL_ELECTION_H_

#include <optional>
#include <string_view>

#include "jaypick/time.h"

namespace jaypick::control {

// What an instance knows of the holder of a domain's command.
enum class LeaderState {
  // There never was one, as far as this instance knows.
  kNone,
  // It answered lately and commands the domain.
  kAlive,
  // It answered and gives the command up.
  kLeaving,
  // Its process has ended, or it does not command the domain any more.
  kGone,
  // It does not answer: it may be cut off from here only.
  kSilent,
};

std::string_view ToString(LeaderState state);

struct ElectionInput {
  // This instance is in the domain.
  bool is_in_domain = false;
  // This instance is shutting down.
  bool is_draining = false;
  // This instance holds the command.
  bool is_leader = false;
  // The store shows a holder.
  bool has_record = false;
  LeaderState holder = LeaderState::kNone;
  // Time since the record went, or since the holder's state was first seen.
  Duration state_age{0};
  // Time for which upstreams of the domain have answered this instance without
  // a break.
  Duration reachable_for{0};
  // Instances take over in the order of their ranks.
  Duration rank_delay{0};
};

struct ElectionOptions {
  // Wait of instances of the domain, and of others, before they take over.
  Duration home_delay = std::chrono::milliseconds(50);
  Duration other_delay = std::chrono::milliseconds(300);
  // A record that went away while its holder is silent may only have lapsed.
  Duration silent_delay = std::chrono::milliseconds(500);
  // A holder behind a partition that has just healed is still silent here: its
  // domain must have been reachable for longer than a ping and its time-out
  // take.
  Duration min_reachable_time = std::chrono::milliseconds(700);
};

struct ProcessorShareDelayOptions {
  // Instances with such a part of a processor go first if no holder is known.
  double no_delay_share = 0.5;
  // Wait of an instance with no processor at all.
  Duration longest = std::chrono::milliseconds(150);
};

// Wait by which smaller instances leave a command to larger ones. An instance
// as large as the last holder need not wait: the domain has done with its size.
Duration ProcessorShareDelay(const ProcessorShareDelayOptions& options,
                             double processor_share,
                             std::optional<double> last_holder_share);

// True if the instance should try to take the command now.
//
// A command whose holder is known to live is left alone even without a record:
// the store may have lost it, and taking over would stop all that runs.
bool ShouldTakeLeadership(const ElectionOptions& options,
                          const ElectionInput& view);

}  // namespace jaypick::control

#endif  // JAYPICK_CONTROL_ELECTION_H_
