#ifndef LABURNUMKEEL_LIMITS_ACCOUNT_LIMIT_H_
#define LABURNUMKEEL_LIMITS_ACCOUNT_LIMIT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "laburnumkeel/limits/share_amount.h"
#include "laburnumkeel/model/configuration.h"

namespace laburnumkeel::limits {

// The limit of an account for the whole fleet.
struct AccountLimit {
  std::string account;
  ShareAmount limit;

  bool operator==(const AccountLimit&) const = default;
};

// The part of a configuration that shares depend on.
struct FleetLimits {
  std::uint64_t configuration_version = 0;
  std::int64_t fleet_size = 8;
  std::vector<AccountLimit> accounts;

  bool operator==(const FleetLimits&) const = default;
};

FleetLimits LimitsOf(const model::Configuration& configuration);

}  // namespace laburnumkeel::limits

#endif  // LABURNUMKEEL_LIMITS_ACCOUNT_LIMIT_H_
