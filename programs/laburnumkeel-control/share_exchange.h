#ifndef LABURNUMKEEL_PROGRAMS_CONTROL_SHARE_EXCHANGE_H_
#define LABURNUMKEEL_PROGRAMS_CONTROL_SHARE_EXCHANGE_H_

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

#include "laburnumkeel/kernel/boot_clock.h"
#include "laburnumkeel/limits/account_demand.h"
#include "laburnumkeel/limits/share.h"
#include "laburnumkeel/limits/share_recipient.h"
#include "laburnumkeel/peer/generated/peer_types.h"

namespace laburnumkeel::control {

// Passes shares to the entry program of this VM, which calls every 100 ms, and
// stores the demand that it reports. Thread-safe.
//
// Only one entry program can hold shares: it binds its port before its first
// call, so a second one cannot call before the first has exited.
class ShareExchange {
 public:
  explicit ShareExchange(std::string incarnation);

  // See `limits::ShareRecipient`.
  void Offer(const std::vector<limits::Share>& shares);
  bool Confirm();

  // Records the entry program's report and fills in the shares of the
  // instructions.
  void Exchange(const peer::generated::EntryReport& report,
                peer::generated::EntryInstructions& instructions);

  // The demand reported last.
  std::vector<limits::AccountDemand> Demand() const;

  // True when the entry program called within the last second.
  bool IsEntryPresent() const;

 private:
  // Two exchanges of 100 ms and a margin.
  static constexpr std::chrono::milliseconds kConfirmationTimeout{350};

  const kernel::BootClock clock{};
  const std::string incarnation;
  mutable std::mutex mutex;
  std::condition_variable confirmed;
  std::vector<limits::Share> shares;
  std::int64_t offer = 0;
  std::int64_t delivered_offer = 0;
  std::int64_t applied_offer = 0;
  std::vector<limits::AccountDemand> demand;
  kernel::Instant last_exchange;
};

static_assert(limits::ShareRecipient<ShareExchange>);

}  // namespace laburnumkeel::control

#endif  // LABURNUMKEEL_PROGRAMS_CONTROL_SHARE_EXCHANGE_H_
