// Operator API, independent of the transport.
#ifndef JAYPICK_OPERATOR_API_H_
#define JAYPICK_OPERATOR_API_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jaypick/configuration.h"
#include "jaypick/configuration_head.h"
#include "jaypick/instance.h"
#include "jaypick/key_value_store.h"

namespace jaypick {

// An HTTP status with a JSON body.
struct OperatorResponse {
  int status = 200;
  std::string body;
};

using OperatorReply = std::function<void(OperatorResponse)>;

// Instances as known to one entry.
struct InstancesView {
  InstanceList list;
  // Configuration version in force at each entry that has reported it.
  std::map<std::string, std::uint64_t> config_versions;
  std::vector<std::string> ejected_upstreams;
};

// Handles the requests of operators. Authentication is done by the transport.
//
// Each reply function is called exactly once, possibly before the handler
// returns.
class OperatorApi {
 public:
  struct Environment {
    // Must outlive this object and its pending requests.
    KeyValueStore* store = nullptr;
    // The configuration in force at this entry.
    std::function<std::optional<Configuration>()> in_force;
    // Wall-clock time, in milliseconds since the Unix epoch.
    std::function<std::int64_t()> unix_ms;
    // Called with each configuration accepted through this entry, before the
    // operator is answered.
    std::function<void(const Configuration&)> on_accepted;
  };

  explicit OperatorApi(Environment environment);
  OperatorApi(Environment environment, ConfigurationHead::Options options);

  // POST /v1/operator/config/check with {sheet}.
  //
  // 200 {findings, diff, base_version, head_read}; `diff` is null if there are
  // findings. 400 {reason: "bad_request", findings}.
  void Check(std::string_view body, OperatorReply reply);

  // POST /v1/operator/config/apply with {sheet, base_version, author,
  // operation_id}.
  //
  // 200 {version, digest}. 409 {reason: "stale_base", head_version, diff} or
  // {reason: "operation_id_reused", version}. 422 {reason: "findings",
  // findings}. 400 {reason: "bad_request", findings}. 503 {reason:
  // "platform_unavailable", message}: nothing was changed. 503 {reason:
  // "outcome_unknown", message}: repeat with the same operation id.
  void Apply(std::string_view body, OperatorReply reply);

  // GET /v1/operator/config: the configuration in force, or 404 {reason:
  // "no_configuration"}.
  OperatorResponse ShowConfiguration() const;

  // GET /v1/operator/audit; `limit` is the query parameter, 1 to 1000, or empty
  // for 20.
  //
  // 200 {entries, findings}. 400 {reason: "bad_request", findings}. 503
  // {reason: "platform_unavailable", message}.
  void Audit(std::string_view limit, OperatorReply reply);

  // GET /v1/operator/instances: {revision, entries, upstreams}. The version is
  // null for entries that have not reported one.
  static OperatorResponse ShowInstances(const InstancesView& view);

 private:
  Environment environment_;
  ConfigurationHead head_;
};

}  // namespace jaypick

#endif  // JAYPICK_OPERATOR_API_H_
