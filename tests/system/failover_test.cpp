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
  // write that is executed twice, an error that reports `not_run` for an
  // executed write, and a failover that takes 14 s or more.
  void AKilledPrimaryIsReplacedWithoutLosingWrites() {
    FleetFixture fixture(standin::PolishingLedger(21));
    CPPUNIT_ASSERT(fixture.Fleet().Start());
    this->FailOver(fixture, [&fixture](int primary) {
      fixture.Fleet().Endpoint(0, primary).Kill();
    });
    CPPUNIT_ASSERT_EQUAL(0, StopFleet(fixture));
  }

  // Guards against acknowledged writes of a former primary that resumes after
  // its replacement.
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

  // Guards against writes or promotions that depend on the platform's store.
  void WritesAndFailoverContinueWithoutTheStore() {
    FleetFixture fixture(standin::PolishingLedger(23));
    CPPUNIT_ASSERT(fixture.Fleet().Start());
    CPPUNIT_ASSERT(fixture.Fleet().SetPlatformFault(R"({"mode":"down"})"));
    // Dynamic shares expire after 8 s; reserve shares serve these callers.
    std::this_thread::sleep_for(seconds(9));
    this->FailOver(fixture, [&fixture](int primary) {
      fixture.Fleet().Endpoint(0, primary).Kill();
    });
  }

 private:
  template <class InjectFault>
  void FailOver(FleetFixture& fixture, InjectFault inject_fault) {
    CountingWriter writer(fixture, standin::GroupName(0), kCallers);
    std::this_thread::sleep_for(seconds(2));
    const int primary = fixture.Fleet().FindPrimary(0);
    CPPUNIT_ASSERT(primary >= 0);
    inject_fault(primary);
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

  // Checks that each counter includes every addition reported as `done`, none
  // twice, and none reported as `not_run`.
  void CheckCounters(FleetFixture& fixture, const CountingWriter& writer) {
    for (std::size_t caller = 0; caller < kCallers; ++caller) {
      const CountingWriter::Tally& tally = writer.Tallies()[caller];
      // Adding 0 returns the counter's value after all earlier writes.
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

  static int StopFleet(FleetFixture& fixture) { return fixture.Fleet().Stop(); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FailoverTest);

}  // namespace
}  // namespace laburnumkeel::testing
