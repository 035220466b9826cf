#ifndef LABURNUMKEEL_LIMITS_LEDGER_ROUND_H_
#define LABURNUMKEEL_LIMITS_LEDGER_ROUND_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "laburnumkeel/kernel/clock.h"
#include "laburnumkeel/kernel/event_log.h"
#include "laburnumkeel/kernel/random_identifier.h"
#include "laburnumkeel/limits/account_demand.h"
#include "laburnumkeel/limits/account_limit.h"
#include "laburnumkeel/limits/account_view.h"
#include "laburnumkeel/limits/entry_observer.h"
#include "laburnumkeel/limits/events.h"
#include "laburnumkeel/limits/outstanding_offers.h"
#include "laburnumkeel/limits/round_report.h"
#include "laburnumkeel/limits/round_view.h"
#include "laburnumkeel/limits/share_ledger_codec.h"
#include "laburnumkeel/limits/share_lifetimes.h"
#include "laburnumkeel/limits/share_recipient.h"
#include "laburnumkeel/limits/write_attempts.h"
#include "laburnumkeel/platform/table_store.h"

namespace laburnumkeel::limits {

struct LedgerSettings {
  std::string vm;
  // Unique for each start of the control program.
  std::string incarnation;
  ShareLifetimes lifetimes;
  // Part of each limit that is kept as reserve shares, 0 to 1.
  double reserve_fraction = 0.4;
};

// The control program's part in the share ledger. Run() is called about once a
// second (see NextRoundDelay). Not thread-safe.
//
// For each account the shares in the ledger never add up to more than the
// limit, and the entry program never uses more than the ledger shows for it:
// a share is lowered in the entry program before the ledger shows the lower
// one, and raised only after the ledger certainly shows the higher one.
//
// After a lowered limit the shares add up to at most the new one once every
// live VM has applied the configuration and completed two rounds (18 s by I14
// and 2 s), the shares of dead VMs apart, which are planned around: their
// dynamic part is removed after 9.4 s, their reserve after 12.6 h.
template <kernel::Clock ClockType, platform::TableStore StoreType,
          ShareRecipient RecipientType>
class LedgerRound {
 public:
  // `store` and `recipient` must outlive the object.
  LedgerRound(LedgerSettings settings, ClockType clock, StoreType& store,
              RecipientType& recipient)
      : settings(std::move(settings)),
        clock(std::move(clock)),
        store(store),
        recipient(recipient),
        observer(this->settings.lifetimes) {}

  // One round with the newest limits and the entry program's demand.
  RoundReport Run(const FleetLimits& limits,
                  const std::vector<AccountDemand>& demands) {
    if (this->is_released) {
      return RoundReport{RoundOutcome::kReleased, false};
    }
    std::uint64_t version = 0;
    ShareLedger ledger;
    const RoundOutcome read = this->Read(ledger, version);
    if (read != RoundOutcome::kCommitted) {
      return this->Finish(RoundReport{read, false});
    }
    const kernel::Instant now = this->clock.Now();
    this->observer.Observe(ledger, now);
    this->LogExpired(ledger, now);
    const RoundView view(this->observer.WithoutExpired(ledger, now), limits,
                         demands,
                         RoundViewSettings{this->settings.incarnation,
                                           this->settings.reserve_fraction},
                         [&](const LedgerEntry& entry) {
                           return this->observer.IsDynamicExpired(entry, now);
                         });
    return this->Finish(this->Update(view, limits, version));
  }

  // True when demand has moved so far since the last written entry that a
  // round should follow without delay (but see kShortestRound).
  bool NeedsEarlyRound(const std::vector<AccountDemand>& demands) const {
    return std::any_of(
        demands.begin(), demands.end(), [this](const AccountDemand& demand) {
          const auto limit = this->limits_in_demand.find(demand.account);
          return limit != this->limits_in_demand.end() &&
                 IsMoved(demand.demand, limit->second,
                         SharesOf(this->attempts.Committed(), demand.account));
        });
  }

