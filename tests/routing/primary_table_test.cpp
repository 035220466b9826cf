#include "laburnumkeel/routing/primary_table.h"

#include <cppunit/extensions/HelperMacros.h>

#include "laburnumkeel/model/store_version.h"

namespace laburnumkeel::routing {
namespace {

using model::StoreVersion;
using std::chrono::milliseconds;

class PrimaryTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PrimaryTableTest);
  CPPUNIT_TEST(ReadLeaseExpires);
  CPPUNIT_TEST(AnnouncedChangeIsNotConfirmed);
  CPPUNIT_TEST(ReadLeaseFromBeforeTheAnnouncementStillHolds);
  CPPUNIT_TEST(NewPrimaryNeedsItsOwnReadLease);
  CPPUNIT_TEST(OlderRecordChangesNothing);
  CPPUNIT_TEST(LateConfirmationOfAnOlderVersionIsIgnored);
  CPPUNIT_TEST(RestoredRecordDoesNotReplaceALaterOne);
  CPPUNIT_TEST(RestoredRecordGetsNoReadLease);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a partitioned VM that continues to read from a former
  // primary.
  void ReadLeaseExpires() {
    this->table.Adopt({"s", "a", 1, false, 1});
    CPPUNIT_ASSERT(!this->table.HasReadLease("s", At(0)));
    this->table.ConfirmAll(1, At(0));
    CPPUNIT_ASSERT(this->table.HasReadLease("s", At(1499)));
    CPPUNIT_ASSERT(!this->table.HasReadLease("s", At(1500)));
  }

  // Guards against read leases that are still valid when the promoter has
  // waited for them to expire.
  void AnnouncedChangeIsNotConfirmed() {
    this->table.Adopt({"s", "a", 1, false, 1});
    this->table.ConfirmAll(1, At(0));
    this->table.Adopt({"s", "a", 1, true, 2});
    this->table.ConfirmAll(2, At(1000));
    CPPUNIT_ASSERT(!this->table.HasReadLease("s", At(1500)));
  }

  // Guards against interrupting reads while the old primary is still the
  // primary.
  void ReadLeaseFromBeforeTheAnnouncementStillHolds() {
    this->table.Adopt({"s", "a", 1, false, 1});
    this->table.ConfirmAll(1, At(0));
    this->table.Adopt({"s", "a", 1, true, 2});
    CPPUNIT_ASSERT(this->table.HasReadLease("s", At(1400)));
  }

  void NewPrimaryNeedsItsOwnReadLease() {
    this->table.Adopt({"s", "a", 1, false, 1});
    this->table.ConfirmAll(1, At(0));
    this->table.Adopt({"s", "b", 2, false, 3});
    CPPUNIT_ASSERT(!this->table.HasReadLease("s", At(1)));
    this->table.ConfirmAll(3, At(5));
    CPPUNIT_ASSERT(this->table.HasReadLease("s", At(6)));
  }

  // Guards against a stale read from the store that reinstates a former
  // primary.
  void OlderRecordChangesNothing() {
    this->table.Adopt({"s", "b", 2, false, 3});
    CPPUNIT_ASSERT(!this->table.Adopt({"s", "a", 1, false, 1}));
    CPPUNIT_ASSERT_EQUAL(std::string("b"), this->table.Find("s")->endpoint_id);
  }

  // Guards against a response that arrives after a newer publication.
  void LateConfirmationOfAnOlderVersionIsIgnored() {
    this->table.Adopt({"s", "b", 2, false, 3});
    this->table.ConfirmAll(2, At(0));
    this->table.Confirm("s", 2, At(0));
    CPPUNIT_ASSERT(!this->table.HasReadLease("s", At(1)));
  }

  // Guards against reads from a former primary, and during an announced change,
  // that the copy does not know of.
  void RestoredRecordDoesNotReplaceALaterOne() {
    this->table.Adopt({"s", "b", 2, true, StoreVersion(1, 50), 1});
    CPPUNIT_ASSERT(
        !this->table.Adopt({"s", "a", 1, false, StoreVersion(2, 41), 1}));
    CPPUNIT_ASSERT(
        !this->table.Adopt({"s", "b", 2, false, StoreVersion(2, 42), 1}));
    CPPUNIT_ASSERT(this->table.Find("s")->is_changing);
    CPPUNIT_ASSERT(
        this->table.Adopt({"s", "b", 2, false, StoreVersion(2, 43), 2}));
  }

  // Guards against reads from the primary of the copy while its successor
  // acknowledges commits.
  void RestoredRecordGetsNoReadLease() {
    this->table.Adopt({"s", "a", 1, false, StoreVersion(2, 41), 1});
    this->table.ConfirmAll(StoreVersion(2, 41), At(0));
    this->table.Confirm("s", StoreVersion(2, 41), At(0));
    CPPUNIT_ASSERT(!this->table.HasReadLease("s", At(1)));
    this->table.Adopt({"s", "a", 1, false, StoreVersion(2, 43), 2});
    this->table.ConfirmAll(StoreVersion(2, 43), At(2));
    CPPUNIT_ASSERT(this->table.HasReadLease("s", At(3)));
  }

 private:
  static kernel::Instant At(int ms) {
    return kernel::Instant(std::chrono::hours(1) + milliseconds(ms));
  }

  PrimaryTable table;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PrimaryTableTest);

}  // namespace
}  // namespace laburnumkeel::routing
