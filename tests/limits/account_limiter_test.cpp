#include "laburnumkeel/limits/account_limiter.h"

#include <cppunit/extensions/HelperMacros.h>

#include "tests/support/manual_clock.h"

namespace laburnumkeel::limits {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class AccountLimiterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AccountLimiterTest);
  CPPUNIT_TEST(SharesAddUpToOneToken);
  CPPUNIT_TEST(ReserveOutlivesDynamicShare);
  CPPUNIT_TEST(MissingShareIsRemoved);
  CPPUNIT_TEST(RefusedRequestsCountAsDemand);
  CPPUNIT_TEST(WaitingRequestGetsTheNextToken);
  CPPUNIT_TEST(WaitingIsBounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an account with a small burst whose requests never pass,
  // because neither of its two shares holds a whole token.
  void SharesAddUpToOneToken() {
    this->Apply(ShareAmount{1, 0.7}, ShareAmount{1, 0.3});
    CPPUNIT_ASSERT(!this->limiter.TryTake("a").is_allowed);
    this->clock.Advance(seconds(2));
    CPPUNIT_ASSERT(this->limiter.TryTake("a").is_allowed);
    CPPUNIT_ASSERT(!this->limiter.TryTake("a").is_allowed);
  }

  // Guards against refusing an account during a store outage although its
  // reserve share is valid, and against using its expired dynamic share.
  void ReserveOutlivesDynamicShare() {
    this->Apply(ShareAmount{100, 10}, ShareAmount{1, 2});
    this->clock.Advance(seconds(20));
    CPPUNIT_ASSERT(this->limiter.TryTake("a").is_allowed);
    CPPUNIT_ASSERT(this->limiter.TryTake("a").is_allowed);
    CPPUNIT_ASSERT(this->limiter.TryTake("a") ==
                   (LimitDecision{false, LimitReason::kShareExpired}));
  }

  // Guards against an account that was removed from the configuration and still
  // spends tokens.
  void MissingShareIsRemoved() {
    this->Apply(ShareAmount{100, 10}, ShareAmount{1, 2});
    this->clock.Advance(seconds(2));
    this->limiter.Apply({});
    CPPUNIT_ASSERT(this->limiter.TryTake("a") ==
                   (LimitDecision{false, LimitReason::kNoShare}));
  }

  // Guards against a VM that gets no share because all its requests are
  // refused.
  void RefusedRequestsCountAsDemand() {
    for (int count = 0; count < 200; ++count) {
      this->clock.Advance(milliseconds(50));
      CPPUNIT_ASSERT(!this->limiter.TryTake("a").is_allowed);
    }
    const std::vector<AccountDemand> demands = this->limiter.Demand();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, demands.size());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(20, demands[0].demand, 2);
  }

  // Guards against a waiting request that is overtaken by a later one.
  void WaitingRequestGetsTheNextToken() {
    this->Apply(ShareAmount{1, 1}, ShareAmount{});
    const LimitDecision waits = this->limiter.TakeOrWait("a");
    CPPUNIT_ASSERT(!waits.is_allowed && waits.retry_after.count() > 0);
    this->clock.Advance(seconds(1));
    CPPUNIT_ASSERT(!this->limiter.TryTake("a").is_allowed);
    CPPUNIT_ASSERT(this->limiter.Retry("a", seconds(1)).is_allowed);
  }

  // Guards against an unbounded number of waiting requests of an account over
  // its rate, and against a request that waits forever.
  void WaitingIsBounded() {
    this->Apply(ShareAmount{20, 1}, ShareAmount{});
    int waiting = 0;
    for (int request = 0; request < 1000; ++request) {
      waiting += this->limiter.TakeOrWait("a").retry_after.count() > 0 ? 1 : 0;
    }
    CPPUNIT_ASSERT(waiting > 0 && waiting <= 20);
    CPPUNIT_ASSERT(this->limiter.Retry("a", kMaximumWait) ==
                   (LimitDecision{false, LimitReason::kNoTokens}));
  }

 private:
  void Apply(const ShareAmount& dynamic, const ShareAmount& reserve) {
    const kernel::Instant now = this->clock.Now();
    this->limiter.Apply(
        {Share{"a", ShareKind::kDynamic, dynamic, now + seconds(8)},
         Share{"a", ShareKind::kReserve, reserve, now + seconds(43200)}});
  }

  testing::ManualClock clock;
  AccountLimiter<testing::ManualClock> limiter{clock};
};

CPPUNIT_TEST_SUITE_REGISTRATION(AccountLimiterTest);

}  // namespace
}  // namespace laburnumkeel::limits
