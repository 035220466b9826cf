#include "laburnumkeel/limits/delegate_search.h"

#include <algorithm>

namespace laburnumkeel::limits {

using kernel::Instant;

void DelegateSearch::Follow(const membership::DelegateRing& new_ring,
                            const std::string& vm,
                            const std::string& data_centre,
                            const std::map<std::string, std::string>& regions) {
  this->ring = new_ring;
  this->own_vm = vm;
  this->own_data_centre = data_centre;
  this->regions = regions;
  this->orders.clear();
  this->empty_until.clear();
}

std::string DelegateSearch::AddressOf(const std::string& vm) const {
  const auto found = this->ring.members.find(vm);
  return found == this->ring.members.end() ? "" : found->second.address;
}

int DelegateSearch::Distance(const std::string& vm) const {
  if (vm == this->own_vm) {
    return 0;
  }
  const std::string& data_centre = this->ring.members.at(vm).data_centre;
  if (data_centre == this->own_data_centre) {
    return 1;
  }
  const auto other = this->regions.find(data_centre);
  const auto own = this->regions.find(this->own_data_centre);
  const bool is_same_region = other != this->regions.end() &&
                              own != this->regions.end() &&
                              other->second == own->second;
  return is_same_region ? 2 : 3;
}

const std::vector<std::string>& DelegateSearch::Order(
    const std::string& account) {
  const auto [entry, is_new] = this->orders.try_emplace(account);
  if (is_new) {
    entry->second = this->ring.Delegates(account);
    std::stable_sort(entry->second.begin(), entry->second.end(),
                     [this](const std::string& left, const std::string& right) {
                       return this->Distance(left) < this->Distance(right);
                     });
  }
  return entry->second;
}

bool DelegateSearch::IsSilent(const std::string& vm, Instant now) const {
  const auto found = this->silent_until.find(vm);
  return found != this->silent_until.end() && now < found->second;
}

Instant DelegateSearch::EmptyUntil(const std::string& account,
                                   const std::string& vm) const {
  const auto found = this->empty_until.find({account, vm});
  return found == this->empty_until.end() ? Instant() : found->second;
}

DelegateSearch::Step DelegateSearch::Next(const std::string& account,
                                          const Operation& operation,
                                          Instant now) {
  for (const std::string& vm : this->Order(account)) {
    if (!operation.refused_by.contains(vm) && !this->IsSilent(vm, now) &&
        now >= this->EmptyUntil(account, vm)) {
      return {Step::Kind::kAsk, vm, {}};
    }
  }
  const auto refill = this->NextRefill(account, now);
  if (refill && *refill < operation.since + kMaximumWait) {
    return {Step::Kind::kWait, "", std::max(now, *refill)};
  }
  return {};
}

std::optional<Instant> DelegateSearch::NextRefill(const std::string& account,
                                                  Instant now) {
  std::optional<Instant> next;
  for (const std::string& vm : this->Order(account)) {
    if (!this->IsSilent(vm, now)) {
      const Instant refill = this->EmptyUntil(account, vm);
      next = next ? std::min(*next, refill) : refill;
    }
  }
  return next;
}

void DelegateSearch::OnRefused(const std::string& account,
                               const std::string& vm,
                               std::chrono::milliseconds retry_after,
                               Instant now) {
  this->silent_until.erase(vm);
  this->empty_until[{account, vm}] = now + retry_after;
}

bool DelegateSearch::OnSilent(const std::string& vm, Instant now) {
  const bool was_silent = this->silent_until.contains(vm);
  this->silent_until[vm] = now + kSilentPause;
  return !was_silent;
}

}  // namespace laburnumkeel::limits
