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
  CPPUNIT_TEST(StoreReadProvesForFourSeconds);
  CPPUNIT_TEST(ProofAgeCountsFromRequest);
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
  // Leaves the VM synchronised, with an expired proof.
  void setUp() override {
    this->HoldVersion(1);
    this->freshness.OnStoreResponse(this->clock.Now(), 1);
    this->AdvanceWithoutPause(seconds(10));
  }

  // Guards against a proof that is valid for too long or too short a time.
  void StoreReadProvesForFourSeconds() {
    this->Expect(FreshnessReason::kCutOff);
    this->freshness.OnStoreResponse(this->clock.Now(), 1);
    this->AdvanceWithoutPause(seconds(4));
    this->Expect(FreshnessReason::kProven);
    this->clock.Advance(milliseconds(1));
    this->Expect(FreshnessReason::kCutOff);
  }

  // Guards against a proof that appears newer after a pause or a slow response
  // of the store.
  void ProofAgeCountsFromRequest() {
    const kernel::Instant sent = this->clock.Now();
    this->clock.Advance(seconds(5));
    this->freshness.OnStoreResponse(sent, 1);
    this->Expect(FreshnessReason::kCutOff);
  }

  // Guards against a proof whose age decreases when a peer passes it on.
  void PeerProofKeepsItsAge() {
    this->ReceiveResponse("dc2", 1, seconds(3));
    this->Expect(FreshnessReason::kProven);
    this->clock.Advance(milliseconds(1001));
    const FreshnessDecision decision = this->freshness.Decide();
    CPPUNIT_ASSERT(decision.reason != FreshnessReason::kProven);
    CPPUNIT_ASSERT(decision.proof_age == kernel::Duration(milliseconds(4001)));
  }

  // Guards against a proof for a version that this VM does not hold yet.
  void ProofOfNewerVersionWaitsUntilItIsHeld() {
    this->ReceiveResponse("dc2", 2, seconds(0));
    this->Expect(FreshnessReason::kNewerVersionKnown);
    this->HoldVersion(2);
    this->Expect(FreshnessReason::kProven);
  }

  // Guards against refusing requests in a store outage, and against serving
  // them without contact with a majority.
  void StoreOutageNeedsMajorityContact() {
    this->Expect(FreshnessReason::kCutOff);
    this->ReceiveResponse("dc2", 1, std::nullopt);
    this->Expect(FreshnessReason::kStoreOutage);
    this->AdvanceWithoutPause(milliseconds(4001));
    this->Expect(FreshnessReason::kCutOff);
  }

  // Guards against serving with a version that is known to be superseded.
  void NewerVersionEndsStoreOutageRule() {
    this->ReceiveResponse("dc2", 1, std::nullopt);
    this->freshness.OnVersionAnnounced(2);
    this->Expect(FreshnessReason::kNewerVersionKnown);
  }

  // Guards against mistaking a network partition from the store for a store
  // outage.
  void StoreReachedElsewhereEndsStoreOutageRule() {
    this->freshness.OnPeerResponse(
        this->clock.Now(),
        PeerEvidence{"vm",
                     "dc2",
                     1,
                     std::nullopt,
                     {DataCentreContact{"dc3", seconds(1), true}}});
    this->Expect(FreshnessReason::kProofTooOld);
    this->AdvanceWithoutPause(milliseconds(3001));
    this->Expect(FreshnessReason::kStoreOutage);
  }

  // Guards against a time limit that starts at the wrong moment.
  void IsolatedTimeGrowsAndServiceLimitCounts() {
    model::Service service = testing::SampleConfiguration().services[0];
    service.isolated_serving_seconds = 30;
    this->freshness.OnStoreResponse(this->clock.Now(), 1);
    this->clock.Advance(seconds(33));
    const FreshnessDecision decision = this->freshness.Decide();
    CPPUNIT_ASSERT(decision.isolated == kernel::Duration(seconds(29)));
    CPPUNIT_ASSERT(MayServeKeyedRequests(decision, service));
    this->clock.Advance(seconds(1));
    CPPUNIT_ASSERT(!MayServeKeyedRequests(this->freshness.Decide(), service));
    CPPUNIT_ASSERT(!MayServeKeyedRequests(FreshnessDecision{}, service));
  }

  // Guards against a VM that missed a change during a pause and, together with
  // another VM that missed it, confirms an old version as the newest.
  void PauseEndsSynchronisation() {
    this->clock.Advance(seconds(3));
    this->ReceiveResponse("dc2", 1, std::nullopt);
    this->Expect(FreshnessReason::kNotSynchronised);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                         this->freshness.Announce("vm").version);
    // The response of another VM that is not synchronised.
    this->ReceiveResponse("dc1", 0, std::nullopt);
    this->Expect(FreshnessReason::kNotSynchronised);
    this->ReceiveResponse("dc1", 1, std::nullopt);
    this->Expect(FreshnessReason::kStoreOutage);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         this->freshness.Announce("vm").version);
  }

  // Guards against reporting a change as accepted when only a minority holds
  // it.
  void MajorityHoldsVersion() {
    const auto data_centres = testing::SampleConfiguration().data_centres;
    this->HoldVersion(2);
    this->ReceiveResponse("dc2", 1, std::nullopt);
    CPPUNIT_ASSERT(!this->freshness.IsHeldByMajority(2, data_centres));
    this->ReceiveResponse("dc3", 2, std::nullopt, "vm5");
    this->ReceiveResponse("dc3", 1, std::nullopt, "vm6");
    CPPUNIT_ASSERT(!this->freshness.IsHeldByMajority(2, data_centres));
    this->ReceiveResponse("dc3", 2, std::nullopt, "vm6");
    CPPUNIT_ASSERT(this->freshness.IsHeldByMajority(2, data_centres));
  }

 private:
  void HoldVersion(std::uint64_t version) {
    model::Configuration configuration = testing::SampleConfiguration();
    configuration.version = version;
    this->freshness.OnConfigurationHeld(configuration);
  }

  // Advances the time with regular calls, so that no pause is detected.
  void AdvanceWithoutPause(kernel::Duration time) {
    for (; time > seconds(1); time -= seconds(1)) {
      this->clock.Advance(seconds(1));
      this->freshness.Decide();
    }
    this->clock.Advance(time);
  }

  void ReceiveResponse(const std::string& data_centre, std::uint64_t version,
                       std::optional<kernel::Duration> proof_age,
                       const std::string& vm = "vm") {
    this->freshness.OnPeerResponse(
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
