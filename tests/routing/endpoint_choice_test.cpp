#include "laburnumkeel/routing/endpoint_choice.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>

namespace laburnumkeel::routing {
namespace {

using std::chrono::milliseconds;

ReadCandidate Replica(double response_ms) {
  ReadCandidate candidate;
  candidate.is_in_own_data_centre = true;
  candidate.is_in_own_region = true;
  candidate.response_ms = response_ms;
  candidate.slots = 3;
  return candidate;
}

class EndpointChoiceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndpointChoiceTest);
  CPPUNIT_TEST(NoCandidateNoChoice);
  CPPUNIT_TEST(PrefersTheOwnDataCentre);
  CPPUNIT_TEST(SparesThePrimary);
  CPPUNIT_TEST(LeavesAReplicaThatIsBehind);
  CPPUNIT_TEST(SuspendedEndpointIsTheLastResort);
  CPPUNIT_TEST(FreeConnectionKeepsItsAccount);
  CPPUNIT_TEST(HigherPriorityGoesFirst);
  CPPUNIT_TEST(FairnessWindowProtectsOtherAccounts);
  CPPUNIT_TEST(FewConnectionsAreOpenedUnderOverload);
  CPPUNIT_TEST_SUITE_END();

 public:
  void NoCandidateNoChoice() { CPPUNIT_ASSERT(!ChooseForRead({})); }

  // Guards against avoidable traffic between regions, which is charged for.
  void PrefersTheOwnDataCentre() {
    ReadCandidate other_region = Replica(15);
    other_region.is_in_own_data_centre = false;
    other_region.is_in_own_region = false;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         ChooseForRead({other_region, Replica(20)}).value());
  }

  // Guards against reads that delay writes, which only the primary can run.
  void SparesThePrimary() {
    ReadCandidate primary = Replica(20);
    primary.is_primary = true;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         ChooseForRead({primary, Replica(25)}).value());
  }

  // Load pattern: the response time of a replica is 150 times that of the
  // primary because it lags.
  void LeavesAReplicaThatIsBehind() {
    ReadCandidate primary = Replica(60);
    primary.is_primary = true;
    primary.is_in_own_data_centre = false;
    primary.is_in_own_region = false;
    primary.outstanding = 6;
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         ChooseForRead({primary, Replica(9000)}).value());
  }

  void SuspendedEndpointIsTheLastResort() {
    ReadCandidate suspended = Replica(5);
    suspended.is_suspended = true;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         ChooseForRead({suspended, Replica(900)}).value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, ChooseForRead({suspended}).value());
  }

  void FreeConnectionKeepsItsAccount() {
    const std::vector<WaitingStatement> waiting{{"a", 1, At(0)},
                                                {"b", 1, At(5)}};
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{1},
        ChooseForConnection(waiting, "b", kFairnessWindow).value());
    CPPUNIT_ASSERT(!ChooseForConnection(waiting, "c", kFairnessWindow));
  }

  void HigherPriorityGoesFirst() {
    const std::vector<WaitingStatement> waiting{{"a", 2, At(0)},
                                                {"a", 1, At(5)}};
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{1},
        ChooseForConnection(waiting, "a", kFairnessWindow).value());
  }

  // Guards against an account with many statements that monopolizes a
  // connection.
  void FairnessWindowProtectsOtherAccounts() {
    const std::vector<WaitingStatement> waiting{{"a", 1, At(0)},
                                                {"b", 1, At(121)}};
    CPPUNIT_ASSERT(!ChooseForConnection(waiting, "b", kFairnessWindow));
  }

  // Load pattern: statements of four accounts arrive in turn, faster than the
  // only connection serves them. Guards against a new connection for nearly
  // every statement, which serving them in order of arrival would open.
  void FewConnectionsAreOpenedUnderOverload() {
    std::deque<WaitingStatement> waiting;
    std::string account = "0";
    int opened = 0;
    int served = 0;
    for (int ms = 0; ms < 4000; ms += 24) {
      for (int arrival = 0; arrival < 2; ++arrival) {
        waiting.push_back({std::to_string((ms / 12 + arrival) % 4), 1, At(ms)});
      }
      const std::vector<WaitingStatement> view(waiting.begin(), waiting.end());
      std::size_t next = 0;
      if (const auto chosen =
              ChooseForConnection(view, account, kFairnessWindow)) {
        next = *chosen;
      } else {
        account = view[next].account;
        ++opened;
      }
      waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(next));
      // Statements that have waited for more than 250 ms are refused.
      while (!waiting.empty() && waiting.front().arrived < At(ms - 250)) {
        waiting.pop_front();
      }
      ++served;
    }
    CPPUNIT_ASSERT(opened * 2 < served);
  }

 private:
  static constexpr milliseconds kFairnessWindow{120};

  static kernel::Instant At(int ms) {
    return kernel::Instant(std::chrono::hours(1) + milliseconds(ms));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointChoiceTest);

}  // namespace
}  // namespace laburnumkeel::routing
