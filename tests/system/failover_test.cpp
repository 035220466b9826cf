#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

#include "tests/system/counting_writer.h"

namespace laburnumkeel::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kCallers = 4;

class FailoverTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FailoverTest);
  CPPUNIT_TEST(AKilledPrimaryIsReplacedWithoutLosingWrites);
  CPPUNIT_TEST(AFrozenPrimaryThatReturnsAcknowledgesNothing);
  CPPUNIT_TEST(WritesAndFailoverContinueWithoutTheStore);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against acknowledged writes that are missing after a failover, a
  // write that ran twice, a refusal that claims `not_run` for one that ran, and
  // a failover of 14 s or more.
  void AKilledPrimaryIsReplacedWithoutLosingWrites() {
    FleetFixture fixture(standin::PolishingLedger(21));
    CPPUNIT_ASSERT(fixture.Fleet().Start());
    this->FailOver(fixture, [&fixture](int primary) {
      fixture.Fleet().Endpoint(0, primary).Kill();
    });
    CPPUNIT_ASSERT_EQUAL(0, StopVms(fixture));
  }

  // Guards against an old primary that runs again after its replacement: its
  // writes must not be acknowledged.
  void AFrozenPrimaryThatReturnsAcknowledgesNothing() {
    FleetFixture fixture(standin::PolishingLedger(22));
    CPPUNIT_ASSERT(fixture.Fleet().Start());
    int frozen = -1;
    this->FailOver(fixture, [&](int primary) {
      frozen = primary;
      fixture.Fleet().Endpoint(0, primary).Pause();
      std::this_thread::sleep_for(seconds(6));
      fixture.Fleet().Endpoint(0, primary).Resume();
    });
    CPPUNIT_ASSERT(fixture.Fleet().FindPrimary(0) != frozen);
  }

  // Guards against a write path or a promotion that needs the platform's store.
  void WritesAndFailoverContinueWithoutTheStore() {
    FleetFixture fixture(standin::PolishingLedger(23));
    CPPUNIT_ASSERT(fixture.Fleet().Start());
    CPPUNIT_ASSERT(fixture.Fleet().SetPlatformFault(R"({"mode":"down"})"));
    // Dynamic shares expire after 8 s; the reserve serves these callers.
    std::this_thread::sleep_for(seconds(9));
    this->FailOver(fixture, [&fixture](int primary) {
      fixture.Fleet().Endpoint(0, primary).Kill();
    });
  }

 private:
  template <class Disturb>
  void FailOver(FleetFixture& fixture, Disturb disturb) {
    CountingWriter writer(fixture, standin::GroupName(0), kCallers);
    std::this_thread::sleep_for(seconds(2));
    const int primary = fixture.Fleet().FindPrimary(0);
    CPPUNIT_ASSERT(primary >= 0);
    disturb(primary);
    CPPUNIT_ASSERT(Eventually(seconds(14), [&] {
      const int next = fixture.Fleet().FindPrimary(0);
      return next >= 0 && next != primary;
    }));
    std::this_thread::sleep_for(seconds(3));
    writer.Stop();
    const CountingWriter::Tally total = writer.Total();
    std::cout << "failover: " << total.done << " done, " << total.not_run
              << " not run, " << total.unknown << " unknown, longest gap "
              << writer.LongestGap().count() << " ms\n";
    for (const auto& [code, count] : total.codes) {
      std::cout << "  " << code << ' ' << count << '\n';
    }
    CPPUNIT_ASSERT(total.done > 0);
    CPPUNIT_ASSERT(writer.LongestGap() < seconds(14));
    this->CheckCounters(fixture, writer);
  }

  // Each addition that was `done` is in the counter, none ran twice, and none
  // of those that were `not_run` is in it.
  void CheckCounters(FleetFixture& fixture, const CountingWriter& writer) {
    for (std::size_t caller = 0; caller < kCallers; ++caller) {
      const CountingWriter::Tally& tally = writer.Tallies()[caller];
      // Reads after a write of the same session see all earlier writes.
      const standin::FleetResponse response =
          this->WriteUntilDone(fixture, caller);
      const int value = std::stoi(Field(response.body, "/result"));
      CPPUNIT_ASSERT(value >= tally.done);
      CPPUNIT_ASSERT(value <= tally.done + tally.unknown);
    }
  }

  standin::FleetResponse WriteUntilDone(FleetFixture& fixture,
                                        std::size_t caller) {
    standin::FleetResponse response;
    CPPUNIT_ASSERT(Eventually(seconds(10), [&] {
      response =
          fixture.Write(static_cast<int>(caller), standin::GroupName(0),
                        "ADD " + CountingWriter::CounterName(caller) + " 0");
      return response.status == 200;
    }));
    return response;
  }

  static int StopVms(FleetFixture& fixture) { return fixture.Fleet().Stop(); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FailoverTest);

}  // namespace
}  // namespace laburnumkeel::testing
