#include "programs/laburnumkeel-control/share_exchange.h"

#include <algorithm>
#include <utility>

namespace laburnumkeel::control {

ShareExchange::ShareExchange(std::string incarnation)
    : incarnation(std::move(incarnation)) {}

void ShareExchange::Offer(const std::vector<limits::Share>& offered) {
  const std::lock_guard lock(this->mutex);
  this->shares = offered;
  ++this->offer;
}

bool ShareExchange::Confirm() {
  std::unique_lock lock(this->mutex);
  // An offer that no entry program received needs no confirmation.
  if (this->delivered_offer == 0) {
    return true;
  }
  return this->confirmed.wait_for(lock, kConfirmationTimeout, [this] {
    return this->delivered_offer == 0 || this->applied_offer == this->offer;
  });
}

void ShareExchange::Exchange(const peer::generated::EntryReport& report,
                             peer::generated::EntryInstructions& instructions) {
  const std::lock_guard lock(this->mutex);
  const kernel::Instant now = this->clock.Now();
  this->last_exchange = now;
  this->demand.clear();
  for (const peer::generated::AccountDemand& item : report.demands) {
    this->demand.push_back(
        limits::AccountDemand{item.account, item.demand_per_second});
  }
  if (report.ended) {
    this->delivered_offer = 0;
    this->confirmed.notify_all();
    return;
  }
  if (report.control_incarnation == this->incarnation) {
    this->applied_offer = report.applied_offer;
  }
  this->delivered_offer = this->offer;
  instructions.offer = this->offer;
  instructions.control_incarnation = this->incarnation;
  for (const limits::Share& share : this->shares) {
    const auto lifetime = std::chrono::duration_cast<std::chrono::milliseconds>(
        share.expiry - now);
    if (lifetime.count() <= 0) {
      continue;
    }
    peer::generated::Share item;
    item.account = share.account;
    item.rate = share.amount.rate;
    item.burst = share.amount.burst;
    item.lifetime_ms = lifetime.count();
    item.reserve = share.kind == limits::ShareKind::kReserve;
    instructions.shares.push_back(item);
  }
  this->confirmed.notify_all();
}

std::vector<limits::AccountDemand> ShareExchange::Demand() const {
  const std::lock_guard lock(this->mutex);
  return this->demand;
}

bool ShareExchange::IsEntryPresent() const {
  const std::lock_guard lock(this->mutex);
  return this->delivered_offer > 0 &&
         this->clock.Now() - this->last_exchange <= std::chrono::seconds(1);
}

}  // namespace laburnumkeel::control
