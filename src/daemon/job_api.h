// Calls of callers, and of peers on their behalf, over one HTTP server.
#ifndef JAYPICK_DAEMON_JOB_API_H_
#define JAYPICK_DAEMON_JOB_API_H_

#include <string>
#include <unordered_map>
#include <vector>

#include "daemon/kernel.h"
#include "http/server.h"
#include "jaypick/messages.h"

namespace jaypick::daemon {

// Turns requests into events of the decision code, keeps their responders, and
// answers them when the decision code or a forwarding peer client says so.
class JobApi {
 public:
  // `is_forwarded`: calls come from other entries and are not forwarded again.
  JobApi(Kernel& kernel, http::Server& server, bool is_forwarded);

  std::size_t open_calls() const { return calls_.size(); }

 private:
  struct Call {
    http::Responder responder;
    // Faults that were found in the request's form.
    std::vector<FieldError> faults;
  };

  void Reserve(const http::Request& request, http::Responder responder);
  void Submit(const http::Request& request, http::Responder responder);
  void Query(const http::Request& request, http::Responder responder);
  void Cancel(const http::Request& request, http::Responder responder);

  // Keeps the responder until the call is answered.
  CallId Open(http::Responder responder, std::vector<FieldError> faults);
  void Answer(AnswerCall& message);
  void Relay(RelayAnswer& message);
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
