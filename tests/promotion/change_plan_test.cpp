#include "laburnumkeel/promotion/change_plan.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <random>
#include <string>

namespace laburnumkeel::promotion {
namespace {

// A service of one primary and two replicas. A commit is acknowledged when one
// replica that is not paused has received it; each replica receives log entries
// in order, independently of the other.
class SimulatedService {
 public:
  explicit SimulatedService(unsigned seed) : random(seed) {}

  // Runs one random step: a write, the replication of one entry, or a change of
  // whether the promoter reaches an endpoint.
  void Step() {
    switch (this->Draw(4)) {
      case 0:
        if (this->is_primary_up && !this->has_stepped_down) {
          ++this->primary_log;
        }
        return;
      case 1:
      case 2: {
        const std::size_t replica = this->Draw(2);
        if (this->is_primary_up && !this->paused.at(replica) &&
            this->logs.at(replica) < this->primary_log) {
          ++this->logs.at(replica);
          this->acknowledged =
              std::max(this->acknowledged, this->logs.at(replica));
        }
        return;
      }
      default:
        this->reachable.at(this->Draw(3)) = this->Draw(3) > 0;
    }
  }

  void Crash() { this->is_primary_up = false; }

  // Updates `view` with the state of the reachable endpoints.
  void Refresh(ChangeView& view) {
    view.members.resize(3);
    static constexpr std::array<const char*, 3> kNames{"r0", "r1", "p"};
    for (std::size_t index = 0; index < 3; ++index) {
      ChangeMember& member = view.members.at(index);
      member.id = kNames.at(index);
      member.has_answered =
          this->reachable.at(index) && (index < 2 || this->is_primary_up);
      if (!member.has_answered) {
        continue;
      }
      member.term = 1;
      member.is_primary = index == 2 && !this->has_stepped_down;
      member.received_before = member.received;
      member.received = {1,
                         index < 2 ? this->logs.at(index) : this->primary_log};
      member.paused_term = index < 2 && this->paused.at(index) ? 2 : 0;
    }
  }

  void Apply(const ChangeStep& step) {
    if (step.action == ChangeAction::kPause) {
      this->paused.at(step.endpoint == "r0" ? 0 : 1) = true;
    } else if (step.action == ChangeAction::kResume) {
      this->paused.at(step.endpoint == "r0" ? 0 : 1) = false;
    } else if (step.action == ChangeAction::kStepDown) {
      this->has_stepped_down = true;
    }
  }

  std::uint64_t Log(const std::string& replica) const {
    return this->logs.at(replica == "r0" ? 0 : 1);
  }
  std::uint64_t Acknowledged() const { return this->acknowledged; }
  // A commit that the promoted endpoint lacks can still be acknowledged.
  bool IsAccepting(const std::string& promoted) const {
    const bool is_receiving = !this->paused.at(0) || !this->paused.at(1);
    return is_receiving && !(this->has_stepped_down &&
                             this->Log(promoted) == this->primary_log);
  }
  void MakeAllReachable() { this->reachable = {true, true, true}; }

 private:
  std::size_t Draw(std::size_t bound) { return this->random() % bound; }

  std::mt19937 random;
  std::array<std::uint64_t, 2> logs{};
  std::array<bool, 2> paused{};
  std::array<bool, 3> reachable{true, true, true};
  std::uint64_t primary_log = 0;
  std::uint64_t acknowledged = 0;
  bool is_primary_up = true;
  bool has_stepped_down = false;
};

class ChangePlanTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ChangePlanTest);
  CPPUNIT_TEST(WaitsForTheReadLeases);
  CPPUNIT_TEST(WaitsForAnUnreachableReplica);
  CPPUNIT_TEST(SteppedDownPrimaryReplacesAnUnreachableReplica);
  CPPUNIT_TEST(PlannedChangeStepsThePrimaryDown);
  CPPUNIT_TEST(PlannedChangeAvoidsIneligibleEndpoints);
  CPPUNIT_TEST(PrimaryStaysWithoutASuccessorThatKeepsUp);
  CPPUNIT_TEST(ReplicaLeftPausedReceivesAgain);
  CPPUNIT_TEST(RestartedFormerPrimaryProvesNothing);
  CPPUNIT_TEST(UnplannedChangeNeedsACurrentList);
  CPPUNIT_TEST(LogWithoutAcknowledgedCommitsIsPromotedOnlyAfterAWait);
  CPPUNIT_TEST(FormerPrimaryWithoutAcknowledgedCommitsProvesNothing);
  CPPUNIT_TEST(PublishesAnInheritedPromotion);
  CPPUNIT_TEST(PublishesAPromotionOfATermThatIsKnown);
  CPPUNIT_TEST(PrimaryBelowAKnownTermIsNotPublished);
  CPPUNIT_TEST(OldPrimaryIsNotPublished);
  CPPUNIT_TEST(PrimaryThatRestartedUnderAnotherIdIsPublished);
  CPPUNIT_TEST(RestartedPrimaryWithoutItsLogIsNotPublished);
  CPPUNIT_TEST(RestartedPrimaryWithoutKnownCommitsIsNotPublished);
  CPPUNIT_TEST(RestartedPrimaryIsNotPublishedBesideAPromotion);
  CPPUNIT_TEST(ReturningPrimaryOfAnEarlierTermIsSteppedDown);
  CPPUNIT_TEST(NoAcknowledgedCommitIsLostAfterACrash);
  CPPUNIT_TEST(NoAcknowledgedCommitIsLostInAPlannedChange);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a promotion while another VM still reads from the former
  // primary.
  void WaitsForTheReadLeases() {
    ChangeView view = CrashedView(5, 7);
    view.read_leases_expired = false;
    CPPUNIT_ASSERT(NextStep(view) == ChangeStep());
    view.read_leases_expired = true;
    CPPUNIT_ASSERT((NextStep(view) == ChangeStep{ChangeAction::kPromote, "b"}));
  }

