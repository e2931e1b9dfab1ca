// Fault injection of the simulation; the seed determines the faults and their
// times.
#ifndef JAYPICK_TESTS_SIMULATION_FAULTS_H_
#define JAYPICK_TESTS_SIMULATION_FAULTS_H_

#include "tests/simulation/cluster.h"

namespace jaypick::simulation {

class Faults {
 public:
  explicit Faults(Cluster& cluster) : cluster_(cluster) {}

  void Start();
  // Ends all faults, so that all calls and jobs can finish.
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
  // Longest time between two faults. It depends on the seed, so that some runs
  // have few faults and some have many.
  Duration max_interval_{0};
};

}  // namespace jaypick::simulation

#endif  // JAYPICK_TESTS_SIMULATION_FAULTS_H_
