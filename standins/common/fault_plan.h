#ifndef LABURNUMKEEL_STANDINS_COMMON_FAULT_PLAN_H_
#define LABURNUMKEEL_STANDINS_COMMON_FAULT_PLAN_H_

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "standins/common/fault.h"
#include "standins/common/origin.h"

namespace laburnumkeel::standins {

// The fault in effect and the requests and connections it affects.
// Thread-safe.
class FaultPlan {
 public:
  // `default_paths` are affected by faults of single requests that name no
  // paths, except `slow`, which then affects every path; empty for all.
  explicit FaultPlan(std::vector<std::string> default_paths);

  // Replaces the fault. Connections numbered up to `last_connection` are open
  // now; `freeze` with scope `existing` silences them until they are closed.
  void Set(const Fault& new_fault, std::uint64_t last_connection);

  // The fault in effect, with its remaining count.
  Fault Current() const;

  bool IsDown() const;

  // True while all connections are silent.
  bool IsFrozen() const;

  // True for a connection that stays silent until it is closed.
  bool IsSilenced(std::uint64_t connection) const;

  bool IsCut(const Origin& origin) const;

  // The fault that affects this request, if any; decrements its count.
  std::optional<Fault> ConsumeRequestFault(const std::string& path);

 private:
  bool Affects(const std::string& path) const;

  const std::vector<std::string> default_paths;
  mutable std::mutex mutex;
  Fault fault;
  std::uint64_t last_silenced_connection = 0;
};

}  // namespace laburnumkeel::standins

#endif  // LABURNUMKEEL_STANDINS_COMMON_FAULT_PLAN_H_
