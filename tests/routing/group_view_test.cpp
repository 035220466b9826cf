#include "laburnumkeel/routing/group_view.h"

#include <cppunit/extensions/HelperMacros.h>

#include "laburnumkeel/routing/group_view_holder.h"
#include "tests/support/group_view_builder.h"
#include "tests/support/manual_clock.h"

namespace laburnumkeel::routing {
namespace {

using model::EndpointRole;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::StatusOf;

class GroupViewTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GroupViewTest);
  CPPUNIT_TEST(LateStatusDoesNotReplaceANewerOne);
  CPPUNIT_TEST(LongPollKeepsItsProgress);
  CPPUNIT_TEST(LowerSealedTermNeverReplaces);
  CPPUNIT_TEST(FormerPrimaryIsNotThePrimary);
  CPPUNIT_TEST(SealedTermWithoutPrimaryIsNotCurrent);
  CPPUNIT_TEST(PrimaryIsConfirmedByAMajority);
  CPPUNIT_TEST(ReturningEndpointNeedsLagAndWarmPool);
  CPPUNIT_TEST(DataCentreTakesItsEndpointsOut);
  CPPUNIT_TEST(HolderLosesNoChange);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a response that was delayed in the network and replaces a
  // newer status of the endpoint.
  void LateStatusDoesNotReplaceANewerOne() {
    const auto now = this->clock.Now();
    const GroupView view =
        this->view
            .WithStatus(
                {this->Replica("b", 20), now + seconds(2), now + seconds(3)})
            .WithStatus({this->Replica("b", 30), now, now + seconds(1)})
            .WithStatus({this->Replica("x", 30), now, now + seconds(1)});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{20},
                         view.Find("b")->measurement->status.applied_position);
    CPPUNIT_ASSERT(view.Find("x") == nullptr);
  }

  // Guards against losing the result of a long poll because the response to a
  // later request arrived first, which would delay write confirmations.
  void LongPollKeepsItsProgress() {
    const auto now = this->clock.Now();
    const MeasuredStatus short_poll{this->Replica("b", 20), now + seconds(1),
                                    now + seconds(2)};
    const MeasuredStatus long_poll{this->Replica("b", 21), now,
                                   now + seconds(3)};
    for (const GroupView& view :
         {this->view.WithStatus(short_poll).WithStatus(long_poll),
          this->view.WithStatus(long_poll).WithStatus(short_poll)}) {
      CPPUNIT_ASSERT(long_poll == view.Find("b")->measurement);
    }
  }

  // Guards against an endpoint that lost its state, or a delayed response, that
  // hides a sealed term.
  void LowerSealedTermNeverReplaces() {
    const auto now = this->clock.Now();
    model::EndpointStatus sealed = this->Replica("b", 20);
    sealed.sealed_term = 9;
    const GroupView view =
        this->view.WithStatus({sealed, now, now})
            .WithStatus(
                {this->Replica("b", 30), now + seconds(1), now + seconds(1)});
    CPPUNIT_ASSERT_EQUAL(model::Term{9}, view.HighestTerm());
    CPPUNIT_ASSERT(sealed == view.Find("b")->measurement->status);
    CPPUNIT_ASSERT_EQUAL(model::Term{9}, view.WithTerm(8).HighestTerm());
    CPPUNIT_ASSERT_EQUAL(model::Term{10}, view.WithTerm(10).HighestTerm());
  }

  // Guards against writes sent to a former primary that does not know that it
  // was replaced.
  void FormerPrimaryIsNotThePrimary() {
    const auto now = this->clock.Now();
    const GroupView view =
        this->view
            .WithStatus(
                {StatusOf("b", EndpointRole::kPrimary, {{4, 0}, {5, 10}}, 11),
                 now, now})
            .WithStatus({StatusOf("a", EndpointRole::kPrimary, {{4, 0}}, 50),
                         now + seconds(1), now + seconds(1)});
    CPPUNIT_ASSERT_EQUAL(std::string("b"), view.Primary()->endpoint);
    CPPUNIT_ASSERT(view.IsPrimaryCurrent());
  }

  // Guards against writes in a term that was sealed and cannot be confirmed.
  void SealedTermWithoutPrimaryIsNotCurrent() {
    const auto now = this->clock.Now();
    model::EndpointStatus primary =
        StatusOf("a", EndpointRole::kPrimary, {{4, 0}}, 50);
    const GroupView view = this->view.WithStatus({primary, now, now});
    CPPUNIT_ASSERT(view.IsPrimaryCurrent());
    CPPUNIT_ASSERT(!view.WithTerm(5).IsPrimaryCurrent());
    primary.sealed_term = 5;
    CPPUNIT_ASSERT(
        view.WithStatus({primary, now + seconds(1), now + seconds(1)})
            .Primary() == nullptr);
  }

  // Guards against relying on a primary that is partitioned from the other
  // members.
  void PrimaryIsConfirmedByAMajority() {
    const auto now = this->clock.Now();
    const GroupView alone = this->view.WithStatus(
        {StatusOf("a", EndpointRole::kPrimary, {{4, 0}}, 50), now + seconds(2),
         now + seconds(2)});
    CPPUNIT_ASSERT(!alone.PrimaryConfirmedAt());
    const GroupView joined =
        alone.WithStatus({this->Replica("b", 40), now, now});
    CPPUNIT_ASSERT(now == joined.PrimaryConfirmedAt());
  }

  // Guards against reads on an endpoint that has just returned and lags, or
  // whose connection pool is not warm yet.
  void ReturningEndpointNeedsLagAndWarmPool() {
    auto group = testing::GroupOfThree();
    const auto centres = testing::ThreeDataCentres();
    CPPUNIT_ASSERT(this->view.IsEligible("b"));
    group.endpoints[1].availability = model::Availability::kOut;
    GroupView view = this->view.WithPoolWarm("b", true, this->clock.Now())
                         .WithConfiguration(group, centres, this->clock.Now());
    CPPUNIT_ASSERT(!view.IsEligible("b"));
    view = view.WithConfiguration(testing::GroupOfThree(), centres,
                                  this->clock.Now());
    CPPUNIT_ASSERT(!view.IsEligible("b"));
    model::EndpointStatus status = this->Replica("b", 20);
    status.staleness_ms = 1000;
    view = this->Measured(view, status);
    CPPUNIT_ASSERT(!view.IsEligible("b"));
    status.staleness_ms = 900;
    const GroupView cold = this->Measured(
        view.WithPoolWarm("b", false, this->clock.Now()), status);
    CPPUNIT_ASSERT(!cold.IsEligible("b"));
    CPPUNIT_ASSERT(
        cold.WithPoolWarm("b", true, this->clock.Now()).IsEligible("b"));
    view = this->Measured(view, status);
    CPPUNIT_ASSERT(view.IsEligible("b"));
    CPPUNIT_ASSERT(
        !view.WithPoolWarm("b", false, this->clock.Now()).IsEligible("b"));
  }

  // Guards against new work in a data centre that operators took out of
  // service.
  void DataCentreTakesItsEndpointsOut() {
    auto centres = testing::ThreeDataCentres();
    centres[2].availability = model::Availability::kOut;
    const auto began = this->clock.Now();
    GroupView view =
        this->view.WithConfiguration(testing::GroupOfThree(), centres, began);
    this->clock.Advance(seconds(1));
    view = view.WithConfiguration(testing::GroupOfThree(), centres,
                                  this->clock.Now());
    CPPUNIT_ASSERT(!view.IsEligible("c"));
    CPPUNIT_ASSERT(view.IsEligible("b"));
    CPPUNIT_ASSERT(began == view.Find("c")->out_since);
  }

  // Guards against an update that overwrites the previous change.
  void HolderLosesNoChange() {
    GroupViewHolder holder(this->view);
    const auto before = holder.Snapshot();
    holder.Update([](const GroupView& view) { return view.WithTerm(3); });
    const auto now = this->clock.Now();
    holder.Update([&](const GroupView& view) {
      return view.WithPoolWarm("a", true, now);
    });
    CPPUNIT_ASSERT_EQUAL(model::Term{3}, holder.Snapshot()->HighestTerm());
    CPPUNIT_ASSERT(holder.Snapshot()->Find("a")->warm);
    CPPUNIT_ASSERT_EQUAL(model::Term{0}, before->HighestTerm());
  }

 private:
  model::EndpointStatus Replica(const std::string& name,
                                std::uint64_t position) const {
    return StatusOf(name, EndpointRole::kReplica, {{4, 0}}, position);
  }

  GroupView Measured(const GroupView& view,
                     const model::EndpointStatus& status) {
    this->clock.Advance(milliseconds(1));
    return view.WithStatus({status, this->clock.Now(), this->clock.Now()});
  }

  testing::ManualClock clock;
  GroupView view{testing::GroupOfThree(), testing::ThreeDataCentres(),
                 this->clock.Now()};
};

CPPUNIT_TEST_SUITE_REGISTRATION(GroupViewTest);

}  // namespace
}  // namespace laburnumkeel::routing
