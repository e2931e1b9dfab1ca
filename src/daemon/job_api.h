// The job API over one HTTP server, for callers and for entries that forward
// calls.
#ifndef JAYPICK_DAEMON_JOB_API_H_
#define JAYPICK_DAEMON_JOB_API_H_

#include <string>
#include <unordered_map>
#include <vector>

#include "daemon/kernel.h"
#include "http/server.h"
#include "jaypick/messages.h"

namespace jaypick::daemon {

// Converts requests to dispatcher events and keeps their responders. Sends the
// responses when the dispatcher answers a call, or when the peer client has
// received the response to a forwarded call.
class JobApi {
 public:
  // With `is_forwarded`, calls come from other entries and are not forwarded
  // again.
  JobApi(Kernel& kernel, http::Server& server, bool is_forwarded);

  std::size_t open_calls() const { return calls_.size(); }

 private:
  struct Call {
    http::Responder responder;
    // Field errors found when the request was parsed.
    std::vector<FieldError> faults;
  };

  void Reserve(const http::Request& request, http::Responder responder);
  void Submit(const http::Request& request, http::Responder responder);
  void Query(const http::Request& request, http::Responder responder);
  void Cancel(const http::Request& request, http::Responder responder);

  // Assigns a call id and stores the responder until the call is answered.
  CallId OpenCall(http::Responder responder, std::vector<FieldError> faults);
  void Answer(AnswerCall& message);
  void Relay(RelayResponse& message);
  void Send(http::Responder& responder, http::Response response) const;
  void Refuse(http::Responder& responder,
              std::vector<FieldError> faults,
              RunState run) const;
  void RefuseId(http::Responder& responder) const;

  Kernel& kernel_;
  bool is_forwarded_;
  std::string entry_;
  std::unordered_map<std::uint64_t, Call> calls_;
};

}  // namespace jaypick::daemon

#endif  // JAYPICK_DAEMON_JOB_API_H_
