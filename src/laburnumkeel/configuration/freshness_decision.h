#ifndef LABURNUMKEEL_CONFIGURATION_FRESHNESS_DECISION_H_
#define LABURNUMKEEL_CONFIGURATION_FRESHNESS_DECISION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "laburnumkeel/kernel/clock.h"
#include "laburnumkeel/model/configuration.h"

namespace laburnumkeel::configuration {

// How old a proof or a sign of life may be. Together with the 100 ms between
// control and entry program and the time of a request it stays below the bound
// of 5 s for revoked keys and departures.
inline constexpr kernel::Duration kFreshnessLimit = std::chrono::seconds(4);

enum class FreshnessReason {
  // The store or a peer proved recently that the version held is the newest.
  kProven,
  // No data centre in contact reaches the store, and they are a majority: no
  // change can have been accepted without one of them.
  kStoreOutage,
  // A higher version is known and not yet held.
  kNewerVersionKnown,
  // A data centre in contact reaches the store, but its proof is too old.
  kProofTooOld,
  // Neither the store nor a majority of data centres is in contact.
  kCutOff,
  // This VM started or was paused and may have missed a change meanwhile.
  kNotSynchronised,
};

std::string_view ToString(FreshnessReason reason);

// Whether requests with keys may be served.
struct FreshnessDecision {
  bool fresh = false;
  FreshnessReason reason = FreshnessReason::kCutOff;
  // Empty when there has been no proof for the version held.
  std::optional<kernel::Duration> proof_age;
  // Time since the configuration was last fresh; the maximum when it never was.
  kernel::Duration isolated = kernel::Duration::max();

  bool operator==(const FreshnessDecision&) const = default;
};

// Whether requests with keys of this service may be served. While the
// configuration is not fresh, the service's own limit decides.
bool MayServeKeyedRequests(const FreshnessDecision& decision,
                           const model::Service& service);

// A data centre of which a VM knows. `age` is that of the newest sign of life;
// with `reaches_store` it is that of the newest proof from that data centre. A
// data centre may occur once of each kind.
struct DataCentreContact {
  std::string data_centre;
  kernel::Duration age{0};
  bool reaches_store = false;

  bool operator==(const DataCentreContact&) const = default;
};

// What a peer's answer says.
struct PeerEvidence {
  std::string vm;
  std::string data_centre;
  // The version that the peer announces: 0 while it is not synchronised.
  std::uint64_t version = 0;
  // Age of its proof for that version; empty when it has none.
  std::optional<kernel::Duration> proof_age;
  std::vector<DataCentreContact> contacts;

  bool operator==(const PeerEvidence&) const = default;
};

}  // namespace laburnumkeel::configuration

#endif  // LABURNUMKEEL_CONFIGURATION_FRESHNESS_DECISION_H_
