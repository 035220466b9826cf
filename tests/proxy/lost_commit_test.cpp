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

  // Nobody returns with the commits. A change of primary has to be over within
  // 14 s.
  void ServiceIsNotWithoutAPrimaryForEver() {
    this->StartService();
    this->Leave("q");
    this->pool->ObserveCommitted({1, 8});
    this->databases["p"]->SetSilent(true);
    this->Run(milliseconds(14000));
    CPPUNIT_ASSERT(!this->promotion_calls.empty());
  }

 private:
  void StartService() {
    this->store->Put(std::string(kFleetTable), "primary/s",
                     {{"endpoint", "p"}, {"term", 1}, {"changing", false}});
    this->BecomeLeader();
    this->Run(milliseconds(3500));
  }

  void Leave(const std::string& id) {
    this->store->Remove("servers", id);
    this->databases[id]->SetSilent(true);
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
