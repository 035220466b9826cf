#ifndef LABURNUMKEEL_LIMITS_SHARE_HOLDINGS_H_
#define LABURNUMKEEL_LIMITS_SHARE_HOLDINGS_H_

#include <cstddef>
#include <list>
#include <string>
#include <unordered_map>

#include "laburnumkeel/kernel/clock.h"
#include "laburnumkeel/limits/share_amount.h"

namespace laburnumkeel::limits {

// What the VMs may hold of one account's shares. The totals are kept up to
// date, so the cost of a report does not grow with the number of VMs.
class ShareHoldings {
 public:
  struct Holding {
    // The most that the VM may hold.
    ShareAmount counted;
    ShareAmount last_grant;
    // Operations a second.
    double demand = 0;

    bool operator==(const Holding&) const = default;
  };

  // Removes holdings that have expired.
  void Expire(kernel::Instant now);

  // The VM's holding; an empty one when it has none.
  Holding Find(const std::string& vm) const;

  // Sets the VM's holding. Expiries must not decrease from call to call.
  void Set(const std::string& vm, const Holding& holding,
           kernel::Instant expires_at);

  // Removes the holding of a VM that has stopped.
  void Remove(const std::string& vm);

  // Sums over all VMs but `vm`.
  ShareAmount CountedByOthers(const std::string& vm) const;
  double DemandOfOthers(const std::string& vm) const;
  // Number of VMs with a holding, without `vm`.
  std::size_t OtherVms(const std::string& vm) const;

 private:
  struct Entry {
    Holding holding;
    kernel::Instant expires_at;
    // Place in `by_expiry`.
    std::list<std::string>::iterator place;
  };
  using Entries = std::unordered_map<std::string, Entry>;

  void Erase(Entries::iterator entry);
  void Recompute();

  Entries entries;
  // VM names in the order in which their holdings expire.
  std::list<std::string> by_expiry;
  ShareAmount counted;
  double demand = 0;
  // Changes since the sums were last computed afresh.
  std::size_t changes = 0;
};

}  // namespace laburnumkeel::limits

#endif  // LABURNUMKEEL_LIMITS_SHARE_HOLDINGS_H_
