#include "laburnumkeel/routing/endpoint_choice.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>

namespace laburnumkeel::routing {
namespace {

using std::chrono::milliseconds;

ReadCandidate Replica(double answer_ms) {
  ReadCandidate candidate;
  candidate.is_in_own_data_centre = true;
  candidate.is_in_own_region = true;
  candidate.answer_ms = answer_ms;
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
  CPPUNIT_TEST(PatienceProtectsOtherAccounts);
  CPPUNIT_TEST(FewConnectionsAreOpenedUnderOverload);
  CPPUNIT_TEST_SUITE_END();

 public:
  void NoCandidateNoChoice() { CPPUNIT_ASSERT(!ChooseForRead({})); }

  // Guards against paying for bytes between regions without need.
  void PrefersTheOwnDataCentre() {
    ReadCandidate other_region = Replica(15);
    other_region.is_in_own_data_centre = false;
    other_region.is_in_own_region = false;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         ChooseForRead({other_region, Replica(20)}).value());
  }

  // Guards against reads that delay writes, which have no other place.
  void SparesThePrimary() {
    ReadCandidate primary = Replica(20);
    primary.is_primary = true;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         ChooseForRead({primary, Replica(25)}).value());
  }

  // Load pattern: replicas apply 150 times as late as usual.
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
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         ChooseForConnection(waiting, "b", kPatience).value());
    CPPUNIT_ASSERT(!ChooseForConnection(waiting, "c", kPatience));
  }

  void HigherPriorityGoesFirst() {
    const std::vector<WaitingStatement> waiting{{"a", 2, At(0)},
                                                {"a", 1, At(5)}};
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         ChooseForConnection(waiting, "a", kPatience).value());
  }

  // Guards against an account with many statements that keeps a connection
  // from all others.
  void PatienceProtectsOtherAccounts() {
    const std::vector<WaitingStatement> waiting{{"a", 1, At(0)},
                                                {"b", 1, At(121)}};
    CPPUNIT_ASSERT(!ChooseForConnection(waiting, "b", kPatience));
  }

  // Load pattern: one connection, statements of four accounts in turn arrive
  // faster than they are served. Guards against a new connection for nearly
  // every statement: serving in order of arrival opens one for each.
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
      if (const auto chosen = ChooseForConnection(view, account, kPatience)) {
        next = *chosen;
      } else {
        account = view[next].account;
        ++opened;
      }
      waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(next));
      // What waited for a quarter of a second has been refused.
      while (!waiting.empty() && waiting.front().arrived < At(ms - 250)) {
        waiting.pop_front();
      }
      ++served;
    }
    CPPUNIT_ASSERT(opened * 2 < served);
  }

 private:
  static constexpr milliseconds kPatience{120};

  static kernel::Instant At(int ms) {
    return kernel::Instant(std::chrono::hours(1) + milliseconds(ms));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointChoiceTest);

}  // namespace
}  // namespace laburnumkeel::routing
