#include "programs/laburnumkeel-proxy/endpoint_selector.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include "laburnumkeel/routing/endpoint_choice.h"

namespace laburnumkeel::proxy {

using kernel::Instant;
using std::chrono::milliseconds;

namespace {

// Time constant with which the expected response time of an unused endpoint
// decays to its default.
constexpr double kResponseDecaySeconds = 1.0;
// Reads require commits that are younger than their staleness bound by this
// margin.
constexpr milliseconds kStalenessMargin{50};
// Statements to a leaving endpoint or an evacuated data centre stop this long
// before the bound. A statement may wait half a second at a full link before it
// arrives.
constexpr milliseconds kDepartureMargin{600};

}  // namespace

bool EndpointSelector::IsPrimary(const std::string& endpoint_id) const {
  const routing::PrimaryRecord* record =
      this->context.primaries.Find(this->service);
  return record != nullptr && record->endpoint_id == endpoint_id;
}

bool EndpointSelector::MayReceive(const StatementJob& job,
                                  const PoolEndpoint& endpoint,
                                  Instant now) const {
  const bool is_primary = this->IsPrimary(endpoint.info.id);
  const bool has_role = job.kind == JobKind::kRead
                            ? is_primary || !endpoint.info.is_draining
                            : is_primary;
  if (!has_role || !this->context.endpoints.contains(endpoint.info.id) ||
      this->IsPastDeparture(endpoint.info.id, now)) {
    return false;
  }
  const auto region =
      this->context.settings.regions.find(endpoint.info.data_centre);
  const auto is_region_allowed = [&](const std::vector<std::string>& regions) {
    return regions.empty() || (region != this->context.settings.regions.end() &&
                               std::find(regions.begin(), regions.end(),
                                         region->second) != regions.end());
  };
  if (!is_region_allowed(job.route.allowed_regions) ||
      !is_region_allowed(job.account_regions)) {
    return false;
  }
  if (!this->context.evacuations.Contains(endpoint.info.data_centre)) {
    return true;
  }
  // The primary stays in use until the bound, so that there is time to replace
  // it.
  return is_primary && job.kind != JobKind::kRead &&
         !this->IsPastEvacuation(endpoint.info.data_centre, now);
}

bool EndpointSelector::IsPastBound(const routing::DepartureTable& departures,
                                   const std::string& name, milliseconds bound,
                                   Instant now) const {
  const auto deadline =
      departures.Deadline(name, {bound, this->context.settings.settle_time});
  return deadline && now >= *deadline - kDepartureMargin;
}

bool EndpointSelector::IsPastDeparture(const std::string& endpoint_id,
                                       Instant now) const {
  return this->IsPastBound(this->context.endpoint_departures, endpoint_id,
                           this->context.settings.drain_bound, now);
}

bool EndpointSelector::IsPastEvacuation(const std::string& data_centre,
                                        Instant now) const {
  return this->IsPastBound(this->context.evacuations, data_centre,
                           this->context.settings.evacuation_bound, now);
}

EndpointSelector::Freshness EndpointSelector::FreshnessFor(
    const StatementJob& job, const std::string& endpoint_id,
    Instant now) const {
  const bool is_single_write =
      job.kind == JobKind::kWrite && !job.opens_transaction;
  if (is_single_write) {
    return {true, std::nullopt};
  }
  if (this->IsPrimary(endpoint_id) &&
      this->context.primaries.HasReadLease(this->service, now)) {
    return {true, std::nullopt};
  }
  if (job.route.consistency == model::ReadConsistency::kPrimary) {
    return {};
  }
  const std::optional<routing::PositionSample> sample =
      this->samples.LowestCovering(now - job.route.max_staleness +
                                   kStalenessMargin);
  if (!sample) {
    return {};
  }
  if (job.session_position && *job.session_position > sample->position) {
    return {true, job.session_position, now - job.session_committed};
  }
  return {true, sample->position, now - sample->covered_until};
}

std::optional<std::string> EndpointSelector::Choose(const StatementJob& job,
                                                    Instant now) const {
  if (job.kind != JobKind::kRead) {
    const routing::PrimaryRecord* record =
        this->context.primaries.Find(this->service);
    if (record == nullptr) {
      return std::nullopt;
    }
    const auto primary = this->endpoints.find(record->endpoint_id);
    const bool is_usable =
        primary != this->endpoints.end() &&
        now >= primary->second.suspended_until &&
        this->MayReceive(job, primary->second, now) &&
        this->FreshnessFor(job, record->endpoint_id, now).is_met;
    return is_usable ? std::optional(record->endpoint_id) : std::nullopt;
  }
  std::vector<routing::ReadCandidate> candidates;
  std::vector<std::string> ids;
  for (const auto& [id, endpoint] : this->endpoints) {
    if (job.excluded_endpoints.contains(id) ||
        !this->MayReceive(job, endpoint, now)) {
      continue;
    }
    const Freshness freshness = this->FreshnessFor(job, id, now);
    if (!freshness.is_met) {
      continue;
    }
    candidates.push_back(
        {this->IsPrimary(id),
         endpoint.info.data_centre == this->context.settings.data_centre,
         this->IsInOwnRegion(endpoint.info.data_centre),
         now < endpoint.suspended_until,
         this->ExpectedResponseMs(endpoint, freshness, now),
         endpoint.outstanding, endpoint.info.slots});
    ids.push_back(id);
  }
  const std::optional<std::size_t> chosen = routing::ChooseForRead(candidates);
  return chosen ? std::optional(ids[*chosen]) : std::nullopt;
}

double EndpointSelector::ExpectedResponseMs(const PoolEndpoint& endpoint,
                                            const Freshness& freshness,
                                            Instant now) const {
  const double idle_s =
      std::chrono::duration<double>(now - endpoint.last_contact).count();
  const double weight = std::exp(-idle_s / kResponseDecaySeconds);
  double expected =
      endpoint.default_response_ms +
      (endpoint.response_ms - endpoint.default_response_ms) * weight;
  if (freshness.read_after &&
      now < endpoint.lag_as_of + PoolEndpoint::kLagLifetime) {
    // The replica replies once it has applied the commits that the read must
    // see.
    expected += std::max(0.0, std::chrono::duration<double, std::milli>(
                                  endpoint.lag - freshness.age)
                                  .count());
  }
  return expected;
}

bool EndpointSelector::IsInOwnRegion(const std::string& data_centre) const {
  const auto region = this->context.settings.regions.find(data_centre);
  return region != this->context.settings.regions.end() &&
         region->second == this->context.settings.region;
}

}  // namespace laburnumkeel::proxy
