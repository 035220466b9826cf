#ifndef LABURNUMKEEL_ROUTING_ENDPOINT_LOAD_H_
#define LABURNUMKEEL_ROUTING_ENDPOINT_LOAD_H_

#include <chrono>
#include <map>
#include <string>

#include "laburnumkeel/kernel/clock.h"

namespace laburnumkeel::routing {

// What VMs saw of an endpoint: sums over attempts.
struct EndpointLoad {
  double attempts = 0;
  // Response time above that of an idle endpoint at the same distance, which
  // makes the observations of VMs in all regions comparable.
  double excess_ms = 0;
  // Time lost through refusals, failures and missing responses.
  double loss_ms = 0;

  bool operator==(const EndpointLoad&) const = default;
};

// Mean per attempt.
struct EndpointDelay {
  std::chrono::milliseconds excess{0};
  std::chrono::milliseconds loss{0};

  bool operator==(const EndpointDelay&) const = default;
};

// The leader's sum of what all VMs saw.
//
// Load pattern: a database turns slow or refuses statements, and each VM of a
// large fleet sends it about one statement a second. Each VM would have to meet
// the fault itself, and would have forgotten it at its next statement. All
// observations together show it within a report period.
class FleetLoad {
 public:
  // Weight of an observation halves in this time: about two report periods.
  static constexpr kernel::Duration kHalfLife = std::chrono::milliseconds(1000);
  // Below this the time of one statement varies more than it says.
  static constexpr std::chrono::milliseconds kNoticeable{20};
  // Attempts, as recent weight, without which nothing is said of an endpoint.
  static constexpr double kMinimumAttempts = 2;

  void Add(const std::string& endpoint, const EndpointLoad& load,
           kernel::Instant now);

  // The endpoints at which statements take noticeably longer.
  std::map<std::string, EndpointDelay> Noticeable(kernel::Instant now) const;

  // A new leader starts with no observations; those of the former one would
  // have faded within two seconds anyway.
  void Clear() { this->loads.clear(); }

 private:
  struct Entry {
    EndpointLoad load;
    kernel::Instant as_of;
  };

  std::map<std::string, Entry> loads;
};

}  // namespace laburnumkeel::routing

#endif  // LABURNUMKEEL_ROUTING_ENDPOINT_LOAD_H_