  // Gives up all shares before a graceful shutdown. Returns kCommitted when
  // the ledger no longer has an entry of this VM; otherwise it may be called
  // again. Shares that are not released expire.
  RoundOutcome Release() {
    this->is_released = true;
    std::uint64_t version = 0;
    ShareLedger ledger;
    const RoundOutcome read = this->Read(ledger, version);
    this->Offer({}, this->attempts.LeaseStart());
    if (!this->ConfirmOffer()) {
      return RoundOutcome::kUnknown;
    }
    if (read != RoundOutcome::kCommitted) {
      return read;
    }
    if (FindEntry(ledger, this->settings.incarnation) == nullptr) {
      // A write of an earlier round may still arrive, but it needs this
      // version of the row; the next write of any VM rules it out.
      return this->attempts.HasUndecided() ? RoundOutcome::kUnknown
                                           : RoundOutcome::kCommitted;
    }
    std::erase_if(ledger.entries, [this](const LedgerEntry& entry) {
      return entry.incarnation == this->settings.incarnation;
    });
    const auto result = this->Commit(ledger, version);
    if (!result.has_value()) {
      return result.error().failure == platform::PlatformFailure::kUnavailable
                 ? RoundOutcome::kStoreUnavailable
                 : RoundOutcome::kUnknown;
    }
    if (!result.value().committed) {
      return RoundOutcome::kConflict;
    }
    kernel::LogEvent(kSharesReleased, {{"vm", this->settings.vm}});
    return RoundOutcome::kCommitted;
  }

 private:
  using SharesByAccount = std::map<std::string, AccountShares>;
  using CommitResult =
      kernel::Result<platform::TransactionResult, platform::PlatformError>;

  // A tenth of the limit is more than the usual fluctuation of demand.
  static bool IsMoved(double demand, const ShareAmount& limit,
                      const AccountShares& written) {
    const double rate = Total(written).rate;
    const double rise = demand - written.demand;
    const bool lacks_tokens = demand > rate && rise > limit.rate / 10;
    const bool has_spare_tokens = demand < rate && -rise > limit.rate / 10;
    return lacks_tokens || has_spare_tokens;
  }

  // Reads the ledger and takes in what it says about this VM's writes.
  RoundOutcome Read(ShareLedger& ledger, std::uint64_t& version) {
    const auto row = this->store.Read(kLedgerKey);
    if (!row.has_value()) {
      return RoundOutcome::kStoreUnavailable;
    }
    version = row.value().version;
    if (version != 0) {
      const auto decoded = DecodeLedger(row.value().value);
      if (!decoded.has_value()) {
        return RoundOutcome::kInvalidLedger;
      }
      ledger = decoded.value();
    }
    const std::uint64_t known = this->attempts.CommittedSequence();
    this->attempts.Resolve(FindEntry(ledger, this->settings.incarnation),
                           version);
    if (this->attempts.CommittedSequence() != known && !this->is_released) {
      // A write whose response was lost did take effect.
      this->OfferUsable();
    }
    return RoundOutcome::kCommitted;
  }

  RoundReport Update(const RoundView& view, const FleetLimits& limits,
                     std::uint64_t version) {
    const std::set<std::string> accounts = this->Accounts(limits);
    const SharesByAccount lowered = this->LowerAll(view, accounts);
    const kernel::Instant now = this->clock.Now();
    this->offers.RemoveExpired(now);
    this->sequence += 1;
    LedgerEntry entry{this->settings.vm,
                      this->settings.incarnation,
                      this->sequence,
                      limits.configuration_version,
                      {}};
    SharesByAccount offered;
    for (const std::string& account : accounts) {
      const AccountUpdate update =
          Grow(this->View(view, account), lowered.at(account),
               this->offers.InUse(account, now));
      if (view.IsConfigured(account) || !IsZero(Total(update.written))) {
        entry.accounts[account] = update.written;
      }
      offered[account] = update.offered;
    }
    const ShareLedger next = view.With(entry);
    const RoundOutcome outcome = this->Write(next, entry, version);
    if (outcome == RoundOutcome::kCommitted) {
      this->LogChanges(view, offered);
      this->Offer(offered, this->attempts.LeaseStart());
    }
    this->Remember(view, next, limits);
    return RoundReport{outcome, view.IsShort(next)};
  }

