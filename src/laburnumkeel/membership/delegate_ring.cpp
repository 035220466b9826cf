#include "laburnumkeel/membership/delegate_ring.h"

#include <algorithm>
#include <utility>

#include "laburnumkeel/membership/rendezvous.h"

namespace laburnumkeel::membership {

std::vector<std::string> DelegateRing::Places(std::string_view key) const {
  std::vector<std::pair<std::uint64_t, const std::string*>> weighted;
  const auto add = [&](const std::string& vm) {
    weighted.emplace_back(RendezvousWeight(key, vm), &vm);
  };
  for (const auto& [vm, details] : this->members) {
    add(vm);
  }
  for (const auto& [vm, details] : this->joining) {
    add(vm);
  }
  for (const std::string& vm : this->retired) {
    add(vm);
  }
  const std::size_t count = std::min(kPlaces, weighted.size());
  const auto heavier = [](const auto& left, const auto& right) {
    return left.first != right.first ? left.first > right.first
                                     : *left.second > *right.second;
  };
  std::partial_sort(weighted.begin(),
                    weighted.begin() + static_cast<std::ptrdiff_t>(count),
                    weighted.end(), heavier);
  std::vector<std::string> places;
  for (std::size_t place = 0; place < count; ++place) {
    places.push_back(*weighted[place].second);
  }
  return places;
}

std::vector<std::string> DelegateRing::Delegates(std::string_view key) const {
  if (!this->is_settled) {
    return {};
  }
  std::vector<std::string> delegates = this->Places(key);
  std::erase_if(delegates, [this](const std::string& vm) {
    return !this->members.contains(vm);
  });
  return delegates;
}

bool DelegateRing::IsDelegate(std::string_view key,
                              const std::string& vm) const {
  if (!this->members.contains(vm)) {
    return false;
  }
  const std::vector<std::string> delegates = this->Delegates(key);
  return std::find(delegates.begin(), delegates.end(), vm) != delegates.end();
}

}  // namespace laburnumkeel::membership
