#ifndef LABURNUMKEEL_LIMITS_OUTSTANDING_OFFERS_H_
#define LABURNUMKEEL_LIMITS_OUTSTANDING_OFFERS_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "laburnumkeel/kernel/clock.h"
#include "laburnumkeel/limits/share.h"
#include "laburnumkeel/limits/share_ledger.h"

namespace laburnumkeel::limits {

// The largest shares that the entry program may still be using: those of the
// last confirmed offer and of any later one, until they expire. Not
// thread-safe.
class OutstandingOffers {
 public:
  // Records a complete set of shares before it is sent to the entry program.
  void Add(const std::vector<Share>& offer);

  // Records that the entry program uses the offer added last and none before.
  void ConfirmLast();

  // Largest rate and burst that may be in use at `now`, by kind. The demand is
  // 0.
  AccountShares InUse(const std::string& account, kernel::Instant now) const;

  std::vector<std::string> Accounts() const;

  void RemoveExpired(kernel::Instant now);

 private:
  using Key = std::pair<std::string, ShareKind>;

  ShareAmount InUse(const Key& key, kernel::Instant now) const;

  std::vector<Share> last;
  std::map<Key, std::vector<Share>> shares;
};

}  // namespace laburnumkeel::limits

#endif  // LABURNUMKEEL_LIMITS_OUTSTANDING_OFFERS_H_
