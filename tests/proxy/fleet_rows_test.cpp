#include "programs/laburnumkeel-proxy/fleet_rows.h"

#include <cppunit/extensions/HelperMacros.h>

namespace laburnumkeel::proxy {
namespace {

class FleetRowsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetRowsTest);
  CPPUNIT_TEST(LeaderIsReadAsWritten);
  CPPUNIT_TEST(LeaderOfAnOlderVersionWithholdsNothing);
  CPPUNIT_TEST(UnreadableLeaderIsNone);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a successor that starts without what was withheld for it.
  void LeaderIsReadAsWritten() {
    const promotion::LeaderRecord record{"vm-1",   "127.0.0.1:1",   7, 1234,
                                         {"vm-2"}, {{"account", 5}}};
    CPPUNIT_ASSERT(DecodeLeader(EncodeLeader(record)) == record);
  }

  // Guards against refusing the row of a holder that runs the version before.
  void LeaderOfAnOlderVersionWithholdsNothing() {
    const auto record =
        DecodeLeader(R"({"holder":"vm-1","address":"127.0.0.1:1","token":7})");
    CPPUNIT_ASSERT(record && record->withheld_operations.empty());
  }

  void UnreadableLeaderIsNone() {
    CPPUNIT_ASSERT(!DecodeLeader("{"));
    CPPUNIT_ASSERT(!DecodeLeader(R"({"holder":1})"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetRowsTest);

}  // namespace
}  // namespace laburnumkeel::proxy