  // Lowers the entry program's shares to what this VM should keep. Returns
  // the lowered shares, confirmed or not.
  SharesByAccount LowerAll(const RoundView& view,
                           const std::set<std::string>& accounts) {
    SharesByAccount lowered;
    bool is_lower = false;
    const kernel::Instant now = this->clock.Now();
    for (const std::string& account : accounts) {
      lowered[account] = Lower(this->View(view, account));
      const AccountShares in_use = this->offers.InUse(account, now);
      is_lower = is_lower ||
                 !IsAtMost(in_use.dynamic, lowered[account].dynamic) ||
                 !IsAtMost(in_use.reserve, lowered[account].reserve);
    }
    if (is_lower) {
      this->LogChanges(view, lowered);
      this->Offer(lowered, this->attempts.LeaseStart());
      if (!this->ConfirmOffer()) {
        kernel::LogEvent(kLowerShareUnconfirmed, {{"vm", this->settings.vm}});
      }
    }
    return lowered;
  }

  RoundOutcome Write(const ShareLedger& next, const LedgerEntry& entry,
                     std::uint64_t version) {
    // Lifetimes count from before the write is sent, because it may take
    // effect at any time from then on.
    this->attempts.Add(WriteAttempt{version, this->clock.Now(), entry});
    const CommitResult result = this->Commit(next, version);
    if (result.has_value() && result.value().committed) {
      this->attempts.Resolve(&entry, version + 1);
      return RoundOutcome::kCommitted;
    }
    if (result.has_value()) {
      this->attempts.Remove(entry.sequence);
      return RoundOutcome::kConflict;
    }
    if (result.error().failure == platform::PlatformFailure::kUnavailable) {
      this->attempts.Remove(entry.sequence);
      return RoundOutcome::kStoreUnavailable;
    }
    // The entry's sequence number stands for the operation id here: the row
    // shows the operation id of the last writer only.
    ShareLedger ledger;
    std::uint64_t read_version = 0;
    this->Read(ledger, read_version);
    return this->attempts.CommittedSequence() == entry.sequence
               ? RoundOutcome::kCommitted
               : RoundOutcome::kUnknown;
  }

  CommitResult Commit(const ShareLedger& ledger, std::uint64_t version) {
    return this->store.Commit(platform::TableTransaction{
        kernel::RandomIdentifier(),
        {platform::RowCondition{kLedgerKey, version}},
        {platform::RowWrite{kLedgerKey, EncodeLedger(ledger)}}});
  }

  AccountView View(const RoundView& view, const std::string& account) const {
    return view.Of(account, this->attempts.Usable(account),
                   this->exceeded.contains(account));
  }

  std::set<std::string> Accounts(const FleetLimits& limits) const {
    std::set<std::string> accounts;
    for (const AccountLimit& limit : limits.accounts) {
      accounts.insert(limit.account);
    }
    for (const std::string& account : this->attempts.Accounts()) {
      accounts.insert(account);
    }
    for (const std::string& account : this->offers.Accounts()) {
      accounts.insert(account);
    }
    return accounts;
  }

  void Remember(const RoundView& view, const ShareLedger& next,
                const FleetLimits& limits) {
    this->exceeded.clear();
    this->limits_in_demand.clear();
    for (const AccountLimit& limit : limits.accounts) {
      if (view.IsExceeded(limit.account)) {
        this->exceeded.insert(limit.account);
      }
      if (DemandOf(next, limit.account) <= limit.limit.rate) {
        this->limits_in_demand[limit.account] = limit.limit;
      }
    }
  }

