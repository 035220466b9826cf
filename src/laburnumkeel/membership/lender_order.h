#ifndef LABURNUMKEEL_MEMBERSHIP_LENDER_ORDER_H_
#define LABURNUMKEEL_MEMBERSHIP_LENDER_ORDER_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumkeel::membership {

// A VM that may keep the ledger of an endpoint's connections.
struct LenderCandidate {
  std::string vm;
  // Empty when an older program registered the VM.
  std::string data_centre;
  // Cores that it may use; 0 when unknown.
  double processor_share = 0;

  bool operator==(const LenderCandidate&) const = default;
};

// The first `count` VMs to ask for connections to an endpoint, by weighted
// rendezvous hashing. VMs of the endpoint's data centre come first: they reach
// the endpoint as long as its data centre is in one piece, and most requests
// come from there. Of these, a VM is chosen in proportion to its processor
// share. All VMs with the same table get the same order.
std::vector<std::string> LenderOrder(
    std::string_view endpoint_id, std::string_view data_centre,
    const std::vector<LenderCandidate>& candidates, std::size_t count);

}  // namespace laburnumkeel::membership

#endif  // LABURNUMKEEL_MEMBERSHIP_LENDER_ORDER_H_
