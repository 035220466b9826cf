#include "laburnumkeel/routing/read_router.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

#include "tests/support/group_view_builder.h"
#include "tests/support/manual_clock.h"

namespace laburnumkeel::routing {
namespace {

using model::EndpointRole;
using model::LogPosition;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::StatusOf;

class ReadRouterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReadRouterTest);
  CPPUNIT_TEST(PrefersTheOwnDataCentre);
  CPPUNIT_TEST(SpreadsOverEqualReplicas);
  CPPUNIT_TEST(StalenessIncludesTheAgeOfTheMeasurement);
  CPPUNIT_TEST(SessionNeedsContainedAndAppliedPosition);
  CPPUNIT_TEST(TriesOneProbableReplica);
  CPPUNIT_TEST(LostPositionIsAnError);
  CPPUNIT_TEST(ViewBehindTheSessionIsNotALoss);
  CPPUNIT_TEST(FormerPrimaryAndDivergedReplicaServeNoReads);
  CPPUNIT_TEST(UnresponsiveReplicaComesLast);
  CPPUNIT_TEST(ConfirmedPrimaryUsesNoReplica);
  CPPUNIT_TEST(IsolatedPrimaryNeedsConfirmation);
  CPPUNIT_TEST(EndpointOutOfServiceGetsNoReads);
  CPPUNIT_TEST(ChecksTheResponse);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against reads in another data centre, or on the primary, that a
  // local replica can serve.
  void PrefersTheOwnDataCentre() {
    CPPUNIT_ASSERT(this->Route("c", {}) == Names({"c", "b", "a"}));
    CPPUNIT_ASSERT(this->Route("b", {}) == Names({"b", "c", "a"}));
    const auto candidates =
        ReadRouter("c").Route(this->view, {}, 0, this->clock.Now()).value();
    CPPUNIT_ASSERT(ReadCandidate({"c", ReadReason::kLocalReplica, false}) ==
                   candidates[0]);
    CPPUNIT_ASSERT(ReadCandidate({"a", ReadReason::kPrimaryFallback, false}) ==
                   candidates[2]);
  }

  // Guards against one replica serving all reads from a data centre without a
  // replica while the other one is idle.
  void SpreadsOverEqualReplicas() {
    std::multiset<std::string> first;
    for (std::uint64_t rotation = 0; rotation < 30; ++rotation) {
      first.insert(this->Route("a", {}, rotation).front());
    }
    CPPUNIT_ASSERT(first.count("b") >= 10 && first.count("c") >= 10);
  }

  // Guards against reads that exceed the accepted staleness because the age of
  // the measurement is ignored.
  void StalenessIncludesTheAgeOfTheMeasurement() {
    this->Set("b", 20, 600);
    this->Set("c", 20, 1001);
    CPPUNIT_ASSERT(this->Route("a", {}) == Names({"b", "a"}));
    ReadRequirement requirement;
    requirement.accepted_staleness = milliseconds(1500);
    this->clock.Advance(milliseconds(500));
    CPPUNIT_ASSERT(this->Route("a", requirement) == Names({"b", "a"}));
    this->clock.Advance(milliseconds(401));
    CPPUNIT_ASSERT(this->Route("a", requirement) == Names({"a"}));
  }

  // Guards against reads that do not observe the session's own write.
  void SessionNeedsContainedAndAppliedPosition() {
    this->Set("b", 20, 5000);
    this->Set("c", 19, 500);
    CPPUNIT_ASSERT(this->Route("c", Session(4, 20)) == Names({"b", "a"}));
    CPPUNIT_ASSERT(this->Route("c", Session(4, 21)) == Names({"a"}));
    CPPUNIT_ASSERT(this->Route("c", Session(4, 0)) == Names({"c", "b", "a"}));
    ReadRequirement both = Session(4, 20);
    both.accepted_staleness = milliseconds(4999);
    CPPUNIT_ASSERT(this->Route("c", both) == Names({"a"}));
  }

  // Guards against sending every read that follows a write within a polling
  // period to the primary, and against attempts on replicas that lag.
  void TriesOneProbableReplica() {
    CPPUNIT_ASSERT(this->Route("c", Session(4, 31)) == Names({"c", "a", "b"}));
    this->Set("c", 30, 101);
    CPPUNIT_ASSERT(this->Route("c", Session(4, 31)) == Names({"b", "a"}));
    this->clock.Advance(milliseconds(1001));
    CPPUNIT_ASSERT(this->Route("c", Session(4, 31)) == Names({"a"}));
  }

  // Guards against silently returning older data after a failover.
  void LostPositionIsAnError() {
    this->Promote();
    const auto lost =
        ReadRouter("a").Route(this->view, Session(4, 26), 0, this->clock.Now());
    CPPUNIT_ASSERT(RoutingFailure::kSessionPositionLost ==
                   lost.error().failure);
    CPPUNIT_ASSERT(this->Route("a", Session(4, 25)) == Names({"b"}));
  }

  // Guards against refusing a session of a term that this VM has not observed
  // yet.
  void ViewBehindTheSessionIsNotALoss() {
    CPPUNIT_ASSERT(this->Route("c", Session(5, 10)) == Names({"a"}));
  }

  // Guards against a replaced primary that reports no staleness, and against a
  // replica that still has to discard entries.
  void FormerPrimaryAndDivergedReplicaServeNoReads() {
    this->Set("c", 27, 0);
    this->Promote();
    CPPUNIT_ASSERT(this->Route("a", {}) == Names({"b"}));
    this->Set("c", 25, 0);
    CPPUNIT_ASSERT(this->Route("a", {}) == Names({"c", "b"}));
  }

