#ifndef LABURNUMKEEL_LIMITS_ACCOUNT_DEMAND_H_
#define LABURNUMKEEL_LIMITS_ACCOUNT_DEMAND_H_

#include <string>

namespace laburnumkeel::limits {

// Requests that callers of an account send to one VM, refused ones included.
struct AccountDemand {
  std::string account;
  // Requests a second.
  double demand = 0;

  bool operator==(const AccountDemand&) const = default;
};

}  // namespace laburnumkeel::limits

#endif  // LABURNUMKEEL_LIMITS_ACCOUNT_DEMAND_H_
