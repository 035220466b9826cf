#include "programs/laburnumkeel-proxy/fleet_rows.h"

#include <cppunit/extensions/HelperMacros.h>

namespace laburnumkeel::proxy {
namespace {

class FleetRowsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetRowsTest);
  CPPUNIT_TEST(LeaderRecordRoundTrips);
  CPPUNIT_TEST(LeaderRecordOfOlderVersionWithholdsNothing);
  CPPUNIT_TEST(RejectsAnUnreadableLeaderRecord);
  CPPUNIT_TEST(MembersRoundTrip);
  CPPUNIT_TEST(RejectsUnreadableMembers);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a new leader that loses the operations withheld for it.
  void LeaderRecordRoundTrips() {
    const promotion::LeaderRecord record{
        "vm-1",
        "127.0.0.1:1",
        7,
        1234,
        {"vm-2"},
        {{"account", 5}},
        2,
        {4097, true, {{"vm-1", {"127.0.0.1:1", "north"}}}, {}, {"vm-2"}}};
    CPPUNIT_ASSERT(DecodeLeader(EncodeLeader(record)) == record);
  }

  // Guards against rejecting the row of a leader that runs the previous
  // version.
  void LeaderRecordOfOlderVersionWithholdsNothing() {
    const auto record =
        DecodeLeader(R"({"holder":"vm-1","address":"127.0.0.1:1","token":7})");
    CPPUNIT_ASSERT(record && record->withheld_operations.empty());
    // Delegates may act by a ring that it has dropped.
    CPPUNIT_ASSERT(!record->delegates.is_settled);
  }

  void RejectsAnUnreadableLeaderRecord() {
    CPPUNIT_ASSERT(!DecodeLeader("{"));
    CPPUNIT_ASSERT(!DecodeLeader(R"({"holder":1})"));
  }

  void MembersRoundTrip() {
    model::DatabaseEndpoint endpoint;
    endpoint.id = "p";
    endpoint.service = "s";
    endpoint.address = "127.0.0.1:1";
    endpoint.data_centre = "north";
    CPPUNIT_ASSERT(DecodeMembers("s", EncodeMembers({endpoint})) ==
                   std::vector{endpoint});
    CPPUNIT_ASSERT(DecodeMembers("s", EncodeMembers({}))->empty());
  }

  void RejectsUnreadableMembers() {
    CPPUNIT_ASSERT(!DecodeMembers("s", "["));
    CPPUNIT_ASSERT(!DecodeMembers("s", R"([["p","127.0.0.1:1"]])"));
    CPPUNIT_ASSERT(!DecodeMembers("s", R"(["p"])"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetRowsTest);

}  // namespace
}  // namespace laburnumkeel::proxy
