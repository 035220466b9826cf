#include "laburnumkeel/routing/write_confirmation.h"

#include <cppunit/extensions/HelperMacros.h>

#include "laburnumkeel/routing/write_router.h"
#include "tests/support/group_view_builder.h"
#include "tests/support/manual_clock.h"

namespace laburnumkeel::routing {
namespace {

using model::EndpointRole;
using std::chrono::seconds;
using testing::StatusOf;

class WriteConfirmationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WriteConfirmationTest);
  CPPUNIT_TEST(NeedsAMajorityInTheSameTerm);
  CPPUNIT_TEST(MemberOfAnotherSealedTermDoesNotCount);
  CPPUNIT_TEST(OldRequestIsUnknown);
  CPPUNIT_TEST(HigherTermIsUnknown);
  CPPUNIT_TEST(PrimaryReadNeedsLaterStatuses);
  CPPUNIT_TEST(RoutesWritesToTheCurrentPrimary);
  CPPUNIT_TEST(DepartingPrimaryGetsWritesForAGracePeriod);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against counting a member whose log is long enough but whose sealed
  // term is not the write's term.
  void MemberOfAnotherSealedTermDoesNotCount() {
    model::EndpointStatus status =
        StatusOf("b", EndpointRole::kReplica, {{4, 0}}, 20);
    status.sealed_term = 3;
    this->Measure(status);
    CPPUNIT_ASSERT(this->Confirm() == this->pending);
    status.sealed_term = 4;
    this->clock.Advance(std::chrono::milliseconds(1));
    this->Measure(status);
    CPPUNIT_ASSERT(!(this->Confirm() == this->pending));
  }

  // Guards against acknowledging an entry that only the primary has, and
  // against counting a log that is long enough but of another term.
  void NeedsAMajorityInTheSameTerm() {
    CPPUNIT_ASSERT(this->Confirm() == this->pending);
    this->Measure(StatusOf("b", EndpointRole::kReplica, {{4, 0}}, 19));
    CPPUNIT_ASSERT(this->Confirm() == this->pending);
    this->Measure(StatusOf("c", EndpointRole::kReplica, {{3, 0}}, 25));
    CPPUNIT_ASSERT(this->Confirm() == this->pending);
    this->Measure(StatusOf("a", EndpointRole::kPrimary, {{4, 0}}, 30));
    CPPUNIT_ASSERT(this->Confirm() == this->pending);
    this->Measure(StatusOf("b", EndpointRole::kReplica, {{4, 0}}, 20));
    CPPUNIT_ASSERT(this->Confirm() ==
                   Confirmation({ConfirmationState::kConfirmed,
                                 ConfirmationReason::kMajority}));
  }

  // Guards against a late acknowledgement after the process was suspended.
  void OldRequestIsUnknown() {
    this->Measure(StatusOf("b", EndpointRole::kReplica, {{4, 0}}, 20));
    this->clock.Advance(seconds(2));
    CPPUNIT_ASSERT(this->Confirm().state == ConfirmationState::kConfirmed);
    this->clock.Advance(kernel::Duration(1));
    CPPUNIT_ASSERT(this->Confirm().reason == ConfirmationReason::kTooOld);
  }

  // Guards against acknowledging a write of a former primary.
  void HigherTermIsUnknown() {
    this->Measure(StatusOf("b", EndpointRole::kReplica, {{4, 0}}, 20));
    this->view = this->view.WithTerm(5);
    CPPUNIT_ASSERT(this->Confirm().state == ConfirmationState::kUnknown);
    CPPUNIT_ASSERT(this->Confirm().reason == ConfirmationReason::kHigherTerm);
  }

  // Guards against counting statuses from before the read, which do not show
  // that the endpoint was still the primary when the read began.
  void PrimaryReadNeedsLaterStatuses() {
    this->Measure(StatusOf("a", EndpointRole::kPrimary, {{4, 0}}, 20));
    this->Measure(StatusOf("b", EndpointRole::kReplica, {{4, 0}}, 20));
    this->clock.Advance(seconds(1));
    const auto began = this->clock.Now();
    this->Measure(StatusOf("a", EndpointRole::kPrimary, {{4, 0}}, 20));
    CPPUNIT_ASSERT(!IsPrimaryConfirmed(this->view, 4, began));
    this->Measure(StatusOf("b", EndpointRole::kReplica, {{4, 0}}, 15));
    CPPUNIT_ASSERT(IsPrimaryConfirmed(this->view, 4, began));
    CPPUNIT_ASSERT(!IsPrimaryConfirmed(this->view, 3, began));
  }

  // Guards against writes to a primary that was replaced or is being replaced.
  void RoutesWritesToTheCurrentPrimary() {
    const auto none = RouteWrite(this->view, this->clock.Now());
    CPPUNIT_ASSERT(none.error().failure == RoutingFailure::kNoPrimary);
    this->Measure(StatusOf("a", EndpointRole::kPrimary, {{4, 0}}, 20));
    CPPUNIT_ASSERT(WriteTarget({"a", 4}) ==
                   RouteWrite(this->view, this->clock.Now()).value());
    this->view = this->view.WithTerm(5);
    const auto superseded = RouteWrite(this->view, this->clock.Now());
    CPPUNIT_ASSERT(superseded.error().failure ==
                   RoutingFailure::kTermSuperseded);
  }

  // Guards against new work on an endpoint out of service after the grace
  // period, and against refusing writes before the planned promotion is
  // complete.
  void DepartingPrimaryGetsWritesForAGracePeriod() {
    this->Measure(StatusOf("a", EndpointRole::kPrimary, {{4, 0}}, 20));
    auto group = testing::GroupOfThree();
    group.endpoints[0].availability = model::Availability::kOut;
    this->view = this->view.WithConfiguration(
        group, testing::ThreeDataCentres(), this->clock.Now());
    CPPUNIT_ASSERT(RouteWrite(this->view, this->clock.Now()).has_value());
    this->clock.Advance(kDepartureGrace);
    CPPUNIT_ASSERT(!RouteWrite(this->view, this->clock.Now()).has_value());
  }

 private:
  void Measure(const model::EndpointStatus& status) {
    this->view =
        this->view.WithStatus({status, this->clock.Now(), this->clock.Now()});
  }

  Confirmation Confirm() const {
    return ConfirmWrite(this->view, this->write, this->clock.Now());
  }

  testing::ManualClock clock;
  GroupView view{testing::GroupOfThree(), testing::ThreeDataCentres(),
                 this->clock.Now()};
  ExecutedWrite write{"a", model::LogPosition{4, 20}, this->clock.Now()};
  Confirmation pending{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(WriteConfirmationTest);

}  // namespace
}  // namespace laburnumkeel::routing
