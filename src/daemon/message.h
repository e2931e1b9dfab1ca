// Messages between plug-ins.
#ifndef JAYPICK_DAEMON_MESSAGE_H_
#define JAYPICK_DAEMON_MESSAGE_H_

#include <cstdint>
#include <string>
#include <variant>

#include "http/http.h"
#include "jaypick/messages.h"

namespace jaypick::daemon {

// The response of the entry that issued the job id of a forwarded call, to be
// sent to the caller unchanged.
struct RelayResponse {
  CallId call;
  http::Response response;
};

// The process was asked to shut down and starts to drain.
struct ShutdownRequested {};

// A configuration change was accepted through this entry's operator API.
struct ChangeApplied {
  Configuration configuration;
};

// A peer exchange reported the configuration version of another entry.
struct PeerSeen {
  std::string entry;
  std::uint64_t configuration_version = 0;
};

// All events of the dispatcher share the message type `Event`, whose only
// receiver is the dispatcher plug-in. Each action of the dispatcher is a
// message type of its own.
using Message = std::variant<Event,
                             AnswerCall,
                             StartAttempt,
                             AbandonAttempt,
                             ForwardCall,
                             ClaimKey,
                             DrainFinished,
                             RelayResponse,
                             ShutdownRequested,
                             ChangeApplied,
                             PeerSeen>;

}  // namespace jaypick::daemon

#endif  // JAYPICK_DAEMON_MESSAGE_H_
