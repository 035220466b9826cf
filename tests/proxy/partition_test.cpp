#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "programs/laburnumkeel-proxy/fleet_rows.h"
#include "tests/support/failover_manager_fixture.h"

namespace laburnumkeel::proxy {
namespace {

// Endpoints are behind a network partition: they go on, and neither the store
// nor the leader reaches them.
class PartitionTest : public testing::FailoverManagerFixture {
  CPPUNIT_TEST_SUITE(PartitionTest);
  CPPUNIT_TEST(EndpointsBehindACutAreNotTakenForGone);
  CPPUNIT_TEST(ReplicaThatReturnsEndsTheWait);
  CPPUNIT_TEST(ReplicaThatLeftAsAnnouncedIsNotWaitedFor);
  CPPUNIT_TEST(ReplicaLostTogetherWithThePrimaryIsWaitedForAnHour);
  CPPUNIT_TEST(LeaderThatStartsLaterKnowsTheMembers);
  CPPUNIT_TEST(MembersThatLeftAreForgotten);
  CPPUNIT_TEST(ClosedConnectionIsNoSignOfThePrimary);
  CPPUNIT_TEST(LossIsPublishedBeforeThePromotion);
  CPPUNIT_TEST(LossIsNotPublishedWhileAReplicaReceives);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against lost commits: the primary and the other replica acknowledge
  // them behind the cut, while the only endpoint in reach is promoted.
  void EndpointsBehindACutAreNotTakenForGone() {
    this->StartService();
    this->Cut({"p", "q"});
    this->Run(milliseconds(30000));
    CPPUNIT_ASSERT(!this->context->endpoints.contains("q"));
    CPPUNIT_ASSERT(this->promotion_calls.empty());
  }

  // Guards against a change that does not end when the cut heals. The primary
  // crashed behind it.
  void ReplicaThatReturnsEndsTheWait() {
    this->StartService();
    this->Cut({"p", "q"});
    this->Run(milliseconds(15000));
    this->members["q"].received = "1.9";
    this->databases["q"]->SetSilent(false);
    this->PutEndpoint("q");
    this->Run(milliseconds(3000));
    CPPUNIT_ASSERT(!this->promotion_calls.empty());
    CPPUNIT_ASSERT_EQUAL(std::string("q"), this->promotion_calls.front());
  }

  // Guards against a service without a primary because of a replica that was
  // replaced according to plan right before the primary crashed.
  void ReplicaThatLeftAsAnnouncedIsNotWaitedFor() {
    this->StartService();
    this->PutEndpoint("q", "draining");
    this->Run(milliseconds(7500));
    this->Cut({"q"});
    this->databases["p"]->SetSilent(true);
    this->Run(milliseconds(6000));
    CPPUNIT_ASSERT(!this->promotion_calls.empty());
    CPPUNIT_ASSERT_EQUAL(std::string("r"), this->promotion_calls.front());
  }

  // Guards against endpoints that are forgotten while their region is cut off.
  void ReplicaLostTogetherWithThePrimaryIsWaitedForAnHour() {
    this->StartService();
    this->Cut({"p", "q"});
    this->Run(milliseconds(10000));
    for (int minute = 0; minute < 60; ++minute) {
      this->context->clock.Advance(std::chrono::minutes(1));
      this->Run(milliseconds(500));
    }
    for (int step = 0; step < 10 && !this->leadership->IsLeader(); ++step) {
      this->BecomeLeader();
    }
    this->Run(milliseconds(15000));
    CPPUNIT_ASSERT(this->context->unregistered_endpoints.contains("q"));
    CPPUNIT_ASSERT(this->promotion_calls.empty());
  }

  // Guards against lost commits: the leader's process restarts when the
  // registrations behind the cut have expired.
  void LeaderThatStartsLaterKnowsTheMembers() {
    this->StartService();
    this->Cut({"p", "q"});
    this->Run(milliseconds(5000));
    this->StartProcess();
    this->BecomeLeader();
    this->Run(milliseconds(15000));
    CPPUNIT_ASSERT(!this->context->endpoints.contains("q"));
    CPPUNIT_ASSERT(this->promotion_calls.empty());
  }

  // Guards against a later leader that waits for endpoints which have left.
  void MembersThatLeftAreForgotten() {
    this->StartService();
    this->Cut({"q"});
    this->Run(milliseconds(6000));
    this->StartProcess();
    this->BecomeLeader();
    this->databases["p"]->SetSilent(true);
    this->Run(milliseconds(7000));
    CPPUNIT_ASSERT(!this->promotion_calls.empty());
    CPPUNIT_ASSERT_EQUAL(std::string("r"), this->promotion_calls.front());
  }

  // Guards against taking a replica behind the cut for one that the primary has
  // lost as well, because a connection to the primary is closed on the way.
  void ClosedConnectionIsNoSignOfThePrimary() {
    this->StartService();
    this->Cut({"p", "q"});
    this->Run(milliseconds(8000));
    this->databases["p"]->RefuseStartups("OVERLOAD full");
    this->databases["p"]->SetSilent(false);
    this->Run(milliseconds(8000));
    CPPUNIT_ASSERT(this->promotion_calls.empty());
  }

  // Guards against VMs that pass on commits of the former primary, which it
  // makes with a replica that restarts or joins while the promotion is under
  // way.
  void LossIsPublishedBeforeThePromotion() {
    this->StartService();
    this->databases["p"]->SetSilent(true);
    milliseconds lost_for{0};
    for (int step = 0; step < 60 && this->promotion_calls.empty(); ++step) {
      this->Run(milliseconds(100));
      lost_for += milliseconds(this->PublishedRecord()->is_lost ? 100 : 0);
    }
    CPPUNIT_ASSERT(!this->promotion_calls.empty());
    CPPUNIT_ASSERT(lost_for >= milliseconds(600));
    this->members["q"].is_primary = true;
    this->members["q"].term = 2;
    this->Run(milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(std::string("q"), this->PublishedPrimary());
    CPPUNIT_ASSERT(!this->PublishedRecord()->is_lost);
  }

  // Guards against commits that are withheld although the primary is only out
  // of the leader's reach and nothing has been paused.
  void LossIsNotPublishedWhileAReplicaReceives() {
    this->StartService();
    this->databases["p"]->SetSilent(true);
    this->databases["q"]->SetSilent(true);
    for (int step = 0; step < 60; ++step) {
      this->Run(milliseconds(100));
      CPPUNIT_ASSERT(!this->PublishedRecord()->is_lost);
    }
  }

 private:
  // Their registrations have expired when the leader reads them next.
  void Cut(const std::vector<std::string>& ids) {
    for (const std::string& id : ids) {
      this->store->Remove("servers", id);
      this->databases[id]->SetSilent(true);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PartitionTest);

}  // namespace
}  // namespace laburnumkeel::proxy
