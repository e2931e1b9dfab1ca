// Requests of the caller API as typed messages.
#ifndef JAYPICK_DAEMON_API_REQUEST_H_
#define JAYPICK_DAEMON_API_REQUEST_H_

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "http/http.h"
#include "jaypick/configuration.h"
#include "jaypick/instance.h"
#include "jaypick/job.h"

namespace jaypick::daemon {

// A submission that was read, with all faults of its form.
//
// A request with faults and an identity still goes to the dispatcher, which
// alone knows the state of the id and closes it. It goes without tasks, so that
// it can only be refused; the faults replace those of the dispatcher.
struct SubmitRequest {
  JobRequest request;
  bool has_identity = false;
  // False: the body is no JSON object, and may name any job.
  bool is_readable = true;
  std::vector<FieldError> faults;
};

// Reads the body of `POST /v1/jobs`.
SubmitRequest ReadSubmit(const std::string& body);

// Faults of the names in `request` under the configuration and instances that
// are known; null means not known, and then nothing is found. It complements
// faults of form, so that a caller learns of all faults at once; without faults
// of form the dispatcher does the same check.
std::vector<FieldError> CheckNames(const JobRequest& request,
                                   const Configuration* configuration,
                                   const InstanceList* instances,
                                   const std::string& failure_domain);

struct ReserveRequest {
  std::string owner;
  std::uint32_t count = 1;
};

// Reads the body of `POST /v1/ids`.
std::variant<ReserveRequest, std::vector<FieldError>> ReadReserve(
    const std::string& body);

// Reads the body of `POST /v1/jobs/{id}/cancel`; the result is the owner.
std::variant<std::string, std::vector<FieldError>> ReadCancel(
    const std::string& body);

struct QueryRequest {
  std::string owner;
  bool wait = false;
};

// Reads the parameters of `GET /v1/jobs/{id}`.
std::variant<QueryRequest, std::vector<FieldError>> ReadQuery(
    const http::Request& request);

// Writes `request` as the body of `POST /v1/jobs`, for another entry.
std::string WriteSubmit(const JobRequest& request);

}  // namespace jaypick::daemon

#endif  // JAYPICK_DAEMON_API_REQUEST_H_
