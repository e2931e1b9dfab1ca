// Simulated callers, which submit, resubmit, query and cancel jobs.
#ifndef JAYPICK_TESTS_SIMULATION_CALLERS_H_
#define JAYPICK_TESTS_SIMULATION_CALLERS_H_

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "tests/simulation/entry.h"

namespace jaypick::simulation {

class Callers {
 public:
  explicit Callers(Cluster& cluster) : cluster_(cluster) {}

  // Starts to generate load.
  void Start();
  // Submits `jobs` new jobs at the same time.
  void Burst(int jobs);
  // Cancels about half of the latest submissions.
  void CancelHalf();

 private:
  static constexpr int kOwners = 2;

  void ScheduleNextJob();
  void SubmitNewJob();
  JobRequest MakeRequest(int owner);
  void Reserve(int owner, int domain);
  // Sends `submission` to an entry and waits for the answer.
  void Submit(std::uint64_t submission, Entry& entry, int domain);
  // Resubmits up to `tries` times, until an answer has arrived.
  void ResubmitIfUnanswered(std::uint64_t submission, int domain, int tries);
  void ScheduleFollowUps(std::uint64_t submission, int domain);
  void Cancel(std::uint64_t submission, int domain);
  void Call(IncomingCall call, Entry& entry, int domain);
  void OnAnswer(std::uint64_t submission, const CallAnswer& answer);
  void StoreIds(const std::vector<JobId>& ids, const std::string& owner);
  Duration AnswerTimeoutOf(const Submission& submission) const;
  Entry& AnyEntry();
  Entry& EntryOf(int domain);
  Entry& IssuerOf(const Submission& submission, int domain);

  Cluster& cluster_;
  std::array<std::vector<JobId>, kOwners> ids_;
  std::uint64_t last_key_ = 0;
};

}  // namespace jaypick::simulation

#endif  // JAYPICK_TESTS_SIMULATION_CALLERS_H_
