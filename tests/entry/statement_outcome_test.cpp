#include "programs/laburnumkeel-entry/statement_outcome.h"

#include <cppunit/extensions/HelperMacros.h>

#include "laburnumkeel/endpoints/retry_policy.h"

namespace laburnumkeel::entry {
namespace {

class StatementOutcomeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StatementOutcomeTest);
  CPPUNIT_TEST(WriteIsRetriedDuringAPromotion);
  CPPUNIT_TEST(LostSessionPositionIsAConflict);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against routing error codes that are unknown to the retry policy. In
  // a failover under load, 23 writes were refused as term_superseded during the
  // promotion, although their deadlines had not passed.
  void WriteIsRetriedDuringAPromotion() {
    const endpoints::RetryPolicy policy{endpoints::RetryLimits{}};
    for (const auto failure : {routing::RoutingFailure::kNoPrimary,
                               routing::RoutingFailure::kTermSuperseded}) {
      const endpoints::EndpointError error =
          ToEndpointError(routing::RoutingError{failure, ""});
      const endpoints::RetryDecision decision = policy.Decide(
          endpoints::FailedAttempt{error.outcome, error.code, false, 3,
                                   std::chrono::seconds(2)},
          0.5);
      CPPUNIT_ASSERT_MESSAGE(error.code, decision.retry);
    }
  }

  // Guards against a status that lets a caller retry a request that can never
  // succeed.
  void LostSessionPositionIsAConflict() {
    const CallerError error = ToCallerError(routing::RoutingError{
        routing::RoutingFailure::kSessionPositionLost, ""});
    CPPUNIT_ASSERT_EQUAL(409, error.http_status);
    CPPUNIT_ASSERT_EQUAL(std::string("session_position_lost"), error.code);
    CPPUNIT_ASSERT(error.outcome == model::Outcome::kNotRun);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StatementOutcomeTest);

}  // namespace
}  // namespace laburnumkeel::entry
