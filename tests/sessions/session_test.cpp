#include "laburnumkeel/sessions/session.h"

#include <cppunit/extensions/HelperMacros.h>

#include "laburnumkeel/sessions/session_requirement.h"

namespace laburnumkeel::sessions {
namespace {

using model::LogPosition;
using model::TermStart;

class SessionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SessionTest);
  CPPUNIT_TEST(PositionsNeverMoveBack);
  CPPUNIT_TEST(LostPositionIsKept);
  CPPUNIT_TEST(ContainedPositionIsReplaced);
  CPPUNIT_TEST(UnknownWriteNeedsAConfirmedPrimary);
  CPPUNIT_TEST(EarlyReadDoesNotSettle);
  CPPUNIT_TEST(ReadOfALogWithoutThePositionDoesNotSettle);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a late response to an older read that lowers the session's
  // position.
  void PositionsNeverMoveBack() {
    const Session session = Session("a")
                                .AfterWrite("g", LogPosition{4, 120}, {{4, 80}})
                                .AfterRead("g", LogPosition{4, 100}, {{4, 80}})
                                .AfterRead("g", LogPosition{3, 500}, {{3, 1}});
    CPPUNIT_ASSERT(session.StateOf("g").position == (LogPosition{4, 120}));
    CPPUNIT_ASSERT(session.StateOf("other") == GroupState{});
  }

  // Guards against a failover that loses the session's write and is not
  // detected because the session adopted the new term.
  void LostPositionIsKept() {
    const std::vector<TermStart> terms{{4, 80}, {5, 100}};
    const Session session = Session("a")
                                .AfterWrite("g", LogPosition{4, 120}, {{4, 80}})
                                .AfterWrite("g", LogPosition{5, 130}, terms);
    CPPUNIT_ASSERT(session.StateOf("g").position == (LogPosition{4, 120}));
    CPPUNIT_ASSERT(!model::IsContained(session.StateOf("g").position, terms));
  }

  // Guards against refusing all sessions after a failover.
  void ContainedPositionIsReplaced() {
    const Session session =
        Session("a")
            .AfterWrite("g", LogPosition{4, 90}, {{4, 80}})
            .AfterRead("g", LogPosition{5, 101}, {{4, 80}, {5, 100}});
    CPPUNIT_ASSERT(session.StateOf("g").position == (LogPosition{5, 101}));
    CPPUNIT_ASSERT(
        RequirementOf(session, "g") ==
        (SessionRequirement{RequirementKind::kPosition, LogPosition{5, 101}}));
    CPPUNIT_ASSERT(RequirementOf(session, "other") == SessionRequirement{});
  }

  // Guards against a read from a replica that misses a write whose outcome was
  // unknown and which was executed.
  void UnknownWriteNeedsAConfirmedPrimary() {
    const Session session = this->Unsettled();
    CPPUNIT_ASSERT(RequirementOf(session, "g") ==
                   (SessionRequirement{RequirementKind::kConfirmedPrimary,
                                       LogPosition{4, 90}}));
    const Session read = session.AfterConfirmedRead(
        "g", LogPosition{4, 95}, {{4, 80}}, kStart + kUnsettledMs);
    CPPUNIT_ASSERT(
        RequirementOf(read, "g") ==
        (SessionRequirement{RequirementKind::kPosition, LogPosition{4, 95}}));
  }

  // Guards against settling while an endpoint may still execute the write, and
  // against a second unknown write that shortens that time.
  void EarlyReadDoesNotSettle() {
    const Session session =
        this->Unsettled().AfterUnknownWrite("g", kStart - 1000);
    const Session read = session.AfterConfirmedRead(
        "g", LogPosition{4, 95}, {{4, 80}}, kStart + kUnsettledMs - 1);
    CPPUNIT_ASSERT(RequirementOf(read, "g").kind ==
                   RequirementKind::kConfirmedPrimary);
  }

  // Guards against settling on a log that lost the session's position.
  void ReadOfALogWithoutThePositionDoesNotSettle() {
    const Session read = this->Unsettled().AfterConfirmedRead(
        "g", LogPosition{5, 95}, {{4, 80}, {5, 85}}, kStart + kUnsettledMs);
    CPPUNIT_ASSERT(read == this->Unsettled());
  }

 private:
  static constexpr std::int64_t kStart = 1'790'000'000'000;

  static Session Unsettled() {
    return Session("a")
        .AfterWrite("g", LogPosition{4, 90}, {{4, 80}})
        .AfterUnknownWrite("g", kStart);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionTest);

}  // namespace
}  // namespace laburnumkeel::sessions