  void OfferUsable() {
    SharesByAccount usable;
    for (const std::string& account : this->attempts.Accounts()) {
      usable[account] = this->attempts.Usable(account);
    }
    this->Offer(usable, this->attempts.LeaseStart());
  }

  void Offer(const SharesByAccount& shares, kernel::Instant lease_start) {
    std::vector<Share> offer;
    for (const auto& [account, amounts] : shares) {
      offer.push_back(Share{account, ShareKind::kDynamic, amounts.dynamic,
                            lease_start + this->settings.lifetimes.dynamic});
      offer.push_back(Share{account, ShareKind::kReserve, amounts.reserve,
                            lease_start + this->settings.lifetimes.reserve});
    }
    this->offers.Add(offer);
    this->offered = shares;
    this->recipient.Offer(offer);
  }

  bool ConfirmOffer() {
    const bool is_confirmed = this->recipient.Confirm();
    if (is_confirmed) {
      this->offers.ConfirmLast();
    }
    return is_confirmed;
  }

  RoundReport Finish(const RoundReport& report) {
    const bool has_failed = report.outcome != RoundOutcome::kCommitted &&
                            report.outcome != RoundOutcome::kConflict;
    if (has_failed && !this->is_failing) {
      kernel::LogEvent(
          kLedgerRoundFailed,
          {{"vm", this->settings.vm}, {"reason", ToString(report.outcome)}});
    }
    if (!has_failed && this->is_failing) {
      kernel::LogEvent(kLedgerRoundRecovered, {{"vm", this->settings.vm}});
    }
    this->is_failing = has_failed;
    return report;
  }

  void LogExpired(const ShareLedger& ledger, kernel::Instant now) const {
    for (const LedgerEntry& entry : ledger.entries) {
      if (entry.incarnation == this->settings.incarnation ||
          !this->observer.HoldsExpired(entry, now)) {
        continue;
      }
      kernel::LogEvent(kExpiredSharesRemoved,
                       {{"vm", entry.vm},
                        {"incarnation", entry.incarnation},
                        {"reason", this->observer.IsReserveExpired(entry, now)
                                       ? "reserve_not_renewed"
                                       : "dynamic_not_renewed"}});
    }
  }

  void LogChanges(const RoundView& view, const SharesByAccount& shares) const {
    for (const auto& [account, after] : shares) {
      const auto known = this->offered.find(account);
      const AccountShares before =
          known == this->offered.end() ? AccountShares{} : known->second;
      if (before.dynamic == after.dynamic && before.reserve == after.reserve) {
        continue;
      }
      kernel::LogEvent(
          kShareChanged,
          {{"account", account},
           {"dynamic_rate", after.dynamic.rate},
           {"dynamic_burst", after.dynamic.burst},
           {"reserve_rate", after.reserve.rate},
           {"reserve_burst", after.reserve.burst},
           {"previous_rate", Total(before).rate},
           {"previous_burst", Total(before).burst},
           {"demand", after.demand},
           {"reason", ChangeReason(this->View(view, account), before, after)}});
    }
  }

  LedgerSettings settings;
  ClockType clock;
  StoreType& store;
  RecipientType& recipient;
  EntryObserver observer;
  OutstandingOffers offers;
  WriteAttempts attempts;
  // The last offer, for the log.
  SharesByAccount offered;
  // Accounts whose limit was exceeded in the ledger of the last round.
  std::set<std::string> exceeded;
  // Limits of the accounts whose demand was within them in the last round.
  std::map<std::string, ShareAmount> limits_in_demand;
  std::uint64_t sequence = 0;
  bool is_released = false;
  bool is_failing = false;
};

}  // namespace laburnumkeel::limits

#endif  // LABURNUMKEEL_LIMITS_LEDGER_ROUND_H_