  // Guards against losing a commit that only the unreachable replica holds.
  void WaitsForAnUnreachableReplica() {
    ChangeView view = CrashedView(5, 7);
    view.members[0].has_answered = false;
    CPPUNIT_ASSERT(NextStep(view) == ChangeStep());
  }

  void SteppedDownPrimaryReplacesAnUnreachableReplica() {
    ChangeView view = CrashedView(5, 7);
    view.members[0].has_answered = false;
    view.members[2].has_answered = true;
    view.members[2].received = {1, 7};
    CPPUNIT_ASSERT((NextStep(view) == ChangeStep{ChangeAction::kPromote, "b"}));
    view.members[2].received = {1, 8};
    CPPUNIT_ASSERT(NextStep(view) == ChangeStep());
  }

  // Guards against a commit that the former primary accepts after the logs were
  // compared.
  void PlannedChangeStepsThePrimaryDown() {
    ChangeView view = PlannedView(5, 7);
    view.read_leases_expired = false;
    CPPUNIT_ASSERT(NextStep(view) == ChangeStep());
    view.read_leases_expired = true;
    CPPUNIT_ASSERT(
        (NextStep(view) == ChangeStep{ChangeAction::kStepDown, "c"}));
    view.members[2].is_primary = false;
    view.members[2].received = {1, 8};
    CPPUNIT_ASSERT(NextStep(view) == ChangeStep());
    view.members[1].received = {1, 8};
    CPPUNIT_ASSERT((NextStep(view) == ChangeStep{ChangeAction::kPromote, "b"}));
  }

  // Guards against promoting an endpoint in a data centre that is taken out of
  // use.
  void PlannedChangeAvoidsIneligibleEndpoints() {
    ChangeView view = PlannedView(7, 5);
    view.members[0].is_eligible = false;
    CPPUNIT_ASSERT(NextStep(view) == ChangeStep());
    view.members[1].received = {1, 6};
    CPPUNIT_ASSERT(
        (NextStep(view) == ChangeStep{ChangeAction::kStepDown, "c"}));
    view.members[2].is_primary = false;
    CPPUNIT_ASSERT(NextStep(view) == ChangeStep());
    view.members[1].received = {1, 7};
    CPPUNIT_ASSERT((NextStep(view) == ChangeStep{ChangeAction::kPromote, "b"}));
  }

  // Guards against a primary that steps down although no replica can take over.
  void PrimaryStaysWithoutASuccessorThatKeepsUp() {
    ChangeView view = PlannedView(3, 3);
    CPPUNIT_ASSERT(NextStep(view) == ChangeStep());
    view.members[0].has_answered = false;
    view.members[1].has_answered = false;
    CPPUNIT_ASSERT(NextStep(view) == ChangeStep());
  }

  void ReplicaLeftPausedReceivesAgain() {
    ChangeView view = PlannedView(7, 7);
    view.members[1].paused_term = 2;
    CPPUNIT_ASSERT((NextStep(view) == ChangeStep{ChangeAction::kResume, "b"}));
  }

  // Guards against a log that ends early because its endpoint restarted empty.
  void RestartedFormerPrimaryProvesNothing() {
    ChangeView view = PlannedView(5, 7);
    view.members[2].is_primary = false;
    view.members[2].received = {0, 0};
    view.is_catch_up_over = true;
    CPPUNIT_ASSERT((NextStep(view) == ChangeStep{ChangeAction::kPause, "a"}));
  }

  // Guards against a replica that joined while the known ones were paused.
  void UnplannedChangeNeedsACurrentList() {
    ChangeView view = CrashedView(5, 7);
    view.are_members_current = false;
    CPPUNIT_ASSERT(NextStep(view) == ChangeStep());
  }

