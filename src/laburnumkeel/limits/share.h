#ifndef LABURNUMKEEL_LIMITS_SHARE_H_
#define LABURNUMKEEL_LIMITS_SHARE_H_

#include <string>

#include "laburnumkeel/kernel/clock.h"
#include "laburnumkeel/limits/share_amount.h"

namespace laburnumkeel::limits {

enum class ShareKind {
  // Follows demand and expires seconds after its last renewal.
  kDynamic,
  // Stays valid during a store outage.
  kReserve,
};

// The part of an account's limit that one VM may use until `expiry`.
struct Share {
  std::string account;
  ShareKind kind = ShareKind::kDynamic;
  ShareAmount amount;
  // On the boot clock of the VM that holds the share.
  kernel::Instant expiry;

  bool operator==(const Share&) const = default;
};

}  // namespace laburnumkeel::limits

#endif  // LABURNUMKEEL_LIMITS_SHARE_H_
