#include "laburnumkeel/promotion/primary_claims.h"

#include <cppunit/extensions/HelperMacros.h>

namespace laburnumkeel::promotion {
namespace {

class PrimaryClaimsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PrimaryClaimsTest);
  CPPUNIT_TEST(PrimaryOfTheHighestTermIsFound);
  CPPUNIT_TEST(PrimaryBelowAKnownTermIsNotFound);
  CPPUNIT_TEST(PrimaryWithoutKnownCommitsIsNotFound);
  CPPUNIT_TEST_SUITE_END();

 public:
  void PrimaryOfTheHighestTermIsFound() {
    CPPUNIT_ASSERT(!FindPrimary({}));
    PrimaryClaims claims{{Replica(2, 9)}};
    CPPUNIT_ASSERT(!FindPrimary(claims));
    claims.members.push_back(Primary("a", 1, 12));
    claims.members.push_back(Primary("b", 2, 9));
    CPPUNIT_ASSERT_EQUAL(std::string("b"), FindPrimary(claims)->id);
  }

  // Guards against publishing a former primary that is the only one to reply,
  // or replies together with a replica of its successor.
  void PrimaryBelowAKnownTermIsNotFound() {
    PrimaryClaims claims{{Primary("a", 1, 12)}, 2};
    CPPUNIT_ASSERT(!FindPrimary(claims));
    claims.known_term = 1;
    CPPUNIT_ASSERT(FindPrimary(claims).has_value());
    claims.members.push_back(Replica(2, 3));
    CPPUNIT_ASSERT(!FindPrimary(claims));
  }

  // Guards against publishing a primary that has lost its log.
  void PrimaryWithoutKnownCommitsIsNotFound() {
    PrimaryClaims claims{{Primary("a", 2, 5), Replica(2, 6)}, 2};
    CPPUNIT_ASSERT(FindPrimary(claims).has_value());
    claims.committed = {2, 6};
    CPPUNIT_ASSERT(!FindPrimary(claims));
  }

 private:
  static ChangeMember Primary(const std::string& id, model::Term term,
                              std::uint64_t received) {
    return {id, true, true, term, {term, received}};
  }
  static ChangeMember Replica(model::Term term, std::uint64_t received) {
    return {"r", true, false, term, {term, received}};
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PrimaryClaimsTest);

}  // namespace
}  // namespace laburnumkeel::promotion
