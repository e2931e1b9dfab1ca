// Faults of the randomised run, chosen and timed by its seed.
#ifndef JAYPICK_TESTS_SIMULATION_FAULTS_H_
#define JAYPICK_TESTS_SIMULATION_FAULTS_H_

#include "tests/simulation/world.h"

namespace jaypick::simulation {

class Faults {
 public:
  explicit Faults(World& world) : world_(world) {}

  void Begin();
  // Ends all faults, so that everything can drain.
  void EndAll();

 private:
  void Next();
  void Inject();
  void DisturbEntry();
  void DisturbUpstream();
  void LeaveUpstream(ListedUpstream& listed);
  void CutLinks();
  void DisturbStore();
  void RollBackHead();
  void DisturbInstances();
  void LoseMessages();
  void DisturbCallers();
  void ChangeConfiguration();
  void ResumeLater(Entry& entry, Duration pause);
  void RestartLater(Entry& entry);

  World& world_;
  // Longest time to the next fault; a seed is calm or rough.
  Duration spacing_{0};
};

}  // namespace jaypick::simulation

#endif  // JAYPICK_TESTS_SIMULATION_FAULTS_H_
