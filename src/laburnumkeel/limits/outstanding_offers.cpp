#include "laburnumkeel/limits/outstanding_offers.h"

#include <algorithm>
#include <set>

namespace laburnumkeel::limits {

namespace {

// Maximum number of unconfirmed offers that are stored for one share. Beyond
// that, the two oldest are merged into one that covers both.
constexpr std::size_t kMaximumOffers = 16;

bool Covers(const Share& covering, const Share& share) {
  return IsAtMost(share.amount, covering.amount) &&
         share.expiry <= covering.expiry;
}

}  // namespace

void OutstandingOffers::Add(const std::vector<Share>& offer) {
  this->last = offer;
  for (const Share& share : offer) {
    std::vector<Share>& offers = this->shares[{share.account, share.kind}];
    std::erase_if(offers,
                  [&](const Share& older) { return Covers(share, older); });
    offers.push_back(share);
    if (offers.size() > kMaximumOffers) {
      const Share merged{share.account, share.kind,
                         Larger(offers[0].amount, offers[1].amount),
                         std::max(offers[0].expiry, offers[1].expiry)};
      offers.erase(offers.begin());
      offers.front() = merged;
    }
  }
}

void OutstandingOffers::ConfirmLast() {
  this->shares.clear();
  for (const Share& share : this->last) {
    this->shares[{share.account, share.kind}] = {share};
  }
}

AccountShares OutstandingOffers::InUse(const std::string& account,
                                       kernel::Instant now) const {
  return AccountShares{this->InUse(Key{account, ShareKind::kDynamic}, now),
                       this->InUse(Key{account, ShareKind::kReserve}, now), 0};
}

std::vector<std::string> OutstandingOffers::Accounts() const {
  std::set<std::string> accounts;
  for (const auto& [key, offers] : this->shares) {
    accounts.insert(key.first);
  }
  return {accounts.begin(), accounts.end()};
}

void OutstandingOffers::RemoveExpired(kernel::Instant now) {
  for (auto& [key, offers] : this->shares) {
    std::erase_if(offers,
                  [&](const Share& share) { return share.expiry <= now; });
  }
  std::erase_if(this->shares,
                [](const auto& item) { return item.second.empty(); });
}

ShareAmount OutstandingOffers::InUse(const Key& key,
                                     kernel::Instant now) const {
  ShareAmount maximum;
  const auto offers = this->shares.find(key);
  if (offers == this->shares.end()) {
    return maximum;
  }
  for (const Share& share : offers->second) {
    if (share.expiry > now) {
      maximum = Larger(maximum, share.amount);
    }
  }
  return maximum;
}

}  // namespace laburnumkeel::limits
