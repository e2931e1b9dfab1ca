// Faults of the randomised run, chosen and timed by its seed.
#ifndef JAYPICK_TESTS_SIMULATION_FAULTS_H_
#define JAYPICK_TESTS_SIMULATION_FAULTS_H_

#include "tests/simulation/cluster.h"

namespace jaypick::simulation {

class Faults {
 public:
  explicit Faults(Cluster& cluster) : cluster_(cluster) {}

  void Start();
  // Ends all faults, so that everything can drain.
  void EndAll();

 private:
  void ScheduleNextFault();
  void InjectFault();
  void InjectEntryFault();
  void InjectUpstreamFault();
  void ReplaceUpstream(ListedUpstream& listed);
  void InjectLinkCut();
  void InjectStoreFault();
  void RollBackHead();
  void InjectInstanceListFault();
  void InjectMessageLoss();
  void InjectCallerFault();
  void ChangeConfiguration();
  void ScheduleResume(Entry& entry, Duration pause);
  void ScheduleRestart(Entry& entry);

  Cluster& cluster_;
  // Longest time to the next fault; a seed is calm or rough.
  Duration max_interval_{0};
};

}  // namespace jaypick::simulation

#endif  // JAYPICK_TESTS_SIMULATION_FAULTS_H_
