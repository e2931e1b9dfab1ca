// Jobs of a failure domain that run under another leadership than the domain's.
#ifndef JAYPICK_CONTROL_JOB_REGISTRY_H_
#define JAYPICK_CONTROL_JOB_REGISTRY_H_

#include <compare>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "control/active_jobs.h"
#include "jaypick/time.h"

namespace jaypick::control {

// A job and where its runs may be active.
struct RegisteredJob {
  std::string job;
  // The process that got the job from its caller; empty for a job of an earlier
  // leader of the domain.
  std::string owner;
  Leadership leadership;
  // From then on, no run of the job is active there.
  TimePoint until;
  // Another instance has been told of the registration, and may submit the job
  // there as well.
  bool is_located = false;

  friend auto operator<=>(const RegisteredJob&, const RegisteredJob&) = default;
};

// Kept by the leader of a domain, the one place that all instances of the
// domain ask before they submit a job of their callers anywhere.
//
// A caller may submit a job again at any time, at any instance of its domain.
// The second instance thus learns where the job is, however long ago the first
// one submitted it there.
class JobRegistry {
 public:
  // `failure_domain` is the domain whose jobs are registered.
  explicit JobRegistry(std::string failure_domain)
      : failure_domain_(std::move(failure_domain)) {}

  // Registers a job unless it is registered under another leadership, or by
  // another owner. Returns that registration, or nothing if `job` is now the
  // registration in force.
  std::optional<RegisteredJob> Register(TimePoint now, RegisteredJob job);

  // Adds what another leader reports. Of two reports, that with the owner is
  // kept, or that which expires later.
  void Import(TimePoint now, RegisteredJob job);

  // Returns the registration of the job, and marks it as located.
  std::optional<RegisteredJob> Locate(TimePoint now, const std::string& job);

  // Withdraws a registration because `incarnation` has no run of the job. Its
  // owner may do so unless it has been located. One that names an earlier
  // leader of the own domain is withdrawn in any case, as such a leader accepts
  // no job any more.
  void Withdraw(const std::string& job,
                const std::string& owner,
                const std::string& incarnation);

  // All registrations in force.
  std::vector<RegisteredJob> Jobs(TimePoint now) const;
  std::size_t size() const { return jobs_.size(); }

 private:
  void RemoveExpired(TimePoint now);

  std::string failure_domain_;
  std::map<std::string, RegisteredJob, std::less<>> jobs_;
  TimePoint next_removal_;
};

}  // namespace jaypick::control

#endif  // JAYPICK_CONTROL_JOB_REGISTRY_H_
