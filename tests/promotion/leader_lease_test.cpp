#include "laburnumkeel/promotion/leader_lease.h"

#include <cppunit/extensions/HelperMacros.h>

#include "laburnumkeel/model/store_version.h"

namespace laburnumkeel::promotion {
namespace {

using model::StoreVersion;
using std::chrono::milliseconds;

class LeaderLeaseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeaderLeaseTest);
  CPPUNIT_TEST(UnreadLeaseIsNotAcquired);
  CPPUNIT_TEST(HolderStopsBeforeARivalMayAcquire);
  CPPUNIT_TEST(OldReadingIsNoReasonToAcquire);
  CPPUNIT_TEST(RestartedRivalKnowsTheAgeOfTheRecord);
  CPPUNIT_TEST(RestartedHolderAcquiresAtOnce);
  CPPUNIT_TEST(ReleasedLeaseIsFree);
  CPPUNIT_TEST(StaleReadingDoesNotShortenTheWait);
  CPPUNIT_TEST(RivalsRecordEndsTheLease);
  CPPUNIT_TEST(RelinquishedLeaseIsNotHeld);
  CPPUNIT_TEST(RestoredRecordIsNoReasonToAcquire);
  CPPUNIT_TEST(RestoredRecordDoesNotEndTheLeaseOfItsSuccessor);
  CPPUNIT_TEST(FormerHolderWaitsInARestoredStore);
  CPPUNIT_TEST(RestoredRecordTellsNothingOfWhatWasGranted);
  CPPUNIT_TEST(RecordMissingInARestoredStoreIsWritten);
  CPPUNIT_TEST(TokenIsNotGivenOutAgainInARestoredStore);
  CPPUNIT_TEST(CallEndsBeforeARivalMayCall);
  CPPUNIT_TEST(CallMayStartWhenTwoRenewalsHaveFailed);
  CPPUNIT_TEST(SuccessorWaitsForCallsOfALeaseThatExpired);
  CPPUNIT_TEST(RestartedHolderWaitsForCallsOfItsPredecessor);
  CPPUNIT_TEST(SuccessorInARestoredStoreWaitsForCalls);
  CPPUNIT_TEST(SuccessorOfAReleasedLeaseCallsAtOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against two holders after a start during a store outage.
  void UnreadLeaseIsNotAcquired() {
    LeaderLease lease("b");
    CPPUNIT_ASSERT(!lease.MayAcquire(At(60'000)));
    lease.ObserveAbsent(1, At(60'000));
    CPPUNIT_ASSERT(lease.MayAcquire(At(60'000)));
  }

  // Guards against two VMs that rely on the leader lease at the same time. The
  // response to the holder's write may be slow, so the holder counts from when
  // it sent the write and the rival from when it observed the record. The
  // clocks drift by a twentieth.
  void HolderStopsBeforeARivalMayAcquire() {
    LeaderLease holder("a");
    LeaderLease rival("b");
    const LeaderRecord record{"a", "10.0.0.1:1", 1, 500, {}, {}};
    holder.OnWritten(record, 10, At(0));
    rival.Observe(record, 10, 500, At(0));
    for (int ms = 0; ms < 7000; ms += 10) {
      rival.Observe(record, 10, 500 + ms, At(ms));
      const bool held = holder.IsHeld(At(ms * 105 / 100));
      const bool acquirable = rival.MayAcquire(At(ms));
      CPPUNIT_ASSERT(!(held && acquirable));
    }
    CPPUNIT_ASSERT(rival.MayAcquire(At(7000)));
  }

  // Guards against writes by every VM whenever its last reading is too old
  // while the holder responds to them directly.
  void OldReadingIsNoReasonToAcquire() {
    LeaderLease rival("b");
    rival.Observe({"a", "10.0.0.1:1", 1, 500, {}, {}}, 10, 500, At(0));
    CPPUNIT_ASSERT(!rival.MayAcquire(At(30'000)));
  }

  // Guards against a stopping holder that goes on acting while a rival has
  // read its release: it learns that the store has it later than the rival.
  void RelinquishedLeaseIsNotHeld() {
    LeaderLease holder("a");
    LeaderLease rival("b");
    holder.OnWritten({"a", "10.0.0.1:1", 1, 500, {}, {}}, 10, At(0));
    holder.Relinquish();
    rival.Observe({"", "10.0.0.1:1", 1, 510, {}, {}}, 11, 520, At(20));
    CPPUNIT_ASSERT(rival.MayAcquire(At(20)));
    CPPUNIT_ASSERT(!holder.IsHeld(At(20)));
  }

  // Guards against a wait that starts over with each restart while no VM holds
  // the leader lease.
  void RestartedRivalKnowsTheAgeOfTheRecord() {
    LeaderLease rival("b");
    rival.Observe({"a", "10.0.0.1:1", 1, 10'000, {}, {}}, 10, 15'800, At(0));
    CPPUNIT_ASSERT(rival.MayAcquire(At(0)));
    LeaderLease early("c");
    early.Observe({"a", "10.0.0.1:1", 1, 10'000, {}, {}}, 10, 14'000, At(0));
    CPPUNIT_ASSERT(!early.MayAcquire(At(0)));
    early.Observe({"a", "10.0.0.1:1", 1, 10'000, {}, {}}, 10, 15'000, At(1000));
    CPPUNIT_ASSERT(!early.MayAcquire(At(1690)));
    CPPUNIT_ASSERT(early.MayAcquire(At(1700)));
  }

  void RestartedHolderAcquiresAtOnce() {
    LeaderLease lease("a");
    lease.Observe({"a", "10.0.0.1:1", 1, 500, {}, {}}, 10, 600, At(0));
    CPPUNIT_ASSERT(!lease.IsHeld(At(0)));
    CPPUNIT_ASSERT(lease.MayAcquire(At(0)));
  }

  void ReleasedLeaseIsFree() {
    LeaderLease lease("b");
    lease.Observe({"", "", 1, 500, {}, {}}, 10, 600, At(0));
    CPPUNIT_ASSERT(lease.MayAcquire(At(0)));
  }

  // Guards against treating the lease as expired because an old row is read
  // after a newer one.
  void StaleReadingDoesNotShortenTheWait() {
    LeaderLease rival("b");
    rival.Observe({"a", "10.0.0.1:1", 1, 10'000, {}, {}}, 20, 10'000, At(0));
    rival.Observe({"a", "10.0.0.1:1", 1, 1'000, {}, {}}, 10, 10'100, At(100));
    CPPUNIT_ASSERT(!rival.MayAcquire(At(200)));
  }

  void RivalsRecordEndsTheLease() {
    LeaderLease holder("a");
    holder.OnWritten({"a", "10.0.0.1:1", 1, 0, {}, {}}, 10, At(0));
    holder.Observe({"b", "10.0.0.2:1", 2, 0, {}, {}}, 11, 0, At(10));
    CPPUNIT_ASSERT(!holder.IsHeld(At(11)));
  }

  // Guards against two leaders: the restored record looks long expired, while
  // the renewals that the copy lacks are still relied on.
  void RestoredRecordIsNoReasonToAcquire() {
    LeaderLease holder("a");
    LeaderLease rival("b");
    const LeaderRecord record{"a", "10.0.0.1:1", 3, 20'000, {}, {}, 1};
    holder.OnWritten(record, StoreVersion(1, 50), At(0));
    rival.Observe(record, StoreVersion(1, 50), 20'000, At(0));
    const LeaderRecord restored{"a", "10.0.0.1:1", 3, 11'000, {}, {}, 1};
    for (int ms = 2000; ms < 7700; ms += 100) {
      rival.Observe(restored, StoreVersion(2, 41), 20'000 + ms, At(ms));
      CPPUNIT_ASSERT(!(holder.IsHeld(At(ms)) && rival.MayAcquire(At(ms))));
    }
    CPPUNIT_ASSERT(rival.MayAcquire(At(7700)));
  }

  void RestoredRecordDoesNotEndTheLeaseOfItsSuccessor() {
    LeaderLease holder("b");
    holder.OnWritten({"b", "10.0.0.2:1", 4, 20'000, {}, {}, 1},
                     StoreVersion(1, 50), At(0));
    holder.Observe({"a", "10.0.0.1:1", 3, 11'000, {}, {}, 1},
                   StoreVersion(2, 41), 22'000, At(2000));
    CPPUNIT_ASSERT(holder.IsHeld(At(2000)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, holder.Record()->token);
    CPPUNIT_ASSERT_EQUAL(StoreVersion(2, 41), holder.Version());
  }

  // Guards against a VM that takes itself for the holder because the copy lacks
  // its successor.
  void FormerHolderWaitsInARestoredStore() {
    for (const char* holder : {"a", ""}) {
      LeaderLease lease("a");
      const LeaderRecord restored{holder, "10.0.0.1:1", 3, 11'000, {}, {}, 1};
      lease.Observe(restored, StoreVersion(2, 41), 22'000, At(0));
      CPPUNIT_ASSERT(!lease.MayAcquire(At(0)));
      lease.Observe(restored, StoreVersion(2, 41), 27'700, At(5700));
      CPPUNIT_ASSERT(lease.MayAcquire(At(5700)));
    }
  }

  // Guards against limits that are granted twice: since the copy, or since this
  // VM last read the record, VMs got shares and withheld operations were used.
  void RestoredRecordTellsNothingOfWhatWasGranted() {
    const LeaderRecord record{"a",         "10.0.0.1:1",     3, 11'000,
                              {"vm-idle"}, {{"account", 5}}, 1};
    LeaderLease started("b");
    started.Observe(record, StoreVersion(2, 41), 22'000, At(0));
    LeaderLease running("b");
    running.Observe(record, StoreVersion(1, 40), 11'000, At(0));
    running.Observe(record, StoreVersion(2, 40), 22'000, At(11'000));
    LeaderLease missing("b");
    missing.Observe(record, StoreVersion(1, 40), 11'000, At(0));
    missing.ObserveAbsent(StoreVersion(2, 3), At(11'000));
    for (const LeaderLease* lease : {&started, &running, &missing}) {
      CPPUNIT_ASSERT(lease->Record()->inactive_vms.empty());
      CPPUNIT_ASSERT(lease->Record()->withheld_operations.empty());
    }
    LeaderLease holder("a");
    holder.OnWritten(record, StoreVersion(1, 50), At(0));
    holder.Observe(record, StoreVersion(2, 41), 22'000, At(2000));
    CPPUNIT_ASSERT(!holder.Record()->withheld_operations.empty());
  }

  // Guards against a lease that nobody can acquire, as every write expects a
  // row that is gone.
  void RecordMissingInARestoredStoreIsWritten() {
    LeaderLease lease("b");
    lease.Observe({"a", "10.0.0.1:1", 3, 20'000, {}, {}, 1},
                  StoreVersion(1, 50), 20'000, At(0));
    lease.ObserveAbsent(StoreVersion(2, 3), At(100));
    CPPUNIT_ASSERT_EQUAL(StoreVersion(2, 0), lease.Version());
    lease.ObserveAbsent(StoreVersion(2, 4), At(5700));
    CPPUNIT_ASSERT(!lease.MayAcquire(At(5700)));
    CPPUNIT_ASSERT(lease.MayAcquire(At(5800)));
  }

  // Guards against two holders with one fencing token.
  void TokenIsNotGivenOutAgainInARestoredStore() {
    LeaderLease lost("a");
    const std::uint64_t first = lost.NextToken(1);
    lost.OnWritten({"a", "10.0.0.1:1", first, 0, {}, {}, 1},
                   StoreVersion(1, 50), At(0));
    CPPUNIT_ASSERT_EQUAL(first + 1, lost.NextToken(1));
    // A VM that has not read the lost record.
    LeaderLease lease("b");
    CPPUNIT_ASSERT(lease.NextToken(2) > lost.NextToken(1));
  }

  // Guards against a call that is still on its way when a rival acquires the
  // lease. The holder's clock is slower by a tenth.
  void CallEndsBeforeARivalMayCall() {
    LeaderLease holder("a");
    LeaderLease rival("b");
    const LeaderRecord record{"a", "10.0.0.1:1", 1, 500, {}, {}};
    holder.OnWritten(record, 10, At(0));
    rival.Observe(record, 10, 500, At(0));
    milliseconds last_start{0};
    milliseconds acquirable{0};
    for (int ms = 0; acquirable == milliseconds(0); ms += 10) {
      rival.Observe(record, 10, 500 + ms, At(ms));
      if (holder.MayCall(At(ms * 10 / 11))) {
        last_start = milliseconds(ms);
      }
      if (rival.MayAcquire(At(ms))) {
        acquirable = milliseconds(ms);
      }
    }
    const milliseconds last_end =
        last_start + LeaderLease::kCallTimeout * 11 / 10;
    CPPUNIT_ASSERT(last_start > milliseconds(0));
    CPPUNIT_ASSERT(last_end + LeaderLease::kCallMargin <= acquirable);
    rival.OnWritten({"b", "10.0.0.2:1", 2, 0, {}, {}}, 11, At(0) + acquirable);
    // The platform has this time to execute what it has received.
    const auto executed = At(0) + last_end + milliseconds(2500);
    CPPUNIT_ASSERT(!rival.MayCall(executed));
  }

  // Guards against bounds of calls that leave no time to make one while the
  // store does not respond.
  void CallMayStartWhenTwoRenewalsHaveFailed() {
    LeaderLease holder("a");
    holder.OnWritten({"a", "10.0.0.1:1", 1, 500, {}, {}}, 10, At(0));
    CPPUNIT_ASSERT(holder.MayCall(At(0) + LeaderLease::kRenewalPeriod * 3));
    CPPUNIT_ASSERT(!holder.MayCall(At(0) + LeaderLease::kLifetime -
                                   LeaderLease::kCallTimeout));
  }

  // Guards against a call that the platform has received and executes after
  // that of the successor.
  void SuccessorWaitsForCallsOfALeaseThatExpired() {
    LeaderLease lease("b");
    lease.Observe({"a", "10.0.0.1:1", 1, 500, {}, {}}, 10, 500, At(0));
    AssertWaits(lease, Acquisition::kExpired);
  }

  void RestartedHolderWaitsForCallsOfItsPredecessor() {
    LeaderLease lease("b");
    lease.Observe({"b", "10.0.0.1:1", 1, 500, {}, {}}, 10, 500, At(0));
    AssertWaits(lease, Acquisition::kOwn);
  }

  void SuccessorInARestoredStoreWaitsForCalls() {
    LeaderLease lease("b");
    lease.Observe({"", "10.0.0.1:1", 1, 500, {}, {}, 1}, StoreVersion(2, 10),
                  500, At(0));
    AssertWaits(lease, Acquisition::kExpired);
  }

  void SuccessorOfAReleasedLeaseCallsAtOnce() {
    LeaderLease lease("b");
    lease.Observe({"", "10.0.0.1:1", 1, 500, {}, {}}, 10, 500, At(0));
    Acquire(lease, At(6000));
    CPPUNIT_ASSERT(lease.AcquiredBy() == Acquisition::kReleased);
    CPPUNIT_ASSERT(lease.MayCall(At(6000)));
  }

 private:
  static void Acquire(LeaderLease& lease, kernel::Instant now) {
    lease.OnWritten({"b", "10.0.0.1:1", 2, 6500, {}, {}, 2},
                    StoreVersion(2, 20), now);
  }

  // A renewal does not shorten the wait.
  static void AssertWaits(LeaderLease& lease, Acquisition acquisition) {
    Acquire(lease, At(6000));
    CPPUNIT_ASSERT(lease.AcquiredBy() == acquisition);
    CPPUNIT_ASSERT(!lease.MayCall(At(6000)));
    Acquire(lease, At(7000));
    const auto settled = At(6000) + LeaderLease::kCallSettleTime;
    CPPUNIT_ASSERT(!lease.MayCall(settled - milliseconds(1)));
    CPPUNIT_ASSERT(lease.MayCall(settled));
  }

  static kernel::Instant At(int ms) {
    return kernel::Instant(std::chrono::hours(1) + milliseconds(ms));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaderLeaseTest);

}  // namespace
}  // namespace laburnumkeel::promotion
