#ifndef LABURNUMKEEL_LIMITS_ACCOUNT_DEMAND_H_
#define LABURNUMKEEL_LIMITS_ACCOUNT_DEMAND_H_

#include <string>

namespace laburnumkeel::limits {

// What the callers of an account ask of one VM, refused requests included.
struct AccountDemand {
  std::string account;
  // Requests a second.
  double demand = 0;

  bool operator==(const AccountDemand&) const = default;
};

}  // namespace laburnumkeel::limits

#endif  // LABURNUMKEEL_LIMITS_ACCOUNT_DEMAND_H_
