#include "laburnumkeel/configuration/freshness_decision.h"

namespace laburnumkeel::configuration {

std::string_view ToString(FreshnessReason reason) {
  switch (reason) {
    case FreshnessReason::kProven:
      return "proven";
    case FreshnessReason::kStoreOutage:
      return "store_outage";
    case FreshnessReason::kNewerVersionKnown:
      return "newer_version_known";
    case FreshnessReason::kProofTooOld:
      return "proof_too_old";
    case FreshnessReason::kNotSynchronised:
      return "not_synchronised";
    case FreshnessReason::kCutOff:
      break;
  }
  return "cut_off";
}

bool MayServeKeyedRequests(const FreshnessDecision& decision,
                           const model::Service& service) {
  return decision.fresh ||
         decision.isolated <
             std::chrono::seconds(service.isolated_serving_seconds);
}

}  // namespace laburnumkeel::configuration
