#include "laburnumkeel/promotion/failure_detector.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

#include "tests/support/group_view_builder.h"
#include "tests/support/manual_clock.h"

namespace laburnumkeel::promotion {
namespace {

using model::EndpointRole;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::StatusOf;
using Detector = FailureDetector<testing::ManualClock>;

class FailureDetectorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FailureDetectorTest);
  CPPUNIT_TEST(UnresponsivePrimaryIsDueByRank);
  CPPUNIT_TEST(TheLastOfManyWatchersIsDueInTime);
  CPPUNIT_TEST(SupersededPrimaryIsNotAlive);
  CPPUNIT_TEST(WaitsForAnotherPromotion);
  CPPUNIT_TEST(BacksOffAfterALostRace);
  CPPUNIT_TEST(OwnSuspensionIsNotATimeout);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against all watchers promoting at the same time, and against a
  // failover gap above the specified times.
  void UnresponsivePrimaryIsDueByRank() {
    Detector third(this->clock, 2, 1);
    this->ObservePrimary(this->detector, 4);
    this->ObservePrimary(third, 4);
    CPPUNIT_ASSERT(this->TimeUntilDue(this->detector) == milliseconds(3000));
    this->ObservePrimary(third, 4);
    CPPUNIT_ASSERT(this->TimeUntilDue(third) == milliseconds(4000));
    CPPUNIT_ASSERT_EQUAL(model::Term{4}, third.HighestTerm());
    CPPUNIT_ASSERT_EQUAL(std::string("a"), third.Primary());
  }

  // Guards against a failover of more than 14 s in a fleet of 7 data centres
  // with 21 watchers, all but the last of which failed with the primary.
  void TheLastOfManyWatchersIsDueInTime() {
    Detector last(this->clock, 20, 1);
    this->ObservePrimary(last, 4);
    CPPUNIT_ASSERT(this->TimeUntilDue(last) == milliseconds(7000));
  }

  // Guards against a group in which no write is acknowledged any more because a
  // promoter failed after it sealed one member.
  void SupersededPrimaryIsNotAlive() {
    this->ObservePrimary(this->detector, 4);
    this->detector.ObserveTerm(5);
    int steps = 0;
    while (!this->detector.IsDue() && steps < 100) {
      this->ObservePrimary(this->detector, 4);
      this->clock.Advance(milliseconds(100));
      ++steps;
    }
    CPPUNIT_ASSERT_EQUAL(30, steps);
  }

  // Guards against a second promotion while the first one is in progress.
  void WaitsForAnotherPromotion() {
    this->ObservePrimary(this->detector, 4);
    this->TimeUntilDue(this->detector);
    this->detector.ObserveTerm(5);
    CPPUNIT_ASSERT(this->TimeUntilDue(this->detector) == milliseconds(1000));
    this->detector.ObserveTerm(5);
    CPPUNIT_ASSERT(this->detector.IsDue());
    this->ObservePrimary(this->detector, 5);
    CPPUNIT_ASSERT(!this->detector.IsDue());
  }

  // Guards against two promoters that repeatedly seal some of the members each,
  // and against 3 s of additional failover time after an attempt with timeouts.
  void BacksOffAfterALostRace() {
    std::set<milliseconds> delays;
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
      Detector loser(this->clock, 0, seed);
      this->TimeUntilDue(loser);
      this->clock.Advance(seconds(2));
      loser.OnFailedPromotion(0);
      const milliseconds delay = this->TimeUntilDue(loser);
      CPPUNIT_ASSERT(delay >= milliseconds(200) && delay <= milliseconds(800));
      delays.insert(delay);
    }
    CPPUNIT_ASSERT(delays.size() > 5);
  }

  // Guards against a watcher that was suspended and replaces a healthy primary
  // as soon as it resumes.
  void OwnSuspensionIsNotATimeout() {
    this->ObservePrimary(this->detector, 4);
    this->detector.IsDue();
    this->clock.Advance(seconds(60));
    CPPUNIT_ASSERT(!this->detector.IsDue());
    CPPUNIT_ASSERT(this->TimeUntilDue(this->detector) == milliseconds(3000));
  }

 private:
  static void ObservePrimary(Detector& detector, model::Term term) {
    detector.Observe(StatusOf("a", EndpointRole::kPrimary, {{term, 0}}, 1));
  }

  milliseconds TimeUntilDue(Detector& detector) {
    milliseconds waited(0);
    while (!detector.IsDue() && waited < seconds(60)) {
      this->clock.Advance(milliseconds(10));
      waited += milliseconds(10);
    }
    return waited;
  }

  testing::ManualClock clock;
  Detector detector{this->clock, 0, 1};
};

CPPUNIT_TEST_SUITE_REGISTRATION(FailureDetectorTest);

}  // namespace
}  // namespace laburnumkeel::promotion
