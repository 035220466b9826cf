#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "programs/laburnumkeel-proxy/fleet_rows.h"
#include "tests/support/failover_manager_fixture.h"

namespace laburnumkeel::proxy {
namespace {

// Endpoints that say in their registration that they are the primary.
class PrimaryClaimTest : public testing::FailoverManagerFixture {
  CPPUNIT_TEST_SUITE(PrimaryClaimTest);
  CPPUNIT_TEST(FormerPrimaryBehindACutIsNotPublished);
  CPPUNIT_TEST(FormerPrimaryOfAnEarlierTermIsSteppedDown);
  CPPUNIT_TEST(SuccessorUnderAnotherIdIsPublishedAtOnce);
  CPPUNIT_TEST(SuccessorWithoutItsLogIsNotPublished);
  CPPUNIT_TEST(FirstPrimaryIsPublishedInItsTerm);
  CPPUNIT_TEST(FirstPrimaryIsTheOneOfTheHighestTerm);
  CPPUNIT_TEST(FirstPrimaryHasToReply);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against stale reads: `p` was replaced behind a cut from all other
  // endpoints and the leader, still reaches the store, and registers as the
  // primary when its successor is lost.
  void FormerPrimaryBehindACutIsNotPublished() {
    this->StartBehindACut();
    this->Lose("q");
    for (int step = 0; step < 100; ++step) {
      this->Run(milliseconds(100));
      CPPUNIT_ASSERT_EQUAL(std::string("q"), this->PublishedPrimary());
    }
    CPPUNIT_ASSERT(this->promotion_calls.empty());
  }

  // Guards against the same with a former primary that replies.
  void FormerPrimaryOfAnEarlierTermIsSteppedDown() {
    this->StartBehindACut();
    this->Lose("q");
    this->databases["p"]->SetSilent(false);
    for (int step = 0; step < 100 && this->promotion_calls.empty(); ++step) {
      this->Run(milliseconds(100));
      CPPUNIT_ASSERT_EQUAL(std::string("q"), this->PublishedPrimary());
    }
    CPPUNIT_ASSERT(!this->members["p"].is_primary);
    CPPUNIT_ASSERT_EQUAL(std::string("r"), this->promotion_calls.at(0));
  }

  // Guards against a slower return of a primary that restarts with its log.
  void SuccessorUnderAnotherIdIsPublishedAtOnce() {
    this->StartWithSuccessor();
    this->store->Remove("servers", "q");
    this->Run(milliseconds(2500));
    this->AddSuccessor("2.9");
    this->databases["q"]->SetSilent(true);
    int steps = 0;
    while (this->context->endpoints.contains("q")) {
      this->Run(milliseconds(100));
      CPPUNIT_ASSERT(++steps < 20);
    }
    this->Run(milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(std::string("t"), this->PublishedPrimary());
    CPPUNIT_ASSERT_EQUAL(model::Term{2}, this->PublishedRecord()->term);
    CPPUNIT_ASSERT(!this->PublishedRecord()->is_changing);
  }

  // Guards against lost commits of a primary that restarts without its log.
  void SuccessorWithoutItsLogIsNotPublished() {
    this->StartWithSuccessor();
    this->Lose("q");
    this->AddSuccessor("0.0");
    for (int step = 0; step < 100; ++step) {
      this->Run(milliseconds(100));
      CPPUNIT_ASSERT(this->PublishedPrimary() != "t");
    }
  }

  // Guards against a record whose term says nothing about its endpoint.
  void FirstPrimaryIsPublishedInItsTerm() {
    this->members["p"].term = 3;
    this->BecomeLeader();
    CPPUNIT_ASSERT_EQUAL(std::string("p"), this->PublishedPrimary());
    CPPUNIT_ASSERT_EQUAL(model::Term{3}, this->PublishedRecord()->term);
  }

  // Guards against a former primary that is published after a restored store
  // has lost the record of its successor.
  void FirstPrimaryIsTheOneOfTheHighestTerm() {
    this->SetSuccessor();
    this->BecomeLeader();
    CPPUNIT_ASSERT_EQUAL(std::string("q"), this->PublishedPrimary());
  }

  // Guards against the same while the successor does not reply, or the former
  // primary itself does not.
  void FirstPrimaryHasToReply() {
    this->SetSuccessor();
    this->databases["q"]->SetSilent(true);
    this->BecomeLeader();
    this->Run(milliseconds(3000));
    CPPUNIT_ASSERT_EQUAL(std::string(), this->PublishedPrimary());
    this->databases["p"]->SetSilent(true);
    this->databases["q"]->SetSilent(false);
    this->Run(milliseconds(8000));
    CPPUNIT_ASSERT_EQUAL(std::string("q"), this->PublishedPrimary());
  }

 private:
  // `q` has replaced `p`, which does not know of it.
  void SetSuccessor() {
    for (const char* id : {"q", "r"}) {
      this->members[id].term = 2;
      this->members[id].received = "2.9";
    }
    this->members["q"].is_primary = true;
    this->PutEndpoint("q");
  }

  void StartWithSuccessor() {
    this->SetSuccessor();
    this->StartService("q", 2);
  }

  // The leader does not reach the former primary, which does not step down.
  void StartBehindACut() {
    this->databases["p"]->SetSilent(true);
    this->StartWithSuccessor();
    CPPUNIT_ASSERT(this->members["p"].is_primary);
  }

  void Lose(const std::string& id) {
    this->store->Remove("servers", id);
    this->databases[id]->SetSilent(true);
  }

  // The lost primary starts again under another id.
  void AddSuccessor(const std::string& received) {
    this->members["t"] = this->members["q"];
    this->members["t"].received = received;
    this->AddEndpoint("t");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PrimaryClaimTest);

}  // namespace
}  // namespace laburnumkeel::proxy
