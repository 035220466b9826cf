#ifndef LABURNUMKEEL_LIMITS_SHARE_RECIPIENT_H_
#define LABURNUMKEEL_LIMITS_SHARE_RECIPIENT_H_

#include <concepts>
#include <vector>

#include "laburnumkeel/limits/share.h"

namespace laburnumkeel::limits {

// Sends shares to the entry program of the same VM.
//
// `Offer` sends a complete set of shares that replaces the previous one; it
// need not wait. `Confirm` waits a short time (a few exchanges with the entry
// program) and returns true only if the entry program is known to use the last
// offer and none before, or to have ended. An entry program that receives
// offers out of order must ignore the older ones.
template <class Candidate>
concept ShareRecipient = requires(Candidate& recipient,
                                  const std::vector<Share>& shares) {
  { recipient.Offer(shares) } -> std::same_as<void>;
  { recipient.Confirm() } -> std::same_as<bool>;
};

}  // namespace laburnumkeel::limits

#endif  // LABURNUMKEEL_LIMITS_SHARE_RECIPIENT_H_
