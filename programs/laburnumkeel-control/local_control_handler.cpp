#include "programs/laburnumkeel-control/local_control_handler.h"

#include <algorithm>

#include "laburnumkeel/kernel/milliseconds.h"
#include "laburnumkeel/model/configuration_codec.h"

namespace laburnumkeel::control {

namespace {

// Longer than any setting of `isolated_serving_seconds`.
constexpr kernel::Duration kLongestIsolation = std::chrono::hours(1000);

}  // namespace

LocalControlHandler::LocalControlHandler(FleetState& state,
                                         ConfigurationService& configuration,
                                         ShareExchange& share_exchange)
    : state(state),
      configuration(configuration),
      share_exchange(share_exchange) {}

void LocalControlHandler::sync(peer::generated::EntryInstructions& result,
                               const peer::generated::EntryReport& report) {
  // The decision is read before the configuration, so that the configuration is
  // at least as new as the one that the decision is about.
  const configuration::FreshnessDecision decision = this->state.Freshness();
  const auto current = this->state.Configuration();
  const bool is_ready = this->state.IsReady();
  result.configuration.version = static_cast<std::int64_t>(current->version);
  result.configuration.proof_age_ms =
      is_ready && decision.proof_age.has_value()
          ? kernel::ToMilliseconds(*decision.proof_age)
          : -1;
  result.may_serve_keyed_requests = is_ready && decision.fresh;
  result.isolated_ms =
      kernel::ToMilliseconds(std::min(decision.isolated, kLongestIsolation));
  if (is_ready &&
      report.known_configuration_version < result.configuration.version) {
    result.configuration.document = model::Encode(*current);
  }
  this->share_exchange.Exchange(report, result);
}

void LocalControlHandler::submitConfiguration(
    peer::generated::SubmitResult& result, const std::string& document,
    std::int64_t base_version, const std::string& operation_id) {
  result = this->configuration.Submit(
      document, static_cast<std::uint64_t>(base_version), operation_id);
}

void LocalControlHandler::currentConfiguration(
    peer::generated::ConfigurationCopy& result) {
  const auto proof_age = this->state.Freshness().proof_age;
  const auto current = this->state.Configuration();
  result.version = static_cast<std::int64_t>(current->version);
  result.proof_age_ms =
      proof_age.has_value() ? kernel::ToMilliseconds(*proof_age) : -1;
  result.document = model::Encode(*current);
}

void LocalControlHandler::fleetStatus(
    std::vector<peer::generated::VmStatus>& result) {
  result = this->state.FleetStatus();
}

}  // namespace laburnumkeel::control
