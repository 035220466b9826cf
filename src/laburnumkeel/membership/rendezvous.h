#ifndef LABURNUMKEEL_MEMBERSHIP_RENDEZVOUS_H_
#define LABURNUMKEEL_MEMBERSHIP_RENDEZVOUS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumkeel::membership {

// Weight of a VM for a key. It must be the same on all machines and in all
// releases, because VMs of different releases have to agree on the order.
std::uint64_t RendezvousWeight(std::string_view key, std::string_view vm);

// Returns the VMs by descending weight for the key. When a VM leaves, the order
// of the others stays the same. See Thaler and Ravishankar, "Using name-based
// mappings to increase hit rates", 1998.
std::vector<std::string> RendezvousOrder(std::string_view key,
                                         const std::vector<std::string>& vms);

}  // namespace laburnumkeel::membership

#endif  // LABURNUMKEEL_MEMBERSHIP_RENDEZVOUS_H_
