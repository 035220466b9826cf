#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "programs/laburnumkeel-proxy/fleet_rows.h"
#include "tests/support/failover_manager_fixture.h"

namespace laburnumkeel::proxy {
namespace {

// After a change of primary, a paused replica receives again: from the new
// primary `q`, and from the former one `p` if it does not reach `q`.
class ReplicaResumeTest : public testing::FailoverManagerFixture {
  CPPUNIT_TEST_SUITE(ReplicaResumeTest);
  CPPUNIT_TEST(ReplicaStaysPausedWhileTheFormerPrimaryMayGoOn);
  CPPUNIT_TEST(ReplicaThatReachesTheNewPrimaryIsResumedAtOnce);
  CPPUNIT_TEST(ReplicaIsResumedWhenTheFormerPrimaryIsGone);
  CPPUNIT_TEST(ReplicaThatHasJoinedTheTermIsResumed);
  CPPUNIT_TEST(NextLeaderResumesAReplica);
  CPPUNIT_TEST(PlannedChangeResumesAtOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    FailoverManagerFixture::setUp();
    // The leader is in neither endpoint's data centre, so that its own reach
    // does not show whether they reach each other.
    this->context->settings.data_centre = "other";
  }

  // Guards against writes that the former primary, out of the leader's reach,
  // commits with the resumed replica (ONE, LOST).
  void ReplicaStaysPausedWhileTheFormerPrimaryMayGoOn() {
    this->ReplacePrimary();
    this->Run(milliseconds(6000));
    CPPUNIT_ASSERT_EQUAL(0, this->databases["r"]->Count("RESUME"));
    this->databases["p"]->SetSilent(false);
    this->Run(milliseconds(3000));
    CPPUNIT_ASSERT(!this->members["p"].is_primary);
    CPPUNIT_ASSERT_EQUAL(0, this->members["r"].paused_term);
  }

  // Guards against a new primary that has no replica as long as the former one
  // is cut off.
  void ReplicaThatReachesTheNewPrimaryIsResumedAtOnce() {
    this->context->settings.data_centre = "dc";
    this->StartService();
    this->databases["p"]->SetSilent(true);
    this->RunUntilPromoted();
    this->Run(milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(std::string("q"), this->PublishedPrimary());
    CPPUNIT_ASSERT_EQUAL(0, this->members["r"].paused_term);
  }

  // Guards against a new primary without a replica that confirms its commits.
  void ReplicaIsResumedWhenTheFormerPrimaryIsGone() {
    this->ReplacePrimary();
    this->store->Remove("servers", "p");
    this->Run(milliseconds(6000));
    CPPUNIT_ASSERT_EQUAL(0, this->members["r"].paused_term);
  }

  void ReplicaThatHasJoinedTheTermIsResumed() {
    this->ReplacePrimary();
    this->members["r"].term = 2;
    this->Run(milliseconds(1500));
    CPPUNIT_ASSERT_EQUAL(0, this->members["r"].paused_term);
  }

  // Guards against a replica that stays paused because its leader was lost.
  void NextLeaderResumesAReplica() {
    this->ReplacePrimary();
    this->StartProcess();
    this->BecomeLeader();
    this->Run(milliseconds(2000));
    CPPUNIT_ASSERT_EQUAL(2, this->members["r"].paused_term);
    this->databases["p"]->SetSilent(false);
    this->Run(milliseconds(3000));
    CPPUNIT_ASSERT_EQUAL(0, this->members["r"].paused_term);
  }

  // Guards against writes that wait although the former primary has stepped
  // down.
  void PlannedChangeResumesAtOnce() {
    this->StartService();
    this->PutEndpoint("p", "draining");
    this->RunUntilPromoted();
    CPPUNIT_ASSERT(!this->members["p"].is_primary);
    this->members["r"].paused_term = 2;
    this->Run(milliseconds(600));
    CPPUNIT_ASSERT_EQUAL(std::string("q"), this->PublishedPrimary());
    CPPUNIT_ASSERT_EQUAL(0, this->members["r"].paused_term);
  }

 private:
  // The platform has carried out the promotion of `q`.
  void RunUntilPromoted() {
    for (int step = 0; step < 60 && this->promotion_calls.empty(); ++step) {
      this->Run(milliseconds(100));
    }
    CPPUNIT_ASSERT_EQUAL(std::string("q"), this->promotion_calls.at(0));
    this->members["q"].is_primary = true;
    this->members["q"].term = 2;
    this->members["q"].paused_term = 0;
  }

  // The leader does not reach `p`, which goes on.
  void ReplacePrimary() {
    this->StartService();
    this->databases["p"]->SetSilent(true);
    this->RunUntilPromoted();
    this->Run(milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(std::string("q"), this->PublishedPrimary());
    CPPUNIT_ASSERT(!this->PublishedRecord()->is_changing);
    CPPUNIT_ASSERT_EQUAL(2, this->members["r"].paused_term);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaResumeTest);

}  // namespace
}  // namespace laburnumkeel::proxy