  // Guards against lost commits that only the crashed primary still holds: the
  // replica that acknowledged them has left.
  void LogWithoutAcknowledgedCommitsIsPromotedOnlyAfterAWait() {
    ChangeView view = CrashedView(5, 7);
    view.committed = {1, 8};
    CPPUNIT_ASSERT(NextStep(view) == ChangeStep());
    view.members[0].received = {1, 8};
    CPPUNIT_ASSERT((NextStep(view) == ChangeStep{ChangeAction::kPromote, "a"}));
    view.members[0].received = {1, 5};
    view.is_commit_wait_over = true;
    CPPUNIT_ASSERT((NextStep(view) == ChangeStep{ChangeAction::kPromote, "b"}));
  }

  // Guards against a proof by a former primary that restarted without its log
  // while the only replica is behind.
  void FormerPrimaryWithoutAcknowledgedCommitsProvesNothing() {
    ChangeView view = PlannedView(5, 5);
    view.members[2].is_primary = false;
    view.members[2].received = {1, 5};
    view.is_catch_up_over = true;
    CPPUNIT_ASSERT((NextStep(view) == ChangeStep{ChangeAction::kPromote, "a"}));
    view.committed = {1, 6};
    CPPUNIT_ASSERT((NextStep(view) == ChangeStep{ChangeAction::kPause, "a"}));
  }

  // Guards against a second promotion after the leader that started the first
  // one was lost.
  void PublishesAnInheritedPromotion() {
    ChangeView view = CrashedView(5, 7);
    view.members[1].is_primary = true;
    view.members[1].term = 2;
    CPPUNIT_ASSERT((NextStep(view) == ChangeStep{ChangeAction::kPublish, "b"}));
  }

  // Guards against a service without a published primary after the leader that
  // promoted one was lost and all endpoints have reached the new term.
  void PublishesAPromotionOfATermThatIsKnown() {
    ChangeView view = PlannedView(7, 7);
    view.is_planned = false;
    view.published_term = 1;
    view.next_term = 3;
    view.members[0].term = 2;
    view.members[1].term = 2;
    view.members[1].is_primary = true;
    view.members[2].term = 2;
    view.members[2].is_primary = false;
    CPPUNIT_ASSERT((NextStep(view) == ChangeStep{ChangeAction::kPublish, "b"}));
    // The former primary does not know of its successor yet.
    view.members[2].term = 1;
    view.members[2].is_primary = true;
    CPPUNIT_ASSERT((NextStep(view) == ChangeStep{ChangeAction::kPublish, "b"}));
  }

  // Guards against publishing a primary that was replaced before the service's
  // record was written.
  void PrimaryBelowAKnownTermIsNotPublished() {
    ChangeView view = CrashedView(5, 7);
    view.published_term = 1;
    view.next_term = 4;
    view.members[0].is_primary = true;
    view.members[0].term = 2;
    view.members[1].term = 3;
    CPPUNIT_ASSERT(
        (NextStep(view) == ChangeStep{ChangeAction::kStepDown, "a"}));
  }

  // Guards against returning to a primary of an earlier term that has not heard
  // of its successor.
  void OldPrimaryIsNotPublished() {
    ChangeView view = PlannedView(7, 7);
    view.published_term = 2;
    view.next_term = 3;
    view.members[0].is_primary = true;
    view.members[2].term = 2;
    CPPUNIT_ASSERT(
        (NextStep(view) == ChangeStep{ChangeAction::kStepDown, "a"}));
    view.members[0].is_primary = false;
    CPPUNIT_ASSERT(
        (NextStep(view) == ChangeStep{ChangeAction::kStepDown, "c"}));
  }

  // Guards against a change that pauses the returned primary without end.
  void PrimaryThatRestartedUnderAnotherIdIsPublished() {
    ChangeView view = RestartedView();
    CPPUNIT_ASSERT((NextStep(view) == ChangeStep{ChangeAction::kPublish, "d"}));
    // Its former registration has not expired yet.
    view.members.push_back({"c", false, false, 0, {}, 0, true});
    CPPUNIT_ASSERT((NextStep(view) == ChangeStep{ChangeAction::kPublish, "d"}));
  }

  // Guards against lost commits of a primary that returns without its log.
  void RestartedPrimaryWithoutItsLogIsNotPublished() {
    ChangeView view = RestartedView();
    view.members[2].received = {0, 0};
    CPPUNIT_ASSERT(
        (NextStep(view) == ChangeStep{ChangeAction::kStepDown, "d"}));
  }

