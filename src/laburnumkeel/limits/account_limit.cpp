#include "laburnumkeel/limits/account_limit.h"

namespace laburnumkeel::limits {

FleetLimits LimitsOf(const model::Configuration& configuration) {
  FleetLimits limits{configuration.version, configuration.fleet_size, {}};
  for (const model::ClientAccount& account : configuration.client_accounts) {
    limits.accounts.push_back(
        AccountLimit{account.name, ShareAmount{account.rate, account.burst}});
  }
  return limits;
}

}  // namespace laburnumkeel::limits
