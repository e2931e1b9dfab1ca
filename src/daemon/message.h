// Messages between plug-ins.
#ifndef JAYPICK_DAEMON_MESSAGE_H_
#define JAYPICK_DAEMON_MESSAGE_H_

#include <cstdint>
#include <string>
#include <variant>

#include "http/http.h"
#include "jaypick/messages.h"

namespace jaypick::daemon {

// The answer of the entry that issued the call's id, to be passed on as it is.
struct RelayAnswer {
  CallId call;
  http::Response response;
};

// The process was asked to end: it drains.
struct ShutdownRequested {};

// A change was accepted through this entry's operator API.
struct ChangeApplied {
  Configuration configuration;
};

// An exchange told which version is in force at another entry.
struct PeerSeen {
  std::string entry;
  std::uint64_t configuration_version = 0;
};

// Every event of the decision code is one message type with one receiver, the
// dispatcher plug-in; each of its actions is a type of its own.
using Message = std::variant<Event,
                             AnswerCall,
                             StartAttempt,
                             AbandonAttempt,
                             ForwardCall,
                             ClaimKey,
                             DrainFinished,
                             RelayAnswer,
                             ShutdownRequested,
                             ChangeApplied,
                             PeerSeen>;

}  // namespace jaypick::daemon

#endif  // JAYPICK_DAEMON_MESSAGE_H_
