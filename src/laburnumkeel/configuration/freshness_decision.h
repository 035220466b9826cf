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

// Maximum age of a proof or of the last contact. Together with the 100 ms
// between control and entry program and the duration of a request, it stays
// below the bound of 5 s for revoked keys and departures.
inline constexpr kernel::Duration kFreshnessLimit = std::chrono::seconds(4);

enum class FreshnessReason {
  // The store or a peer recently proved that the version held is the newest.
  kProven,
  // A majority of data centres is in contact and none of them reaches the
  // store. No change can have been accepted without one of them.
  kStoreOutage,
  // A higher version is known but not yet held.
  kNewerVersionKnown,
  // A data centre in contact reaches the store, but the proof for the version
  // held is too old.
  kProofTooOld,
  // Neither the store nor a majority of data centres can be reached.
  kCutOff,
  // This VM started or was paused and may have missed a change.
  kNotSynchronised,
};

std::string_view ToString(FreshnessReason reason);

// Whether requests with keys may be served.
struct FreshnessDecision {
  bool fresh = false;
  FreshnessReason reason = FreshnessReason::kCutOff;
  // Empty if there has never been a proof for the version held.
  std::optional<kernel::Duration> proof_age;
  // Time since the configuration was last fresh; the maximum if it never was.
  kernel::Duration isolated = kernel::Duration::max();

  bool operator==(const FreshnessDecision&) const = default;
};

// Whether requests with keys of this service may be served. While the
// configuration is not fresh, they are served until the time limit set for the
// service.
bool MayServeKeyedRequests(const FreshnessDecision& decision,
                           const model::Service& service);

// A data centre known to a VM. `age` is the time since the last contact or, if
// `reaches_store` is set, the age of the newest proof from that data centre. A
// data centre may occur once with and once without `reaches_store`.
struct DataCentreContact {
  std::string data_centre;
  kernel::Duration age{0};
  bool reaches_store = false;

  bool operator==(const DataCentreContact&) const = default;
};

// Contents of a peer's response.
struct PeerEvidence {
  std::string vm;
  std::string data_centre;
  // The version that the peer holds; 0 while it is not synchronised.
  std::uint64_t version = 0;
  // Age of its proof for that version; empty if it has none.
  std::optional<kernel::Duration> proof_age;
  std::vector<DataCentreContact> contacts;

  bool operator==(const PeerEvidence&) const = default;
};

}  // namespace laburnumkeel::configuration

#endif  // LABURNUMKEEL_CONFIGURATION_FRESHNESS_DECISION_H_
