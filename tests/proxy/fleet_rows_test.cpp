#include "programs/laburnumkeel-proxy/fleet_rows.h"

#include <cppunit/extensions/HelperMacros.h>

namespace laburnumkeel::proxy {
namespace {

class FleetRowsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetRowsTest);
  CPPUNIT_TEST(DutyIsReadAsWritten);
  CPPUNIT_TEST(DutyOfAnOlderVersionKeepsNothing);
  CPPUNIT_TEST(UnreadableDutyIsNone);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a successor that starts without what was kept for it.
  void DutyIsReadAsWritten() {
    const promotion::DutyRecord record{"vm-1", "127.0.0.1:1", 7,
                                       1234,   {"vm-2"},      {{"account", 5}}};
    CPPUNIT_ASSERT(DecodeDuty(EncodeDuty(record)) == record);
  }

  // Guards against refusing the row of a holder that runs the version before.
  void DutyOfAnOlderVersionKeepsNothing() {
    const auto record =
        DecodeDuty(R"({"holder":"vm-1","address":"127.0.0.1:1","token":7})");
    CPPUNIT_ASSERT(record && record->kept_operations.empty());
  }

  void UnreadableDutyIsNone() {
    CPPUNIT_ASSERT(!DecodeDuty("{"));
    CPPUNIT_ASSERT(!DecodeDuty(R"({"holder":1})"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetRowsTest);

}  // namespace
}  // namespace laburnumkeel::proxy
