#include "laburnumkeel/routing/departure_table.h"

#include <algorithm>

namespace laburnumkeel::routing {

using kernel::Instant;

void DepartureTable::ConfirmComplete(Instant as_of) {
  this->complete_as_of = std::max(this->complete_as_of, as_of);
}

void DepartureTable::OnStoreFailure(Instant sent) {
  this->store_failed = std::max(this->store_failed, sent);
}

bool DepartureTable::Begin(const std::string& name) {
  return this->departures
      .try_emplace(name, Departure{this->complete_as_of, this->store_failed})
      .second;
}

bool DepartureTable::End(const std::string& name) {
  return this->departures.erase(name) > 0;
}

std::vector<std::string> DepartureTable::Names() const {
  std::vector<std::string> names;
  for (const auto& [name, departure] : this->departures) {
    names.push_back(name);
  }
  return names;
}

std::optional<Instant> DepartureTable::Deadline(
    const std::string& name, const DepartureBounds& bounds) const {
  const auto found = this->departures.find(name);
  if (found == this->departures.end()) {
    return std::nullopt;
  }
  const Departure& departure = found->second;
  return std::max(departure.not_before + bounds.bound,
                  departure.store_failed + bounds.settle_time);
}

}  // namespace laburnumkeel::routing
