#include "laburnumkeel/peer/fleet_message.h"

#include <cppunit/extensions/HelperMacros.h>

namespace laburnumkeel::peer {
namespace {

class FleetMessageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetMessageTest);
  CPPUNIT_TEST(ReportSurvivesEncoding);
  CPPUNIT_TEST(AnswerSurvivesEncoding);
  CPPUNIT_TEST(TruncatedBytesAreRefused);
  CPPUNIT_TEST(OneKindIsNotTakenForTheOther);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReportSurvivesEncoding() {
    FleetReport report{"vm-1", 7, 9, {}};
    report.accounts["x"] = {1.25, {0.1, 3}, 2};
    report.is_partial = true;
    CPPUNIT_ASSERT(DecodeReport(Encode(report)) == report);
  }

  // Guards against a field that one side writes and the other does not read.
  void AnswerSurvivesEncoding() {
    CPPUNIT_ASSERT(DecodeAnswer(Encode(Sample())) == Sample());
  }

  // Guards against decoding a read lease or a share from truncated bytes.
  void TruncatedBytesAreRefused() {
    const std::string bytes = Encode(Sample());
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      CPPUNIT_ASSERT(!DecodeAnswer(std::string_view(bytes).substr(0, size)));
    }
  }

  void OneKindIsNotTakenForTheOther() {
    CPPUNIT_ASSERT(!DecodeReport(Encode(Sample())));
    CPPUNIT_ASSERT(!DecodeAnswer(Encode(FleetReport{"vm", 1, 0, {}})));
  }

 private:
  static FleetAnswer Sample() {
    FleetAnswer answer;
    answer.sequence = 3;
    answer.token = 12;
    answer.primaries_version = 99;
    answer.primaries = {{"s", "i-1", 4, true, 98}};
    answer.positions["s"] = {{4, 1200}, std::chrono::microseconds(1500)};
    answer.accounts["x"] = {{1.5, 2.5}, 3, true};
    answer.operator_rows = {50, std::chrono::microseconds(10)};
    answer.endpoint_rows = {60, std::chrono::microseconds(20)};
    answer.vm_count = 8;
    answer.lags["i-2"] = std::chrono::milliseconds(900);
    return answer;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetMessageTest);

}  // namespace
}  // namespace laburnumkeel::peer
