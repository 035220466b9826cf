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
  // Fraction of each limit that is kept as reserve shares, 0 to 1.
  double reserve_fraction = 0.4;
};

// Updates this VM's entry of the share ledger from the control program. Run()
// is called about once a second (see NextRoundDelay). Not thread-safe.
//
// For each account, the shares in the ledger never add up to more than the
// limit, and the entry program never uses more than the ledger shows for it: a
// share is lowered in the entry program before the ledger shows the lower one,
// and raised only after the ledger is known to show the higher one.
//
// After a limit was lowered, the shares add up to at most the new limit once
// every live VM has applied the configuration (within 18 s by I14) and
// completed two rounds (2 s). Shares of dead VMs are the exception. The plan
// leaves them out of the capacity until they are removed: dynamic shares
// after 9.4 s, reserve shares after 12.6 h.
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

  // Performs one round with the newest limits and the entry program's demand.
  RoundReport Run(const FleetLimits& limits,
                  const std::vector<AccountDemand>& demands) {
    if (this->is_released) {
      return RoundReport{RoundOutcome::kReleased, false};
    }
    LedgerRead read = this->Read();
    if (read.outcome != RoundOutcome::kCommitted) {
      return this->Finish(RoundReport{read.outcome, false});
    }
    const SharesByAccount lowered =
        this->LowerAll(this->ViewOf(read, limits, demands), limits);
    if (this->has_waited) {
      // Other VMs have probably written to the ledger during the wait for the
      // entry program. Without this second read, a VM that has to lower its
      // shares would conflict in most rounds.
      read = this->Read();
      if (read.outcome != RoundOutcome::kCommitted) {
        return this->Finish(RoundReport{read.outcome, false});
      }
    }
    RoundReport report;
    for (int attempt = 0; attempt < kAttempts; ++attempt) {
      report = this->Update(this->ViewOf(read, limits, demands), lowered,
                            limits, read);
      if (report.outcome != RoundOutcome::kConflict ||
          read.outcome != RoundOutcome::kCommitted) {
        break;
      }
    }
    return this->Finish(report);
  }

  // True when demand has changed so much since the last committed entry that
  // the next round should start as soon as kShortestRound allows.
  bool NeedsEarlyRound(const std::vector<AccountDemand>& demands) const {
    return std::any_of(
        demands.begin(), demands.end(), [this](const AccountDemand& demand) {
          const auto limit = this->known_limits.find(demand.account);
          return limit != this->known_limits.end() &&
                 HasDemandMoved(
                     demand.demand, limit->second,
                     SharesOf(this->attempts.Committed(), demand.account));
        });
  }

  // Releases all shares before a graceful shutdown. Returns kCommitted when the
  // ledger no longer has an entry of this VM; otherwise it may be called again.
  // Shares that are not released expire.
  RoundOutcome Release() {
    this->is_released = true;
    LedgerRead read = this->Read();
    this->Offer({}, this->attempts.LeaseStart());
    if (!this->ConfirmOffer()) {
      return RoundOutcome::kUnknown;
    }
    if (read.outcome != RoundOutcome::kCommitted) {
      return read.outcome;
    }
    if (FindEntry(read.ledger, this->settings.incarnation) == nullptr) {
      // A write of an earlier round may still arrive. It is conditional on this
      // version of the row, so the next write of any VM makes it fail.
      return this->attempts.HasUndecided() ? RoundOutcome::kUnknown
                                           : RoundOutcome::kCommitted;
    }
    std::erase_if(read.ledger.entries, [this](const LedgerEntry& entry) {
      return entry.incarnation == this->settings.incarnation;
    });
    const auto result = this->Commit(read.ledger, read.version);
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
  // Attempts to write in one round. The response to a conflicting write
  // contains the new row, so that the next attempt needs no read and is less
  // likely to conflict.
  static constexpr int kAttempts = 3;

  using SharesByAccount = std::map<std::string, AccountShares>;
  struct LedgerRead {
    // kCommitted when the ledger could be read.
    RoundOutcome outcome = RoundOutcome::kStoreUnavailable;
    std::uint64_t version = 0;
    ShareLedger ledger;
  };
  using CommitResult =
      kernel::Result<platform::TransactionResult, platform::PlatformError>;

  // True when demand has changed by more than its usual fluctuation (the
  // fractions of the limit) and the share no longer fits it. An account that
  // lacked tokens before is left to the regular rounds.
  static bool HasDemandMoved(double demand, const ShareAmount& limit,
                             const AccountShares& written) {
    const double rate = Total(written).rate;
    const double rise = demand - written.demand;
    const bool lacks_tokens =
        demand > rate && written.demand <= rate && rise > limit.rate / 25;
    const bool has_spare_tokens = demand < rate && -rise > limit.rate / 10;
    return lacks_tokens || has_spare_tokens;
  }

  // Reads the ledger and resolves this VM's undecided writes from it.
  LedgerRead Read() {
    const auto row = this->store.Read(kLedgerKey);
    if (!row.has_value()) {
      return LedgerRead{RoundOutcome::kStoreUnavailable, 0, {}};
    }
    return this->ApplyRow(row.value());
  }

  LedgerRead ApplyRow(const platform::TableRow& row) {
    ShareLedger ledger;
    if (row.version != 0) {
      const auto decoded = DecodeLedger(row.value);
      if (!decoded.has_value()) {
        return LedgerRead{RoundOutcome::kInvalidLedger, row.version, {}};
      }
      ledger = decoded.value();
    }
    const std::uint64_t known = this->attempts.CommittedSequence();
    this->attempts.Resolve(FindEntry(ledger, this->settings.incarnation),
                           row.version);
    if (this->attempts.CommittedSequence() != known && !this->is_released) {
      // A write whose response was lost has taken effect.
      this->OfferUsable();
    }
    return LedgerRead{RoundOutcome::kCommitted, row.version, std::move(ledger)};
  }

  RoundView ViewOf(const LedgerRead& read, const FleetLimits& limits,
                   const std::vector<AccountDemand>& demands) {
    const kernel::Instant now = this->clock.Now();
    this->observer.Observe(read.ledger, now);
    this->LogExpired(read.ledger, now);
    return RoundView(this->observer.WithoutExpired(read.ledger, now), limits,
                     demands,
                     RoundViewSettings{this->settings.incarnation,
                                       this->settings.reserve_fraction},
                     [&](const LedgerEntry& entry) {
                       return this->observer.IsDynamicExpired(entry, now);
                     });
  }

  // Writes this VM's entry. `read` is the ledger that `view` was made from.
  // After a conflict it is replaced with the newer ledger.
  RoundReport Update(const RoundView& view, const SharesByAccount& lowered,
                     const FleetLimits& limits, LedgerRead& read) {
    const std::set<std::string> accounts = this->Accounts(limits);
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
      const AccountView account_view = this->View(view, account);
      const auto low = lowered.find(account);
      const AccountUpdate update =
          Grow(account_view,
               low == lowered.end() ? AccountShares{}
                                    : Smaller(low->second, account_view.usable),
               this->offers.InUse(account, now));
      if (view.IsConfigured(account) || !IsZero(Total(update.written))) {
        entry.accounts[account] = update.written;
      }
      offered[account] = update.offered;
    }
    const ShareLedger next = view.With(entry);
    const RoundOutcome outcome = this->Write(next, entry, read);
    if (outcome == RoundOutcome::kCommitted) {
      this->LogChanges(view, offered);
      this->Offer(offered, this->attempts.LeaseStart());
    }
    this->RecordLimits(view, limits);
    return RoundReport{outcome, view.HasShortage(next)};
  }

  // Lowers the entry program's shares to what this VM should keep. Returns the
  // lowered shares, whether or not the entry program has confirmed them.
  SharesByAccount LowerAll(const RoundView& view, const FleetLimits& limits) {
    SharesByAccount lowered;
    bool is_lower = false;
    const kernel::Instant now = this->clock.Now();
    for (const std::string& account : this->Accounts(limits)) {
      lowered[account] = Lower(this->View(view, account));
      const AccountShares in_use = this->offers.InUse(account, now);
      is_lower = is_lower ||
                 !IsAtMost(in_use.dynamic, lowered[account].dynamic) ||
                 !IsAtMost(in_use.reserve, lowered[account].reserve);
    }
    this->has_waited = is_lower;
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
                     LedgerRead& read) {
    // Share lifetimes start before the write is sent, because the write may
    // take effect at any time from then on.
    this->attempts.Add(WriteAttempt{read.version, this->clock.Now(), entry});
    const CommitResult result = this->Commit(next, read.version);
    if (result.has_value() && result.value().committed) {
      this->attempts.Resolve(&entry, read.version + 1);
      return RoundOutcome::kCommitted;
    }
    if (result.has_value()) {
      this->attempts.Remove(entry.sequence);
      read = this->CurrentLedger(result.value());
      return RoundOutcome::kConflict;
    }
    if (result.error().failure == platform::PlatformFailure::kUnavailable) {
      this->attempts.Remove(entry.sequence);
      return RoundOutcome::kStoreUnavailable;
    }
    // Whether the write took effect is decided by the entry's sequence number,
    // because the row contains only the last writer's operation id.
    this->Read();
    return this->attempts.CommittedSequence() == entry.sequence
               ? RoundOutcome::kCommitted
               : RoundOutcome::kUnknown;
  }

  // Returns the ledger in the response to a conflicting write, or reads it.
  LedgerRead CurrentLedger(const platform::TransactionResult& result) {
    for (const platform::TableRow& row : result.rows) {
      if (row.key == kLedgerKey) {
        return this->ApplyRow(row);
      }
    }
    return this->Read();
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

  void RecordLimits(const RoundView& view, const FleetLimits& limits) {
    this->exceeded.clear();
    this->known_limits.clear();
    for (const AccountLimit& limit : limits.accounts) {
      if (view.IsExceeded(limit.account)) {
        this->exceeded.insert(limit.account);
      }
      this->known_limits[limit.account] = limit.limit;
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
          !this->observer.HasExpiredShares(entry, now)) {
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
  // The last offer, to log changes.
  SharesByAccount offered;
  // Accounts whose limit was exceeded in the ledger of the last round.
  std::set<std::string> exceeded;
  // Limits of the last round.
  std::map<std::string, ShareAmount> known_limits;
  std::uint64_t sequence = 0;
  // True when the current round has waited for the entry program.
  bool has_waited = false;
  bool is_released = false;
  bool is_failing = false;
};

}  // namespace laburnumkeel::limits

#endif  // LABURNUMKEEL_LIMITS_LEDGER_ROUND_H_
