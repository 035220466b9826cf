#include "laburnumkeel/configuration/freshness.h"

#include <cppunit/extensions/HelperMacros.h>

#include "tests/support/manual_clock.h"
#include "tests/support/sample_configuration.h"

namespace laburnumkeel::configuration {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class FreshnessTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FreshnessTest);
  CPPUNIT_TEST(OwnReadProvesForFourSeconds);
  CPPUNIT_TEST(SlowAnswerCountsFromItsSending);
  CPPUNIT_TEST(PeerProofKeepsItsAge);
  CPPUNIT_TEST(ProofOfNewerVersionWaitsUntilItIsHeld);
  CPPUNIT_TEST(StoreOutageNeedsMajorityContact);
  CPPUNIT_TEST(NewerVersionEndsStoreOutageRule);
  CPPUNIT_TEST(StoreReachedElsewhereEndsStoreOutageRule);
  CPPUNIT_TEST(IsolatedTimeGrowsAndServiceLimitCounts);
  CPPUNIT_TEST(PauseEndsSynchronisation);
  CPPUNIT_TEST(MajorityHoldsVersion);
  CPPUNIT_TEST_SUITE_END();

 public:
  // The proof of the start is over, and the VM is synchronised.
  void setUp() override {
    this->Hold(1);
    this->freshness.StoreAnswered(this->clock.Now(), 1);
    this->Pass(seconds(10));
  }

  // Guards against a proof that lives too long or too short.
  void OwnReadProvesForFourSeconds() {
    this->Expect(FreshnessReason::kCutOff);
    this->freshness.StoreAnswered(this->clock.Now(), 1);
    this->Pass(seconds(4));
    this->Expect(FreshnessReason::kProven);
    this->clock.Advance(milliseconds(1));
    this->Expect(FreshnessReason::kCutOff);
  }

  // Guards against a pause or a slow store that makes a proof look new.
  void SlowAnswerCountsFromItsSending() {
    const kernel::Instant sent = this->clock.Now();
    this->clock.Advance(seconds(5));
    this->freshness.StoreAnswered(sent, 1);
    this->Expect(FreshnessReason::kCutOff);
  }

  // Guards against a proof that gets younger from peer to peer.
  void PeerProofKeepsItsAge() {
    this->AnswerOf("dc2", 1, seconds(3));
    this->Expect(FreshnessReason::kProven);
    this->clock.Advance(milliseconds(1001));
    const FreshnessDecision decision = this->freshness.Decide();
    CPPUNIT_ASSERT(decision.reason != FreshnessReason::kProven);
    CPPUNIT_ASSERT(decision.proof_age == kernel::Duration(milliseconds(4001)));
  }

  // Guards against a proof for a version that this VM does not have.
  void ProofOfNewerVersionWaitsUntilItIsHeld() {
    this->AnswerOf("dc2", 2, seconds(0));
    this->Expect(FreshnessReason::kNewerVersionKnown);
    this->Hold(2);
    this->Expect(FreshnessReason::kProven);
  }

  // Guards against refusals in a store outage, and against serving without a
  // majority.
  void StoreOutageNeedsMajorityContact() {
    this->Expect(FreshnessReason::kCutOff);
    this->AnswerOf("dc2", 1, std::nullopt);
    this->Expect(FreshnessReason::kStoreOutage);
    this->Pass(milliseconds(4001));
    this->Expect(FreshnessReason::kCutOff);
  }

  // Guards against serving with a version that is known to be replaced.
  void NewerVersionEndsStoreOutageRule() {
    this->AnswerOf("dc2", 1, std::nullopt);
    this->freshness.VersionAnnounced(2);
    this->Expect(FreshnessReason::kNewerVersionKnown);
  }

  // Guards against a cut towards the store that is taken for its outage.
  void StoreReachedElsewhereEndsStoreOutageRule() {
    this->freshness.PeerAnswered(
        this->clock.Now(),
        PeerEvidence{"vm",
                     "dc2",
                     1,
                     std::nullopt,
                     {DataCentreContact{"dc3", seconds(1), true}}});
    this->Expect(FreshnessReason::kProofTooOld);
    this->Pass(milliseconds(3001));
    this->Expect(FreshnessReason::kStoreOutage);
  }

  // Guards against a limit that counts from the wrong moment.
  void IsolatedTimeGrowsAndServiceLimitCounts() {
    model::Service service = testing::SampleConfiguration().services[0];
    service.isolated_serving_seconds = 30;
    this->freshness.StoreAnswered(this->clock.Now(), 1);
    this->clock.Advance(seconds(33));
    const FreshnessDecision decision = this->freshness.Decide();
    CPPUNIT_ASSERT(decision.isolated == kernel::Duration(seconds(29)));
    CPPUNIT_ASSERT(MayServeKeyedRequests(decision, service));
    this->clock.Advance(seconds(1));
    CPPUNIT_ASSERT(!MayServeKeyedRequests(this->freshness.Decide(), service));
    CPPUNIT_ASSERT(!MayServeKeyedRequests(FreshnessDecision{}, service));
  }

  // Guards against a VM that missed a change in a pause and vouches for the
  // newest version together with another one that missed it.
  void PauseEndsSynchronisation() {
    this->clock.Advance(seconds(3));
    this->AnswerOf("dc2", 1, std::nullopt);
    this->Expect(FreshnessReason::kNotSynchronised);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                         this->freshness.Announce("vm").version);
    // The answer of a VM that is not synchronised either.
    this->AnswerOf("dc1", 0, std::nullopt);
    this->Expect(FreshnessReason::kNotSynchronised);
    this->AnswerOf("dc1", 1, std::nullopt);
    this->Expect(FreshnessReason::kStoreOutage);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         this->freshness.Announce("vm").version);
  }

  // Guards against an acceptance that only a minority knows of.
  void MajorityHoldsVersion() {
    const auto data_centres = testing::SampleConfiguration().data_centres;
    this->Hold(2);
    this->AnswerOf("dc2", 1, std::nullopt);
    CPPUNIT_ASSERT(!this->freshness.IsHeldByMajority(2, data_centres));
    this->AnswerOf("dc3", 2, std::nullopt, "vm5");
    this->AnswerOf("dc3", 1, std::nullopt, "vm6");
    CPPUNIT_ASSERT(!this->freshness.IsHeldByMajority(2, data_centres));
    this->AnswerOf("dc3", 2, std::nullopt, "vm6");
    CPPUNIT_ASSERT(this->freshness.IsHeldByMajority(2, data_centres));
  }

 private:
  void Hold(std::uint64_t version) {
    model::Configuration configuration = testing::SampleConfiguration();
    configuration.version = version;
    this->freshness.ConfigurationHeld(configuration);
  }

  // Lets time go by in a process that is not paused.
  void Pass(kernel::Duration time) {
    for (; time > seconds(1); time -= seconds(1)) {
      this->clock.Advance(seconds(1));
      this->freshness.Decide();
    }
    this->clock.Advance(time);
  }

  void AnswerOf(const std::string& data_centre, std::uint64_t version,
                std::optional<kernel::Duration> proof_age,
                const std::string& vm = "vm") {
    this->freshness.PeerAnswered(
        this->clock.Now(),
        PeerEvidence{vm, data_centre, version, proof_age, {}});
  }

  void Expect(FreshnessReason reason) {
    const FreshnessDecision decision = this->freshness.Decide();
    CPPUNIT_ASSERT_EQUAL(std::string(ToString(reason)),
                         std::string(ToString(decision.reason)));
    CPPUNIT_ASSERT_EQUAL(reason == FreshnessReason::kProven ||
                             reason == FreshnessReason::kStoreOutage,
                         decision.fresh);
  }

  testing::ManualClock clock;
  Freshness<testing::ManualClock> freshness{this->clock, "dc1"};
};

CPPUNIT_TEST_SUITE_REGISTRATION(FreshnessTest);

}  // namespace
}  // namespace laburnumkeel::configuration
