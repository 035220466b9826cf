#ifndef LABURNUMKEEL_TESTS_CONFIGURATION_SIMULATED_FAULTS_H_
#define LABURNUMKEEL_TESTS_CONFIGURATION_SIMULATED_FAULTS_H_

#include <rapidcheck.h>

#include <algorithm>
#include <ostream>
#include <utility>
#include <vector>

namespace laburnumkeel::testing {

// One step of the simulation is 100 ms.
inline constexpr int kStepsPerSecond = 10;
inline constexpr int kDataCentres = 3;
inline constexpr int kVmsPerDataCentre = 2;
inline constexpr int kVms = kDataCentres * kVmsPerDataCentre;

enum class FaultKind {
  kStoreDown,
  kStorePartition,
  kDataCentrePartition,
  kPairPartition,
  kPause
};

// A fault from step `start` for `length` steps. `target` is a VM for kPause and
// otherwise a data centre; kPairPartition separates the target from the next
// data centre.
struct SimulatedFault {
  FaultKind kind = FaultKind::kStoreDown;
  int target = 0;
  int start = 0;
  int length = 0;
};

// Called by RapidCheck to print a counterexample.
inline void showValue(const SimulatedFault& fault, std::ostream& output) {
  output << "fault " << static_cast<int>(fault.kind) << " of " << fault.target
         << " at " << fault.start << " for " << fault.length;
}

class SimulatedFaults {
 public:
  explicit SimulatedFaults(std::vector<SimulatedFault> faults)
      : faults(std::move(faults)) {}

  bool ReachesStore(int data_centre, int step) const {
    return !this->Any(step, [&](const SimulatedFault& fault) {
      return fault.kind == FaultKind::kStoreDown ||
             ((fault.kind == FaultKind::kStorePartition ||
               fault.kind == FaultKind::kDataCentrePartition) &&
              fault.target % kDataCentres == data_centre);
    });
  }

  bool Reaches(int from, int to, int step) const {
    return from == to || !this->Any(step, [&](const SimulatedFault& fault) {
      const int target = fault.target % kDataCentres;
      const int next = (target + 1) % kDataCentres;
      return (fault.kind == FaultKind::kDataCentrePartition &&
              (from == target || to == target)) ||
             (fault.kind == FaultKind::kPairPartition &&
              std::minmax(from, to) == std::minmax(target, next));
    });
  }

  bool IsPaused(int vm, int step) const {
    return this->Any(step, [&](const SimulatedFault& fault) {
      return fault.kind == FaultKind::kPause && fault.target == vm;
    });
  }

 private:
  template <class Predicate>
  bool Any(int step, Predicate predicate) const {
    return std::any_of(this->faults.begin(), this->faults.end(),
                       [&](const SimulatedFault& fault) {
                         return step >= fault.start &&
                                step < fault.start + fault.length &&
                                predicate(fault);
                       });
  }

  std::vector<SimulatedFault> faults;
};

// Generates faults that last 0.5 to 20 s and start within `steps`.
inline rc::Gen<std::vector<SimulatedFault>> AnyFaults(int steps) {
  return rc::gen::container<std::vector<SimulatedFault>>(
      rc::gen::build<SimulatedFault>(
          rc::gen::set(&SimulatedFault::kind,
                       rc::gen::element(
                           FaultKind::kStoreDown, FaultKind::kStorePartition,
                           FaultKind::kDataCentrePartition,
                           FaultKind::kPairPartition, FaultKind::kPause)),
          rc::gen::set(&SimulatedFault::target, rc::gen::inRange(0, kVms)),
          rc::gen::set(&SimulatedFault::start, rc::gen::inRange(0, steps)),
          rc::gen::set(
              &SimulatedFault::length,
              rc::gen::inRange(kStepsPerSecond / 2, 20 * kStepsPerSecond))));
}

}  // namespace laburnumkeel::testing

#endif  // LABURNUMKEEL_TESTS_CONFIGURATION_SIMULATED_FAULTS_H_
