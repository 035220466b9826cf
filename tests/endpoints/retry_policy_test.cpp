#include "laburnumkeel/endpoints/retry_policy.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <string>

namespace laburnumkeel::endpoints {
namespace {

using std::chrono::milliseconds;

class RetryPolicyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RetryPolicyTest);
  CPPUNIT_TEST(RetriesUnknownOutcomesOnlyIfRepeatable);
  CPPUNIT_TEST(UnknownOutcomeIsNotATransientRefusal);
  CPPUNIT_TEST(RetriesTransientRefusalsOnly);
  CPPUNIT_TEST(OutlastsAPlannedPromotion);
  CPPUNIT_TEST(RetriesImmediatelyAfterAClosedConnection);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against retrying a request whose connection was closed after the
  // request was sent, as if the endpoint had refused it.
  void UnknownOutcomeIsNotATransientRefusal() {
    const FailedAttempt attempt{model::Outcome::kUnknown,
                                std::string(codes::kConnectionClosed), false, 1,
                                milliseconds(1000)};
    CPPUNIT_ASSERT(!RetryPolicy(RetryLimits{}).Decide(attempt, 0.5).retry);
  }

  // Guards against executing a non-repeatable request twice, and against a
  // backoff that exceeds its limit or the deadline.
  void RetriesUnknownOutcomesOnlyIfRepeatable() {
    const bool holds = rc::check([] {
      const auto attempts = *rc::gen::inRange(1, 60);
      const auto time_left = *rc::gen::inRange(-1000, 5000);
      const auto random = *rc::gen::inRange(0, 1000) / 1000.0;
      const auto may_repeat = *rc::gen::arbitrary<bool>();
      const RetryDecision decision =
          RetryPolicy(RetryLimits{})
              .Decide(
                  FailedAttempt{model::Outcome::kUnknown, "no_response",
                                may_repeat, attempts, milliseconds(time_left)},
                  random);
      RC_ASSERT(!decision.retry || may_repeat);
      RC_ASSERT(!decision.retry || decision.backoff < milliseconds(time_left));
      RC_ASSERT(decision.backoff <= RetryLimits{}.maximum_backoff);
      RC_ASSERT(!decision.retry || decision.backoff >= milliseconds(2));
    });
    CPPUNIT_ASSERT(holds);
  }

  // Guards against retrying a request that every attempt would refuse again.
  void RetriesTransientRefusalsOnly() {
    for (const std::string_view code :
         {codes::kStaleTerm, codes::kNotPrimary, codes::kNoSlot,
          codes::kDraining, codes::kConnectFailed, codes::kConnectionClosed,
          codes::kNoTransactionSlot}) {
      CPPUNIT_ASSERT_MESSAGE(std::string(code), Decide(code, 1, 1000).retry);
    }
    for (const std::string_view code :
         {codes::kBadStatement, codes::kConflict, codes::kAccessRevoked,
          codes::kQueueTimeout, codes::kInvalidText, codes::kTransactionUnknown,
          codes::kTransactionBusy, codes::kTransactionOfOtherAccount,
          codes::kTransactionNotOnThisVm}) {
      CPPUNIT_ASSERT_MESSAGE(std::string(code), !Decide(code, 1, 1000).retry);
    }
  }

  // Guards against giving up on a write during a planned promotion, which
  // refuses writes for up to 2 s.
  void OutlastsAPlannedPromotion() {
    kernel::Duration waited{0};
    int attempts = 1;
    for (; waited < milliseconds(2000); ++attempts) {
      const RetryDecision decision =
          Decide(codes::kDraining, attempts, 3000, 0.0);
      CPPUNIT_ASSERT(decision.retry);
      waited += decision.backoff;
    }
    CPPUNIT_ASSERT(!Decide(codes::kDraining, attempts, 50, 0.0).retry);
  }

  // Guards against a needless delay after the endpoint closed a pooled
  // connection, and against a busy loop when it keeps closing all connections.
  void RetriesImmediatelyAfterAClosedConnection() {
    CPPUNIT_ASSERT(Decide(codes::kConnectionClosed, 1, 1000).backoff ==
                   kernel::Duration(0));
    CPPUNIT_ASSERT(Decide(codes::kConnectionClosed, 2, 1000).backoff >
                   kernel::Duration(0));
  }

 private:
  static RetryDecision Decide(std::string_view code, int attempts,
                              int time_left_ms, double random = 0.5) {
    return RetryPolicy(RetryLimits{})
        .Decide(FailedAttempt{model::Outcome::kNotRun, std::string(code), false,
                              attempts, milliseconds(time_left_ms)},
                random);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryPolicyTest);

}  // namespace
}  // namespace laburnumkeel::endpoints
