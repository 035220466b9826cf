#include "standins/common/fault_plan.h"

#include <algorithm>
#include <utility>

namespace laburnumkeel::standins {

namespace {

bool Contains(const std::vector<std::string>& values,
              const std::string& value) {
  return std::find(values.begin(), values.end(), value) != values.end();
}

}  // namespace

FaultPlan::FaultPlan(std::vector<std::string> default_paths)
    : default_paths(std::move(default_paths)) {}

void FaultPlan::Set(const Fault& new_fault, std::uint64_t last_connection) {
  const std::lock_guard lock(this->mutex);
  this->fault = new_fault;
  if (new_fault.mode == FaultMode::kFreeze && !new_fault.freeze_all) {
    this->last_silenced_connection = last_connection;
  }
}

Fault FaultPlan::Current() const {
  const std::lock_guard lock(this->mutex);
  return this->fault;
}

bool FaultPlan::IsDown() const {
  const std::lock_guard lock(this->mutex);
  return this->fault.mode == FaultMode::kDown;
}

bool FaultPlan::IsFrozen() const {
  const std::lock_guard lock(this->mutex);
  return this->fault.mode == FaultMode::kFreeze && this->fault.freeze_all;
}

bool FaultPlan::IsSilenced(std::uint64_t connection) const {
  const std::lock_guard lock(this->mutex);
  return connection <= this->last_silenced_connection;
}

bool FaultPlan::IsCut(const Origin& origin) const {
  const std::lock_guard lock(this->mutex);
  return this->fault.mode == FaultMode::kCut &&
         (Contains(this->fault.origins, origin.name) ||
          Contains(this->fault.origins, origin.data_centre));
}

std::optional<Fault> FaultPlan::ConsumeRequestFault(const std::string& path) {
  const std::lock_guard lock(this->mutex);
  if (!IsRequestFault(this->fault.mode) || !this->Affects(path)) {
    return std::nullopt;
  }
  if (this->fault.count.has_value()) {
    if (*this->fault.count <= 0) {
      return std::nullopt;
    }
    --*this->fault.count;
  }
  return this->fault;
}

bool FaultPlan::Affects(const std::string& path) const {
  if (!this->fault.paths.empty()) {
    return Contains(this->fault.paths, path);
  }
  return this->fault.mode == FaultMode::kSlow || this->default_paths.empty() ||
         Contains(this->default_paths, path);
}

}  // namespace laburnumkeel::standins
