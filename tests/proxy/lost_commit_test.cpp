#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "programs/laburnumkeel-proxy/fleet_rows.h"
#include "tests/support/failover_manager_fixture.h"

namespace laburnumkeel::proxy {
namespace {

// The primary crashes, and the only replica left has not received all commits.
// Guards against promoting it while the crashed primary may return.
class LostCommitTest : public testing::FailoverManagerFixture {
  CPPUNIT_TEST_SUITE(LostCommitTest);
  CPPUNIT_TEST(CommitsOfAReplicaThatLeftAreWaitedFor);
  CPPUNIT_TEST(CommitsThatClientsKnowAreWaitedFor);
  CPPUNIT_TEST(PrimaryThatMayHoldThemIsWaitedForWithoutEnd);
  CPPUNIT_TEST(PromotionByTheOperatorEndsTheWait);
  CPPUNIT_TEST(CommitsFromBeforeTheLastPromotionCount);
  CPPUNIT_TEST(ServiceIsNotWithoutAPrimaryForEver);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Load pattern: a replica drains and leaves while the other one receives
  // nothing.
  void CommitsOfAReplicaThatLeftAreWaitedFor() {
    this->StartService();
    this->members["p"].received = "1.9";
    this->members["q"].received = "1.9";
    this->Run(milliseconds(1000));
    this->Leave("q");
    this->databases["p"]->SetSilent(true);
    this->Run(milliseconds(6000));
    CPPUNIT_ASSERT(this->members["r"].paused_term > 0);
    CPPUNIT_ASSERT(this->promotion_calls.empty());
    this->RestartPrimary();
    this->Run(milliseconds(3000));
    CPPUNIT_ASSERT_EQUAL(std::string("t"), this->PublishedPrimary());
    CPPUNIT_ASSERT(this->promotion_calls.empty());
  }

  // The replica that acknowledged the commits left before the leader learned of
  // them, but clients of this or another VM have the responses.
  void CommitsThatClientsKnowAreWaitedFor() {
    this->StartService();
    this->Leave("q");
    this->pool->ObserveCommitted({1, 8});
    this->databases["p"]->SetSilent(true);
    this->Run(milliseconds(6000));
    CPPUNIT_ASSERT(this->promotion_calls.empty());
    this->RestartPrimary();
    this->Run(milliseconds(3000));
    CPPUNIT_ASSERT_EQUAL(std::string("t"), this->PublishedPrimary());
  }

  // The primary has not crashed but is out of reach, alone with the commits.
  // Guards against giving them up after some time.
  void PrimaryThatMayHoldThemIsWaitedForWithoutEnd() {
    this->LoseAllButOneReplica();
    this->Run(milliseconds(30000));
    CPPUNIT_ASSERT(this->promotion_calls.empty());
    this->store->Remove("servers", "p");
    this->Run(milliseconds(30000));
    CPPUNIT_ASSERT(this->promotion_calls.empty());
  }

  // Guards against a service without a primary after operators gave the commits
  // up and had the platform promote the replica.
  void PromotionByTheOperatorEndsTheWait() {
    this->LoseAllButOneReplica();
    this->Run(milliseconds(15000));
    this->members["r"].is_primary = true;
    this->members["r"].term = 2;
    this->members["r"].paused_term = 0;
    this->Run(milliseconds(1000));
    CPPUNIT_ASSERT_EQUAL(std::string("r"), this->PublishedPrimary());
    CPPUNIT_ASSERT(!this->PublishedRecord()->is_changing);
  }

  // A replica was cut off from the former primary and has not followed the new
  // one either when that is lost. Guards against promoting its old log, also by
  // a leader that starts later.
  void CommitsFromBeforeTheLastPromotionCount() {
    this->StartService();
    this->members["p"].received = "1.9";
    this->members["q"].received = "1.9";
    this->Run(milliseconds(1000));
    this->databases["p"]->SetSilent(true);
    for (int step = 0; step < 60 && this->promotion_calls.empty(); ++step) {
      this->Run(milliseconds(100));
    }
    CPPUNIT_ASSERT_EQUAL(std::string("q"), this->promotion_calls.at(0));
    this->members["q"].is_primary = true;
    this->members["q"].term = 2;
    this->store->Remove("servers", "p");
    this->Run(milliseconds(7000));
    CPPUNIT_ASSERT_EQUAL(std::string("q"), this->PublishedPrimary());
    this->promotion_calls.clear();
    this->databases["q"]->SetSilent(true);
    this->Run(milliseconds(15000));
    CPPUNIT_ASSERT(this->members["r"].paused_term > 0);
    CPPUNIT_ASSERT(this->promotion_calls.empty());
    this->StartProcess();
    this->BecomeLeader();
    this->Run(milliseconds(15000));
    CPPUNIT_ASSERT(this->promotion_calls.empty());
  }

  // Nobody returns with the commits: their holders left as announced. A change
  // of primary has to be over within 14 s.
  void ServiceIsNotWithoutAPrimaryForEver() {
    this->StartService();
    this->members["p"].received = "1.9";
    this->Leave("q");
    this->pool->ObserveCommitted({1, 8});
    this->Leave("p");
    this->Run(milliseconds(14000));
    CPPUNIT_ASSERT(!this->promotion_calls.empty());
    CPPUNIT_ASSERT_EQUAL(std::string("r"), this->promotion_calls.front());
  }

 private:
  // The endpoint announces its departure, drains and leaves.
  void Leave(const std::string& id) {
    this->PutEndpoint(id, "draining");
    this->Run(milliseconds(7500));
    this->store->Remove("servers", id);
    this->databases[id]->SetSilent(true);
  }

  // The replica that is left lacks commits, which only the primary holds.
  void LoseAllButOneReplica() {
    this->StartService();
    this->Leave("q");
    this->pool->ObserveCommitted({1, 8});
    this->databases["p"]->SetSilent(true);
  }

  // The crashed primary is back under another id, with its log.
  void RestartPrimary() {
    this->members["t"] = this->members["p"];
    this->members["t"].received = "1.9";
    this->AddEndpoint("t");
    this->store->Remove("servers", "p");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LostCommitTest);

}  // namespace
}  // namespace laburnumkeel::proxy
