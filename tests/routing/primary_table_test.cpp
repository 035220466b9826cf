#include "laburnumkeel/routing/primary_table.h"

#include <cppunit/extensions/HelperMacros.h>

namespace laburnumkeel::routing {
namespace {

using std::chrono::milliseconds;

class PrimaryTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PrimaryTableTest);
  CPPUNIT_TEST(ReadLeaseExpires);
  CPPUNIT_TEST(AnnouncedChangeIsNotConfirmed);
  CPPUNIT_TEST(ReadLeaseFromBeforeTheAnnouncementStillHolds);
  CPPUNIT_TEST(NewPrimaryNeedsItsOwnReadLease);
  CPPUNIT_TEST(OlderRecordChangesNothing);
  CPPUNIT_TEST(LateConfirmationOfAnOlderVersionIsIgnored);
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

 private:
  static kernel::Instant At(int ms) {
    return kernel::Instant(std::chrono::hours(1) + milliseconds(ms));
  }

  PrimaryTable table;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PrimaryTableTest);

}  // namespace
}  // namespace laburnumkeel::routing
