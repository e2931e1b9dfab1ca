// Parsing and writing of requests of the caller API.
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

// A parsed submission with all of its field errors.
//
// A request that has field errors but names a job is still passed to the
// dispatcher, because only the dispatcher knows the state of the id and can
// close it. It is passed without its tasks, so that it can only be refused. The
// response then lists these field errors in addition to the dispatcher's.
struct SubmitRequest {
  JobRequest request;
  bool has_identity = false;
  // False if the body is not a JSON object. It may then name any job.
  bool is_readable = true;
  std::vector<FieldError> faults;
};

// Parses the body of `POST /v1/jobs`.
SubmitRequest ReadSubmit(const std::string& body);

// Checks the service, kind and owner of `request` against the configuration and
// the instance list, and returns field errors. A null `configuration` skips all
// checks, a null `instances` the check that an upstream is suitable.
//
// Only needed for requests that have other field errors, so that the caller
// gets all errors in one response; the dispatcher does the same check for all
// other requests.
std::vector<FieldError> CheckNames(const JobRequest& request,
                                   const Configuration* configuration,
                                   const InstanceList* instances,
                                   const std::string& failure_domain);

struct ReserveRequest {
  std::string owner;
  std::uint32_t count = 1;
};

// Parses the body of `POST /v1/ids`.
std::variant<ReserveRequest, std::vector<FieldError>> ReadReserve(
    const std::string& body);

// Parses the body of `POST /v1/jobs/{id}/cancel` and returns the owner.
std::variant<std::string, std::vector<FieldError>> ReadCancel(
    const std::string& body);

struct QueryRequest {
  std::string owner;
  bool wait = false;
};

// Parses the query parameters of `GET /v1/jobs/{id}`.
std::variant<QueryRequest, std::vector<FieldError>> ReadQuery(
    const http::Request& request);

// Writes `request` as the body of `POST /v1/jobs`, to forward it to another
// entry.
std::string WriteSubmit(const JobRequest& request);

}  // namespace jaypick::daemon

#endif  // JAYPICK_DAEMON_API_REQUEST_H_
