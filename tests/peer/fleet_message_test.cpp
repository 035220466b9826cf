#include "laburnumkeel/peer/fleet_message.h"

#include <cppunit/extensions/HelperMacros.h>

namespace laburnumkeel::peer {
namespace {

class FleetMessageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetMessageTest);
  CPPUNIT_TEST(ReportSurvivesEncoding);
  CPPUNIT_TEST(ResponseSurvivesEncoding);
  CPPUNIT_TEST(TruncatedBytesAreRefused);
  CPPUNIT_TEST(OneKindIsNotTakenForTheOther);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReportSurvivesEncoding() {
    FleetReport report{"vm-1", 7, 9, {}};
    report.accounts["x"] = {1.25, {0.1, 3}, 2};
    report.is_partial = true;
    report.committed["s"] = {3, 1207};
    report.loads["i-1"] = {2.5, 130, 1500};
    report.delegates_revision = 4097;
    report.can_delegate = true;
    report.data_centre = "north";
    report.usage = {{{"vm-1", 5}, 353445120, {{"x", 412}, {"y", 1}}},
                    {{"vm-2", 6}, 353445119, {{"x", 7}}}};
    report.unix_ms = 1767225600000;
    report.incarnation = 5;
    report.usage_settled = 353445118;
    CPPUNIT_ASSERT(DecodeReport(Encode(report)) == report);
  }

  // Guards against a field that one side writes and the other does not read.
  void ResponseSurvivesEncoding() {
    CPPUNIT_ASSERT(DecodeResponse(Encode(Sample())) == Sample());
  }

  // Guards against decoding a read lease or a share from truncated bytes.
  void TruncatedBytesAreRefused() {
    const std::string bytes = Encode(Sample());
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      CPPUNIT_ASSERT(!DecodeResponse(std::string_view(bytes).substr(0, size)));
    }
  }

  void OneKindIsNotTakenForTheOther() {
    CPPUNIT_ASSERT(!DecodeReport(Encode(Sample())));
    CPPUNIT_ASSERT(!DecodeResponse(Encode(FleetReport{"vm", 1, 0, {}})));
  }

 private:
  static FleetResponse Sample() {
    FleetResponse response;
    response.sequence = 3;
    response.token = 12;
    response.primaries_version = 99;
    response.primaries = {{"s", "i-1", 4, true, 98}};
    response.primaries[0].is_lost = true;
    response.primaries[0].committed = {3, 7};
    response.positions["s"] = {{4, 1200}, std::chrono::microseconds(1500)};
    response.accounts["x"] = {{1.5, 2.5}, 3, true};
    response.operator_rows = {50, std::chrono::microseconds(10)};
    response.endpoint_rows = {60, std::chrono::microseconds(20)};
    response.vm_count = 8;
    response.unix_ms = 1767225600001;
    response.usage_settled = 353445119;
    response.lags["i-2"] = std::chrono::milliseconds(900);
    response.delays["i-3"] = {std::chrono::milliseconds(120),
                              std::chrono::milliseconds(7)};
    response.delegates_revision = 4098;
    response.delegates = {4098,
                          true,
                          {{"vm-1", {"127.0.0.1:1", "north"}}},
                          {{"vm-2", {"127.0.0.1:2", "south"}}},
                          {"vm-3"}};
    return response;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetMessageTest);

}  // namespace
}  // namespace laburnumkeel::peer