  // Guards against waiting for a failed replica while others respond.
  void UnresponsiveReplicaComesLast() {
    this->clock.Advance(seconds(4));
    this->Set("c", 30, 0);
    this->SetPrimary();
    ReadRequirement requirement;
    requirement.accepted_staleness = seconds(60);
    CPPUNIT_ASSERT(this->Route("b", requirement) == Names({"c", "a", "b"}));
  }

  // Guards against an unsettled session that reads from a replica.
  void ConfirmedPrimaryUsesNoReplica() {
    ReadRequirement requirement;
    requirement.confirmed_primary = true;
    const auto candidates =
        ReadRouter("b")
            .Route(this->view, requirement, 0, this->clock.Now())
            .value();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, candidates.size());
    CPPUNIT_ASSERT(ReadCandidate({"a", ReadReason::kPrimaryRequired, true}) ==
                   candidates[0]);
  }

  // Guards against a partitioned primary that exceeds the bound on staleness
  // without knowing it.
  void IsolatedPrimaryNeedsConfirmation() {
    this->clock.Advance(milliseconds(1500));
    this->SetPrimary();
    const auto candidates =
        ReadRouter("b").Route(this->view, {}, 0, this->clock.Now()).value();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, candidates.size());
    CPPUNIT_ASSERT(candidates[0].needs_confirmation);
  }

  // Guards against new work on endpoints that operators took out of service.
  void EndpointOutOfServiceGetsNoReads() {
    auto centres = testing::ThreeDataCentres();
    centres[0].availability = model::Availability::kOut;
    centres[2].availability = model::Availability::kOut;
    this->view = this->view.WithConfiguration(testing::GroupOfThree(), centres,
                                              this->clock.Now());
    CPPUNIT_ASSERT(this->Route("c", {}) == Names({"b", "a"}));
    this->clock.Advance(seconds(2));
    this->Set("b", 30, 2000);
    const auto refused =
        ReadRouter("a").Route(this->view, {}, 0, this->clock.Now());
    CPPUNIT_ASSERT(RoutingFailure::kNoCandidate == refused.error().failure);
  }

  // Guards against a response from an older state than the measured one, for
  // example after a restart of the replica.
  void ChecksTheResponse() {
    const auto check = [&](const ReadRequirement& requirement,
                           const LogPosition& response) {
      return CheckReadResponse(this->view, requirement, "b", response);
    };
    CPPUNIT_ASSERT(check({}, {1, 1}) == ReadVerdict::kSufficient);
    CPPUNIT_ASSERT(check(Session(4, 20), {4, 20}) == ReadVerdict::kSufficient);
    CPPUNIT_ASSERT(check(Session(4, 20), {4, 19}) ==
                   ReadVerdict::kInsufficient);
    CPPUNIT_ASSERT(check(Session(4, 20), {3, 30}) ==
                   ReadVerdict::kInsufficient);
    CPPUNIT_ASSERT(check(Session(4, 20), {5, 30}) ==
                   ReadVerdict::kInsufficient);
    this->Promote();
    CPPUNIT_ASSERT(check(Session(4, 25), {5, 26}) == ReadVerdict::kSufficient);
    CPPUNIT_ASSERT(check(Session(4, 26), {5, 26}) ==
                   ReadVerdict::kPositionLost);
    CPPUNIT_ASSERT(check(Session(4, 40), {5, 26}) ==
                   ReadVerdict::kPositionLost);
    CPPUNIT_ASSERT(CheckReadResponse(this->view, Session(4, 26), "c",
                                     {5, 26}) == ReadVerdict::kInsufficient);
  }

 private:
  using Names = std::vector<std::string>;

  static ReadRequirement Session(model::Term term, std::uint64_t position) {
    ReadRequirement requirement;
    requirement.session_position = LogPosition{term, position};
    return requirement;
  }

  Names Route(const std::string& data_centre,
              const ReadRequirement& requirement, std::uint64_t rotation = 0) {
    const auto candidates =
        ReadRouter(data_centre)
            .Route(this->view, requirement, rotation, this->clock.Now());
    Names names;
    for (const ReadCandidate& candidate : candidates.value()) {
      names.push_back(candidate.endpoint);
    }
    return names;
  }

  void Measure(const model::EndpointStatus& status) {
    this->clock.Advance(kernel::Duration(1));
    this->view =
        this->view.WithStatus({status, this->clock.Now(), this->clock.Now()});
  }

  void Set(const std::string& replica, std::uint64_t position,
           std::int64_t staleness_ms) {
    auto status = StatusOf(replica, EndpointRole::kReplica, {{4, 0}}, position);
    status.staleness_ms = staleness_ms;
    this->Measure(status);
  }

  void SetPrimary() {
    this->Measure(StatusOf("a", EndpointRole::kPrimary, {{4, 0}}, 30));
  }

  // Endpoint b becomes the primary of term 5, which starts after position 25.
  void Promote() {
    this->Measure(StatusOf("b", EndpointRole::kPrimary, {{4, 0}, {5, 25}}, 26));
  }

  testing::ManualClock clock;
  GroupView view{testing::GroupOfThree(), testing::ThreeDataCentres(),
                 this->clock.Now()};

 public:
  void setUp() override {
    this->SetPrimary();
    this->Set("b", 30, 0);
    this->Set("c", 30, 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReadRouterTest);

}  // namespace
}  // namespace laburnumkeel::routing