  // Guards against the same when it is the first to respond.
  void RestartedPrimaryWithoutKnownCommitsIsNotPublished() {
    ChangeView view = RestartedView();
    view.members[0].has_answered = false;
    view.members[1].has_answered = false;
    CPPUNIT_ASSERT((NextStep(view) == ChangeStep{ChangeAction::kPublish, "d"}));
    view.committed = view.members[2].received;
    ++view.committed.position;
    CPPUNIT_ASSERT(
        (NextStep(view) == ChangeStep{ChangeAction::kStepDown, "d"}));
  }

  // Guards against commits of a primary that returns while the promotion of
  // another endpoint is under way.
  void RestartedPrimaryIsNotPublishedBesideAPromotion() {
    ChangeView view = RestartedView();
    view.is_promotion_called = true;
    CPPUNIT_ASSERT(
        (NextStep(view) == ChangeStep{ChangeAction::kStepDown, "d"}));
    view.members[1].is_primary = true;
    view.members[1].term = view.next_term;
    CPPUNIT_ASSERT((NextStep(view) == ChangeStep{ChangeAction::kPublish, "b"}));
  }

  // Guards against a change that pauses a primary of an earlier term without
  // end. The published one is lost.
  void ReturningPrimaryOfAnEarlierTermIsSteppedDown() {
    ChangeView view = RestartedView();
    view.published_term = 2;
    view.next_term = 3;
    CPPUNIT_ASSERT(
        (NextStep(view) == ChangeStep{ChangeAction::kStepDown, "d"}));
    view.members[2].is_primary = false;
    for (ChangeMember& member : view.members) {
      member.paused_term = 3;
    }
    view.members[1].received = {2, 8};
    CPPUNIT_ASSERT((NextStep(view) == ChangeStep{ChangeAction::kPromote, "b"}));
  }

  void NoAcknowledgedCommitIsLostAfterACrash() { this->RunSeeds(false); }
  void NoAcknowledgedCommitIsLostInAPlannedChange() { this->RunSeeds(true); }

 private:
  // Two paused replicas `a` and `b` and a primary `c` that does not respond.
  static ChangeView CrashedView(std::uint64_t first, std::uint64_t second) {
    ChangeView view;
    view.former = "c";
    view.next_term = 2;
    view.read_leases_expired = true;
    view.are_members_current = true;
    view.members = {{"a", true, false, 1, {1, first}, 2, true},
                    {"b", true, false, 1, {1, second}, 2, true},
                    {"c", false, false, 0, {}, 0, true}};
    return view;
  }

  // Two paused replicas `a` and `b`. The primary of the published term has
  // restarted under another id, `d`.
  static ChangeView RestartedView() {
    ChangeView view = CrashedView(7, 6);
    view.published_term = 1;
    view.members[2] = {"d", true, true, 1, {1, 7}, 0, true};
    return view;
  }

  // Two replicas `a` and `b` that receive, and a primary `c` at position 7 that
  // was at 6 before.
  static ChangeView PlannedView(std::uint64_t first, std::uint64_t second) {
    ChangeView view = CrashedView(first, second);
    view.is_planned = true;
    view.members[0].paused_term = 0;
    view.members[1].paused_term = 0;
    view.members[2] = {"c", true, true, 1, {1, 7}, 0, true, {1, 6}};
    return view;
  }

  // Random writes, replication and unreachable endpoints during a change.
  // Guards against any order of steps in which an acknowledged commit is
  // missing from the log of the promoted endpoint, or in which a commit can
  // still be acknowledged afterwards.
  void RunSeeds(bool is_planned) {
    int promoted = 0;
    for (unsigned seed = 1; seed <= 2000; ++seed) {
      SimulatedService service(seed);
      for (int step = 0; step < 40; ++step) {
        service.Step();
      }
      if (!is_planned) {
        service.Crash();
      }
      ChangeView view;
      view.former = "p";
      view.next_term = 2;
      view.is_planned = is_planned;
      view.read_leases_expired = true;
      // No endpoint joins.
      view.are_members_current = true;
      for (int round = 0; round < 400; ++round) {
        service.Step();
        if (round > 200) {
          service.MakeAllReachable();
        }
        view.is_catch_up_over = round > 300;
        service.Refresh(view);
        const ChangeStep step = NextStep(view);
        if (step.action == ChangeAction::kPromote) {
          ++promoted;
          const std::string name = "seed " + std::to_string(seed);
          CPPUNIT_ASSERT_MESSAGE(
              name, service.Log(step.endpoint) >= service.Acknowledged());
          CPPUNIT_ASSERT_MESSAGE(name, !service.IsAccepting(step.endpoint));
          break;
        }
        service.Apply(step);
      }
    }
    // Guards against a plan that is safe only because it never promotes.
    CPPUNIT_ASSERT(promoted > 1900);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChangePlanTest);

}  // namespace
}  // namespace laburnumkeel::promotion
