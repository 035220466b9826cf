#include <cppunit/extensions/HelperMacros.h>
#include <glog/logging.h>
#include <rapidcheck.h>

#include <algorithm>
#include <iostream>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "laburnumkeel/promotion/failure_detector.h"
#include "laburnumkeel/promotion/promoter.h"
#include "tests/promotion/stepwise_members.h"
#include "tests/support/fake_table.h"
#include "tests/support/manual_clock.h"

namespace laburnumkeel::testing {
namespace {

using std::chrono::milliseconds;

// A watcher that polls every 500 ms. A call to a member takes 10 ms, or 500 ms
// until its timeout when the member is unreachable.
class Watcher {
 public:
  Watcher(const ManualClock& clock, unsigned rank, FakeGroup connection,
          milliseconds offset)
      : clock(clock),
        name(std::to_string(rank)),
        detector(clock, rank, rank),
        connection(std::move(connection)),
        next(clock.Now() + offset) {}

  void SetCut(const std::string& endpoint) {
    this->connection.SetCut(endpoint, true);
    if (this->members) {
      this->members->Connection().SetCut(endpoint, true);
    }
  }

  // Returns true when this watcher completed a promotion.
  bool Run() {
    if (this->clock.Now() < this->next) {
      return false;
    }
    if (this->members) {
      return this->StepPromotion();
    }
    this->next += milliseconds(500);
    for (const std::string& endpoint : FakeGroup::Names()) {
      const auto status = this->connection.Status(endpoint);
      if (status.has_value()) {
        this->detector.Observe(status.value());
      }
    }
    if (this->detector.IsDue()) {
      this->members = std::make_shared<StepwiseMembers>(this->connection);
      this->known_term = this->detector.HighestTerm();
      ++this->attempts;
    }
    return false;
  }

 private:
  bool StepPromotion() {
    this->members->Rewind();
    this->next = this->clock.Now() + milliseconds(10);
    try {
      const auto result =
          promotion::Promoter(this->name, std::to_string(this->attempts),
                              StepwiseMembersHandle(this->members), FakeTable())
              .Promote({"g", {"a", "b", "c"}, this->known_term, "", "", false});
      this->members.reset();
      if (!result.has_value()) {
        this->detector.OnFailedPromotion(result.error().highest_term);
      }
      return result.has_value();
    } catch (const PromoterPaused&) {
      // The first two calls go to the failed primary and run into timeouts.
      if (this->first_call == this->attempts) {
        return false;
      }
      this->first_call = this->attempts;
      this->next = this->clock.Now() + milliseconds(1000);
    }
    return false;
  }

  ManualClock clock;
  std::string name;
  promotion::FailureDetector<ManualClock> detector;
  FakeGroup connection;
  kernel::Instant next;
  std::shared_ptr<StepwiseMembers> members;
  model::Term known_term = 0;
  int attempts = 0;
  int first_call = 0;
};

class FailoverTimeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FailoverTimeTest);
  CPPUNIT_TEST(PromotesWithinTheBound);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    this->log_level = std::exchange(FLAGS_minloglevel, google::GLOG_FATAL);
  }
  void tearDown() override { FLAGS_minloglevel = this->log_level; }

  // Guards against a failover gap above 14 s when most watchers have failed or
  // several of them compete, and against promotions in a healthy group.
  void PromotesWithinTheBound() {
    milliseconds longest(0);
    CPPUNIT_ASSERT(rc::check("promotes within 14 s", [&] {
      ManualClock clock;
      FakeGroup group;
      group.At("a").PromoteUnsealed(1);
      std::vector<Watcher> watchers;
      const auto first_alive = *rc::gen::inRange(0U, 9U);
      const auto dead = *rc::gen::inRange(0U, 1U << 9U);
      for (unsigned rank = 0; rank < 9; ++rank) {
        if (rank == first_alive ||
            (rank > first_alive && (dead >> rank & 1U) == 0)) {
          watchers.emplace_back(clock, rank, group,
                                milliseconds(*rc::gen::inRange(0, 500)));
        }
      }
      const auto healthy = milliseconds(*rc::gen::inRange(4000, 6000));
      RC_ASSERT(!RunFor(clock, watchers, healthy));
      for (Watcher& watcher : watchers) {
        watcher.SetCut("a");
      }
      const auto gap = RunFor(clock, watchers, std::chrono::seconds(20));
      RC_ASSERT(gap);
      RC_ASSERT(*gap < std::chrono::seconds(14));
      longest = std::max(longest, *gap);
    }));
    std::cerr << "longest time to a new primary: " << longest.count()
              << " ms\n";
  }

 private:
  // Time until the first promotion, if there is one within `period`.
  static std::optional<milliseconds> RunFor(ManualClock& clock,
                                            std::vector<Watcher>& watchers,
                                            milliseconds period) {
    for (milliseconds passed(0); passed < period; passed += milliseconds(10)) {
      for (Watcher& watcher : watchers) {
        if (watcher.Run()) {
          return passed;
        }
      }
      clock.Advance(milliseconds(10));
    }
    return std::nullopt;
  }

  int log_level = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FailoverTimeTest);

}  // namespace
}  // namespace laburnumkeel::testing
