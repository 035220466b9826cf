#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "programs/laburnumkeel-proxy/fleet_rows.h"
#include "tests/support/failover_manager_fixture.h"

namespace laburnumkeel::proxy {
namespace {

// Endpoints are cut off from the store, so that their registrations expire.
// They go on, and all VMs reach them.
class UnregisteredEndpointTest : public testing::FailoverManagerFixture {
  CPPUNIT_TEST_SUITE(UnregisteredEndpointTest);
  CPPUNIT_TEST(PrimaryThatRespondsStepsDownFirst);
  CPPUNIT_TEST(ReplicaThatRespondsIsPausedAndCompared);
  CPPUNIT_TEST(ReplicaThatIsGoneDelaysNothing);
  CPPUNIT_TEST(PrimaryStaysWithoutAnAlternative);
  CPPUNIT_TEST(SuccessorAtTheSameAddressReplacesIt);
  CPPUNIT_TEST(SuccessorMayRegisterBeforeItsPredecessorIsRemoved);
  CPPUNIT_TEST(ReplacedEndpointIsNotWaitedFor);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against commits that the primary acknowledges with an unregistered
  // replica, while the only registered one is paused and promoted.
  void PrimaryThatRespondsStepsDownFirst() {
    this->StartService();
    this->store->Remove("servers", "p");
    this->store->Remove("servers", "q");
    this->members["p"].received = "1.9";
    this->members["q"].received = "1.9";
    this->Run(milliseconds(9000));
    CPPUNIT_ASSERT(this->databases["r"]->Count("PAUSE") == 0);
    CPPUNIT_ASSERT(this->members["p"].is_primary);
    CPPUNIT_ASSERT(this->promotion_calls.empty());
    this->members["r"].received = "1.9";
    this->Run(milliseconds(2000));
    CPPUNIT_ASSERT(!this->members["p"].is_primary);
    this->AssertOnlyPromoted("r");
  }

  // Guards against a promotion of the registered replica, which lacks commits
  // that the other one has. The primary is lost.
  void ReplicaThatRespondsIsPausedAndCompared() {
    this->StartService();
    this->store->Remove("servers", "r");
    this->Run(milliseconds(4500));
    CPPUNIT_ASSERT(!this->context->endpoints.contains("r"));
    this->members["r"].received = "1.9";
    this->databases["p"]->SetSilent(true);
    this->Run(milliseconds(6000));
    CPPUNIT_ASSERT(this->members["r"].paused_term > 0);
    this->AssertOnlyPromoted("r");
  }

  void ReplicaThatIsGoneDelaysNothing() {
    this->StartService();
    this->store->Remove("servers", "r");
    this->databases["r"]->SetSilent(true);
    this->Run(milliseconds(4500));
    this->databases["p"]->SetSilent(true);
    this->Run(milliseconds(6000));
    this->AssertOnlyPromoted("q");
  }

  // Guards against a primary that steps down with nobody to take over.
  void PrimaryStaysWithoutAnAlternative() {
    this->StartService();
    for (const char* id : {"p", "q", "r"}) {
      this->store->Remove("servers", id);
    }
    this->Run(milliseconds(8000));
    CPPUNIT_ASSERT(this->members["p"].is_primary);
    CPPUNIT_ASSERT(!this->PublishedRecord()->is_changing);
  }

  // Guards against queries to the former id of an endpoint, without end.
  void SuccessorAtTheSameAddressReplacesIt() {
    this->StartService();
    this->store->Remove("servers", "r");
    this->Run(milliseconds(4500));
    CPPUNIT_ASSERT(this->context->unregistered_endpoints.contains("r"));
    this->store->Put("servers", "u",
                     testing::EndpointEntry(this->databases["r"]->Address()));
    this->Run(milliseconds(1500));
    CPPUNIT_ASSERT(this->context->unregistered_endpoints.empty());
  }

  // Guards against the same when the registration of the predecessor expires
  // later.
  void SuccessorMayRegisterBeforeItsPredecessorIsRemoved() {
    this->StartService();
    this->ReplaceReplica();
    this->store->Remove("servers", "r");
    this->Run(milliseconds(4500));
    CPPUNIT_ASSERT(!this->context->endpoints.contains("r"));
    CPPUNIT_ASSERT(this->context->unregistered_endpoints.empty());
  }

  // Load pattern: a replica is lost, a database of another service starts at
  // its address, and then the primary crashes. Guards against a change that
  // waits for the registration of the replica to expire.
  void ReplacedEndpointIsNotWaitedFor() {
    this->StartService();
    this->databases["r"]->SetSilent(true);
    this->ReplaceReplica();
    this->databases["p"]->SetSilent(true);
    this->Run(milliseconds(4000));
    this->AssertOnlyPromoted("q");
  }

 private:
  // Another endpoint starts at the address of `r`.
  void ReplaceReplica() {
    nlohmann::json entry =
        testing::EndpointEntry(this->databases["r"]->Address());
    entry["service"] = "other";
    entry["born"] = 5000;
    this->store->Put("servers", "u", entry);
    this->Run(milliseconds(1500));
  }

  void AssertOnlyPromoted(const std::string& id) {
    CPPUNIT_ASSERT(!this->promotion_calls.empty());
    for (const std::string& promoted : this->promotion_calls) {
      CPPUNIT_ASSERT_EQUAL(id, promoted);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UnregisteredEndpointTest);

}  // namespace
}  // namespace laburnumkeel::proxy
