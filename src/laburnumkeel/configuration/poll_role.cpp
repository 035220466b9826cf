#include "laburnumkeel/configuration/poll_role.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace laburnumkeel::configuration {

namespace {

// 64-bit FNV-1a, equal on all VMs. std::hash may differ between builds.
// Source: draft-eastlake-fnv.
std::uint64_t Hash(const std::string& text) {
  std::uint64_t hash = 0xcbf29ce484222325U;
  for (const char c : text) {
    hash ^= static_cast<unsigned char>(c);
    hash *= 0x100000001b3U;
  }
  return hash;
}

// The name decides between equal hashes.
std::pair<std::uint64_t, std::string> Rank(const std::string& data_centre,
                                           const std::string& vm) {
  return {Hash(vm + "/configuration/" + data_centre), vm};
}

}  // namespace

bool HoldsPollRole(const std::string& data_centre, const std::string& vm,
                   const std::vector<std::string>& other_live_vms) {
  const auto own_rank = Rank(data_centre, vm);
  return std::all_of(other_live_vms.begin(), other_live_vms.end(),
                     [&](const std::string& other) {
                       return own_rank <= Rank(data_centre, other);
                     });
}

}  // namespace laburnumkeel::configuration
